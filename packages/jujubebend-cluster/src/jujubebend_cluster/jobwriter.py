"""Writes of callers' requests to the store, each with a true outcome.

What the store refused has not happened. What it left unanswered is asked
again, under a condition that lets it happen once, for as long as the caller
waits; if it is not settled by then, its outcome is unknown and said to be.
"""

from __future__ import annotations

import asyncio
import enum
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, elector, interfaces, keys, logs, peers

SETTLE_PAUSE = 0.08  # seconds between two attempts
ATTEMPT = 0.6  # seconds; a store that is slow by 60 times takes 0.34
OWN_PATH = ''  # the path that leads through no other host
PROBE_PAUSE = 0.3  # seconds between attempts at a store that is silent


class Outcome(enum.Enum):
    """What became of a write."""

    STORED = 'stored'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'


@attrs.define(eq=False)
class _Path:
    """A way to the store; one that is silent is tried only now and then."""

    silent: bool = False
    next_probe: float = 0

    def is_open(self) -> bool:
        """Say whether to try; takes the probe of a silent path."""
        now = clock.now()
        if self.silent and now < self.next_probe:
            return False
        self.next_probe = now + PROBE_PAUSE
        return True


@attrs.define(eq=False)
class JobWriter:
    """Stores jobs and cancels; ``due`` is when the caller gives up.

    While the store is silent, what was not yet sent is refused at once:
    it has surely not happened, and its caller may try again.
    """

    store: interfaces.Store
    network: peers.Peers
    election: elector.Elector
    _paths: dict[str, _Path] = attrs.field(factory=dict)

    async def create(self, job: str, body: bytes, due: float) -> Outcome:
        """Write a job unless it is known; the first writer's body stays."""
        unknown = False
        while clock.now() < due:
            outcome = await self._create_once(job, body, due)
            if outcome is Outcome.STORED:
                return outcome
            unknown = unknown or outcome is Outcome.UNKNOWN
            if not unknown:
                return outcome
            await asyncio.sleep(min(SETTLE_PAUSE, max(0, due - clock.now())))
        return Outcome.UNKNOWN if unknown else Outcome.REFUSED

    async def cancel(self, job: str, due: float) -> Outcome:
        """Record that a job is cancelled, if it is known."""
        outcome = Outcome.REFUSED
        while clock.now() < due:
            try:
                return await self._cancel_once(job)
            except (errors.RefusedError, errors.NotSentError) as exc:
                logs.decision('cancel_refused', job=job, why=str(exc))
            except errors.UnreachableError:
                # This attempt may still be carried out, whatever the next
                # ones bring.
                outcome = Outcome.UNKNOWN
            await asyncio.sleep(min(SETTLE_PAUSE, max(0, due - clock.now())))
        return outcome

    async def _create_once(self, job: str, body: bytes, due: float) -> Outcome:
        write = create_job(self.store, job, body)
        direct = await self._try(OWN_PATH, write, due)
        if direct is Outcome.STORED:
            return direct
        leader = self.election.leader
        if not leader or leader == self.network.address:
            return direct
        # The leader may reach a store that turns this host away.
        relayed = self.network.store(leader, job, body)
        other = await self._try(leader, relayed, due)
        if Outcome.UNKNOWN in {direct, other} and other is not Outcome.STORED:
            return Outcome.UNKNOWN
        return other

    async def _try(
        self, name: str, write: abc.Coroutine, due: float
    ) -> Outcome:
        path = self._paths.setdefault(name, _Path())
        left = due - clock.now()
        if left <= 0 or not path.is_open():
            write.close()
            return Outcome.REFUSED
        try:
            async with asyncio.timeout(min(left, ATTEMPT)):
                await write
        except (errors.RefusedError, errors.NotSentError):
            return Outcome.REFUSED
        except (errors.UnreachableError, TimeoutError):
            path.silent = True
            return Outcome.UNKNOWN
        path.silent = False
        return Outcome.STORED

    async def _cancel_once(self, job: str) -> Outcome:
        key = keys.job(job)
        item = await self.store.get(key)
        if item is None:
            return Outcome.NO_SUCH_JOB
        wanted = interfaces.Transaction(
            expects={key: item.revision}, puts={keys.cancel(job): b'1'}
        )
        try:
            await self.store.commit(wanted)
        except errors.ConflictError:
            # A job's record never changes: the job is over by now.
            return Outcome.NO_SUCH_JOB
        return Outcome.STORED


async def create_job(store: interfaces.Store, job: str, body: bytes) -> bool:
    """Write a job that must not be known; False if it is.

    Once a job is over only its progress is left, which keeps a late copy of
    its submission from running it again.
    """
    key = keys.job(job)
    wanted = interfaces.Transaction(
        expects={key: 0, keys.progress(job): 0}, puts={key: body}
    )
    try:
        await store.commit(wanted)
    except errors.ConflictError:
        return False
    return True
