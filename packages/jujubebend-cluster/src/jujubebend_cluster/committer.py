"""Group commit of the leader's records, under the leader's own record.

Every transaction expects the leader record at the revision that the one
before it left, and writes it anew. So at most one of two competing writers
gets through, a write that the store carries out late finds its condition
gone, and a write whose answer was lost is settled by reading one key.
"""

from __future__ import annotations

import asyncio
import random
from typing import Protocol

import attrs
import orjson

from jujubebend import errors
from jujubebend_cluster import clock, interfaces, logs, metrics

LEADER_KEY = 'lead'
RECORDS_PER_COMMIT = 30  # the store takes 32 entries, the leader's included
GATHER = 0.012  # seconds that a commit waits for more records to join it
GATHER_COST = 0.005  # seconds of a whole core; a commit takes a tenth of it
TIMEOUT_FACTOR = 8.0  # times the usual time of a commit
TIMEOUT_LEAST = 0.15  # seconds; a lost answer is settled this soon
TIMEOUT_MOST = 1.0  # seconds
LATENCY_WEIGHT = 0.2  # of the newest commit in the usual time
IDLE_COMMIT = 0.6  # seconds between commits that only show a live leader
RETRY_FIRST = 0.05  # seconds
RETRY_MOST = 0.4  # seconds; a store that is back is noticed this soon


class DeposedError(errors.FencedError):
    """Another host leads now: its record took the place of ours."""


@attrs.frozen
class LeaderRecord:
    """Who leads; ``epoch`` rises with each leader, ``serial`` each commit."""

    host: str
    address: str
    epoch: int
    serial: int

    def encode(self) -> bytes:
        """Return the record as the store keeps it."""
        return orjson.dumps(attrs.asdict(self))


def parse_leader(body: bytes) -> LeaderRecord:
    """Read what ``encode`` wrote."""
    return LeaderRecord(**orjson.loads(body))


class Entry(Protocol):
    """A record to be written: bytes, or None to delete its key."""

    def encode(self) -> bytes | None:
        """Return the record as it stands now."""
        ...

    def stored(self) -> None:
        """Hear that what ``encode`` returned last is in the store."""
        ...


@attrs.frozen
class Deletion:
    """Deletes a key."""

    def encode(self) -> None:
        """Return nothing to keep."""

    def stored(self) -> None:
        """Need nothing done after."""


@attrs.define(eq=False)
class Committer:
    """Writes records in batches, one transaction at a time.

    ``put`` names a key and the entry that gives its bytes when the batch is
    made up; awaiting ``flush`` waits until all puts so far are stored.
    """

    store: interfaces.Store
    record: LeaderRecord
    revision: int
    committed_at: float = attrs.field(factory=lambda: clock.now())
    commits: int = 0
    cores: float = 1
    _puts: dict[str, Entry] = attrs.field(factory=dict)
    _waiters: list[asyncio.Future] = attrs.field(factory=list)
    _under_way: list[asyncio.Future] = attrs.field(factory=list)
    _writing: bool = False
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    deposed: bool = False
    store_lost: bool = False
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    _latency: float = TIMEOUT_LEAST / TIMEOUT_FACTOR

    def put(self, key: str, entry: Entry) -> None:
        """Write a key with the next batch."""
        self._puts[key] = entry
        self._wake.set()

    async def flush(self) -> None:
        """Wait until everything put so far is stored."""
        if self.deposed:
            raise DeposedError('deposed')
        if not self._puts and not self._writing:
            return
        fut = asyncio.get_running_loop().create_future()
        if self._puts:
            self._waiters.append(fut)
            self._wake.set()
        else:
            self._under_way.append(fut)
        await fut

    async def run(self) -> None:
        """Commit until another host leads; raises ``DeposedError``."""
        try:
            while True:
                await self._gather()
                await self._commit_batch()
        finally:
            self.deposed = True
            for fut in self._waiters + self._under_way:
                if not fut.done():
                    fut.set_exception(DeposedError('deposed'))
                    fut.exception()

    async def _gather(self) -> None:
        try:
            async with asyncio.timeout(IDLE_COMMIT):
                await self._wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(max(GATHER, GATHER_COST / self.cores))

    async def _commit_batch(self) -> None:
        self._wake.clear()
        puts = self._puts
        self._puts = {}
        self._under_way = self._waiters
        self._waiters = []
        self._writing = True
        await self._write(list(puts.items()))
        self._writing = False
        for fut in self._under_way:
            if not fut.done():
                fut.set_result(None)
        self._under_way = []

    async def _write(self, puts: list) -> None:
        if not puts:
            await self._commit([])
        for at in range(0, len(puts), RECORDS_PER_COMMIT):
            await self._commit(puts[at : at + RECORDS_PER_COMMIT])

    async def _commit(self, puts: list) -> None:
        record = attrs.evolve(self.record, serial=self.record.serial + 1)
        bodies = [(key, entry.encode()) for key, entry in puts]
        wanted = interfaces.Transaction(
            expects={LEADER_KEY: self.revision},
            puts={
                LEADER_KEY: record.encode(),
                **{key: body for key, body in bodies if body is not None},
            },
            deletes=tuple(key for key, body in bodies if body is None),
        )
        wait = RETRY_FIRST
        while True:
            sent = clock.now()
            if await self._attempt(wanted, record):
                self.committed_at = sent
                self.record = record
                self.commits += 1
                self.metrics.count('commits', outcome='stored')
                self.metrics.observe('commit', clock.now() - sent)
                self._note_store(lost=False)
                for _, entry in puts:
                    entry.stored()
                return
            self.metrics.count('commits', outcome='retried')
            await asyncio.sleep(wait * random.uniform(0.5, 1))
            wait = min(RETRY_MOST, wait * 2)

    async def _attempt(
        self, wanted: interfaces.Transaction, record: LeaderRecord
    ) -> bool:
        began = clock.now()
        try:
            self.revision = await self.store.commit(wanted, self._timeout())
        except errors.ConflictError:
            return await self._settle(record)
        except errors.RefusedError as exc:
            self._note_store(lost=True, why=str(exc))
            return False
        except errors.UnreachableError as exc:
            # The answer was lost, or the store became slow: the next one
            # gets more time.
            self._latency = min(TIMEOUT_MOST, self._latency * 2)
            settled = await self._settle(record)
            self._note_store(lost=not settled, why=str(exc))
            return settled
        taken = clock.now() - began
        self._latency += LATENCY_WEIGHT * (taken - self._latency)
        return True

    def _timeout(self) -> float:
        wait = TIMEOUT_FACTOR * self._latency
        return min(TIMEOUT_MOST, max(TIMEOUT_LEAST, wait))

    async def _settle(self, record: LeaderRecord) -> bool:
        """Read the leader record back to learn what became of a commit."""
        try:
            item = await self.store.get(LEADER_KEY)
        except (errors.RefusedError, errors.UnreachableError):
            return False
        if item is None or item.body is None:
            raise DeposedError('the leader record is gone')
        found = parse_leader(item.body)
        if found.epoch != record.epoch:
            raise DeposedError(f'{found.host} leads with epoch {found.epoch}')
        if found.serial != record.serial:
            return False
        self.revision = item.revision
        return True

    def _note_store(self, *, lost: bool, why: str = '') -> None:
        if lost != self.store_lost:
            self.store_lost = lost
            logs.dependency('store', lost=lost, why=why)
