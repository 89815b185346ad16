"""Finds the cell's leader, and takes its place when it is gone.

The leader's record moves with each of its commits. A host that sees it stand
still for long enough claims it with the next epoch: a compare-and-swap, so
one claim wins. Taking over from a leader that is alive is safe, since its
records and its workers refuse it from then on; it only costs time.
"""

from __future__ import annotations

import asyncio
import random
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, committer, interfaces, logs, peers

TAKEOVER_AFTER = 1.3  # seconds; two idle commits of a leader
SILENT_TAKEOVER = 1.0  # seconds; the leader itself tells of its silence
POLL = 0.25  # seconds between reads while nobody is known to lead
READ_AGE = 0.9  # seconds; a read of a slow store takes 0.3
POLL_SHARE = 0.5  # of the pause that the leader last asked for
CALM_POLL = 3.0  # seconds between reads while the leader greets us
SPREAD = (0.8, 1.1)  # times a pause, so that hosts do not read in step
STAGGER = 0.05  # seconds over which hosts of one size spread their claims
STAGGER_BY_SIZE = 0.15  # seconds for a host of one core; half that for two


@attrs.define(eq=False)
class Elector:
    """Follows the leader record; ``lead`` runs one term of this host."""

    store: interfaces.Store
    network: peers.Peers
    lead: abc.Callable[[committer.Committer], abc.Awaitable[None]]
    cores: float = 1
    record: committer.LeaderRecord | None = None
    revision: int = 0
    moved_at: float = 0
    greeted: bool = False
    leader_busy: bool = False
    leading: bool = False
    stopping: bool = False
    store_read_at: float = 0
    _pause: float = peers.HEARTBEAT_INTERVAL_S
    _gone: bool = False

    @property
    def leader(self) -> str:
        """Return the address of the leader, empty if none is known."""
        return self.record.address if self.record else ''

    async def run(self) -> None:
        """Follow the record and claim it when it is due, until cancelled."""
        next_read = self.moved_at
        while not self.stopping:
            now = clock.now()
            if now >= next_read or not self.greeted:
                await self._read()
                next_read = clock.now() + CALM_POLL
            if self._is_claimable():
                await asyncio.sleep(self._claim_delay())
                await self._claim()
                continue
            await self._greet()
            pause = self._pause if self.greeted else self._poll()
            await asyncio.sleep(pause * random.uniform(*SPREAD))

    def _poll(self) -> float:
        """Return the pause while the leader is not heard.

        In a large cell a few hosts look often; the others would only add to
        what a leader that is short of processor time has to answer.
        """
        return max(POLL, self._pause * POLL_SHARE)

    async def _read(self) -> None:
        try:
            item = await self.store.get(committer.LEADER_KEY)
        except (errors.RefusedError, errors.UnreachableError):
            # Without the store nothing can be told of the record's pace.
            self.moved_at = clock.now()
            return
        now = clock.now()
        self.store_read_at = now
        revision = item.revision if item else 0
        if item is None or item.body is None:
            self.record = None
        elif revision != self.revision:
            self._take(committer.parse_leader(item.body))
        if revision != self.revision or not self.moved_at:
            self.revision = revision
            self.moved_at = now

    def _take(self, record: committer.LeaderRecord) -> None:
        if self.record is None or record.epoch != self.record.epoch:
            logs.belief('leader', leader=record.host, epoch=record.epoch)
            self._gone = False
        self.record = record

    def _claim_delay(self) -> float:
        """Return how long to wait so that larger hosts claim first."""
        by_size = STAGGER_BY_SIZE / self.cores
        return by_size + random.uniform(0, STAGGER)

    def _is_claimable(self) -> bool:
        if self.stopping or not self.store_read_at:
            return False
        record = self.record
        if record is None or not record.host:
            return True
        if record.address == self.network.address or self._gone:
            return True
        return clock.now() - self.moved_at > TAKEOVER_AFTER and (
            clock.now() - self.store_read_at < READ_AGE
        )

    async def _claim(self) -> None:
        epoch = self.record.epoch + 1 if self.record else 1
        mine = committer.LeaderRecord(
            self.network.host, self.network.address, epoch, 0
        )
        wanted = interfaces.Transaction(
            expects={committer.LEADER_KEY: self.revision},
            puts={committer.LEADER_KEY: mine.encode()},
        )
        sent = clock.now()
        try:
            revision = await self.store.commit(wanted)
        except (
            errors.ConflictError,
            errors.RefusedError,
            errors.UnreachableError,
        ) as exc:
            # A claim whose answer was lost shows as our own record in the
            # next read, and is claimed once more with a new epoch.
            logs.belief('claim_failed', epoch=epoch, why=str(exc))
            self._gone = False
            self.moved_at = clock.now()
            await asyncio.sleep(POLL)
            await self._read()
            return
        self.record = mine
        self.revision = revision
        commits = committer.Committer(self.store, mine, revision, sent)
        self.leading = True
        try:
            await self.lead(commits)
        finally:
            self.leading = False
            self.moved_at = clock.now()
        if self.stopping:
            await self._resign(commits)

    async def _resign(self, commits: committer.Committer) -> None:
        vacant = attrs.evolve(
            commits.record, host='', serial=commits.record.serial + 1
        )
        wanted = interfaces.Transaction(
            expects={committer.LEADER_KEY: commits.revision},
            puts={committer.LEADER_KEY: vacant.encode()},
        )
        try:
            await self.store.commit(wanted)
        except errors.JujubebendError as exc:
            logs.belief('resign_failed', why=str(exc))

    def _hear_silence(self, silence: float) -> None:
        """Take the leader's word that it cannot write to the store.

        A host that reads the store while the leader cannot write to it need
        not wait as long as for a leader that says nothing.
        """
        if silence > SILENT_TAKEOVER:
            self.moved_at = min(self.moved_at, clock.now() - TAKEOVER_AFTER)

    async def _greet(self) -> None:
        record = self.record
        self.greeted = False
        if record is None or not record.host:
            return
        if record.address == self.network.address:
            return
        try:
            greeting = await self.network.send_heartbeat(record.address)
        except errors.RefusedConnectionError:
            self._gone = True
            return
        except errors.JujubebendError:
            return
        if greeting.epoch == record.epoch:
            self._pause = greeting.pause
            self.leader_busy = greeting.busy
            self.greeted = greeting.speaks and (
                greeting.silence < SILENT_TAKEOVER
            )
            self._hear_silence(greeting.silence)
        elif greeting.epoch < record.epoch:
            self._gone = True
