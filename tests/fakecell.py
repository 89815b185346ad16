"""A store and workers in memory, with the faults that tests ask for."""

from __future__ import annotations

import asyncio
import typing

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, interfaces, jobspec

LINK = 0.002  # seconds a call takes
STOP = 0.5  # seconds a stop takes
SECOND = 1.0


@attrs.define(eq=False)
class Store:
    """Keys with revisions; ``refuse``, ``mute`` and ``lose`` are faults."""

    data: dict = attrs.field(factory=dict)
    revision: int = 1
    history: list = attrs.field(factory=list)
    forgotten: int = 0
    refuse: bool = False
    mute: bool = False
    delay: float = 0
    lose: int = 0
    calls: int = 0
    late: list = attrs.field(factory=list)
    hold_back: bool = False
    _moved: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def get(self, key):
        await self._reach()
        return self.data.get(key)

    async def scan(self, prefix):
        await self._reach()
        found = [
            one for key, one in self.data.items() if key.startswith(prefix)
        ]
        return found, self.revision

    async def watch(self, prefix, after, wait):
        until = clock.now() + wait
        while True:
            await self._reach()
            if after < self.forgotten:
                raise errors.HistoryGoneError(prefix)
            news = [
                one
                for one in self.history
                if one.revision > after and one.key.startswith(prefix)
            ]
            left = until - clock.now()
            if news or left <= 0:
                return news, self.revision
            try:
                async with asyncio.timeout(left):
                    await self._moved.wait()
            except TimeoutError:
                continue

    async def commit(self, wanted, timeout=SECOND):
        try:
            async with asyncio.timeout(timeout):
                return await self._commit(wanted)
        except TimeoutError:
            raise errors.UnreachableError('no answer in time') from None

    async def _commit(self, wanted):
        if self.hold_back:
            self.hold_back = False
            self.late.append(wanted)
            await asyncio.sleep(SECOND)
            raise errors.UnreachableError('no answer')
        await self._reach()
        self.apply(wanted)
        if self.lose:
            self.lose -= 1
            await asyncio.sleep(SECOND)
            raise errors.UnreachableError('the answer was lost')
        return self.revision

    def apply(self, wanted):
        for key, revision in wanted.expects.items():
            if self._revision_of(key) != revision:
                raise errors.ConflictError(key)
        self.revision += 1
        for key, body in wanted.puts.items():
            self._note(interfaces.Item(key, body, self.revision))
        for key in wanted.deletes:
            self._note(interfaces.Item(key, None, self.revision))
        self._moved.set()
        self._moved = asyncio.Event()

    def _revision_of(self, key):
        item = self.data.get(key)
        return item.revision if item else 0

    def put(self, key, body):
        self.apply(interfaces.Transaction(puts={key: body}))

    def forget_history(self):
        self.forgotten = self.revision
        self.history.clear()
        self._moved.set()
        self._moved = asyncio.Event()

    def _note(self, item):
        self.history.append(item)
        if item.body is None:
            self.data.pop(item.key, None)
        else:
            self.data[item.key] = item

    async def _reach(self):
        self.calls += 1
        await asyncio.sleep(LINK + self.delay)
        if self.mute:
            await asyncio.sleep(SECOND)
            raise errors.UnreachableError('silent')
        if self.refuse:
            raise errors.RefusedError('busy')


@attrs.define(eq=False)
class _Run:
    order: interfaces.StartOrder
    ends_at: float
    begun: float


