"""Writes submitted jobs and cancellations to the store.

A write that the store refused has had no effect. A write without an answer
is repeated, under a condition that lets it take effect only once, until the
caller's deadline. If there is no answer by then, its outcome is unknown.
"""

from __future__ import annotations

import asyncio
import enum
import math
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    committer,
    elector,
    interfaces,
    keys,
    logs,
    peers,
)

RETRY_PAUSE_S = 0.08
ATTEMPT_TIMEOUT_S = 0.6  # a store slowed down 60 times takes 0.34 s
PROBE_INTERVAL_S = 0.3  # between attempts through an unresponsive leader
STORE_PROBE_INTERVAL_S = 0.2  # between reads of an unresponsive store


class WriteOutcome(enum.Enum):
    """Outcome of a write."""

    STORED = 'stored'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'


@attrs.define(eq=False)
class _Path:
    """A path to the store; an unresponsive one is only probed at intervals.

    With an infinite ``probe_interval_s`` no write probes it: what else finds
    that the store responds clears ``is_unresponsive``.
    """

    probe_interval_s: float = PROBE_INTERVAL_S
    is_unresponsive: bool = False
    next_probe_at: float = 0

    def admit_attempt(self) -> bool:
        """Return whether to use the path now; if so, count it as a probe."""
        now = clock.now()
        if self.is_unresponsive and now < self.next_probe_at:
            return False
        self.next_probe_at = now + self.probe_interval_s
        return True


@attrs.define(eq=False)
class JobWriter:
    """Stores jobs and cancellations within their callers' deadlines.

    A ``deadline`` is a time of ``clock.now()``, in seconds.

    While the store does not respond, a write that has not been sent is
    refused at once: it has had no effect, and its caller may retry. ``run``
    finds out by reads when the store responds again: a write would leave the
    outcome unknown to its caller, on each of the hosts.
    """

    store: interfaces.Store
    peer_client: peers.PeerClient
    elector: elector.Elector
    _direct_path: _Path = attrs.field(factory=lambda: _Path(math.inf))
    _leader_paths: dict[str, _Path] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Probe the store while it does not respond, until cancelled."""
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(STORE_PROBE_INTERVAL_S)
                if self._direct_path.is_unresponsive:
                    probes.create_task(self._probe_store())

    async def create(
        self, job: str, body: bytes, deadline: float
    ) -> WriteOutcome:
        """Write a job unless it exists; an existing job keeps its body."""
        is_unknown = False
        while clock.now() < deadline:
            outcome = await self._create_once(job, body, deadline)
            if outcome is WriteOutcome.STORED:
                return outcome
            is_unknown = is_unknown or outcome is WriteOutcome.UNKNOWN
            if not is_unknown:
                return outcome
            await asyncio.sleep(
                min(RETRY_PAUSE_S, max(0, deadline - clock.now()))
            )
        return WriteOutcome.UNKNOWN if is_unknown else WriteOutcome.REFUSED

    async def cancel(self, job: str, deadline: float) -> WriteOutcome:
        """Record the cancellation of a job if the job exists."""
        outcome = WriteOutcome.REFUSED
        while clock.now() < deadline:
            try:
                return await self._cancel_once(job)
            except (errors.RefusedError, errors.NotSentError) as exc:
                logs.decision('cancel_refused', job=job, why=str(exc))
            except errors.UnreachableError:
                # This attempt may still take effect, whatever the outcome
                # of later ones.
                outcome = WriteOutcome.UNKNOWN
            await asyncio.sleep(
                min(RETRY_PAUSE_S, max(0, deadline - clock.now()))
            )
        return outcome

    async def _create_once(
        self, job: str, body: bytes, deadline: float
    ) -> WriteOutcome:
        write = create_job(self.store, job, body)
        direct_outcome = await self._attempt_write(
            self._direct_path, write, deadline
        )
        if direct_outcome is WriteOutcome.STORED:
            return direct_outcome
        leader_address = self.elector.leader_address
        if not leader_address or leader_address == self.peer_client.address:
            return direct_outcome
        # The leader may reach a store that refuses this host.
        relayed_write = self.peer_client.store_job(leader_address, job, body)
        leader_path = self._leader_paths.setdefault(leader_address, _Path())
        relayed_outcome = await self._attempt_write(
            leader_path, relayed_write, deadline
        )
        if (
            WriteOutcome.UNKNOWN in {direct_outcome, relayed_outcome}
            and relayed_outcome is not WriteOutcome.STORED
        ):
            return WriteOutcome.UNKNOWN
        return relayed_outcome

    async def _probe_store(self) -> None:
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await self.store.get(committer.LEADER_KEY)
        except (errors.RefusedError, errors.MalformedReplyError) as exc:
            logs.dependency('store', lost=True, why=str(exc))
        except (errors.UnreachableError, TimeoutError):
            return
        # The store has answered, if only to refuse.
        self._direct_path.is_unresponsive = False

    async def _attempt_write(
        self, path: _Path, write: abc.Coroutine, deadline: float
    ) -> WriteOutcome:
        remaining = deadline - clock.now()
        if remaining <= 0 or not path.admit_attempt():
            write.close()
            return WriteOutcome.REFUSED
        try:
            async with asyncio.timeout(min(remaining, ATTEMPT_TIMEOUT_S)):
                await write
        except (errors.RefusedError, errors.NotSentError):
            return WriteOutcome.REFUSED
        except (errors.UnreachableError, TimeoutError):
            path.is_unresponsive = True
            return WriteOutcome.UNKNOWN
        path.is_unresponsive = False
        return WriteOutcome.STORED

    async def _cancel_once(self, job: str) -> WriteOutcome:
        key = keys.job(job)
        item = await self.store.get(key)
        if item is None:
            return WriteOutcome.NO_SUCH_JOB
        transaction = interfaces.Transaction(
            expects={key: item.revision}, puts={keys.cancel(job): b'1'}
        )
        try:
            await self.store.commit(transaction)
        except errors.ConflictError:
            # A job's record never changes, so the job has ended.
            return WriteOutcome.NO_SUCH_JOB
        return WriteOutcome.STORED


async def create_job(store: interfaces.Store, job: str, body: bytes) -> bool:
    """Write a job that must not exist; return False if it does.

    Of an ended job only the progress stays stored. It prevents a late copy of
    the submission from running the job again.
    """
    key = keys.job(job)
    transaction = interfaces.Transaction(
        expects={key: 0, keys.progress(job): 0}, puts={key: body}
    )
    try:
        await store.commit(transaction)
    except errors.ConflictError:
        return False
    return True
