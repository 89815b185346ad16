"""An in-memory store and workers with fault injection."""

from __future__ import annotations

import asyncio
import typing

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, interfaces, jobspec

CALL_LATENCY_S = 0.002
STOP_LATENCY_S = 0.5
CALL_TIMEOUT_S = 1.0  # until a call without an answer fails
MAX_LEASE_S = 6.0
MAX_LISTED_ENDS = 500  # in one status


@attrs.define(eq=False)
class Store:
    """A key-value store with revisions and faults.

    ``refuse`` refuses calls, ``mute`` leaves them without an answer, ``lose``
    is the number of commits to apply without an answer, and ``delay`` is in
    seconds. With ``hold_back`` the next commit goes to ``late`` instead of
    being applied; a test applies it later. ``calls`` counts calls.
    """

    data: dict = attrs.field(factory=dict)
    revision: int = 1
    history: list = attrs.field(factory=list)
    compacted_revision: int = 0
    refuse: bool = False
    mute: bool = False
    delay: float = 0
    lose: int = 0
    calls: int = 0
    late: list = attrs.field(factory=list)
    hold_back: bool = False
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def get(self, key):
        await self._simulate_call()
        return self.data.get(key)

    async def scan(self, prefix):
        await self._simulate_call()
        items = [
            item for key, item in self.data.items() if key.startswith(prefix)
        ]
        return items, self.revision

    async def watch(self, prefix, after, wait):
        deadline = clock.now() + wait
        while True:
            await self._simulate_call()
            if after < self.compacted_revision:
                raise errors.HistoryGoneError(prefix)
            changes = [
                item
                for item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]
            remaining = deadline - clock.now()
            if changes or remaining <= 0:
                return changes, self.revision
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def commit(self, transaction, timeout=CALL_TIMEOUT_S):
        try:
            async with asyncio.timeout(timeout):
                return await self._commit(transaction)
        except TimeoutError:
            raise errors.UnreachableError(
                f'no answer within {timeout} s'
            ) from None

    async def _commit(self, transaction):
        if self.hold_back:
            self.hold_back = False
            self.late.append(transaction)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise errors.UnreachableError('no answer')
        await self._simulate_call()
        self.apply(transaction)
        if self.lose:
            self.lose -= 1
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise errors.UnreachableError('the answer was lost')
        return self.revision

    def apply(self, transaction):
        for key, revision in transaction.expects.items():
            if self._revision_of(key) != revision:
                raise errors.ConflictError(key)
        self.revision += 1
        for key, body in transaction.puts.items():
            self._set_item(interfaces.Item(key, body, self.revision))
        for key in transaction.deletes:
            self._set_item(interfaces.Item(key, None, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()

    def _revision_of(self, key):
        item = self.data.get(key)
        return item.revision if item else 0

    def put(self, key, body):
        self.apply(interfaces.Transaction(puts={key: body}))

    def compact_history(self):
        self.compacted_revision = self.revision
        self.history.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def _set_item(self, item):
        self.history.append(item)
        if item.body is None:
            self.data.pop(item.key, None)
        else:
            self.data[item.key] = item

    async def _simulate_call(self):
        self.calls += 1
        await asyncio.sleep(CALL_LATENCY_S + self.delay)
        if self.mute:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise errors.UnreachableError('no answer')
        if self.refuse:
            raise errors.RefusedError('the store is busy')


@attrs.define(eq=False)
class _Run:
    order: interfaces.StartOrder
    ends_at: float
    started_at: float


@attrs.define(eq=False)
class Worker:
    """A worker whose tasks take ``seconds`` each.

    ``mute`` leaves calls without an answer, ``refuse`` refuses connections, calls
    raise ``call_error`` if it is set, and return ``refusal``. ``silent_renewals``
    is the number of renewals to leave without an answer, ``lose_starts`` that of
    starts that go to ``late_starts`` without one, ``lose_paces`` that of pace
    orders to lose. ``restarts_before_start`` makes the worker restart while the
    next start is under way, which is lost with its connection. ``no_ticket``
    refuses starts for want of a ticket. ``is_stalled`` stops the progress of all
    runs, ``reports_full_progress`` makes them report 100 percent, and ``fails``
    makes them fail. ``tail_latency_s`` returns the usage that runs report.

    ``born`` is the incarnation number. Calls that are meant for another one reach
    none. ``highest_runs`` maps a task to its highest run number, ``started`` lists
    each start as (task, run), and ``start_times`` as (task, run, time).
    """

    name: str
    seconds: float = 1.0
    cpu_milli: int = 32_000
    born: int = 1
    mute: bool = False
    refuse: bool = False
    call_error: Exception | None = None
    refusal: interfaces.OrderResult | None = None
    silent_renewals: float = 0
    is_stalled: bool = False
    reports_full_progress: bool = False
    fails: bool = False
    lose_starts: int = 0
    restarts_before_start: bool = False
    late_starts: list = attrs.field(factory=list)
    no_ticket: bool = False
    token: int = 0
    runs: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    highest_runs: dict = attrs.field(factory=dict)
    leased_until: float = 0
    acknowledged: int = 0
    started: list = attrs.field(factory=list)
    start_times: list = attrs.field(factory=list)
    ended_at: dict = attrs.field(factory=dict)
    started_at: float = 0
    last_end_number: int = 0
    pace_orders: dict = attrs.field(factory=dict)
    lose_paces: int = 0
    tail_latency_s: typing.Callable = lambda worker: 0

    def entry(self, state=interfaces.WorkerState.READY):
        return interfaces.WorkerEntry(
            worker=self.name,
            born=self.born,
            service='svc',
            address=self.name,
            zone='z',
            state=state,
            capacity=jobspec.Demand(self.cpu_milli, 64_000),
            labels=('a', 'r1'),
            rack='r1',
        )

    def clock(self):
        return clock.now() - self.started_at

    def crash(self, *, restart=False):
        """Lose all state; with ``restart`` a new incarnation starts at once."""
        self.runs.clear()
        self.ends.clear()
        self.highest_runs.clear()
        self.token = 0
        self.acknowledged = 0
        self.leased_until = 0
        self.last_end_number = 0
        self.started_at = clock.now()
        self.refuse = not restart
        self.born += restart

    async def start(self, order):
        await self._simulate_call()
        if self.refusal is not None:
            return self.refusal
        if order.incarnation != self.born:
            return interfaces.OrderResult.RESTARTED
        if self.restarts_before_start:
            self.restarts_before_start = False
            self.crash(restart=True)
            raise errors.UnreachableError('the connection is lost')
        if self.lose_starts:
            self.lose_starts -= 1
            self.late_starts.append(order)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise errors.UnreachableError('no answer')
        return self.apply_start(order)

    def apply_start(self, order):
        """Apply a start order, also one that arrives late.

        One for an earlier incarnation is lost with its connection.
        """
        if order.incarnation != self.born:
            raise errors.UnreachableError('the connection is lost')
        self._end_due_runs()
        if order.token < self.token:
            return interfaces.OrderResult.FENCED
        self.token = order.token
        if order.until <= self.clock():
            return interfaces.OrderResult.TOO_LATE
        active = self.runs.get(order.task)
        if active is not None and active.order.run == order.run:
            return interfaces.OrderResult.ACCEPTED
        if order.run <= self.highest_runs.get(order.task, 0):
            return interfaces.OrderResult.SUPERSEDED
        if self.no_ticket:
            return interfaces.OrderResult.NO_TICKET
        self.leased_until = max(
            self.leased_until, min(order.until, self.clock() + MAX_LEASE_S)
        )
        now = clock.now()
        self.highest_runs[order.task] = order.run
        self.runs[order.task] = _Run(order, now + self.seconds, now)
        self.started.append((order.task, order.run))
        self.start_times.append((order.task, order.run, now))
        return interfaces.OrderResult.ACCEPTED

    async def stop(self, task, run, token, incarnation):
        await self._simulate_call()
        if self.refusal is not None:
            return self.refusal
        if incarnation != self.born:
            return interfaces.OrderResult.RESTARTED
        return self.apply_stop(task, run, token)

    def apply_stop(self, task, run, token):
        """Apply a stop order, also one that arrives late."""
        self._end_due_runs()
        if token < self.token:
            return interfaces.OrderResult.FENCED
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run)
        active = self.runs.get(task)
        if active is not None and active.order.run == run:
            self._end_run(task, interfaces.RunOutcome.STOPPED, clock.now())
        return interfaces.OrderResult.ACCEPTED

    async def pace(self, task, run, percent, token, incarnation):
        await self._simulate_call()
        if self.refusal is not None:
            return self.refusal
        if incarnation != self.born:
            return interfaces.OrderResult.RESTARTED
        if self.lose_paces:
            self.lose_paces -= 1
            raise errors.UnreachableError('no answer')
        active = self.runs.get(task)
        if active is None or active.order.run != run:
            return interfaces.OrderResult.INVALID
        self.pace_orders[task] = percent
        return interfaces.OrderResult.ACCEPTED

    async def renew_leases(self, renewal):
        await self._simulate_call()
        if self.silent_renewals:
            self.silent_renewals -= 1
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise errors.UnreachableError('no answer')
        if self.refusal is not None:
            return self.refusal
        if renewal.token < self.token:
            return interfaces.OrderResult.FENCED
        self.token = renewal.token
        if renewal.incarnation != self.born:
            self._end_due_runs()
            return self._build_status()
        if renewal.until is not None:
            self.leased_until = max(
                self.leased_until,
                min(renewal.until, self.clock() + MAX_LEASE_S),
            )
        self.acknowledged = max(self.acknowledged, renewal.acknowledged)
        deadline = clock.now() + renewal.wait
        while True:
            self._end_due_runs()
            self.ends = [
                end for end in self.ends if end.number > self.acknowledged
            ]
            if self.ends or clock.now() >= deadline:
                break
            await asyncio.sleep(0.01)
            if self.silent_renewals:
                await asyncio.sleep(CALL_TIMEOUT_S)
            if self.mute or self.silent_renewals:
                raise errors.UnreachableError('no answer')
        return self._build_status()

    async def close(self):
        """Do nothing: there is no connection."""

    def _build_status(self):
        now = clock.now()
        running = tuple(
            interfaces.ActiveRun(
                task,
                active.order.run,
                '',
                self._progress_percent(active, now),
                self.tail_latency_s(self),
            )
            for task, active in self.runs.items()
        )
        return interfaces.WorkerStatus(
            self.clock(),
            self.born,
            running,
            tuple(self.ends[:MAX_LISTED_ENDS]),
            lists_all_ends=len(self.ends) <= MAX_LISTED_ENDS,
        )

    def _progress_percent(self, active, now):
        if self.reports_full_progress:
            return 100
        if self.is_stalled:
            return 0
        return int(100 * (now - active.started_at) / self.seconds)

    def _end_due_runs(self):
        now = clock.now()
        expires_at = self.started_at + self.leased_until
        for task, active in list(self.runs.items()):
            if active.ends_at <= min(now, expires_at) and not self.is_stalled:
                outcome = (
                    interfaces.RunOutcome.FAILED
                    if self.fails
                    else interfaces.RunOutcome.DONE
                )
                self._end_run(task, outcome, active.ends_at)
            elif expires_at < now:
                self._end_run(task, interfaces.RunOutcome.EXPIRED, expires_at)

    def _end_run(self, task, outcome, at):
        active = self.runs.pop(task)
        self.last_end_number += 1
        self.ends.append(
            interfaces.EndedRun(
                self.last_end_number, task, active.order.run, outcome, ''
            )
        )
        self.ended_at[task, active.order.run] = at

    async def _simulate_call(self):
        await asyncio.sleep(CALL_LATENCY_S)
        if self.refuse:
            raise errors.RefusedConnectionError(self.name)
        if self.call_error is not None:
            raise self.call_error
        if self.mute:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise errors.UnreachableError('no answer')


def job(name, *steps, queue='q', **fields):
    """Return a job of the given steps, by default of one task on one core."""
    job_steps = steps or (jobspec.Step(1, jobspec.Demand(1000, 100), 1.0),)
    return jobspec.JobSpec(
        name, queue, 'text', job_steps, clock.unix(), **fields
    )
