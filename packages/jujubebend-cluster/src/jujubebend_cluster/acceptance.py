"""Writes of callers' requests to the store, each with a true outcome.

What the store refused has not happened. What it left unanswered is asked
again, under a condition that lets it happen once, for as long as the caller
waits; if it is not settled by then, its outcome is unknown and said to be.
"""

from __future__ import annotations

import asyncio
import enum

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, elector, keys, logs, peers, ports

SETTLE_PAUSE = 0.08  # seconds between two attempts


class Outcome(enum.Enum):
    """What became of a write."""

    STORED = 'stored'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'


@attrs.define(eq=False)
class Acceptance:
    """Stores jobs and cancels; ``due`` is when the caller gives up."""

    store: ports.Store
    network: peers.Peers
    election: elector.Elector

    async def create(self, key: str, body: bytes, due: float) -> Outcome:
        """Write a key unless it exists; the first writer's body stays."""
        unknown = False
        while clock.now() < due:
            outcome = await self._create_once(key, body, due)
            if outcome is Outcome.STORED:
                return outcome
            unknown = unknown or outcome is Outcome.UNKNOWN
            if not unknown:
                return outcome
            await asyncio.sleep(SETTLE_PAUSE)
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
            await asyncio.sleep(SETTLE_PAUSE)
        return outcome

    async def _create_once(self, key: str, body: bytes, due: float) -> Outcome:
        wanted = ports.Transaction(expects={key: 0}, puts={key: body})
        try:
            async with asyncio.timeout(due - clock.now()):
                await self.store.commit(wanted)
        except errors.ConflictError:
            return Outcome.STORED
        except (errors.RefusedError, errors.NotSentError):
            return await self._create_elsewhere(key, body)
        except (errors.UnreachableError, TimeoutError):
            elsewhere = await self._create_elsewhere(key, body)
            if elsewhere is not Outcome.STORED:
                return Outcome.UNKNOWN
        return Outcome.STORED

    async def _create_elsewhere(self, key: str, body: bytes) -> Outcome:
        """Have the leader write the key: it may reach a store we do not."""
        leader = self.election.leader
        if not leader or leader == self.network.address:
            return Outcome.REFUSED
        try:
            await self.network.store(leader, key, body)
        except (errors.RefusedError, errors.NotSentError):
            return Outcome.REFUSED
        except errors.UnreachableError:
            return Outcome.UNKNOWN
        return Outcome.STORED

    async def _cancel_once(self, job: str) -> Outcome:
        key = keys.job(job)
        item = await self.store.get(key)
        if item is None:
            return Outcome.NO_SUCH_JOB
        wanted = ports.Transaction(
            expects={key: item.revision}, puts={keys.cancel(job): b'1'}
        )
        try:
            await self.store.commit(wanted)
        except errors.ConflictError:
            # A job's record never changes: it was forgotten meanwhile.
            return Outcome.NO_SUCH_JOB
        return Outcome.STORED
