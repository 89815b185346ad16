"""Requests that run at most once, each under a key of its caller."""

from __future__ import annotations

import asyncio
import http
import time

import attrs

from jujubebend import errors, outcome, records, retry
from jujubebend_entry import (
    attempts,
    callerapi,
    dispatcher,
    largeanswers,
    tasks,
)
from jujubebend_http import httpmessage

TASK = 'run'
MISMATCH = 'the key was used before with another body; choose a new key'


@attrs.define(eq=False)
class _Flight:
    digest: str
    task: asyncio.Task


@attrs.define(eq=False)
class KeyedRequests:
    """The keyed requests of one held shard.

    All that come with one key share one flight and get one answer.
    """

    attempts: attempts.Attempts
    _flights: dict[str, _Flight] = attrs.field(factory=dict)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    async def serve(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> httpmessage.Reply:
        """Run a request, join it, or repeat its answer.

        Raises ``errors.FencedError`` when another host holds the shard.
        """
        known = self._known_digest(record_id)
        if known and known != digest:
            return httpmessage.problem_reply(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                MISMATCH,
                outcome='not_run',
            )
        flight = self._flights.get(record_id)
        if flight is None:
            task = self._group.spawn(self._run(record_id, digest, work))
            flight = _Flight(digest, task)
            self._flights[record_id] = flight
            task.add_done_callback(
                lambda _: self._flights.pop(record_id, None),
            )
        return callerapi.outcome_reply(await self._join(flight, work.deadline))

    def in_flight(self) -> int:
        """Return how many requests are being run."""
        return len(self._flights)

    def describe(self) -> dict[str, str]:
        """Return the keys in flight and where each one is."""
        return {
            record_id: _where(flight.task)
            for record_id, flight in self._flights.items()
        }

    async def close(self) -> None:
        """Stop; the journal keeps what was begun."""
        await self._group.close()

    async def _join(self, flight: _Flight, deadline: float) -> outcome.Outcome:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(flight.task)
        except TimeoutError:
            return outcome.Unknown('it goes on; ask again with the same key')
        except asyncio.CancelledError:
            if flight.task.cancelled():
                raise errors.FencedError('the shard was given up') from None
            raise

    def _known_digest(self, record_id: str) -> str:
        flight = self._flights.get(record_id)
        if flight is not None:
            return flight.digest
        record = self.attempts.shard.records.by_id.get(record_id)
        return '' if record is None else record.digest

    async def _run(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> outcome.Outcome:
        budget = retry.Budget()
        while True:
            ended = await self._run_once(record_id, digest, work)
            if not isinstance(ended, outcome.NotRun) or ended.retry_after:
                return ended
            if work.deadline <= _now() or not budget.spend_retry():
                return ended

    async def _run_once(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> outcome.Outcome:
        record = self.attempts.shard.records.by_id.get(record_id)
        if record is not None:
            task = record.tasks[TASK]
            if task.outcome is not None:
                kept = self.attempts.shard.store
                whole = await largeanswers.load_answer(kept, task.outcome)
                return outcome.from_record(whole)
            if task.intent is not None:
                return await self.attempts.wait_end(task.intent.attempt)
        if self.attempts.shard.is_full():
            return outcome.NotRun('its shard can record no more now', 5)
        try:
            return await self._attempt(record_id, digest, work)
        except errors.RefusedError as exc:
            return outcome.NotRun(exc.reason, exc.retry_after or 1)
        except errors.UnreachableError as exc:
            # No start left this host: an intent written late is settled as
            # one that never ran.
            return outcome.NotRun(str(exc), 2)

    async def _attempt(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> outcome.Outcome:
        grant = await self.attempts.dispatcher.place(work)
        accepted = records.Accepted(
            record_id, records.REQUEST, [TASK], '', digest, time.time()
        )
        launch = attempts.Launch(TASK, work, grant)
        ends = await self.attempts.launch(record_id, [launch], [accepted])
        return await ends[0]


def _where(task: asyncio.Task) -> str:
    """Return the innermost step that a task waits in."""
    awaited = task.get_coro()
    name = ''
    while awaited is not None and hasattr(awaited, 'cr_await'):
        name = awaited.cr_code.co_qualname
        awaited = awaited.cr_await
    return name


def _now() -> float:
    return asyncio.get_running_loop().time()
