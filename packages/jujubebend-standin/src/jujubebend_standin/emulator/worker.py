"""Emulated worker: runs tasks under leases, reports ends until acknowledged."""

from __future__ import annotations

import asyncio
import http
import time

import attrs
import orjson

from jujubebend_http import httpmessage

MS_PER_SECOND = 1_000
MAX_LEASE_SECONDS = 6.0
POLL_INTERVAL_SECONDS = 0.02  # between checks for ended runs
STOP_SECONDS = 0.1  # duration of a stop
HANG_SECONDS = 30.0  # longer than the time-out of any caller
MAX_LISTED_ENDS = 500  # in one reply


@attrs.define(eq=False)
class Run:
    """A run of a task on a worker.

    Times are in seconds on the monotonic clock, ``pace`` is in percent.
    ``is_acknowledged`` means that the scheduler acknowledged the end while
    it was valid, so not when it was one of the worker's ``expired_ends``.
    """

    task: str
    number: int
    cpu: int
    started_at: float
    due_at: float
    lease_until: float = 0
    ended_at: float | None = None
    outcome: str = ''
    is_acknowledged: bool = False
    pace: int = 100

    def record_end(self, ended_at: float, outcome: str) -> None:
        """Record when the run ended and its outcome."""
        self.ended_at = ended_at
        self.outcome = outcome


@attrs.define(eq=False)
class WorkerFaults:
    """Faults of a worker.

    ``silent`` leaves requests unanswered, ``lose_starts`` begins runs without
    answering the request, ``fail_runs`` makes runs fail.
    """

    silent: bool = False
    lose_starts: bool = False
    fail_runs: bool = False