@attrs.define(eq=False)
class Worker:
    """One worker; ``seconds`` is how long each of its tasks takes."""

    name: str
    seconds: float = 1.0
    cpu_milli: int = 32_000
    born: int = 1
    mute: bool = False
    refuse: bool = False
    stands_still: bool = False
    shows_whole: bool = False
    fails: bool = False
    lose_starts: int = 0
    late_starts: list = attrs.field(factory=list)
    no_ticket: bool = False
    token: int = 0
    runs: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    highest: dict = attrs.field(factory=dict)
    until: float = 0
    seen: int = 0
    started: list = attrs.field(factory=list)
    ended_at: dict = attrs.field(factory=dict)
    clock_began: float = 0
    number: int = 0
    paces: dict = attrs.field(factory=dict)
    lose_paces: int = 0
    tail: typing.Callable = lambda worker: 0

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
        return clock.now() - self.clock_began

    def crash(self, *, reborn=False):
        """Lose all state; with ``reborn`` a new life answers at once."""
        self.runs.clear()
        self.ends.clear()
        self.highest.clear()
        self.token = 0
        self.seen = 0
        self.until = 0
        self.number = 0
        self.clock_began = clock.now()
        self.refuse = not reborn
        self.born += reborn

    async def start(self, order):
        await self._reach()
        if self.lose_starts:
            self.lose_starts -= 1
            self.late_starts.append(order)
            await asyncio.sleep(SECOND)
            raise errors.UnreachableError('no answer')
        return self.take_start(order)

    def take_start(self, order):
        """Carry out a start, in time or late."""
        self._settle()
        if order.token < self.token:
            return interfaces.OrderResult.FENCED
        self.token = order.token
        if order.until <= self.clock():
            return interfaces.OrderResult.TOO_LATE
        held = self.runs.get(order.task)
        if held is not None and held.order.run == order.run:
            return interfaces.OrderResult.ACCEPTED
        if order.run <= self.highest.get(order.task, 0):
            return interfaces.OrderResult.SUPERSEDED
        if self.no_ticket:
            return interfaces.OrderResult.NO_TICKET
        self.until = max(self.until, order.until)
        now = clock.now()
        self.highest[order.task] = order.run
        self.runs[order.task] = _Run(order, now + self.seconds, now)
        self.started.append((order.task, order.run))
        return interfaces.OrderResult.ACCEPTED

    async def stop(self, task, run, token):
        await self._reach()
        self._settle()
        if token < self.token:
            return interfaces.OrderResult.FENCED
        self.highest[task] = max(self.highest.get(task, 0), run)
        held = self.runs.get(task)
        if held is not None and held.order.run == run:
            self._end(task, interfaces.RunOutcome.STOPPED, clock.now())
        return interfaces.OrderResult.ACCEPTED

    async def pace(self, task, run, percent, token):
        await self._reach()
        if self.lose_paces:
            self.lose_paces -= 1
            raise errors.UnreachableError('no answer')
        held = self.runs.get(task)
        if held is None or held.order.run != run:
            return interfaces.OrderResult.INVALID
        self.paces[task] = percent
        return interfaces.OrderResult.ACCEPTED

    async def renew_leases(self, token, seen, until, wait, *, list_runs=True):
        await self._reach()
        if token < self.token:
            return interfaces.OrderResult.FENCED
        self.token = token
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + 6))
        self.seen = max(self.seen, seen)
        deadline = clock.now() + wait
        while True:
            self._settle()
            self.ends = [end for end in self.ends if end.number > self.seen]
            if self.ends or clock.now() >= deadline:
                break
            await asyncio.sleep(0.01)
            if self.mute:
                raise errors.UnreachableError('silent')
        return self._look()

    async def close(self):
        """Need nothing done."""

    def _look(self):
        now = clock.now()
        running = tuple(
            interfaces.ActiveRun(
                task,
                held.order.run,
                '',
                self._percent(held, now),
                self.tail(self),
            )
            for task, held in self.runs.items()
        )
        return interfaces.WorkerStatus(
            self.clock(), self.born, running, tuple(self.ends)
        )

    def _percent(self, held, now):
        if self.shows_whole:
            return 100
        if self.stands_still:
            return 0
        return int(100 * (now - held.begun) / self.seconds)

    def _settle(self):
        now = clock.now()
        lapse = self.clock_began + self.until
        for task, held in list(self.runs.items()):
            if held.ends_at <= min(now, lapse) and not self.stands_still:
                how = (
                    interfaces.RunOutcome.FAILED
                    if self.fails
                    else interfaces.RunOutcome.DONE
                )
                self._end(task, how, held.ends_at)
            elif lapse < now:
                self._end(task, interfaces.RunOutcome.LAPSED, lapse)

    def _end(self, task, how, at):
        held = self.runs.pop(task)
        self.number += 1
        self.ends.append(
            interfaces.EndedRun(self.number, task, held.order.run, how, '')
        )
        self.ended_at[task, held.order.run] = at

    async def _reach(self):
        await asyncio.sleep(LINK)
        if self.refuse:
            raise errors.RefusedConnectionError(self.name)
        if self.mute:
            await asyncio.sleep(SECOND)
            raise errors.UnreachableError('silent')


def job(name, *steps, queue='q', **more):
    """Return a job of steps, one task of one core where none is given."""
    wanted = steps or (jobspec.Step(1, jobspec.Demand(1000, 100), 1.0),)
    return jobspec.JobSpec(name, queue, 'text', wanted, clock.unix(), **more)
