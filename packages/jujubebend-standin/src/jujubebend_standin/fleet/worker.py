"""A worker of the platform: runs under leases, ends kept until noted."""

from __future__ import annotations

import asyncio
import http
import time

import attrs
import orjson

from jujubebend_http import httpmessage

MILLI = 1_000
LONGEST_HOLD = 6.0  # seconds
STEP = 0.02  # seconds between looks for an end
STOPPING = 0.1  # seconds that a stop takes
SILENCE = 30.0  # seconds; longer than any caller waits


@attrs.define(eq=False)
class Run:
    """One run of a task, as the worker saw it; times are monotonic."""

    task: str
    run: int
    cpu: int
    begun: float
    due: float
    until: float = 0
    ended: float | None = None
    how: str = ''
    noted: bool = False
    pace: int = 100

    def end(self, now: float, how: str) -> None:
        """Note the run's end."""
        self.ended = now
        self.how = how


@attrs.define(eq=False)
class WorkerFaults:
    """What is wrong with a worker."""

    silent: bool = False
    lose_starts: bool = False
    fail_runs: bool = False


@attrs.define(eq=False)
class FleetWorker:
    """Runs tasks by the clock; ``runs`` keeps all that ever began.

    ``spec`` of a task is ``CPU SECONDS``: what it takes and for how long.
    """

    name: str
    cpu: int
    faults: WorkerFaults = attrs.field(factory=WorkerFaults)
    born: int = attrs.field(factory=lambda: round(time.time() * MILLI))
    runs: list[Run] = attrs.field(factory=list)
    most_cpu: int = 0
    token: int = 0
    number: int = 0
    seen: int = 0
    until: float = 0
    present: dict[str, Run] = attrs.field(factory=dict)
    ends: list[tuple[int, Run]] = attrs.field(factory=list)
    highest: dict[str, int] = attrs.field(factory=dict)
    lapsed_ends: set[int] = attrs.field(factory=set)
    began: float = attrs.field(factory=time.monotonic)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer one order."""
        if self.faults.silent:
            await asyncio.sleep(SILENCE)
        if req.headers.get('x-expect-instance') != self.name:
            return self._reply(http.HTTPStatus.MISDIRECTED_REQUEST)
        plain = orjson.loads(req.body)
        token = plain.get('fencing_token', 0)
        if token < self.token:
            return self._reply(http.HTTPStatus.CONFLICT, reason='fence')
        self.token = token
        self._settle()
        match req.path.rpartition('/')[2]:
            case 'run-start':
                return await self._start(plain)
            case 'run-stop':
                return self._stop(plain)
            case 'pace':
                return self._pace(plain)
            case 'hold':
                return await self._hold(plain)
        return self._reply(http.HTTPStatus.NOT_FOUND)

    def crash(self) -> None:
        """Begin a new life that knows nothing of the former."""
        now = time.monotonic()
        for run in self.present.values():
            run.end(now, 'crashed')
        self.present.clear()
        self.ends.clear()
        self.lapsed_ends.clear()
        self.highest.clear()
        self.token = 0
        self.number = 0
        self.seen = 0
        self.until = 0
        self.began = now
        self.born += 1

    def clock(self) -> float:
        """Return the worker's own clock."""
        return time.monotonic() - self.began

    async def _start(self, plain: dict) -> httpmessage.Reply:
        task, run = plain['task'], plain['run']
        until = plain['until_ms'] / MILLI
        held = self.present.get(task)
        if held is not None and held.run == run:
            return self._reply(http.HTTPStatus.OK)
        if until <= self.clock():
            return self._reply(http.HTTPStatus.CONFLICT, reason='late')
        if run <= self.highest.get(task, 0) or held is not None:
            return self._reply(http.HTTPStatus.CONFLICT, reason='old')
        self.until = max(self.until, until)
        cpu, seconds = plain['spec'].split()
        now = time.monotonic()
        made = Run(task, run, int(cpu), now, now + float(seconds))
        self.highest[task] = run
        self.present[task] = made
        self.runs.append(made)
        used = sum(one.cpu for one in self.present.values())
        self.most_cpu = max(self.most_cpu, used)
        if self.faults.lose_starts:
            await asyncio.sleep(SILENCE)
        return self._reply(http.HTTPStatus.OK)

    def _stop(self, plain: dict) -> httpmessage.Reply:
        task, run = plain['task'], plain['run']
        self.highest[task] = max(run, self.highest.get(task, 0))
        held = self.present.get(task)
        if held is not None and held.run == run:
            self._end(held, 'stopped', time.monotonic())
        return self._reply(http.HTTPStatus.OK)

    def _pace(self, plain: dict) -> httpmessage.Reply:
        held = self.present.get(plain['task'])
        if held is None or held.run != plain['run']:
            return self._reply(http.HTTPStatus.BAD_REQUEST)
        held.pace = plain['percent']
        return self._reply(http.HTTPStatus.OK)

    async def _hold(self, plain: dict) -> httpmessage.Reply:
        if self.clock() > self.until:
            # Ends from before a lapse stand for nothing: their tasks may
            # have been started elsewhere.
            self.lapsed_ends.update(number for number, _ in self.ends)
        until = plain.get('until_ms', 0) / MILLI
        most = self.clock() + LONGEST_HOLD
        self.until = max(self.until, min(until, most))
        self.seen = max(self.seen, plain['last_seen'])
        for number, run in self.ends:
            heard = number <= self.seen and number not in self.lapsed_ends
            run.noted = run.noted or heard
        deadline = time.monotonic() + plain.get('wait_ms', 0) / MILLI
        while True:
            self._settle()
            self.ends = [end for end in self.ends if end[0] > self.seen]
            if self.ends or time.monotonic() >= deadline:
                break
            await asyncio.sleep(STEP)
        return self._reply(
            http.HTTPStatus.OK,
            born=self.born,
            running_count=[
                [run.task, run.run, '', self._percent(run), 0]
                for run in self.present.values()
            ],
            ended=[
                [number, run.task, run.run, run.how, '']
                for number, run in self.ends
            ],
        )

    def _percent(self, run: Run) -> int:
        share = (time.monotonic() - run.begun) / (run.due - run.begun)
        return min(100, int(100 * share))

    def _settle(self) -> None:
        now = time.monotonic()
        lapse = self.began + self.until
        for run in list(self.present.values()):
            if run.due <= min(now, lapse):
                how = 'failed' if self.faults.fail_runs else 'done'
                self._end(run, how, run.due)
            elif lapse < now:
                self._end(run, 'lapsed', lapse)

    def _end(self, run: Run, how: str, at: float) -> None:
        run.end(at, how)
        self.present.pop(run.task)
        self.number += 1
        self.ends.append((self.number, run))

    def _reply(self, status: int, **plain: object) -> httpmessage.Reply:
        clock = round(self.clock() * MILLI)
        return httpmessage.json_reply(status, {'clock_ms': clock, **plain})
