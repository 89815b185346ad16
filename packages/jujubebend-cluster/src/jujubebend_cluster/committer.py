"""Group commit of the leader's records, fenced by the leader record.

Every transaction expects the leader record at the revision that the previous
transaction left, and rewrites it. So of two competing leaders at most one can
commit, a transaction that the store applies late fails its precondition, and
a commit whose answer was lost is resolved by reading one key.
"""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

import attrs
import orjson

from jujubebend import decoding, errors
from jujubebend_cluster import clock, interfaces, logs, metrics

LEADER_KEY = 'lead'
# The store accepts 32 keys in a transaction; one is that of the leader record.
MAX_RECORDS_PER_COMMIT = 30
MIN_BATCH_WINDOW_S = 0.012  # a commit waits this long for more records
# Processor time that passes in one batch window. A commit takes a tenth of it,
# so a host with less than half a core waits longer than the minimum.
BATCH_WINDOW_CORE_SECONDS = 0.005
TIMEOUT_FACTOR = 8.0  # times the mean latency of a commit
MIN_TIMEOUT_S = 0.15  # also bounds how soon a lost answer is noticed
MAX_TIMEOUT_S = 1.0
LATENCY_WEIGHT = 0.2  # of the newest commit in the mean latency
# Without records to write, the leader record is still rewritten this often,
# so that the other hosts see a live leader.
IDLE_COMMIT_INTERVAL_S = 0.6
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4  # also bounds how late a store's return is noticed


class DeposedError(errors.FencedError):
    """Another host leads: its leader record has replaced this host's."""


@attrs.frozen
class LeaderRecord:
    """The leader; ``epoch`` rises per term, ``serial`` per commit."""

    host: str
    address: str
    epoch: int
    serial: int

    def encode(self) -> bytes:
        """Return the record as it is stored."""
        return orjson.dumps(attrs.asdict(self))


def parse_leader(body: bytes) -> LeaderRecord:
    """Parse a leader record as ``LeaderRecord.encode`` wrote it.

    Raises ``MalformedReplyError`` if the body is damaged. Fields that another
    build adds are ignored.
    """
    with decoding.reply_from('the store: leader record'):
        document = orjson.loads(body)
        return LeaderRecord(
            host=decoding.to_text(document['host']),
            address=decoding.to_text(document['address']),
            epoch=decoding.to_count(document['epoch']),
            serial=decoding.to_count(document['serial']),
        )


class Entry(Protocol):
    """A record to write under a key."""

    def encode(self) -> bytes | None:
        """Return the record's current bytes, or None to delete its key."""
        ...

    def mark_stored(self) -> None:
        """Handle the commit of what ``encode`` returned last."""
        ...


@attrs.frozen
class Deletion:
    """An entry that deletes its key."""

    def encode(self) -> None:
        """Return None: the key is deleted."""

    def mark_stored(self) -> None:
        """Do nothing: a deletion has no state to update."""


