"""Attempts of recorded work: written before they start, settled after.

No attempt is started before its intent is in the journal. An intent without
an end is settled at its worker, until the worker's word makes it certain
what became of it.
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
    callerapi,
    dispatcher,
    grants,
    largeanswers,
    shard,
    tasks,
)

INSPECT_INTERVAL = 1.0
INSPECT_QUIET_INTERVAL = 10.0


class Locator(typing.Protocol):
    """Where workers are owned, and what the platform says of them."""

    async def inspect(
        self, intents: list[intent.Intent]
    ) -> dict[str, tuple[str, dict[str, str] | None]]:
        """Ask the owners; leave out what cannot be asked."""

    def owner_of(self, worker: str) -> str:
        """Return the entry host that should own a worker, or ''."""

    def is_lost(self, worker: str) -> bool:
        """Say whether a worker is gone for so long that nothing runs."""


@attrs.frozen
class Launch:
    """A task that has been given room."""

    task: str
    work: dispatcher.Work
    grant: grants.Grant


@attrs.define(eq=False)
class Attempts:
    """The attempts of one held shard."""

    shard: shard.Shard
    dispatcher: dispatcher.Dispatcher
    locator: Locator
    _ends: dict[str, asyncio.Future] = attrs.field(factory=dict)
    _launching: set[str] = attrs.field(factory=set)
    _sure: dict[str, float] = attrs.field(factory=dict)
    _whole: dict[str, dict[str, str]] = attrs.field(factory=dict)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    def __attrs_post_init__(self) -> None:
        """Follow what is written to the journal."""
        self.shard.on_applied = self._applied

    async def launch(
        self,
        record_id: str,
        launches: list[Launch],
        first: abc.Sequence[records.Entry] = (),
    ) -> list[asyncio.Future[outcome.Outcome]]:
        """Write the intents of attempts in one go, then start them.

        Room is given back when the intents cannot be written. The futures
        get each attempt's outcome once it is recorded.
        """
        attempts = {one.grant.id for one in launches}
        self._launching |= attempts
        try:
            await self._write_intents(record_id, launches, first)
            ends = [self._end_of(one.grant.id) for one in launches]
            starts = (self._start(record_id, one) for one in launches)
            await asyncio.gather(*starts)
        finally:
            self._launching -= attempts
        return ends

    async def settle(self, attempt: str, ended: dict[str, str]) -> bool:
        """Record the end of an attempt; say whether it may be forgotten.

        An empty ``ended`` asks whether a running attempt is still wanted:
        it may be forgotten, and so stopped, when it is not.
        """
        where = self.shard.records.by_attempt.get(attempt)
        if where is None:
            return True
        if not ended:
            self._sure[attempt] = _now() + INSPECT_QUIET_INTERVAL
            return False
        record_id, task = where
        try:
            await self.end(record_id, task, attempt, ended)
        except errors.JujubebendError:
            return False
        return True

    async def end(
        self, record_id: str, task: str, attempt: str, ended: dict[str, str]
    ) -> None:
        """Record an end; whoever waits for it is told once it is written."""
        record = self.shard.records.by_id[record_id]
        final = callerapi.is_final(record, task, outcome.from_record(ended))
        kept = ended
        if final:
            kept = await largeanswers.store_large_answer(
                self.shard.store, attempt, ended
            )
        entry = records.Ended(
            record_id, task, attempt, kept, final, time.time()
        )
        self._whole[attempt] = ended
        await self.shard.commit(entry)

    def _applied(self, entry: records.Entry) -> None:
        """Tell whoever waits for an end that is now in the journal."""
        if not isinstance(entry, records.Ended):
            return
        self._sure.pop(entry.attempt, None)
        ended = self._whole.pop(entry.attempt, entry.outcome)
        waiter = self._ends.pop(entry.attempt, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(outcome.from_record(ended))

    def wait_end(self, attempt: str) -> asyncio.Future[outcome.Outcome]:
        """Return a future of the outcome of an open attempt."""
        return self._end_of(attempt)

    async def inspect_forever(self) -> None:
        """Settle intents without an end, until cancelled."""
        while True:
            due = [
                (record_id, task, opened)
                for record_id, task, opened in self._open_intents()
                if self._is_due(opened.attempt)
            ]
            if due:
                await self._inspect(due)
            await asyncio.sleep(INSPECT_INTERVAL)

    async def stop(self, record_id: str) -> None:
        """Stop every open attempt of a record."""
        record = self.shard.records.by_id.get(record_id)
        if record is None:
            return
        opened = [
            task.intent
            for task in record.tasks.values()
            if task.intent is not None
        ]
        stops = (self.stop_one(one) for one in opened)
        await asyncio.gather(*stops)

    async def stop_one(self, opened: intent.Intent) -> None:
        """Ask the owner of a worker to stop an attempt there."""
        host = self.locator.owner_of(opened.worker)
        if not host:
            return
        try:
            await self.dispatcher.stop(
                host, opened.worker, opened.attempt, checkpoint=False
            )
        except errors.JujubebendError as exc:
            eliot.log_message(
                'attempt:not-stopped', attempt=opened.attempt, error=str(exc)
            )

    async def close(self) -> None:
        """Tell whoever waits that the shard is held elsewhere."""
        await self._group.close()
        for waiter in self._ends.values():
            if not waiter.done():
                waiter.set_exception(
                    errors.FencedError('the shard is held elsewhere'),
                )
                waiter.exception()
        self._ends.clear()

    def _open_intents(self) -> list[tuple[str, str, intent.Intent]]:
        return self.shard.records.open_intents()

    def _end_of(self, attempt: str) -> asyncio.Future[outcome.Outcome]:
        waiter = self._ends.get(attempt)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self._ends[attempt] = waiter
        return waiter

    async def _write_intents(
        self,
        record_id: str,
        launches: list[Launch],
        first: abc.Sequence[records.Entry],
    ) -> None:
        entries = [
            records.Intended(record_id, one.task, _to_intent(one.grant))
            for one in launches
        ]
        try:
            await self.shard.commit(*first, *entries)
            self._check_recorded(launches)
        except BaseException:
            for one in launches:
                self._group.spawn(self.dispatcher.release(one.grant))
            raise

    def _check_recorded(self, launches: list[Launch]) -> None:
        """Raise unless every intent is now the open one of its task.

        A write that an earlier try gave up on may have come first, and then
        the journal ignores the later intent.
        """
        known = self.shard.records.by_attempt
        if not all(one.grant.id in known for one in launches):
            raise errors.RefusedError('another attempt was recorded first')

    async def _start(self, record_id: str, launch: Launch) -> None:
        grant = launch.grant
        refused = await self.dispatcher.start(
            grant, launch.work, self.shard.name
        )
        if refused is None:
            self._sure[grant.id] = _now() + INSPECT_QUIET_INTERVAL
            return
        if isinstance(refused, outcome.Unknown):
            return
        eliot.log_message(
            'attempt:not-started',
            attempt=grant.id,
            worker=grant.worker,
            reason=refused.reason,
        )
        record = outcome.to_record(refused)
        await self.end(record_id, launch.task, grant.id, record)

    def _is_due(self, attempt: str) -> bool:
        if attempt in self._launching:
            return False
        return _now() >= self._sure.get(attempt, 0)

    async def _inspect(self, due: list[tuple[str, str, intent.Intent]]) -> None:
        reports = await self.locator.inspect([opened for _, _, opened in due])
        for record_id, task, opened in due:
            ended = self._conclude(opened, reports.get(opened.attempt))
            if ended is None:
                continue
            try:
                await self.end(record_id, task, opened.attempt, ended)
            except errors.JujubebendError:
                return

    def _conclude(
        self,
        opened: intent.Intent,
        report: tuple[str, dict[str, str] | None] | None,
    ) -> dict[str, str] | None:
        """Return the outcome of an attempt, or None while it has none."""
        if report is None:
            if self.locator.is_lost(opened.worker):
                gone = outcome.Unknown('its worker is gone')
                return outcome.to_record(gone)
            return None
        verdict, ended = report
        match intent.Verdict(verdict):
            case intent.Verdict.ENDED:
                return ended
            case intent.Verdict.NEVER_RAN:
                missed = outcome.NotRun('its worker never got it')
                return outcome.to_record(missed)
            case intent.Verdict.UNKNOWN:
                lost = outcome.Unknown('its worker was restarted')
                return outcome.to_record(lost)
            case _:
                quiet = _now() + INSPECT_QUIET_INTERVAL
                self._sure[opened.attempt] = quiet
                return None


def _to_intent(grant: grants.Grant) -> intent.Intent:
    return intent.Intent(grant.id, grant.worker, grant.boot, grant.epoch)


def _now() -> float:
    return asyncio.get_running_loop().time()
