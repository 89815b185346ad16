"""A worker with late and lost calls that records when its runs began and ended."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, interfaces
from tests import fakecluster

DELAYS_S = (0, 0, 0, 0, 0, 0.05, 0.3, 0.6, 1.2)  # each as likely
LATE_CALL_DELAYS_S = (0.5, 4)
LATE_CALL_RATE = 0.1
ORDER_TIMEOUT_S = 0.7
STEP_S = 0.02  # of a renewal that waits for the end of a run


@attrs.frozen(order=True)
class RecordedRun:
    """A run as its worker saw it; an active one ends at the time of the list."""

    started_at: float
    ended_at: float
    worker: str
    incarnation: int
    number: int


@attrs.define(eq=False)
class FaultyWorker(fakecluster.Worker):
    """A worker whose calls are bound to incarnations, and are late or lost.

    A call opens a connection, on which the present incarnation answers first;
    the call is carried out only if it is meant for that one. It ends with its
    incarnation. While ``is_faulty``, each step of a call may be late, and some
    calls are carried out after they timed out.

    ``done_at`` maps a task to the time at which the leader first acknowledged
    its end as done, under a lease that had not expired since the end.
    """

    rng: random.Random = attrs.field(factory=random.Random)
    is_faulty: bool = True
    done_at: dict = attrs.field(factory=dict)
    _intervals: dict = attrs.field(factory=dict)
    _expired_at: float = -1
    _late_calls: list = attrs.field(factory=list)

    def list_runs(self):
        """Return a row (task, run) for each run of all incarnations."""
        self._end_due_runs()
        now = clock.now()
        return [
            (
                task,
                RecordedRun(
                    started_at,
                    now if ended_at is None else ended_at,
                    self.name,
                    born,
                    number,
                ),
            )
            for (task, number, born), (
                started_at,
                ended_at,
            ) in self._intervals.items()
        ]

    async def start(self, order):
        async def call():
            return self.apply_start(order)

        answer = await self._call_bound(
            call, order.incarnation, ORDER_TIMEOUT_S
        )
        return answer or interfaces.OrderResult.RESTARTED

    async def stop(self, task, run, token, incarnation):
        async def call():
            return self.apply_stop(task, run, token)

        answer = await self._call_bound(call, incarnation, ORDER_TIMEOUT_S)
        return answer or interfaces.OrderResult.RESTARTED

    async def renew_leases(self, renewal):
        async def call():
            return await self._renew(renewal)

        if renewal.incarnation is not None:
            answer = await self._call_bound(
                call, renewal.incarnation, renewal.wait + ORDER_TIMEOUT_S
            )
            if answer is not None:
                return answer
        return await self._answer_status_call(renewal)

    def apply_start(self, order):
        self._note_expiry()
        count = len(self.started)
        order_result = super().apply_start(order)
        if len(self.started) > count:
            key = (order.task, order.run, self.born)
            self._intervals[key] = [clock.now(), None]
        return order_result

    def crash(self, *, restart=False):
        self._end_due_runs()
        for task, active in self.runs.items():
            self._record_end(task, active, clock.now())
        super().crash(restart=restart)

    async def _call_bound(self, call, incarnation, timeout):
        """Return the answer to a call, or None if it is meant for another."""
        try:
            async with asyncio.timeout(timeout):
                # Until a connection is open; the question is answered then.
                await self._delay()
                await self._simulate_call()
                born = self.born
                await self._delay()
                if born != incarnation:
                    return None
                return await self._call_on_connection(call, born, timeout)
        except TimeoutError:
            raise errors.UnreachableError('timed out') from None

    async def _call_on_connection(self, call, born, timeout):
        await self._delay()
        await self._simulate_call()
        self._check_connection(born)
        if self.rng.random() < LATE_CALL_RATE and self.is_faulty:
            late_call = asyncio.ensure_future(self._call_late(call, born))
            self._late_calls.append(late_call)
            await asyncio.sleep(timeout)
        answer = await call()
        self._check_connection(born)
        # An answer that has left arrives, whatever becomes of the worker.
        await self._delay()
        return answer

    async def _call_late(self, call, born):
        await asyncio.sleep(self.rng.uniform(*LATE_CALL_DELAYS_S))
        if self.born == born and not self.refuse:
            with contextlib.suppress(errors.UnreachableError):
                await call()

    async def _delay(self, share=1):
        seconds = self.rng.choice(DELAYS_S) if self.is_faulty else 0
        await asyncio.sleep(seconds * share)

    def _check_connection(self, born):
        if self.born != born:
            raise errors.UnreachableError('the connection is lost')

    async def _answer_status_call(self, renewal):
        await self._delay(0.5)
        await self._simulate_call()
        if renewal.token < self.token:
            return interfaces.OrderResult.FENCED
        self.token = renewal.token
        self._end_due_runs()
        status = self._build_status()
        await self._delay(0.5)
        return status

    async def _renew(self, renewal):
        if renewal.token < self.token:
            return interfaces.OrderResult.FENCED
        self.token = renewal.token
        self._end_due_runs()
        self._note_expiry()
        if renewal.until is not None:
            latest = self.clock() + fakecluster.MAX_LEASE_S
            self.leased_until = max(
                self.leased_until, min(renewal.until, latest)
            )
        self.acknowledged = max(self.acknowledged, renewal.acknowledged)
        self._note_acknowledged_ends()
        await self._wait_for_ends(self.born, clock.now() + renewal.wait)
        status = self._build_status()
        if renewal.list_runs:
            return status
        return attrs.evolve(status, running=None)

    async def _wait_for_ends(self, born, deadline):
        while True:
            self._check_connection(born)
            self._end_due_runs()
            self.ends = [
                end for end in self.ends if end.number > self.acknowledged
            ]
            if self.ends or clock.now() >= deadline:
                break
            await asyncio.sleep(STEP_S)

    def _note_expiry(self):
        if self.leased_until <= self.clock():
            self._expired_at = clock.now()

    def _note_acknowledged_ends(self):
        for end in self.ends:
            is_done = end.outcome is interfaces.RunOutcome.DONE
            # Once the lease has expired, the task may be started elsewhere.
            has_expired = self.ended_at[end.task, end.run] <= self._expired_at
            if is_done and not has_expired and end.number <= self.acknowledged:
                self.done_at.setdefault(end.task, clock.now())

    def _end_run(self, task, outcome, at):
        self._record_end(task, self.runs[task], at)
        super()._end_run(task, outcome, at)

    def _record_end(self, task, active, at):
        self._intervals[task, active.order.run, self.born][1] = at
