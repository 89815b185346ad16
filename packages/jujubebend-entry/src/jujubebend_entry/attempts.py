"""Attempts of recorded work, with a write-ahead intent for each start.

No attempt is started before its intent is in the journal. An intent without
a recorded outcome is settled: its worker is asked until its report decides
the outcome.
"""

from __future__ import annotations

import asyncio
import time
import typing
from collections import abc

import attrs
import eliot

from jujubebend import errors, intent, outcome, records
from jujubebend_entry import (
    background,
    callerapi,
    dispatcher,
    grants,
    largeanswers,
    shard,
)

INSPECT_INTERVAL_SECONDS = 1.0
REINSPECT_DELAY_SECONDS = 10.0


class WorkerLocator(typing.Protocol):
    """Finds the owners of workers, inspects attempts, detects lost workers."""

    async def inspect(
        self, intents: list[intent.Intent]
    ) -> dict[str, tuple[str, dict[str, str] | None]]:
        """Return the verdict and outcome by attempt.

        Attempts whose worker cannot be asked are left out.
        """

    def find_owner(self, worker: str) -> str:
        """Return the entry host that should own a worker, or '' if none."""

    def is_lost(self, worker: str) -> bool:
        """Return whether a worker has been gone too long to run anything."""


@attrs.frozen
class Launch:
    """A task and the grant under which it starts."""

    task: str
    work: dispatcher.Work
    grant: grants.Grant


