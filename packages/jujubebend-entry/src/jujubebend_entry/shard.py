"""One shard of recorded work: its journal in the store, its records here.

Entries of many callers go into one write. A write is repeated until it is
known to have taken effect or another holder has taken its place, which the
journal's compare-and-swap makes certain.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import abc

import attrs
import eliot
import orjson

from jujubebend import errors, journal, records
from jujubebend_entry import largeanswers
from jujubebend_platform import store

COMMIT_TIMEOUT = 5.0
RETRY_WAIT = 0.2
BATCH_BYTES = 300_000
ARCHIVE_BYTES = 200_000
ARCHIVE_PART_BYTES = 400_000
SNAPSHOT_AFTER_BYTES = 300_000
STATE_BYTES = 500_000
OPEN_TRIES = 20
NOT_RECORDED = 'the store does not answer, so it could not be recorded'


@attrs.define(eq=False)
class _Write:
    entries: list[records.Entry]
    plain: list[dict]
    size: int
    done: asyncio.Future


@attrs.define
class _Archive:
    name: str
    newest: float


@attrs.define(eq=False)
class Shard:
    """The holder's side of a shard.

    ``pace`` is the least time between writes in seconds, so that all shards
    together stay under what the store takes. ``retention`` is for how long
    ended records are remembered, in seconds. ``on_applied`` is told of each
    entry once it is written, also of one whose committer gave up waiting.
    """

    name: str
    store: store.Store
    holder: str
    pace: float
    retention: float
    records: records.Records = attrs.field(factory=records.Records)
    on_applied: abc.Callable[[records.Entry], None] = lambda entry: None  # noqa: E731
    fenced: asyncio.Event = attrs.field(factory=asyncio.Event)
    _cursor: journal.Cursor = attrs.field(init=False)
    _pending: list[_Write] = attrs.field(factory=list)
    _due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _snapshot_revision: int = 0
    _archives: list[_Archive] = attrs.field(factory=list)
    _archived: set[str] = attrs.field(factory=set)
    _live_bytes: int = 0
    _bytes_since: int = 0

    def __attrs_post_init__(self) -> None:
        """Point at the start of the journal."""
        self._cursor = journal.Cursor(self.name)

    async def open(self) -> None:
        """Read the journal and take the shard over.

        Raises ``errors.UnreachableError`` while the store does not answer.
        """
        for _ in range(OPEN_TRIES):
            try:
                await self._load()
                await self._claim()
            except (journal.GapError, errors.FencedError):
                continue
            eliot.log_message(
                'shard:opened',
                shard=self.name,
                records=len(self.records.by_id),
            )
            return
        raise errors.UnreachableError(f'shard {self.name} keeps changing')

    async def run(self) -> None:
        """Write what is committed until cancelled or fenced."""
        try:
            while True:
                await self._due.wait()
                self._due.clear()
                while self._pending:
                    await self._write_pending()
                    await asyncio.sleep(self.pace)
        except errors.FencedError:
            eliot.log_message('shard:fenced', shard=self.name)
        finally:
            self._close()

    async def commit(self, *entries: records.Entry) -> None:
        """Write entries to the journal, then apply them.

        Raises ``errors.RefusedError`` when they were certainly not written,
        ``errors.UnreachableError`` when that cannot be told in time and
        ``errors.FencedError`` when another holds the shard.
        """
        if self.fenced.is_set():
            raise errors.FencedError(f'shard {self.name} is held elsewhere')
        plain = [records.encode(entry) for entry in entries]
        size = len(orjson.dumps(plain))
        done = asyncio.get_running_loop().create_future()
        write = _Write(list(entries), plain, size, done)
        self._pending.append(write)
        self._due.set()
        try:
            await asyncio.wait_for(asyncio.shield(done), COMMIT_TIMEOUT)
        except (TimeoutError, asyncio.CancelledError) as exc:
            self._give_up(write, exc)

    def is_full(self) -> bool:
        """Say whether the shard can record no new work for now."""
        return self._live_bytes + self._bytes_since > STATE_BYTES

    def _wants_snapshot(self) -> bool:
        if self._bytes_since > SNAPSHOT_AFTER_BYTES:
            return True
        return self._cursor.is_snapshot_due()

    def _give_up(self, write: _Write, exc: BaseException) -> None:
        queued = write in self._pending
        if queued:
            self._pending.remove(write)
        if isinstance(exc, asyncio.CancelledError):
            raise exc
        if queued:
            raise errors.RefusedError(NOT_RECORDED, 2)
        raise errors.UnreachableError(
            'the store did not say whether it was recorded',
        )

    async def _load(self) -> None:
        self.records = records.Records()
        snapshot = await self.store.get(journal.snapshot_key(self.name))
        covered = 0
        self._snapshot_revision = 0
        if snapshot is not None:
            covered = await self._restore(snapshot)
        slots = await self.store.range(journal.slot_prefix(self.name))
        found = {
            entry.key: journal.Slot(entry.revision, entry.text)
            for entry in slots.items
        }
        for batch in self._cursor.load_batches(covered, found):
            for plain in batch.entries:
                self.records.apply(records.decode(plain))

    async def _restore(self, snapshot: store.Item) -> int:
        self._snapshot_revision = snapshot.revision
        plain = orjson.loads(snapshot.text)
        self._archives = [_Archive(**entry) for entry in plain['archives']]
        self._archived.clear()
        for archive in self._archives:
            key = journal.archive_key(self.name, archive.name)
            found = await self.store.get(key)
            if found is None:
                raise journal.GapError(f'archive {archive.name} is gone')
            for record in orjson.loads(found.text):
                self._archived.add(record['id'])
                self.records.restore(records.decode_record(record))
        for record in plain['records']:
            self.records.restore(records.decode_record(record))
        self._live_bytes = len(snapshot.text)
        return plain['covered']

    async def _claim(self) -> None:
        claim = records.encode(records.Claimed(self.holder))
        await self._write_batch([claim])

    async def _write_pending(self) -> None:
        if self._wants_snapshot():
            await self._write_snapshot()
        taken: list[_Write] = []
        size = 0
        while self._pending and size < BATCH_BYTES:
            taken.append(self._pending.pop(0))
            size += taken[-1].size
        plain = [entry for write in taken for entry in write.plain]
        try:
            await self._write_batch(plain)
        except BaseException:
            self._fail(taken)
            raise
        self._bytes_since += size
        for write in taken:
            for entry in write.entries:
                self.records.apply(entry)
                self.on_applied(entry)
            if not write.done.done():
                write.done.set_result(None)

    async def _write_batch(self, plain: list[dict]) -> None:
        if self._cursor.is_full():
            await self._write_snapshot()
        sequence = self._cursor.next_sequence
        batch = journal.Batch(sequence, self.holder, uuid.uuid4().hex, plain)
        key = journal.slot_key(self.name, sequence)
        text = batch.encode()
        revision = await self._put(key, text, self._cursor.expected_revision())
        if revision is None:
            raise errors.FencedError(f'shard {self.name} has a new holder')
        self._cursor.record_write(revision)

    async def _put(self, key: str, text: str, expect: int) -> int | None:
        """Write until it is certain; None when another wrote the key."""
        while True:
            try:
                return await self.store.put(key, text, expect)
            except errors.UnreachableError:
                await asyncio.sleep(RETRY_WAIT)
            except store.ConflictError:
                break
        while True:
            try:
                found = await self.store.get(key)
            except errors.UnreachableError:
                await asyncio.sleep(RETRY_WAIT)
                continue
            if found is not None and found.text == text:
                return found.revision
            return None

    async def _write_snapshot(self) -> None:
        now = time.time()
        old = self.records.remove_ended(now - self.retention)
        self._archived.difference_update(record.id for record in old)
        expired = [
            one for one in self._archives if one.newest < now - self.retention
        ]
        self._archives = [one for one in self._archives if one not in expired]
        live = await self._archive_ended(now)
        covered = self._cursor.next_sequence - 1
        plain = {
            'covered': covered,
            'records': live,
            'archives': [attrs.asdict(one) for one in self._archives],
        }
        text = orjson.dumps(plain).decode()
        self._live_bytes = len(text)
        key = journal.snapshot_key(self.name)
        revision = await self._put(key, text, self._snapshot_revision)
        if revision is None:
            await self._reread_snapshot(key)
            return
        self._snapshot_revision = revision
        self._cursor.covered = covered
        self._bytes_since = 0
        for one in expired:
            await self._delete(journal.archive_key(self.name, one.name))
        for record in old:
            for answer_key in largeanswers.list_answer_keys(record):
                await self._delete(answer_key)

    async def _reread_snapshot(self, key: str) -> None:
        """Learn of a snapshot that the holder before wrote late.

        Only a slot tells who holds the shard; a snapshot of the same
        journal by another is true, and merely has to be written over.
        """
        found = await self.store.get(key)
        if found is not None:
            self._snapshot_revision = found.revision
            covered = orjson.loads(found.text)['covered']
            self._cursor.covered = max(self._cursor.covered, covered)

    async def _archive_ended(self, now: float) -> list[dict]:
        """Move ended records to an archive once they are many."""
        live = []
        ended = []
        for record in self.records.by_id.values():
            if record.id in self._archived:
                continue
            target = ended if record.is_ended() else live
            target.append(records.encode_record(record))
        sizes = [len(orjson.dumps(record)) for record in ended]
        if sum(sizes) < ARCHIVE_BYTES:
            return live + ended
        part: list[dict] = []
        part_size = 0
        for record, size in zip(ended, sizes, strict=True):
            if part and part_size + size > ARCHIVE_PART_BYTES:
                await self._archive(part, now)
                part = []
                part_size = 0
            part.append(record)
            part_size += size
        await self._archive(part, now)
        return live

    async def _archive(self, part: list[dict], now: float) -> None:
        name = f'{int(now)}-{uuid.uuid4().hex}'
        key = journal.archive_key(self.name, name)
        await self._put(key, orjson.dumps(part).decode(), 0)
        self._archives.append(_Archive(name, now))
        self._archived.update(record['id'] for record in part)

    async def _delete(self, key: str) -> None:
        try:
            found = await self.store.get(key)
            if found is not None:
                await self.store.delete(key, found.revision)
        except errors.JujubebendError:
            return

    def _fail(self, writes: list[_Write]) -> None:
        for write in writes:
            if not write.done.done():
                write.done.set_exception(
                    errors.FencedError(f'shard {self.name} is held elsewhere'),
                )

    def _close(self) -> None:
        self.fenced.set()
        self._fail(self._pending)
        self._pending.clear()
