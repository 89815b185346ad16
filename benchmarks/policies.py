"""``python -m benchmarks.policies``: the planner under the load of a cluster.

Simulates the planner alone in virtual time, with one of the job mixes of
``benchmarks.mixes``. The store and the network are modelled as delays only. The
output is the share of the jobs' value that is earned, with all policies of the
planner and with one of them disabled, and how long gangs wait by their size.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import math
import random
import statistics
from collections import abc
from unittest import mock

import attrs
import typer

from benchmarks import mixes
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

# Virtual time between two passes of the planner.
PASS_INTERVAL_SECONDS = 0.02
# Time to write a record and to send an order to a worker.
START_DELAY_SECONDS = 0.03
# Time from the end of a job's last task until its caller learns of it, with the
# time that the submission took.
REPORT_DELAY_SECONDS = 0.15
WORKER_CPU_MILLI = 32_000
# Gangs are reported by size: the widest tenth, the fifth below, the others.
SIZE_CLASSES = ((0.9, 'widest tenth'), (0.7, 'next fifth'), (0, 'others'))
# Jobs arrive during this period; the simulation lasts twice as long.
ARRIVAL_PERIOD_SECONDS = 34.0
# Share of its value that a job earns if it ends late.
LATE_VALUE_SHARE = 0.2
# Largest value of a job, as a multiple of the mean value of its kind.
MAX_RELATIVE_VALUE = 4.0

cli = typer.Typer(add_completion=False)


@attrs.define(eq=False)
class _Workload:
    """Random jobs of a mix."""

    rng: random.Random
    kinds: tuple[mixes.JobKind, ...]

    def draw_jobs(self) -> list[tuple[float, mixes.JobKind, jobspec.JobSpec]]:
        """Return arrival time, kind and specification of each job, by time."""
        arrivals = []
        for kind in self.kinds:
            arrives_at = float(0)
            while arrives_at < ARRIVAL_PERIOD_SECONDS:
                arrives_at += self.rng.expovariate(kind.arrivals_per_second)
                arrivals.append((
                    arrives_at,
                    kind,
                    self._draw_job(kind, arrives_at),
                ))
        arrivals.sort(key=lambda arrival: arrival[0])
        return arrivals

    def _draw_job(
        self, kind: mixes.JobKind, arrives_at: float
    ) -> jobspec.JobSpec:
        count = max(1, round(self._draw_lognormal(kind.mean_steps, 0.4, 3.8)))
        steps = tuple(self._draw_step(kind, number) for number in range(count))
        name = f'{self.rng.getrandbits(64):016x}'
        return jobspec.JobSpec(name, kind.queue.name, '', steps, arrives_at)

    def _draw_step(self, kind: mixes.JobKind, number: int) -> jobspec.Step:
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
    mix: mixes.Mix
    worker_fleet: fleet.Fleet = attrs.field(factory=fleet.Fleet)
    job_table: jobtable.JobTable = attrs.field(factory=jobtable.JobTable)
    advice_client: adviceclient.AdviceClient = attrs.field(
        factory=adviceclient.AdviceClient
    )
    stop_count: int = 0
    _speeds: dict[str, float] = attrs.field(factory=dict)
    _remaining_work: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _started_at: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _kinds: dict[str, mixes.JobKind] = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _sequence: abc.Iterator[int] = attrs.field(factory=itertools.count)
    _ends_at: dict[jobspec.TaskName, float] = attrs.field(factory=dict)
    _ended_at: dict[str, float] = attrs.field(factory=dict)
    _gang_waits: dict[int, float] = attrs.field(factory=dict)

    def run(self) -> dict[str, float]:
        """Simulate all jobs; return the share of value earned by each kind."""
        self._create_workers()
        random.seed(self.seed)  # of the advice client's choices
        rng = random.Random(self.seed)  # noqa: S311
        arrivals = _Workload(rng, self.mix.kinds).draw_jobs()
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

    def gang_waits(self) -> list[tuple[int, float]]:
        """Return the size of each gang and its wait in seconds.

        The wait of a gang that never started is infinite. Only kinds of which
        every step is a gang are counted.
        """
        waits = []
        for job in self.job_table.jobs.values():
            kind = self._kinds[job.spec.job]
            for group in job.groups.values():
                if kind.gang_probability == 1 and group.ready_at is not None:
                    wait = self._gang_waits.get(id(group), math.inf)
                    waits.append((len(group.tasks), wait))
        return waits

    def on_time_shares(self) -> dict[str, float]:
        """Return the share of gang jobs that end in time, by their widest step.

        Only kinds of which every step is a gang are counted.
        """
        rows = []
        for name, kind in self._kinds.items():
            if kind.gang_probability == 1:
                spec = self.job_table.jobs[name].spec
                seconds = self._ended_at.get(name, math.inf) - spec.accepted_at
                width = max(step.tasks for step in spec.steps)
                rows.append((width, seconds <= kind.queue.objective(spec)))
        shares = {'all': statistics.mean(row[1] for row in rows)}
        for size_class, on_time in _split_by_size(rows).items():
            shares[size_class] = statistics.mean(on_time)
        return shares

    def _create_workers(self) -> None:
        capacity = jobspec.Demand(WORKER_CPU_MILLI, self.mix.memory_mb)
        speeds = itertools.cycle(self.mix.speeds)
        for number in range(self.mix.worker_count):
            name = f'w{number}'
            entry = interfaces.WorkerEntry(
                name,
                1,
                mixes.SERVICE,
                '',
                '',
                interfaces.WorkerState.READY,
                capacity,
                ('a',),
                f'r{number // 12}',
            )
            worker = fleet.Worker(entry, is_reachable=True)
            worker.speed_estimate.speed = next(speeds)
            self._speeds[name] = worker.speed
            self.worker_fleet.workers[name] = worker
        for number in range(self.mix.host_count):
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
        self, now: float, kind: mixes.JobKind, spec: jobspec.JobSpec
    ) -> None:
        self._kinds[spec.job] = kind
        self.job_table.add(spec)

    def _plan_pass(self, now: float) -> None:
        requests = planner.sort_by_urgency(
            self._list_ready_groups(now), now, self.worker_fleet
        )
        plan = planner.plan(requests, self.worker_fleet, now)
        for placed in plan.placements:
            self._record_gang_wait(placed.task.group, now)
            self._start_task(placed, now)
        for request in plan.advice_requests:
            self._request_advice(request, now)
        for task in plan.preempted:
            if not task.is_stopping:
                task.is_stopping = True
                task.was_preempted = True
                self.stop_count += 1
                self._schedule(
                    now + self.mix.stop_delay,
                    self._on_stopped,
                    task,
                    task.run,
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
        self._ends_at[task.name] = due
        self._schedule(due, self._on_done, task, task.run)

    def _record_gang_wait(self, group: jobtable.Group, now: float) -> None:
        kind = self._kinds[group.job.spec.job]
        if group.step.gang and kind.gang_probability == 1:
            wait = now - group.ready_at
            self._gang_waits.setdefault(id(group), wait)

    def _has_run_ended(self, task: jobtable.Task, run: int) -> bool:
        return task.run != run or task.state is not progress.TaskState.PLACED

    def _on_done(self, now: float, task: jobtable.Task, run: int) -> None:
        if self._has_run_ended(task, run):
            return
        # The members of a gang end together, with the slowest.
        group = task.group
        if group.step.gang and now < max(
            self._ends_at[member.name] for member in group.tasks
        ):
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
            self._ended_at[job.spec.job] = now + REPORT_DELAY_SECONDS
            self.job_table.live_jobs.pop(job.spec.job, None)

    def _request_advice(
        self, request: planner.AdviceRequest, now: float
    ) -> None:
        placement_request = request.placement_request
        group = placement_request.group
        kind = self._kinds[group.job.spec.job]
        candidates = self.advice_client.select_candidates(
            group,
            request.usable_workers,
            now,
            request.awaited_workers,
            request.worker_count,
            latency_tolerant=placement_request.is_latency_tolerant,
        )
        if not candidates:
            return
        calls = self.advice_client.plan_calls(
            placement_request.queue.advice,
            candidates,
            now,
            latency_tolerant=placement_request.is_latency_tolerant,
        )
        for call in calls:
            names = [worker.name for worker in call.workers]
            group.tickets.pending_workers.update(names)
            due = call.route.busy_until + START_DELAY_SECONDS
            self._schedule(due, self._on_advice, group, names, kind)

    def _on_advice(
        self,
        now: float,
        group: jobtable.Group,
        names: list[str],
        kind: mixes.JobKind,
    ) -> None:
        tickets = group.tickets
        tickets.pending_workers.difference_update(names)
        tickets.queried_workers.update(names)
        valid_until = (
            now + kind.queue.advice.validity_s - adviceclient.TICKET_MARGIN_S
        )
        for name in names:
            rng = random.Random(f'{group.step_name()} {name}')  # noqa: S311
            if rng.random() < kind.approval_probability:
                tickets.approvals[name] = ('t', valid_until)

    def _compute_value_shares(self, arrivals: list) -> dict[str, float]:
        earned = dict.fromkeys((kind.queue.name for kind in self.mix.kinds), 0)
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
    'nothing reserved': ((preemption, 'MAX_RESERVED_SHARE', 0),),
    'few known workers': ((planner, 'APPROVED_CAPACITY_FACTOR', 0),),
    'no time to gather': ((planner, 'GATHERING_TIME_S', 0),),
    'fast workers not kept': ((placement, 'RESERVED_FAST_SHARE', 0),),
}


@cli.command()
def main(
    seeds: int = 2, mix: str = 'large', load: float = 1, only: str = ''
) -> None:
    """Print the value earned and the waits of gangs, by variant.

    ``load`` multiplies the arrival rates of the ``mix``.
    """
    for name, changes in VARIANTS.items():
        if only and name != only:
            continue
        simulations = []
        with contextlib.ExitStack() as stack:
            for module, attribute, replacement in changes:
                stack.enter_context(
                    mock.patch.object(module, attribute, replacement)
                )
            run_shares = []
            for seed in range(seeds):
                simulation = Simulation(seed, mixes.MIXES[mix].load(load))
                run_shares.append(simulation.run())
                simulations.append(simulation)
        _print_variant(name, run_shares, simulations)


def _print_variant(
    name: str,
    run_shares: list[dict[str, float]],
    simulations: list[Simulation],
) -> None:
    means = {
        key: round(statistics.mean(shares[key] for shares in run_shares), 3)
        for key in run_shares[0]
    }
    stop_count = sum(simulation.stop_count for simulation in simulations)
    typer.echo(f'{name:24} {means} stops {stop_count}')
    waits = list(
        itertools.chain.from_iterable(
            simulation.gang_waits() for simulation in simulations
        )
    )
    for size_class, seconds in _split_by_size(waits).items():
        started = sorted(wait for wait in seconds if math.isfinite(wait))
        percentiles = [
            round(started[int(quantile * (len(started) - 1))], 2)
            for quantile in (0.5, 0.95, 1)
            if started
        ]
        typer.echo(
            f'    {size_class:14} {len(started)} of {len(seconds)} gangs'
            f' started, after {percentiles} s (p50, p95, longest)'
        )


def _split_by_size(
    rows: list[tuple[int, float]],
) -> dict[str, list[float]]:
    """Return the second column of rows by the class of size of the first."""
    ordered = sorted(rows)
    by_class = {}
    upper = len(ordered)
    for quantile, size_class in SIZE_CLASSES:
        lower = round(quantile * len(ordered))
        by_class[size_class] = [figure for _, figure in ordered[lower:upper]]
        upper = lower
    return by_class


if __name__ == '__main__':
    cli()