@attrs.define(eq=False)
class Attempts:
    """The attempts of the tasks recorded in one held shard."""

    shard: shard.Shard
    dispatcher: dispatcher.Dispatcher
    locator: WorkerLocator
    _outcome_futures: dict[str, asyncio.Future] = attrs.field(factory=dict)
    _launching: set[str] = attrs.field(factory=set)
    _inspect_after: dict[str, float] = attrs.field(factory=dict)
    _complete_outcomes: dict[str, dict[str, str]] = attrs.field(factory=dict)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the entries that are written to the journal."""
        self.shard.on_applied = self._on_entry_applied

    async def launch(
        self,
        record_id: str,
        launches: list[Launch],
        preceding_entries: abc.Sequence[records.Entry] = (),
    ) -> list[asyncio.Future[outcome.Outcome]]:
        """Write the intents of attempts in one commit, then start them.

        ``preceding_entries`` are written before the intents in the same
        commit. If the intents cannot be written, the grants are released and
        the error is raised. Returns a future for each attempt, which gets the
        outcome once it is recorded.
        """
        attempt_ids = {launch.grant.id for launch in launches}
        self._launching |= attempt_ids
        try:
            await self._write_intents(record_id, launches, preceding_entries)
            outcome_futures = [
                self._get_outcome_future(launch.grant.id) for launch in launches
            ]
            starts = (
                self._start_attempt(record_id, launch) for launch in launches
            )
            await asyncio.gather(*starts)
        finally:
            self._launching -= attempt_ids
        return outcome_futures

    async def settle(
        self, attempt: str, outcome_fields: dict[str, str]
    ) -> bool:
        """Record the outcome of an attempt that its owner reports.

        Returns whether the owner may forget the attempt: it is not open or
        its outcome has been recorded. Empty ``outcome_fields`` report an
        attempt that runs; the owner stops it if it may be forgotten.

        An attempt that is not open here may be one of the next holder's, so
        it may be forgotten only if this host turns out to hold the shard.
        """
        location = self.shard.records.by_attempt.get(attempt)
        if location is None:
            return await self._verify_held()
        if not outcome_fields:
            self._inspect_after[attempt] = _now() + REINSPECT_DELAY_SECONDS
            return False
        record_id, task = location
        try:
            await self.record_end(record_id, task, attempt, outcome_fields)
        except errors.JujubebendError:
            return False
        return True

    async def record_end(
        self,
        record_id: str,
        task: str,
        attempt: str,
        outcome_fields: dict[str, str],
    ) -> None:
        """Record an outcome; its future is resolved once it is written."""
        record = self.shard.records.by_id[record_id]
        is_final = callerapi.is_final(
            record, task, outcome.from_fields(outcome_fields)
        )
        recorded = outcome_fields
        if is_final:
            recorded = await largeanswers.store_large_answer(
                self.shard.store, attempt, outcome_fields
            )
        entry = records.Ended(
            record_id, task, attempt, recorded, is_final, time.time()
        )
        self._complete_outcomes[attempt] = outcome_fields
        await self.shard.commit(entry)

    async def _verify_held(self) -> bool:
        """Return whether a write to the journal shows that the shard is held.

        A host that was replaced as the holder only notices it by a write.
        """
        try:
            await self.shard.commit()
        except errors.JujubebendError:
            return False
        return True

    def _on_entry_applied(self, entry: records.Entry) -> None:
        """Resolve the future of an outcome that is now in the journal."""
        if not isinstance(entry, records.Ended):
            return
        self._inspect_after.pop(entry.attempt, None)
        outcome_fields = self._complete_outcomes.pop(
            entry.attempt, entry.outcome
        )
        future = self._outcome_futures.pop(entry.attempt, None)
        if future is not None and not future.done():
            future.set_result(outcome.from_fields(outcome_fields))

    def wait_outcome(self, attempt: str) -> asyncio.Future[outcome.Outcome]:
        """Return a future of the outcome of an open attempt."""
        return self._get_outcome_future(attempt)

    async def inspect_forever(self) -> None:
        """Settle intents without a recorded outcome, until cancelled."""
        while True:
            due_intents = [
                (record_id, task, open_intent)
                for record_id, task, open_intent in self._open_intents()
                if self._is_inspection_due(open_intent.attempt)
            ]
            if due_intents:
                await self._inspect_and_settle(due_intents)
            await asyncio.sleep(INSPECT_INTERVAL_SECONDS)

    async def stop_record(self, record_id: str) -> None:
        """Stop every open attempt of a record."""
        record = self.shard.records.by_id.get(record_id)
        if record is None:
            return
        open_intents = [
            task.intent
            for task in record.tasks.values()
            if task.intent is not None
        ]
        stops = (self.stop_attempt(open_intent) for open_intent in open_intents)
        await asyncio.gather(*stops)

    async def stop_attempt(self, open_intent: intent.Intent) -> None:
        """Ask the owner of an attempt's worker to stop it; log a failure."""
        host = self.locator.find_owner(open_intent.worker)
        if not host:
            return
        try:
            await self.dispatcher.stop(
                host, open_intent.worker, open_intent.attempt, checkpoint=False
            )
        except errors.JujubebendError as exc:
            eliot.log_message(
                'attempt:not-stopped',
                attempt=open_intent.attempt,
                error=str(exc),
            )

    async def close(self) -> None:
        """Fail the waiting futures, as this host no longer holds the shard."""
        await self._group.close()
        for future in self._outcome_futures.values():
            if not future.done():
                future.set_exception(
                    errors.FencedError('this host no longer holds the shard'),
                )
                # Marks the exception as retrieved: asyncio would log one that
                # nothing awaits.
                future.exception()
        self._outcome_futures.clear()

    def _open_intents(self) -> list[tuple[str, str, intent.Intent]]:
        return self.shard.records.open_intents()

    def _get_outcome_future(
        self, attempt: str
    ) -> asyncio.Future[outcome.Outcome]:
        future = self._outcome_futures.get(attempt)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._outcome_futures[attempt] = future
        return future

    async def _write_intents(
        self,
        record_id: str,
        launches: list[Launch],
        preceding_entries: abc.Sequence[records.Entry],
    ) -> None:
        entries = [
            records.Intended(record_id, launch.task, _to_intent(launch.grant))
            for launch in launches
        ]
        try:
            await self.shard.commit(*preceding_entries, *entries)
            self._check_recorded(launches)
        except BaseException:
            for launch in launches:
                self._group.spawn(self.dispatcher.release(launch.grant))
            raise

    def _check_recorded(self, launches: list[Launch]) -> None:
        """Raise unless every intent is now the open one of its task.

        An earlier commit that timed out may still have been written first.
        The records then ignore the later intent.
        """
        by_attempt = self.shard.records.by_attempt
        if not all(launch.grant.id in by_attempt for launch in launches):
            raise errors.RefusedError(
                'another attempt of the task was recorded first'
            )

    async def _start_attempt(self, record_id: str, launch: Launch) -> None:
        grant = launch.grant
        start_result = await self.dispatcher.start(
            grant, launch.work, self.shard.name
        )
        if start_result is None:
            self._inspect_after[grant.id] = _now() + REINSPECT_DELAY_SECONDS
            return
        if isinstance(start_result, outcome.Unknown):
            return
        eliot.log_message(
            'attempt:not-started',
            attempt=grant.id,
            worker=grant.worker,
            reason=start_result.reason,
        )
        outcome_fields = outcome.to_fields(start_result)
        await self.record_end(record_id, launch.task, grant.id, outcome_fields)

    def _is_inspection_due(self, attempt: str) -> bool:
        if attempt in self._launching:
            return False
        return _now() >= self._inspect_after.get(attempt, 0)

    async def _inspect_and_settle(
        self, due_intents: list[tuple[str, str, intent.Intent]]
    ) -> None:
        reports = await self.locator.inspect([
            open_intent for _, _, open_intent in due_intents
        ])
        for record_id, task, open_intent in due_intents:
            outcome_fields = self._conclude_outcome(
                open_intent, reports.get(open_intent.attempt)
            )
            if outcome_fields is None:
                continue
            try:
                await self.record_end(
                    record_id, task, open_intent.attempt, outcome_fields
                )
            except errors.JujubebendError:
                return

    def _conclude_outcome(
        self,
        open_intent: intent.Intent,
        report: tuple[str, dict[str, str] | None] | None,
    ) -> dict[str, str] | None:
        """Return the outcome that follows from a report, or None if none does.

        Without a report, only the loss of the worker decides the outcome.
        """
        if report is None:
            if self.locator.is_lost(open_intent.worker):
                unknown = outcome.Unknown('the worker is gone')
                return outcome.to_fields(unknown)
            return None
        verdict, outcome_fields = report
        match intent.Verdict(verdict):
            case intent.Verdict.ENDED:
                return outcome_fields
            case intent.Verdict.NEVER_RAN:
                not_run = outcome.NotRun('the worker did not receive the start')
                return outcome.to_fields(not_run)
            case intent.Verdict.UNKNOWN:
                unknown = outcome.Unknown(
                    'the worker restarted before it reported an outcome'
                )
                return outcome.to_fields(unknown)
            case _:
                inspect_after = _now() + REINSPECT_DELAY_SECONDS
                self._inspect_after[open_intent.attempt] = inspect_after
                return None


def _to_intent(grant: grants.Grant) -> intent.Intent:
    return intent.Intent(grant.id, grant.worker, grant.boot, grant.epoch)


def _now() -> float:
    return asyncio.get_running_loop().time()
