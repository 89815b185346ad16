"""Leader election through the leader record in the store.

The leader rewrites the record with each commit. A host that sees it unchanged
for ``TAKEOVER_TIMEOUT_S`` claims it with the next epoch. The claim is a
compare-and-swap, so only one of several claims succeeds. Replacing a leader
that is still alive is safe: the store rejects its commits and the workers
reject its lower fencing token from then on. It only costs time.
"""

from __future__ import annotations

import asyncio
import random
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    committer,
    hostcapacity,
    interfaces,
    logs,
    peers,
)

TAKEOVER_TIMEOUT_S = 1.3  # two idle commit intervals of a leader
# Time since its last commit, as the leader reports it in a heartbeat reply.
MAX_REPORTED_SILENCE_S = 1.0
MIN_POLL_INTERVAL_S = 0.25  # between reads while no leader is known
# Age up to which a read counts as evidence that the record is unchanged. A read
# of a slow store takes 0.3 s.
MAX_READ_AGE_S = 0.9
POLL_INTERVAL_FACTOR = 0.5  # times the heartbeat interval the leader asked for
# Between reads of the record while the leader answers heartbeats.
CONNECTED_POLL_INTERVAL_S = 3.0
INTERVAL_JITTER = (0.8, 1.1)  # factors; keep the hosts from reading in step
CLAIM_JITTER_S = 0.05  # spreads the claims of equally capable hosts
# Claim delay of a host that can lead with one core; half as long with two.
CLAIM_DELAY_CORE_SECONDS = 0.15
MAX_CLAIM_DELAY_S = 1.5  # of a host that can hardly lead
# By how much the best successors go before the other hosts: the time in which
# they have noticed that the leader failed.
PRECEDENCE_S = 1.0