@attrs.define(eq=False)
class EmulatedWorker:
    """Simulates tasks by the clock.

    The ``spec`` of a task is ``CPU SECONDS``: its allocation and its
    duration. ``runs`` lists every run of all incarnations; the fields from
    ``fencing_token`` on are of the present incarnation. ``lease_until`` is
    on the worker's own clock, in seconds. Each end is numbered, and is
    reported until the scheduler acknowledges its number or a later one.
    """

    name: str
    cpu: int
    faults: WorkerFaults = attrs.field(factory=WorkerFaults)
    incarnation: int = attrs.field(
        factory=lambda: round(time.time() * MS_PER_SECOND)
    )
    runs: list[Run] = attrs.field(factory=list)
    peak_cpu: int = 0
    fencing_token: int = 0
    last_end_number: int = 0
    acknowledged_end_number: int = 0
    lease_until: float = 0
    running: dict[str, Run] = attrs.field(factory=dict)
    unacknowledged_ends: list[tuple[int, Run]] = attrs.field(factory=list)
    highest_run_numbers: dict[str, int] = attrs.field(factory=dict)
    expired_ends: set[int] = attrs.field(factory=set)
    booted_at: float = attrs.field(factory=time.monotonic)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request."""
        if self.faults.silent:
            await asyncio.sleep(HANG_SECONDS)
        if req.headers.get('x-expect-instance') != self.name:
            return self._build_reply(http.HTTPStatus.MISDIRECTED_REQUEST)
        document = orjson.loads(req.body)
        token = document.get('fencing_token', 0)
        if token < self.fencing_token:
            return self._build_reply(http.HTTPStatus.CONFLICT, reason='fence')
        self.fencing_token = token
        self.end_due_runs()
        match req.path.rpartition('/')[2]:
            case 'run-start':
                return await self._start_run(document)
            case 'run-stop':
                return self._stop_run(document)
            case 'pace':
                return self._set_pace(document)
            case 'hold':
                return await self._renew_leases(document)
        return self._build_reply(http.HTTPStatus.NOT_FOUND)

    def crash(self) -> None:
        """Crash and restart as a new incarnation with empty state."""
        now = time.monotonic()
        for run in self.running.values():
            run.record_end(now, 'crashed')
        self.running.clear()
        self.unacknowledged_ends.clear()
        self.expired_ends.clear()
        self.highest_run_numbers.clear()
        self.fencing_token = 0
        self.last_end_number = 0
        self.acknowledged_end_number = 0
        self.lease_until = 0
        self.booted_at = now
        self.incarnation += 1

    def read_clock(self) -> float:
        """Return the worker's own clock: seconds since this incarnation."""
        return time.monotonic() - self.booted_at

    def end_due_runs(self) -> None:
        """End the runs that are due, and all of them if the leases expired."""
        now = time.monotonic()
        expiry = self.booted_at + self.lease_until
        for run in list(self.running.values()):
            if run.due_at <= min(now, expiry):
                run_outcome = 'failed' if self.faults.fail_runs else 'done'
                self._end_run(run, run_outcome, run.due_at)
            elif expiry < now:
                self._end_run(run, 'lapsed', expiry)

    async def _start_run(self, document: dict) -> httpmessage.Reply:
        task, number = document['task'], document['run']
        lease_until = document['until_ms'] / MS_PER_SECOND
        self._extend_lease(lease_until)
        current = self.running.get(task)
        if current is not None and current.number == number:
            return self._build_reply(http.HTTPStatus.OK)
        if lease_until <= self.read_clock():
            return self._build_reply(http.HTTPStatus.CONFLICT, reason='late')
        if (
            number <= self.highest_run_numbers.get(task, 0)
            or current is not None
        ):
            return self._build_reply(http.HTTPStatus.CONFLICT, reason='old')
        cpu, seconds = document['spec'].split()
        now = time.monotonic()
        run = Run(task, number, int(cpu), now, now + float(seconds))
        self.highest_run_numbers[task] = number
        self.running[task] = run
        self.runs.append(run)
        allocated = sum(other.cpu for other in self.running.values())
        self.peak_cpu = max(self.peak_cpu, allocated)
        if self.faults.lose_starts:
            await asyncio.sleep(HANG_SECONDS)
        return self._build_reply(http.HTTPStatus.OK)

    def _stop_run(self, document: dict) -> httpmessage.Reply:
        task, number = document['task'], document['run']
        self.highest_run_numbers[task] = max(
            number, self.highest_run_numbers.get(task, 0)
        )
        current = self.running.get(task)
        if current is not None and current.number == number:
            self._end_run(current, 'stopped', time.monotonic())
        return self._build_reply(http.HTTPStatus.OK)

    def _set_pace(self, document: dict) -> httpmessage.Reply:
        current = self.running.get(document['task'])
        if current is None or current.number != document['run']:
            return self._build_reply(http.HTTPStatus.BAD_REQUEST)
        current.pace = document['percent']
        return self._build_reply(http.HTTPStatus.OK)

    async def _renew_leases(self, document: dict) -> httpmessage.Reply:
        self._extend_lease(document.get('until_ms', 0) / MS_PER_SECOND)
        self.acknowledged_end_number = max(
            self.acknowledged_end_number, document['last_seen']
        )
        for end_number, run in self.unacknowledged_ends:
            is_acknowledged = (
                end_number <= self.acknowledged_end_number
                and end_number not in self.expired_ends
            )
            run.is_acknowledged = run.is_acknowledged or is_acknowledged
        deadline = time.monotonic() + document.get('wait_ms', 0) / MS_PER_SECOND
        while True:
            self.end_due_runs()
            self.unacknowledged_ends = [
                end
                for end in self.unacknowledged_ends
                if end[0] > self.acknowledged_end_number
            ]
            if self.unacknowledged_ends or time.monotonic() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self._build_reply(
            http.HTTPStatus.OK,
            born=self.incarnation,
            running_count=[
                [run.task, run.number, '', self._compute_percent(run), 0]
                for run in self.running.values()
            ],
            ended=[
                [end_number, run.task, run.number, run.outcome, '']
                for end_number, run in self.unacknowledged_ends[
                    :MAX_LISTED_ENDS
                ]
            ],
        )

    def _extend_lease(self, lease_until: float) -> None:
        """Extend the lease of everything that runs here, up to the maximum."""
        if self.read_clock() > self.lease_until:
            # Ends from before the leases expired are no longer valid: their
            # tasks may have been started elsewhere.
            self.expired_ends.update(
                end_number for end_number, _ in self.unacknowledged_ends
            )
        latest = self.read_clock() + MAX_LEASE_SECONDS
        self.lease_until = max(self.lease_until, min(lease_until, latest))

    def _compute_percent(self, run: Run) -> int:
        elapsed_share = (time.monotonic() - run.started_at) / (
            run.due_at - run.started_at
        )
        return min(100, int(100 * elapsed_share))

    def _end_run(self, run: Run, run_outcome: str, ended_at: float) -> None:
        run.record_end(ended_at, run_outcome)
        self.running.pop(run.task)
        self.last_end_number += 1
        self.unacknowledged_ends.append((self.last_end_number, run))

    def _build_reply(self, status: int, **fields: object) -> httpmessage.Reply:
        clock = round(self.read_clock() * MS_PER_SECOND)
        return httpmessage.json_reply(status, {'clock_ms': clock, **fields})
