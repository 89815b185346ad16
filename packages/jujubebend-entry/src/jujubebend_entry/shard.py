"""Journal of one shard in the store, and recovery of its records.

Entries of many callers are written together (group commit). A write is
retried until it has taken effect or another holder has written in its
place; the compare-and-swap of the journal tells the two apart.
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

COMMIT_TIMEOUT_SECONDS = 5.0
RETRY_WAIT_SECONDS = 0.2
MAX_BATCH_BYTES = 300_000
ARCHIVE_THRESHOLD_BYTES = 200_000
MAX_ARCHIVE_BYTES = 400_000
SNAPSHOT_THRESHOLD_BYTES = 300_000
MAX_STATE_BYTES = 500_000
MAX_OPEN_ATTEMPTS = 20
NOT_RECORDED = 'the store did not answer, so the work was not recorded'


@attrs.define(eq=False)
class _Write:
    entries: list[records.Entry]
    encoded_entries: list[dict]
    size_bytes: int
    written_future: asyncio.Future


@attrs.define
class _Archive:
    name: str
    newest: float


@attrs.define(eq=False)
class Shard:
    """A shard that this process holds, and its records in memory.

    ``write_interval`` is the shortest time between two writes, in seconds.
    It keeps the writes of all shards together below the rate that the store
    accepts. Ended records are kept for ``retention_seconds``.
    ``on_applied`` is called with each entry once it is written, even if the
    caller of ``commit`` no longer waits for it.
    """

    name: str
    store: store.Store
    holder: str
    write_interval: float
    retention_seconds: float
    records: records.Records = attrs.field(factory=records.Records)
    on_applied: abc.Callable[[records.Entry], None] = lambda entry: None  # noqa: E731
    fenced: asyncio.Event = attrs.field(factory=asyncio.Event)
    _cursor: journal.Cursor = attrs.field(init=False)
    _pending_writes: list[_Write] = attrs.field(factory=list)
    _write_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _snapshot_revision: int = 0
    _archives: list[_Archive] = attrs.field(factory=list)
    _archived_ids: set[str] = attrs.field(factory=set)
    _snapshot_bytes: int = 0
    _bytes_since_snapshot: int = 0

    def __attrs_post_init__(self) -> None:
        """Set the cursor to the start of the journal."""
        self._cursor = journal.Cursor(self.name)

    async def open(self) -> None:
        """Read the journal and take over the shard.

        Raises ``errors.UnreachableError`` if the store does not answer.
        """
        for _ in range(MAX_OPEN_ATTEMPTS):
            try:
                await self._load_records()
                await self._claim_shard()
            except (journal.GapError, errors.FencedError):
                continue
            eliot.log_message(
                'shard:opened',
                shard=self.name,
                records=len(self.records.by_id),
            )
            return
        raise errors.UnreachableError(
            f'shard {self.name} changed during each of'
            f' {MAX_OPEN_ATTEMPTS} attempts to open it'
        )

    async def run(self) -> None:
        """Write committed entries until cancelled or fenced."""
        try:
            while True:
                await self._write_due.wait()
                self._write_due.clear()
                while self._pending_writes:
                    await self._write_pending()
                    await asyncio.sleep(self.write_interval)
        except errors.FencedError:
            eliot.log_message('shard:fenced', shard=self.name)
        finally:
            self._close_writes()

    async def commit(self, *entries: records.Entry) -> None:
        """Write entries to the journal, then apply them.

        A commit without entries verifies that this host still holds the shard.

        Raises ``errors.RefusedError`` if the entries were certainly not
        written, ``errors.UnreachableError`` if it is unknown at the time-out
        whether they were, and ``errors.FencedError`` if another host holds
        the shard.
        """
        if self.fenced.is_set():
            raise errors.FencedError(f'shard {self.name} is held elsewhere')
        encoded = [records.encode(entry) for entry in entries]
        size_bytes = len(orjson.dumps(encoded))
        written_future = asyncio.get_running_loop().create_future()
        write = _Write(list(entries), encoded, size_bytes, written_future)
        self._pending_writes.append(write)
        self._write_due.set()
        try:
            await asyncio.wait_for(
                asyncio.shield(written_future), COMMIT_TIMEOUT_SECONDS
            )
        except (TimeoutError, asyncio.CancelledError) as exc:
            self._abandon_write(write, exc)

    def is_full(self) -> bool:
        """Return whether the shard has no space for new work."""
        return (
            self._snapshot_bytes + self._bytes_since_snapshot > MAX_STATE_BYTES
        )

    def _is_snapshot_due(self) -> bool:
        if self._bytes_since_snapshot > SNAPSHOT_THRESHOLD_BYTES:
            return True
        return self._cursor.is_snapshot_due()

    def _abandon_write(self, write: _Write, exc: BaseException) -> None:
        is_pending = write in self._pending_writes
        if is_pending:
            self._pending_writes.remove(write)
        if isinstance(exc, asyncio.CancelledError):
            raise exc
        if is_pending:
            raise errors.RefusedError(NOT_RECORDED, 2)
        raise errors.UnreachableError(
            'the store did not confirm whether it was recorded',
        )

    async def _load_records(self) -> None:
        self.records = records.Records()
        snapshot = await self.store.get(journal.snapshot_key(self.name))
        covered_sequence = 0
        self._snapshot_revision = 0
        if snapshot is not None:
            covered_sequence = await self._restore_snapshot(snapshot)
        slots = await self.store.scan(journal.slot_prefix(self.name))
        slots_by_key = {
            slot.key: journal.Slot(slot.revision, slot.text)
            for slot in slots.items
        }
        for batch in self._cursor.load_batches(covered_sequence, slots_by_key):
            for entry in batch.entries:
                self.records.apply(records.decode(entry))

    async def _restore_snapshot(self, snapshot: store.Item) -> int:
        self._snapshot_revision = snapshot.revision
        document = orjson.loads(snapshot.text)
        self._archives = [_Archive(**entry) for entry in document['archives']]
        self._archived_ids.clear()
        for archive in self._archives:
            key = journal.archive_key(self.name, archive.name)
            archive_item = await self.store.get(key)
            if archive_item is None:
                raise journal.GapError(
                    f'archive {archive.name} is not in the store'
                )
            for record in orjson.loads(archive_item.text):
                self._archived_ids.add(record['id'])
                self.records.restore(records.decode_record(record))
        for record in document['records']:
            self.records.restore(records.decode_record(record))
        self._snapshot_bytes = len(snapshot.text)
        return document['covered']

    async def _claim_shard(self) -> None:
        claim = records.encode(records.Claimed(self.holder))
        await self._write_batch([claim])

    async def _write_pending(self) -> None:
        if self._is_snapshot_due():
            await self._write_snapshot()
        batch_writes: list[_Write] = []
        batch_bytes = 0
        while self._pending_writes and batch_bytes < MAX_BATCH_BYTES:
            batch_writes.append(self._pending_writes.pop(0))
            batch_bytes += batch_writes[-1].size_bytes
        encoded = [
            entry for write in batch_writes for entry in write.encoded_entries
        ]
        try:
            await self._write_batch(encoded)
        except BaseException:
            self._fail_writes(batch_writes)
            raise
        self._bytes_since_snapshot += batch_bytes
        for write in batch_writes:
            for entry in write.entries:
                self.records.apply(entry)
                self.on_applied(entry)
            if not write.written_future.done():
                write.written_future.set_result(None)

    async def _write_batch(self, encoded: list[dict]) -> None:
        if self._cursor.is_full():
            await self._write_snapshot()
        sequence = self._cursor.next_sequence
        batch = journal.Batch(sequence, self.holder, uuid.uuid4().hex, encoded)
        key = journal.slot_key(self.name, sequence)
        text = batch.encode()
        revision = await self._put_until_known(
            key, text, self._cursor.slot_revision()
        )
        if revision is None:
            raise errors.FencedError(
                f'shard {self.name} has a new holder; this host must give it up'
            )
        self._cursor.record_write(revision)

    async def _put_until_known(
        self, key: str, text: str, slot_revision: int
    ) -> int | None:
        """Retry a write until its result is known.

        The slot must still have ``slot_revision`` for the write to succeed.
        Returns the new revision, or None if another host wrote the key.
        """
        while True:
            try:
                return await self.store.put(key, text, slot_revision)
            except errors.UnreachableError:
                await asyncio.sleep(RETRY_WAIT_SECONDS)
            except store.ConflictError:
                break
        while True:
            try:
                stored = await self.store.get(key)
            except errors.UnreachableError:
                await asyncio.sleep(RETRY_WAIT_SECONDS)
                continue
            if stored is not None and stored.text == text:
                return stored.revision
            return None

    async def _write_snapshot(self) -> None:
        now = time.time()
        removed = self.records.remove_ended(now - self.retention_seconds)
        self._archived_ids.difference_update(record.id for record in removed)
        expired = [
            archive
            for archive in self._archives
            if archive.newest < now - self.retention_seconds
        ]
        self._archives = [
            archive for archive in self._archives if archive not in expired
        ]
        live_records = await self._archive_ended(now)
        covered_sequence = self._cursor.next_sequence - 1
        document = {
            'covered': covered_sequence,
            'records': live_records,
            'archives': [attrs.asdict(archive) for archive in self._archives],
        }
        text = orjson.dumps(document).decode()
        self._snapshot_bytes = len(text)
        key = journal.snapshot_key(self.name)
        revision = await self._put_until_known(
            key, text, self._snapshot_revision
        )
        if revision is None:
            await self._reread_snapshot(key)
            return
        self._snapshot_revision = revision
        self._cursor.covered_sequence = covered_sequence
        self._bytes_since_snapshot = 0
        for archive in expired:
            await self._delete_key(journal.archive_key(self.name, archive.name))
        for record in removed:
            for answer_key in largeanswers.list_answer_keys(record):
                await self._delete_key(answer_key)

    async def _reread_snapshot(self, key: str) -> None:
        """Read a snapshot that the previous holder wrote late.

        Only the slots decide which host holds the shard. A snapshot that
        another host wrote of the same journal is correct, so the next
        snapshot only has to overwrite it.
        """
        snapshot = await self.store.get(key)
        if snapshot is not None:
            self._snapshot_revision = snapshot.revision
            covered_sequence = orjson.loads(snapshot.text)['covered']
            self._cursor.covered_sequence = max(
                self._cursor.covered_sequence, covered_sequence
            )

    async def _archive_ended(self, now: float) -> list[dict]:
        """Move ended records to archives once they exceed the threshold.

        Returns the encoded records that stay in the snapshot.
        """
        live_records = []
        ended_records = []
        for record in self.records.by_id.values():
            if record.id in self._archived_ids:
                continue
            encoded_records = (
                ended_records if record.is_ended() else live_records
            )
            encoded_records.append(records.encode_record(record))
        sizes = [len(orjson.dumps(record)) for record in ended_records]
        if sum(sizes) < ARCHIVE_THRESHOLD_BYTES:
            return live_records + ended_records
        archived: list[dict] = []
        archive_bytes = 0
        for record, size in zip(ended_records, sizes, strict=True):
            if archived and archive_bytes + size > MAX_ARCHIVE_BYTES:
                await self._write_archive(archived, now)
                archived = []
                archive_bytes = 0
            archived.append(record)
            archive_bytes += size
        await self._write_archive(archived, now)
        return live_records

    async def _write_archive(self, archived: list[dict], now: float) -> None:
        name = f'{int(now)}-{uuid.uuid4().hex}'
        key = journal.archive_key(self.name, name)
        await self._put_until_known(key, orjson.dumps(archived).decode(), 0)
        self._archives.append(_Archive(name, now))
        self._archived_ids.update(record['id'] for record in archived)

    async def _delete_key(self, key: str) -> None:
        try:
            stored = await self.store.get(key)
            if stored is not None:
                await self.store.delete(key, stored.revision)
        except errors.JujubebendError:
            return

    def _fail_writes(self, writes: list[_Write]) -> None:
        for write in writes:
            if not write.written_future.done():
                write.written_future.set_exception(
                    errors.FencedError(f'shard {self.name} is held elsewhere'),
                )

    def _close_writes(self) -> None:
        self.fenced.set()
        self._fail_writes(self._pending_writes)
        self._pending_writes.clear()