@attrs.define(eq=False)
class Elector:
    """Follows the leader record and claims it when the leader has failed.

    ``run_term`` runs one term of this host. ``record`` is the leader record as
    last read at ``record_read_at``; None if there is none.
    ``record_changed_at`` is when its ``revision`` was last seen to change.
    """

    store: interfaces.Store
    peer_client: peers.PeerClient
    run_term: abc.Callable[[committer.Committer], abc.Awaitable[None]]
    capacity: hostcapacity.HostCapacity = hostcapacity.HostCapacity()
    record: committer.LeaderRecord | None = None
    revision: int = 0
    record_changed_at: float = 0
    is_leader_reachable: bool = False
    is_leader_busy: bool = False
    is_leading: bool = False
    is_stopping: bool = False
    record_read_at: float = 0
    _heartbeat_interval_s: float = peers.HEARTBEAT_INTERVAL_S
    _has_leader_failed: bool = False
    _is_best_successor: bool = True

    @property
    def leader_address(self) -> str:
        """Return the address of the leader, empty if none is known."""
        return self.record.address if self.record else ''

    async def run(self) -> None:
        """Follow the record and claim it when due, until this host stops."""
        next_read_at = self.record_changed_at
        while not self.is_stopping:
            now = clock.now()
            if now >= next_read_at or not self.is_leader_reachable:
                await self._read_record()
                next_read_at = clock.now() + CONNECTED_POLL_INTERVAL_S
            if self._is_claimable():
                await asyncio.sleep(self._claim_delay_s())
                await self._claim_record()
                continue
            await self._send_heartbeat()
            interval = (
                self._heartbeat_interval_s
                if self.is_leader_reachable
                else self._poll_interval_s()
            )
            await asyncio.sleep(interval * random.uniform(*INTERVAL_JITTER))

    def _poll_interval_s(self) -> float:
        """Return the interval between reads while no heartbeat is answered.

        In a large cluster only a few hosts read often. More readers would add
        load to a leader that is short of processor time.
        """
        return max(
            MIN_POLL_INTERVAL_S,
            self._heartbeat_interval_s * POLL_INTERVAL_FACTOR,
        )

    async def _read_record(self) -> None:
        try:
            item = await self.store.get(committer.LEADER_KEY)
        except (errors.RefusedError, errors.UnreachableError):
            # Without the store nobody knows whether the record still changes,
            # so the takeover timeout starts anew.
            self.record_changed_at = clock.now()
            return
        now = clock.now()
        self.record_read_at = now
        revision = item.revision if item else 0
        if item is None or item.body is None:
            self.record = None
        elif revision != self.revision:
            self._update_record(_parse_leader(item.body, revision))
        if revision != self.revision or not self.record_changed_at:
            self.revision = revision
            self.record_changed_at = now

    def _update_record(self, record: committer.LeaderRecord) -> None:
        if self.record is None or record.epoch != self.record.epoch:
            logs.belief('leader', leader=record.host, epoch=record.epoch)
            self._has_leader_failed = False
        self.record = record

    def _claim_delay_s(self) -> float:
        """Return how long to wait so that the most capable hosts claim first.

        A host that the leader did not count among its best successors lets
        those go first.
        """
        delay = min(
            MAX_CLAIM_DELAY_S, CLAIM_DELAY_CORE_SECONDS / self.capacity.leading
        )
        if not self._is_best_successor:
            delay += PRECEDENCE_S
        return delay + random.uniform(0, CLAIM_JITTER_S)

    def _is_claimable(self) -> bool:
        if self.is_stopping or not self.record_read_at:
            return False
        record = self.record
        if record is None or not record.host:
            return True
        if (
            record.address == self.peer_client.address
            or self._has_leader_failed
        ):
            return True
        return clock.now() - self.record_changed_at > TAKEOVER_TIMEOUT_S and (
            clock.now() - self.record_read_at < MAX_READ_AGE_S
        )

    async def _claim_record(self) -> None:
        epoch = self.record.epoch + 1 if self.record else 1
        own_record = committer.LeaderRecord(
            self.peer_client.host, self.peer_client.address, epoch, 0
        )
        transaction = interfaces.Transaction(
            expects={committer.LEADER_KEY: self.revision},
            puts={committer.LEADER_KEY: own_record.encode()},
        )
        sent_at = clock.now()
        try:
            revision = await self.store.commit(transaction)
        except (
            errors.ConflictError,
            errors.RefusedError,
            errors.UnreachableError,
        ) as exc:
            # If the claim was applied and only its answer lost, the next read
            # finds this host's own record, which is claimed again with a new
            # epoch.
            logs.belief('claim_failed', epoch=epoch, why=str(exc))
            self._has_leader_failed = False
            self.record_changed_at = clock.now()
            await asyncio.sleep(MIN_POLL_INTERVAL_S)
            await self._read_record()
            return
        self.record = own_record
        self.revision = revision
        term_committer = committer.Committer(
            self.store, own_record, revision, sent_at
        )
        self.is_leading = True
        try:
            await self.run_term(term_committer)
        finally:
            self.is_leading = False
            self.record_changed_at = clock.now()
        if self.is_stopping:
            await self._resign(term_committer)

    async def _resign(self, term_committer: committer.Committer) -> None:
        vacant_record = attrs.evolve(
            term_committer.record,
            host='',
            serial=term_committer.record.serial + 1,
        )
        transaction = interfaces.Transaction(
            expects={committer.LEADER_KEY: term_committer.revision},
            puts={committer.LEADER_KEY: vacant_record.encode()},
        )
        try:
            await self.store.commit(transaction)
        except errors.JujubebendError as exc:
            logs.belief('resign_failed', why=str(exc))

    def _handle_reported_silence(self, silence_s: float) -> None:
        """Skip the takeover timeout if the leader cannot write to the store.

        A leader reports the time since its last commit. A host that can read
        the store need not wait as long as for a leader that does not reply.
        """
        if silence_s > MAX_REPORTED_SILENCE_S:
            self.record_changed_at = min(
                self.record_changed_at, clock.now() - TAKEOVER_TIMEOUT_S
            )

    async def _send_heartbeat(self) -> None:
        record = self.record
        self.is_leader_reachable = False
        if record is None or not record.host:
            return
        if record.address == self.peer_client.address:
            return
        try:
            reply = await self.peer_client.send_heartbeat(record.address)
        except errors.RefusedConnectionError:
            self._has_leader_failed = True
            return
        except errors.JujubebendError:
            return
        if reply.epoch == record.epoch:
            self._heartbeat_interval_s = reply.pause
            self._is_best_successor = reply.successor
            self.is_leader_busy = reply.busy
            self.is_leader_reachable = reply.speaks and (
                reply.silence < MAX_REPORTED_SILENCE_S
            )
            self._handle_reported_silence(reply.silence)
        elif reply.epoch < record.epoch:
            self._has_leader_failed = True


def _parse_leader(body: bytes, revision: int) -> committer.LeaderRecord:
    """Parse the leader record; one that is damaged names no leader.

    Its epoch is then taken from the store's revision, which has risen with
    each former epoch, so that the next leader's fencing tokens are higher than
    those of every former one.
    """
    try:
        return committer.parse_leader(body)
    except errors.MalformedReplyError as exc:
        logs.belief('leader_record_damaged', revision=revision, why=str(exc))
        return committer.LeaderRecord('', '', epoch=revision, serial=0)