@attrs.define(eq=False)
class Committer:
    """Writes records in batches, one transaction at a time.

    ``put`` queues an entry for a key; the entry is encoded when its batch is
    built. Awaiting ``flush`` waits until all entries put so far are stored.

    ``record`` is the leader record as last committed and ``revision`` its
    revision in the store. ``committed_at`` is when that commit was sent.
    """

    store: interfaces.Store
    record: LeaderRecord
    revision: int
    committed_at: float = attrs.field(factory=lambda: clock.now())
    commit_count: int = 0
    cores: float = 1
    _pending: dict[str, Entry] = attrs.field(factory=dict)
    _waiters: list[asyncio.Future] = attrs.field(factory=list)
    _batch_waiters: list[asyncio.Future] = attrs.field(factory=list)
    _is_writing: bool = False
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    is_deposed: bool = False
    is_store_lost: bool = False
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    _mean_latency_s: float = MIN_TIMEOUT_S / TIMEOUT_FACTOR

    def put(self, key: str, entry: Entry) -> None:
        """Write an entry under a key with the next batch."""
        self._pending[key] = entry
        self._wake.set()

    async def flush(self) -> None:
        """Wait until everything put so far is stored."""
        if self.is_deposed:
            raise DeposedError(
                f'epoch {self.record.epoch} has ended; nothing more is stored'
            )
        if not self._pending and not self._is_writing:
            return
        fut = asyncio.get_running_loop().create_future()
        if self._pending:
            self._waiters.append(fut)
            self._wake.set()
        else:
            self._batch_waiters.append(fut)
        await fut

    async def run(self) -> None:
        """Commit batches until another host leads; raises ``DeposedError``."""
        try:
            while True:
                await self._wait_for_batch()
                await self._commit_batch()
        finally:
            self.is_deposed = True
            for fut in self._waiters + self._batch_waiters:
                if not fut.done():
                    fut.set_exception(
                        DeposedError(
                            f'epoch {self.record.epoch} ended before the '
                            'records were stored'
                        )
                    )
                    fut.exception()

    async def _wait_for_batch(self) -> None:
        try:
            async with asyncio.timeout(IDLE_COMMIT_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(
            max(MIN_BATCH_WINDOW_S, BATCH_WINDOW_CORE_SECONDS / self.cores)
        )

    async def _commit_batch(self) -> None:
        self._wake.clear()
        entries = self._pending
        self._pending = {}
        self._batch_waiters = self._waiters
        self._waiters = []
        self._is_writing = True
        await self._commit_in_parts(list(entries.items()))
        self._is_writing = False
        for fut in self._batch_waiters:
            if not fut.done():
                fut.set_result(None)
        self._batch_waiters = []

    async def _commit_in_parts(self, entries: list) -> None:
        if not entries:
            await self._commit_entries([])
        for start in range(0, len(entries), MAX_RECORDS_PER_COMMIT):
            await self._commit_entries(
                entries[start : start + MAX_RECORDS_PER_COMMIT]
            )

    async def _commit_entries(self, entries: list) -> None:
        record = attrs.evolve(self.record, serial=self.record.serial + 1)
        bodies = [(key, entry.encode()) for key, entry in entries]
        transaction = interfaces.Transaction(
            expects={LEADER_KEY: self.revision},
            puts={
                LEADER_KEY: record.encode(),
                **{key: body for key, body in bodies if body is not None},
            },
            deletes=tuple(key for key, body in bodies if body is None),
        )
        delay = INITIAL_RETRY_DELAY_S
        while True:
            sent_at = clock.now()
            if await self._attempt_commit(transaction, record):
                self.committed_at = sent_at
                self.record = record
                self.commit_count += 1
                self.metrics.count('commits', outcome='stored')
                self.metrics.observe('commit', clock.now() - sent_at)
                self.metrics.count_bytes('commit_bytes', transaction.size)
                self._update_store_state(lost=False)
                for _, entry in entries:
                    entry.mark_stored()
                return
            self.metrics.count('commits', outcome='retried')
            await asyncio.sleep(delay * random.uniform(0.5, 1))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    async def _attempt_commit(
        self, transaction: interfaces.Transaction, record: LeaderRecord
    ) -> bool:
        started_at = clock.now()
        try:
            self.revision = await self.store.commit(
                transaction, self._timeout_s()
            )
        except errors.ConflictError:
            return await self._resolve_commit(record)
        except errors.RefusedError as exc:
            self._update_store_state(lost=True, why=str(exc))
            return False
        except errors.UnreachableError as exc:
            # Either the answer was lost or the store became slow, so the next
            # commit gets more time.
            self._mean_latency_s = min(MAX_TIMEOUT_S, self._mean_latency_s * 2)
            is_applied = await self._resolve_commit(record)
            self._update_store_state(lost=not is_applied, why=str(exc))
            return is_applied
        latency = clock.now() - started_at
        self._mean_latency_s += LATENCY_WEIGHT * (
            latency - self._mean_latency_s
        )
        return True

    def _timeout_s(self) -> float:
        timeout = TIMEOUT_FACTOR * self._mean_latency_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout))

    async def _resolve_commit(self, record: LeaderRecord) -> bool:
        """Read the leader record to learn whether a commit was applied."""
        try:
            item = await self.store.get(LEADER_KEY)
        except (errors.RefusedError, errors.UnreachableError):
            return False
        if item is None or item.body is None:
            raise DeposedError('the leader record was deleted from the store')
        try:
            stored_record = parse_leader(item.body)
        except errors.MalformedReplyError as exc:
            raise DeposedError(f'the leader record was damaged: {exc}') from exc
        if stored_record.epoch != record.epoch:
            raise DeposedError(
                f'{stored_record.host} leads with epoch {stored_record.epoch}, '
                f'this host had epoch {record.epoch}'
            )
        if stored_record.serial != record.serial:
            return False
        self.revision = item.revision
        return True

    def _update_store_state(self, *, lost: bool, why: str = '') -> None:
        if lost != self.is_store_lost:
            self.is_store_lost = lost
            logs.dependency('store', lost=lost, why=why)
