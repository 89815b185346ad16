"""``python -m benchmarks.policies``: the planner on a grown cell's load.

Plays the mix of the grown sites against the planner alone, on virtual time:
no store, no network, only what they cost in delay. It says how much of what
the jobs are worth is earned, for the planner as it is and with one of its
means left out.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import math
import random
from collections import abc
from unittest import mock

import attrs
import typer

from jujubebend_cluster import (
    adviceclient,
    fleet,
    interfaces,
    jobspec,
    jobtable,
    placement,
    planner,
    preemption,
    progress,
)

SERVICE = 'svc'
STEP = 0.02  # seconds of virtual time between two passes
START_DELAY = 0.03  # seconds for a record and an order
STOP_DELAY = 0.3  # seconds
HOSTS = 39  # that ask for advice
ROOM = jobspec.Demand(32_000, 65_536)
SPEEDS = (0.55, 1.2, 1.2, 1.2)
TRAFFIC = 34.0  # seconds
LATE_WORTH = 0.2
CAP = 4.0  # times the mean worth of a kind, at most

cli = typer.Typer(add_completion=False)


@attrs.frozen
class Kind:
    """A kind of job: means of what its jobs are, as the sheets give them."""

    queue: jobspec.Queue
    per_second: float
    worth: float
    steps: float
    width: float
    widest: float
    cpu: float
    memory: float
    seconds: float
    gang: float
    saves: float
    good: float


def _queue(
    name: str, rank: int, slack: float, latency: float, advice: tuple
) -> jobspec.Queue:
    policy = jobspec.AdvicePolicy(*advice, 2.0)
    return jobspec.Queue(
        name, 'h', f'/{name}/', SERVICE, rank, 3, slack, latency, policy
    )


KINDS = (
    Kind(
        queue=_queue('design', 1, 2.2, 1.0, (0.559, 0.008)),
        per_second=2.37,
        worth=8.52,
        steps=1.2,
        width=16,
        widest=80,
        cpu=9_000,
        memory=9_000,
        seconds=6.2,
        gang=1,
        saves=0.5,
        good=0.35,
    ),
    Kind(
        queue=_queue('plan', 2, 4.0, 3.0, (0.156, 0.0023)),
        per_second=3.94,
        worth=3.21,
        steps=1.5,
        width=25,
        widest=150,
        cpu=3_500,
        memory=6_400,
        seconds=3.4,
        gang=0,
        saves=0.8,
        good=0.45,
    ),
    Kind(
        queue=_queue('check', 0, 1.5, 0.3, (0.0143, 0.0002)),
        per_second=44.1,
        worth=0.402,
        steps=1,
        width=3.2,
        widest=19,
        cpu=5_000,
        memory=7_100,
        seconds=1,
        gang=0.3,
        saves=0,
        good=0.7,
    ),
)


@attrs.define(eq=False)
class _Load:
    """Draws jobs from a seed."""

    chance: random.Random
    factor: float

    def jobs(self) -> list[tuple[float, Kind, jobspec.JobSpec]]:
        """Return the jobs in the order of their arrival."""
        found = []
        for kind in KINDS:
            at = float(0)
            while at < TRAFFIC:
                at += self.chance.expovariate(kind.per_second * self.factor)
                found.append((at, kind, self._job(kind, at)))
        found.sort(key=lambda row: row[0])
        return found

    def _job(self, kind: Kind, at: float) -> jobspec.JobSpec:
        count = max(1, round(self._about(kind.steps, 0.4, 3.8)))
        steps = tuple(self._step(kind, number) for number in range(count))
        name = f'{self.chance.getrandbits(64):016x}'
        return jobspec.JobSpec(name, kind.queue.name, '', steps, at)

    def _step(self, kind: Kind, number: int) -> jobspec.Step:
        return jobspec.Step(
            max(1, round(self._about(kind.width, 0.7, kind.widest))),
            jobspec.Demand(
                round(self._about(kind.cpu, 0.45, 15_000)),
                round(self._about(kind.memory, 0.55, 20_000)),
            ),
            self._about(kind.seconds, 0.5, kind.seconds * 2.5),
            after=(number - 1,) if number else (),
            checkpoints=self.chance.random() < kind.saves,
            gang=self.chance.random() < kind.gang,
        )

    def _about(self, mean: float, spread: float, most: float) -> float:
        drawn = self.chance.lognormvariate(-spread * spread / 2, spread)
        return min(most, mean * drawn)


@attrs.define(eq=False)
class Play:
    """One day; ``events`` holds what is due, in order of time."""

    seed: int
    factor: float
    cell: fleet.Fleet = attrs.field(factory=fleet.Fleet)
    job_table: jobtable.JobTable = attrs.field(factory=jobtable.JobTable)
    advice_client: adviceclient.AdviceClient = attrs.field(
        factory=adviceclient.AdviceClient
    )
    stops: int = 0
    _paces: dict[str, float] = attrs.field(factory=dict)
    _left: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _begun: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _kinds: dict[str, Kind] = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _serial: abc.Iterator[int] = attrs.field(factory=itertools.count)
    _ended: dict[str, float] = attrs.field(factory=dict)

    def run(self, workers: int) -> dict[str, float]:
        """Play the day and return what share of its worth each kind earned."""
        self._begin(workers)
        jobs = _Load(random.Random(self.seed), self.factor).jobs()  # noqa: S311
        for at, kind, spec in jobs:
            self._at(at, self._accept, kind, spec)
        end = TRAFFIC * 2
        for number in range(math.ceil(end / STEP)):
            now = number * STEP
            while self._events and self._events[0][0] <= now:
                due, _, act, args = heapq.heappop(self._events)
                act(due, *args)
            self._plan(now)
        return self._score(jobs)

    def _begin(self, workers: int) -> None:
        paces = itertools.cycle(SPEEDS)
        for number in range(workers):
            name = f'w{number}'
            entry = interfaces.WorkerEntry(
                name,
                1,
                SERVICE,
                '',
                '',
                interfaces.WorkerState.READY,
                ROOM,
                ('a',),
                f'r{number // 12}',
            )
            worker = fleet.Worker(entry, is_reachable=True)
            worker.speed = next(paces)
            self._paces[name] = worker.speed
            self.cell.workers[name] = worker
        for number in range(HOSTS):
            address = f'h{number}'
            self.advice_client.routes[address] = adviceclient.AdviceRoute(
                address, None
            )

    def _at(self, due: float, act: abc.Callable, *args: object) -> None:
        heapq.heappush(self._events, (due, next(self._serial), act, args))

    def _accept(self, now: float, kind: Kind, spec: jobspec.JobSpec) -> None:
        self._kinds[spec.job] = kind
        self.job_table.add(spec)

    def _plan(self, now: float) -> None:
        ordered = planner.sort_by_urgency(self._ready(now), now)
        made = planner.plan(ordered, self.cell, now)
        for planned in made.placements:
            self._place(planned, now)
        for question in made.advice_requests:
            self._ask(question, now)
        for task in made.preempted:
            if not task.is_stopping:
                task.is_stopping = True
                task.was_preempted = True
                self.stops += 1
                self._at(now + STOP_DELAY, self._stopped, task, task.run)

    def _ready(
        self, now: float
    ) -> abc.Iterator[tuple[jobspec.Queue, jobtable.Group]]:
        for job in self.job_table.live.values():
            self.job_table.create_due_groups(job, now, now)
            queue = self._kinds[job.spec.job].queue
            for group in job.groups.values():
                if group.ready_at is not None and group.waiting_count:
                    yield queue, group

    def _place(self, planned: placement.Placement, now: float) -> None:
        task, worker = planned.task, planned.worker
        self.job_table.assign_run(task, worker.name, 1, task.run + 1)
        task.rank = planned.rank
        task.answered_at = now
        begun = now + START_DELAY
        work = self._left.get(task.name, task.group.step.estimate)
        self._begun[task.name] = begun
        due = begun + work / self._paces[worker.name]
        self._at(due, self._done, task, task.run)

    def _is_over(self, task: jobtable.Task, run: int) -> bool:
        return task.run != run or task.state is not progress.TaskState.PLACED

    def _done(self, now: float, task: jobtable.Task, run: int) -> None:
        if self._is_over(task, run):
            return
        self._end(now, task, interfaces.RunOutcome.DONE)

    def _stopped(self, now: float, task: jobtable.Task, run: int) -> None:
        if self._is_over(task, run):
            return
        pace = self._paces[task.worker]
        done = (now - self._begun[task.name]) * pace
        work = self._left.get(task.name, task.group.step.estimate)
        self._left[task.name] = max(0.1, work - done)
        self._end(now, task, interfaces.RunOutcome.STOPPED)

    def _end(
        self, now: float, task: jobtable.Task, how: interfaces.RunOutcome
    ) -> None:
        worker = self.cell.workers[task.worker]
        job = task.group.job
        for one in self.job_table.ended(task, how, '', 3):
            holder = worker
            if one is not task:
                holder = self.cell.workers[one.worker]
            holder.deallocate(one)
        self.job_table.complete_if_done(job, now)
        if job.is_ended:
            self._ended[job.spec.job] = now
            self.job_table.live.pop(job.spec.job, None)

    def _ask(self, question: planner.AdviceRequest, now: float) -> None:
        want = question.placement_request
        group = want.group
        kind = self._kinds[group.job.spec.job]
        named = self.advice_client.select_candidates(
            group, question.usable_workers, now, question.awaited_workers
        )
        if not named:
            return
        caller = self.advice_client.choose_route(
            want.queue.advice,
            len(named),
            now,
            latency_tolerant=want.is_latency_tolerant,
        )
        if caller is None:
            return
        group.tickets.is_request_pending = True
        names = [worker.name for worker in named]
        due = caller.busy_until + START_DELAY
        self._at(due, self._advised, group, names, kind)

    def _advised(
        self, now: float, group: jobtable.Group, names: list[str], kind: Kind
    ) -> None:
        tickets = group.tickets
        tickets.is_request_pending = False
        tickets.asked.update(names)
        until = (
            now + kind.queue.advice.validity_s - adviceclient.TICKET_MARGIN_S
        )
        for name in names:
            drawn = random.Random(f'{group.step_name()} {name}')  # noqa: S311
            if drawn.random() < kind.good:
                tickets.good[name] = ('t', until)

    def _score(self, jobs: list) -> dict[str, float]:
        earned = dict.fromkeys((kind.queue.name for kind in KINDS), 0)
        owed = dict(earned)
        means = _mean_work(jobs)
        for at, kind, spec in jobs:
            name = kind.queue.name
            share = 0.3 + 0.7 * _work(spec) / means[name]
            worth = kind.worth * min(CAP, share)
            owed[name] += worth
            objective = kind.queue.objective(spec)
            took = self._ended.get(spec.job, math.inf) - at
            if took <= objective:
                earned[name] += worth
            elif took <= planner.LATE_FACTOR * objective:
                earned[name] += worth * LATE_WORTH
        found = {name: earned[name] / owed[name] for name in owed}
        found['all'] = sum(earned.values()) / sum(owed.values())
        return found


def _work(spec: jobspec.JobSpec) -> float:
    return sum(
        step.tasks * step.estimate * step.demand.cpu_milli
        for step in spec.steps
    )


def _mean_work(jobs: list) -> dict[str, float]:
    totals: dict[str, list[float]] = {}
    for _, kind, spec in jobs:
        totals.setdefault(kind.queue.name, []).append(_work(spec))
    return {name: sum(rows) / len(rows) for name, rows in totals.items()}


VARIANTS = {
    'as it is': (),
    'nothing gives way': ((preemption, 'PATIENCE', math.inf),),
    'nothing reserved': ((preemption, 'RESERVATIONS', 0),),
    'few known workers': ((planner, 'KNOWN_FACTOR', 0),),
    'fast workers not kept': ((placement, 'KEPT_FREE', 0),),
}


@cli.command()
def main(
    seeds: int = 2, factor: float = 1.0, workers: int = 176, only: str = ''
) -> None:
    """Print the share of worth earned, for each variant and kind."""
    for name, changes in VARIANTS.items():
        if only and name != only:
            continue
        rows = []
        stops = 0
        with contextlib.ExitStack() as stack:
            for module, attribute, figure in changes:
                stack.enter_context(
                    mock.patch.object(module, attribute, figure)
                )
            for seed in range(seeds):
                play = Play(seed, factor)
                rows.append(play.run(workers))
                stops += play.stops
        means = {
            key: round(sum(row[key] for row in rows) / len(rows), 3)
            for key in rows[0]
        }
        typer.echo(f'{name:24} {means} stops {stops}')


if __name__ == '__main__':
    cli()
