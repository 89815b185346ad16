"""``python -m benchmarks.policies``: the planner under an enlarged load.

Simulates the planner alone in virtual time, with the job mix of the enlarged
sites. The store and the network are modelled as delays only. The output is the
share of the jobs' value that is earned, with all policies of the planner and
with one of them disabled.
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
# Virtual time between two passes of the planner.
PASS_INTERVAL_SECONDS = 0.02
# Time to write a record and to send an order to a worker.
START_DELAY_SECONDS = 0.03
STOP_DELAY_SECONDS = 0.3
# Hosts through which advice is requested.
HOST_COUNT = 39
WORKER_CAPACITY = jobspec.Demand(32_000, 65_536)
WORKER_SPEEDS = (0.55, 1.2, 1.2, 1.2)
# Jobs arrive during this period; the simulation lasts twice as long.
ARRIVAL_PERIOD_SECONDS = 34.0
# Share of its value that a job earns if it ends late.
LATE_VALUE_SHARE = 0.2
# Largest value of a job, as a multiple of the mean value of its kind.
MAX_RELATIVE_VALUE = 4.0

cli = typer.Typer(add_completion=False)


@attrs.frozen
class JobKind:
    """A kind of job: means and probabilities from the site data sheets.

    ``mean_tasks`` and ``max_tasks`` count the tasks of a step, and
    ``mean_seconds`` is the work of a task. ``approval_probability`` is the
    probability that the advice service approves a worker.
    """

    queue: jobspec.Queue
    arrivals_per_second: float
    mean_value: float
    mean_steps: float
    mean_tasks: float
    max_tasks: float
    mean_cpu_milli: float
    mean_memory_mb: float
    mean_seconds: float
    gang_probability: float
    checkpoint_probability: float
    approval_probability: float


def _create_queue(
    name: str, rank: int, slack: float, latency: float, advice: tuple
) -> jobspec.Queue:
    policy = jobspec.AdvicePolicy(*advice, 2.0)
    return jobspec.Queue(
        name, 'h', f'/{name}/', SERVICE, rank, 3, slack, latency, policy
    )


JOB_KINDS = (
    JobKind(
        queue=_create_queue('design', 1, 2.2, 1.0, (0.559, 0.008)),
        arrivals_per_second=2.37,
        mean_value=8.52,
        mean_steps=1.2,
        mean_tasks=16,
        max_tasks=80,
        mean_cpu_milli=9_000,
        mean_memory_mb=9_000,
        mean_seconds=6.2,
        gang_probability=1,
        checkpoint_probability=0.5,
        approval_probability=0.35,
    ),
    JobKind(
        queue=_create_queue('plan', 2, 4.0, 3.0, (0.156, 0.0023)),
        arrivals_per_second=3.94,
        mean_value=3.21,
        mean_steps=1.5,
        mean_tasks=25,
        max_tasks=150,
        mean_cpu_milli=3_500,
        mean_memory_mb=6_400,
        mean_seconds=3.4,
        gang_probability=0,
        checkpoint_probability=0.8,
        approval_probability=0.45,
    ),
    JobKind(
        queue=_create_queue('check', 0, 1.5, 0.3, (0.0143, 0.0002)),
        arrivals_per_second=44.1,
        mean_value=0.402,
        mean_steps=1,
        mean_tasks=3.2,
        max_tasks=19,
        mean_cpu_milli=5_000,
        mean_memory_mb=7_100,
        mean_seconds=1,
        gang_probability=0.3,
        checkpoint_probability=0,
        approval_probability=0.7,
    ),
)


@attrs.define(eq=False)
class _Workload:
    """Random jobs; ``factor`` multiplies the arrival rates."""

    rng: random.Random
    factor: float

    def draw_jobs(self) -> list[tuple[float, JobKind, jobspec.JobSpec]]:
        """Return arrival time, kind and specification of each job, by time."""
        arrivals = []
        for kind in JOB_KINDS:
            arrives_at = float(0)
            while arrives_at < ARRIVAL_PERIOD_SECONDS:
                arrives_at += self.rng.expovariate(
                    kind.arrivals_per_second * self.factor
                )
                arrivals.append((
                    arrives_at,
                    kind,
                    self._draw_job(kind, arrives_at),
                ))
        arrivals.sort(key=lambda arrival: arrival[0])
        return arrivals

    def _draw_job(self, kind: JobKind, arrives_at: float) -> jobspec.JobSpec:
        count = max(1, round(self._draw_lognormal(kind.mean_steps, 0.4, 3.8)))
        steps = tuple(self._draw_step(kind, number) for number in range(count))
        name = f'{self.rng.getrandbits(64):016x}'
        return jobspec.JobSpec(name, kind.queue.name, '', steps, arrives_at)

    def _draw_step(self, kind: JobKind, number: int) -> jobspec.Step:
        return jobspec.Step(
            max(
                1,
                round(
                    self._draw_lognormal(kind.mean_tasks, 0.7, kind.max_tasks)
                ),
            ),
            jobspec.Demand(
                round(self._draw_lognormal(kind.mean_cpu_milli, 0.45, 15_000)),
                round(self._draw_lognormal(kind.mean_memory_mb, 0.55, 20_000)),
            ),
            self._draw_lognormal(
                kind.mean_seconds, 0.5, kind.mean_seconds * 2.5
            ),
            after=(number - 1,) if number else (),
            checkpoints=self.rng.random() < kind.checkpoint_probability,
            gang=self.rng.random() < kind.gang_probability,
        )

    def _draw_lognormal(
        self, mean: float, sigma: float, maximum: float
    ) -> float:
        relative_value = self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        return min(maximum, mean * relative_value)


@attrs.define(eq=False)
class Simulation:
    """One simulation; ``_events`` is a heap of events by due time."""

    seed: int
    factor: float
    worker_fleet: fleet.Fleet = attrs.field(factory=fleet.Fleet)
    job_table: jobtable.JobTable = attrs.field(factory=jobtable.JobTable)
    advice_client: adviceclient.AdviceClient = attrs.field(
        factory=adviceclient.AdviceClient
    )
    stop_count: int = 0
    _speeds: dict[str, float] = attrs.field(factory=dict)
    _remaining_work: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _started_at: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _kinds: dict[str, JobKind] = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _sequence: abc.Iterator[int] = attrs.field(factory=itertools.count)
    _ended_at: dict[str, float] = attrs.field(factory=dict)

    def run(self, workers: int) -> dict[str, float]:
        """Simulate all jobs; return the share of value earned by each kind."""
        self._create_workers(workers)
        arrivals = _Workload(random.Random(self.seed), self.factor).draw_jobs()  # noqa: S311
        for arrives_at, kind, spec in arrivals:
            self._schedule(arrives_at, self._accept_job, kind, spec)
        end = ARRIVAL_PERIOD_SECONDS * 2
        for number in range(math.ceil(end / PASS_INTERVAL_SECONDS)):
            now = number * PASS_INTERVAL_SECONDS
            while self._events and self._events[0][0] <= now:
                due, _, handle_event, args = heapq.heappop(self._events)
                handle_event(due, *args)
            self._plan_pass(now)
        return self._compute_value_shares(arrivals)

    def _create_workers(self, count: int) -> None:
        speeds = itertools.cycle(WORKER_SPEEDS)
        for number in range(count):
            name = f'w{number}'
            entry = interfaces.WorkerEntry(
                name,
                1,
                SERVICE,
                '',
                '',
                interfaces.WorkerState.READY,
                WORKER_CAPACITY,
                ('a',),
                f'r{number // 12}',
            )
            worker = fleet.Worker(entry, is_reachable=True)
            worker.speed = next(speeds)
            self._speeds[name] = worker.speed
            self.worker_fleet.workers[name] = worker
        for number in range(HOST_COUNT):
            address = f'h{number}'
            self.advice_client.routes[address] = adviceclient.AdviceRoute(
                address, None
            )

    def _schedule(
        self, due: float, handle_event: abc.Callable, *args: object
    ) -> None:
        heapq.heappush(
            self._events, (due, next(self._sequence), handle_event, args)
        )

    def _accept_job(
        self, now: float, kind: JobKind, spec: jobspec.JobSpec
    ) -> None:
        self._kinds[spec.job] = kind
        self.job_table.add(spec)

    def _plan_pass(self, now: float) -> None:
        requests = planner.sort_by_urgency(self._list_ready_groups(now), now)
        plan = planner.plan(requests, self.worker_fleet, now)
        for placed in plan.placements:
            self._start_task(placed, now)
        for request in plan.advice_requests:
            self._request_advice(request, now)
        for task in plan.preempted:
            if not task.is_stopping:
                task.is_stopping = True
                task.was_preempted = True
                self.stop_count += 1
                self._schedule(
                    now + STOP_DELAY_SECONDS, self._on_stopped, task, task.run
                )

    def _list_ready_groups(
        self, now: float
    ) -> abc.Iterator[tuple[jobspec.Queue, jobtable.Group]]:
        for job in self.job_table.live_jobs.values():
            self.job_table.create_due_groups(job, now, now)
            queue = self._kinds[job.spec.job].queue
            for group in job.groups.values():
                if group.ready_at is not None and group.waiting_count:
                    yield queue, group

    def _start_task(self, placed: placement.Placement, now: float) -> None:
        task, worker = placed.task, placed.worker
        self.job_table.assign_run(task, worker.name, 1, task.run + 1)
        task.rank = placed.rank
        task.answered_at = now
        started_at = now + START_DELAY_SECONDS
        work = self._remaining_work.get(task.name, task.group.step.estimate)
        self._started_at[task.name] = started_at
        due = started_at + work / self._speeds[worker.name]
        self._schedule(due, self._on_done, task, task.run)

    def _has_run_ended(self, task: jobtable.Task, run: int) -> bool:
        return task.run != run or task.state is not progress.TaskState.PLACED

    def _on_done(self, now: float, task: jobtable.Task, run: int) -> None:
        if self._has_run_ended(task, run):
            return
        self._end_run(now, task, interfaces.RunOutcome.DONE)

    def _on_stopped(self, now: float, task: jobtable.Task, run: int) -> None:
        if self._has_run_ended(task, run):
            return
        speed = self._speeds[task.worker]
        work_done = (now - self._started_at[task.name]) * speed
        work = self._remaining_work.get(task.name, task.group.step.estimate)
        self._remaining_work[task.name] = max(0.1, work - work_done)
        self._end_run(now, task, interfaces.RunOutcome.STOPPED)

    def _end_run(
        self, now: float, task: jobtable.Task, outcome: interfaces.RunOutcome
    ) -> None:
        worker = self.worker_fleet.workers[task.worker]
        job = task.group.job
        for ended_task in self.job_table.record_end(task, outcome, '', 3):
            ended_worker = worker
            if ended_task is not task:
                ended_worker = self.worker_fleet.workers[ended_task.worker]
            ended_worker.deallocate(ended_task)
        self.job_table.complete_if_done(job, now)
        if job.is_ended:
            self._ended_at[job.spec.job] = now
            self.job_table.live_jobs.pop(job.spec.job, None)

    def _request_advice(
        self, request: planner.AdviceRequest, now: float
    ) -> None:
        placement_request = request.placement_request
        group = placement_request.group
        kind = self._kinds[group.job.spec.job]
        candidates = self.advice_client.select_candidates(
            group, request.usable_workers, now, request.awaited_workers
        )
        if not candidates:
            return
        route = self.advice_client.choose_route(
            placement_request.queue.advice,
            len(candidates),
            now,
            latency_tolerant=placement_request.is_latency_tolerant,
        )
        if route is None:
            return
        group.tickets.is_request_pending = True
        names = [worker.name for worker in candidates]
        due = route.busy_until + START_DELAY_SECONDS
        self._schedule(due, self._on_advice, group, names, kind)

    def _on_advice(
        self, now: float, group: jobtable.Group, names: list[str], kind: JobKind
    ) -> None:
        tickets = group.tickets
        tickets.is_request_pending = False
        tickets.queried_workers.update(names)
        valid_until = (
            now + kind.queue.advice.validity_s - adviceclient.TICKET_MARGIN_S
        )
        for name in names:
            rng = random.Random(f'{group.step_name()} {name}')  # noqa: S311
            if rng.random() < kind.approval_probability:
                tickets.approvals[name] = ('t', valid_until)

    def _compute_value_shares(self, arrivals: list) -> dict[str, float]:
        earned = dict.fromkeys((kind.queue.name for kind in JOB_KINDS), 0)
        offered = dict(earned)
        mean_work = _compute_mean_work(arrivals)
        for arrives_at, kind, spec in arrivals:
            name = kind.queue.name
            relative_value = 0.3 + 0.7 * _compute_work(spec) / mean_work[name]
            value = kind.mean_value * min(MAX_RELATIVE_VALUE, relative_value)
            offered[name] += value
            objective = kind.queue.objective(spec)
            duration = self._ended_at.get(spec.job, math.inf) - arrives_at
            if duration <= objective:
                earned[name] += value
            elif duration <= planner.LATE_FACTOR * objective:
                earned[name] += value * LATE_VALUE_SHARE
        shares = {name: earned[name] / offered[name] for name in offered}
        shares['all'] = sum(earned.values()) / sum(offered.values())
        return shares


def _compute_work(spec: jobspec.JobSpec) -> float:
    return sum(
        step.tasks * step.estimate * step.demand.cpu_milli
        for step in spec.steps
    )


def _compute_mean_work(arrivals: list) -> dict[str, float]:
    totals: dict[str, list[float]] = {}
    for _, kind, spec in arrivals:
        totals.setdefault(kind.queue.name, []).append(_compute_work(spec))
    return {
        name: sum(amounts) / len(amounts) for name, amounts in totals.items()
    }


VARIANTS = {
    'as it is': (),
    'nothing gives way': ((preemption, 'PREEMPTION_DELAY_S', math.inf),),
    'nothing reserved': ((preemption, 'MAX_RESERVATIONS', 0),),
    'few known workers': ((planner, 'APPROVED_CAPACITY_FACTOR', 0),),
    'fast workers not kept': ((placement, 'RESERVED_FAST_SHARE', 0),),
}


@cli.command()
def main(
    seeds: int = 2, factor: float = 1.0, workers: int = 176, only: str = ''
) -> None:
    """Print the share of the value earned, by variant and kind of job."""
    for name, changes in VARIANTS.items():
        if only and name != only:
            continue
        run_shares = []
        stop_count = 0
        with contextlib.ExitStack() as stack:
            for module, attribute, replacement in changes:
                stack.enter_context(
                    mock.patch.object(module, attribute, replacement)
                )
            for seed in range(seeds):
                simulation = Simulation(seed, factor)
                run_shares.append(simulation.run(workers))
                stop_count += simulation.stop_count
        means = {
            key: round(
                sum(shares[key] for shares in run_shares) / len(run_shares), 3
            )
            for key in run_shares[0]
        }
        typer.echo(f'{name:24} {means} stops {stop_count}')


if __name__ == '__main__':
    cli()
