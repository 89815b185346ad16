"""At-most-once execution of requests with an idempotency key."""

from __future__ import annotations

import asyncio
import http
import time

import attrs

from jujubebend import errors, outcome, records, retry
from jujubebend_entry import (
    attempts,
    background,
    callerapi,
    dispatcher,
    largeanswers,
)
from jujubebend_http import httpmessage

TASK_NAME = 'run'
KEY_REUSED = 'the key was used before with another body; choose a new key'


@attrs.define(eq=False)
class _ActiveRun:
    digest: str
    task: asyncio.Task


@attrs.define(eq=False)
class KeyedRequests:
    """The keyed requests of one held shard.

    Requests that arrive with the same key share one run and get the same
    answer.
    """

    attempts: attempts.Attempts
    _active_runs: dict[str, _ActiveRun] = attrs.field(factory=dict)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    async def serve_request(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> httpmessage.Reply:
        """Run a request, join its current run, or return its recorded answer.

        Raises ``errors.FencedError`` if another host holds the shard.
        """
        known_digest = self._find_digest(record_id)
        if known_digest and known_digest != digest:
            return httpmessage.problem_reply(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                KEY_REUSED,
                outcome='not_run',
            )
        active_run = self._active_runs.get(record_id)
        if active_run is None:
            task = self._group.spawn(self._run_request(record_id, digest, work))
            active_run = _ActiveRun(digest, task)
            self._active_runs[record_id] = active_run
            task.add_done_callback(
                lambda _: self._active_runs.pop(record_id, None),
            )
        return callerapi.outcome_reply(
            await self._wait_for_outcome(active_run, work.deadline)
        )

    def count_in_flight(self) -> int:
        """Return the number of requests that are running."""
        return len(self._active_runs)

    def describe(self) -> dict[str, str]:
        """Return the coroutine that each running request waits in."""
        return {
            record_id: _innermost_coroutine(active_run.task)
            for record_id, active_run in self._active_runs.items()
        }

    async def close(self) -> None:
        """Cancel all runs; started requests stay in the journal."""
        await self._group.close()

    async def _wait_for_outcome(
        self, active_run: _ActiveRun, deadline: float
    ) -> outcome.Outcome:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(active_run.task)
        except TimeoutError:
            return outcome.Unknown(
                'still running at its deadline; repeat it with the same key'
            )
        except asyncio.CancelledError:
            if active_run.task.cancelled():
                raise errors.FencedError(
                    'this host no longer holds the shard'
                ) from None
            raise

    def _find_digest(self, record_id: str) -> str:
        active_run = self._active_runs.get(record_id)
        if active_run is not None:
            return active_run.digest
        record = self.attempts.shard.records.by_id.get(record_id)
        return '' if record is None else record.digest

    async def _run_request(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> outcome.Outcome:
        budget = retry.Budget()
        while True:
            run_outcome = await self._run_request_once(record_id, digest, work)
            if (
                not isinstance(run_outcome, outcome.NotRun)
                or run_outcome.retry_after
            ):
                return run_outcome
            if work.deadline <= _now() or not budget.spend_retry():
                return run_outcome

    async def _run_request_once(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> outcome.Outcome:
        record = self.attempts.shard.records.by_id.get(record_id)
        if record is not None:
            task = record.tasks[TASK_NAME]
            if task.outcome is not None:
                answer_store = self.attempts.shard.store
                complete_outcome = await largeanswers.load_answer(
                    answer_store, task.outcome
                )
                return outcome.from_fields(complete_outcome)
            if task.intent is not None:
                return await self.attempts.wait_outcome(task.intent.attempt)
        if self.attempts.shard.is_full():
            return outcome.NotRun('its shard has no space for new work', 5)
        try:
            return await self._place_and_launch(record_id, digest, work)
        except errors.RefusedError as exc:
            return outcome.NotRun(exc.reason, exc.retry_after or 1)
        except errors.UnreachableError as exc:
            # This host sent no start, so an intent that reaches the journal
            # late is settled as one that never ran.
            return outcome.NotRun(str(exc), 2)

    async def _place_and_launch(
        self, record_id: str, digest: str, work: dispatcher.Work
    ) -> outcome.Outcome:
        grant = await self.attempts.dispatcher.place(work)
        accepted = records.Accepted(
            record_id, records.REQUEST, [TASK_NAME], '', digest, time.time()
        )
        launch = attempts.Launch(TASK_NAME, work, grant)
        outcome_futures = await self.attempts.launch(
            record_id, [launch], [accepted]
        )
        return await outcome_futures[0]


def _innermost_coroutine(task: asyncio.Task) -> str:
    """Return the name of the innermost coroutine that a task awaits."""
    coroutine = task.get_coro()
    name = ''
    while coroutine is not None and hasattr(coroutine, 'cr_await'):
        name = coroutine.cr_code.co_qualname
        coroutine = coroutine.cr_await
    return name


def _now() -> float:
    return asyncio.get_running_loop().time()
