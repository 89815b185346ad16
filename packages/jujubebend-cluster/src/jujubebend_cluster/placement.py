"""Where the tasks of a group fit, among the workers of one service."""

from __future__ import annotations

import heapq
import itertools
from collections import abc

import attrs

from jujubebend_cluster import fleet, jobspec, jobtable, progress

PACKING_WEIGHT = 0.3  # of a worker's fill against its relative speed
PATIENT_SLACK = 2.0  # times the work; slow workers take about 1.5 times
FAST_FACTOR = 1.15  # times the mean pace of a service's workers
KEPT_FREE = 0.1  # of a fast worker's processors, for work that needs it


@attrs.frozen
class PlacementRequest:
    """A group that is ready, and the queue that it came through.

    One that is too late to be of worth makes no other work give way.
    """

    queue: jobspec.Queue
    group: jobtable.Group
    is_worthless: bool = False

    @property
    def step(self) -> jobspec.Step:
        """Return the group's step."""
        return self.group.step

    @property
    def is_latency_tolerant(self) -> bool:
        """Say whether the objective allows for a slow worker."""
        return is_latency_tolerant(self.queue)


@attrs.frozen
class Placement:
    """One task and the worker that it shall run on."""

    task: jobtable.Task
    worker: fleet.Worker
    ticket: str = ''
    rank: int = 0


@attrs.define(eq=False)
class Seats:
    """The room of one service during one planning pass.

    ``reserved`` maps a worker to the lowest rank that may still use it.
    """

    workers: abc.Sequence[fleet.Worker]
    now: float
    reserved: dict[str, int] = attrs.field(factory=dict)
    taken: list[Placement] = attrs.field(factory=list)
    _fast: float = attrs.field(init=False)
    _by_name: dict[str, fleet.Worker] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Learn the pace from which a worker counts as a fast one."""
        self._by_name = {worker.name: worker for worker in self.workers}
        total = sum(worker.speed for worker in self.workers)
        self._fast = FAST_FACTOR * total / max(1, len(self.workers))

    def allowed(self, want: PlacementRequest) -> abc.Sequence[fleet.Worker]:
        """Return the workers that the group's step and rank admit."""
        if not self.reserved and not want.step.required_label:
            return self.workers
        return [worker for worker in self.workers if self._admits(want, worker)]

    def ticketed(self, want: PlacementRequest) -> abc.Sequence[fleet.Worker]:
        """Return the workers that the group may be started on now."""
        if want.queue.advice is None:
            return self.allowed(want)
        good = want.group.tickets.good
        valid = [name for name, (_, until) in good.items() if self.now < until]
        return self._named(want, valid)

    def suited(self, want: PlacementRequest) -> abc.Sequence[fleet.Worker]:
        """Return the workers on which the group is known to be admitted."""
        if want.queue.advice is None:
            return self.allowed(want)
        return self._named(want, want.group.tickets.good)

    def count(
        self,
        want: PlacementRequest,
        worker: fleet.Worker,
        most: int,
        freed: jobspec.Demand = fleet.NOTHING,
    ) -> int:
        """Return how many tasks of a group the worker may take.

        Work whose objective allows for slow workers leaves a share of the
        fast ones to work that needs them. ``freed`` is what stops under way
        will give back.
        """
        kept = 0
        if worker.speed >= self._fast and want.is_latency_tolerant:
            kept = round(KEPT_FREE * worker.entry.capacity.cpu_milli)
        step = want.step
        count = worker.count_fitting(
            step.demand,
            most,
            filler=step.filler,
            freed=freed,
            kept_cpu=kept,
        )
        if step.per_worker_limit:
            left = step.per_worker_limit - self._here(want.group, worker)
            count = min(count, max(0, left))
        return count

    def place_each(
        self, want: PlacementRequest, allowed: abc.Sequence[fleet.Worker]
    ) -> bool:
        """Place single tasks, each where it suits best; say if all fit.

        Workers are ranked once: after that only the one taken changes.
        """
        tasks = want.group.waiting_tasks()
        rest = [task for task in tasks if not task.failed_on]
        for task in tasks:
            if task.failed_on and not self._place_apart(want, task, allowed):
                return False
        ranked = [
            (_demerit(want, worker), worker.name)
            for worker in allowed
            if self.count(want, worker, 1)
        ]
        heapq.heapify(ranked)
        for task in rest:
            if not ranked:
                return False
            worker = self._by_name[ranked[0][1]]
            self.take(want, task, worker)
            if self.count(want, worker, 1):
                entry = (_demerit(want, worker), worker.name)
                heapq.heapreplace(ranked, entry)
            else:
                heapq.heappop(ranked)
        return True

    def gang(
        self, want: PlacementRequest, allowed: abc.Sequence[fleet.Worker]
    ) -> list[fleet.Worker] | None:
        """Return a worker for each task of a gang, None if not all fit."""
        wanted = len(want.group.tasks)
        for members in racks(want, allowed):
            found = self._fill(want, members, wanted)
            if found is not None:
                return found
        return None

    def take(
        self, want: PlacementRequest, task: jobtable.Task, worker: fleet.Worker
    ) -> None:
        """Place a task; its room is occupied from now on."""
        ticket = want.group.tickets.valid_ticket(worker.name, self.now) or ''
        worker.allocate(task)
        self.taken.append(Placement(task, worker, ticket, want.queue.rank))

    def _named(
        self, want: PlacementRequest, names: abc.Iterable[str]
    ) -> list[fleet.Worker]:
        present = [
            self._by_name[name] for name in names if name in self._by_name
        ]
        return [worker for worker in present if self._admits(want, worker)]

    def _admits(self, want: PlacementRequest, worker: fleet.Worker) -> bool:
        rank = want.queue.rank
        reserved = self.reserved.get(worker.name, rank)
        return reserved >= rank and worker.has_label(want.step.required_label)

    def _place_apart(
        self,
        want: PlacementRequest,
        task: jobtable.Task,
        allowed: abc.Sequence[fleet.Worker],
    ) -> bool:
        """Place a task that failed before, away from where it did."""
        choices = [worker for worker in allowed if self.count(want, worker, 1)]
        if not choices:
            return False
        worker = min(
            choices,
            key=lambda one: (one.name in task.failed_on, _demerit(want, one)),
        )
        self.take(want, task, worker)
        return True

    def _fill(
        self,
        want: PlacementRequest,
        workers: abc.Sequence[fleet.Worker],
        wanted: int,
    ) -> list[fleet.Worker] | None:
        found: list[fleet.Worker] = []
        ranked = sorted(
            workers,
            key=lambda worker: (worker.speed, worker.used_cpu),
            reverse=not want.is_latency_tolerant,
        )
        for worker in ranked:
            count = self.count(want, worker, wanted - len(found))
            found.extend(itertools.repeat(worker, count))
            if len(found) >= wanted:
                return found
        return None

    def _here(self, group: jobtable.Group, worker: fleet.Worker) -> int:
        return sum(
            task.group is group and task.state is not progress.TaskState.DONE
            for task in worker.tasks.values()
        )


def is_latency_tolerant(queue: jobspec.Queue) -> bool:
    """Say whether the queue's objective allows for a slow worker."""
    return queue.slack_factor >= PATIENT_SLACK


def racks(
    want: PlacementRequest, workers: abc.Sequence[fleet.Worker]
) -> abc.Iterable[abc.Sequence[fleet.Worker]]:
    """Return the sets of workers of which one must hold all tasks."""
    if not want.step.same_rack:
        return [workers]
    found: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        found.setdefault(worker.entry.rack, []).append(worker)
    return found.values()


def _demerit(want: PlacementRequest, worker: fleet.Worker) -> tuple[float, ...]:
    """Return what speaks against a worker; the smallest suits best."""
    step = want.step
    far = bool(step.data_rack) and worker.entry.rack != step.data_rack
    speed = -worker.speed if want.is_latency_tolerant else worker.speed
    fill = worker.used_cpu / max(1, worker.entry.capacity.cpu_milli)
    return (
        far,
        -_peace(step, worker),
        -speed - PACKING_WEIGHT * fill,
        -fill,
    )


def _peace(step: jobspec.Step, worker: fleet.Worker) -> float:
    """Rate how little serving tasks and fillers would disturb each other."""
    if step.latency_target:
        return -worker.filled_cpu
    if not step.filler:
        return 0
    serving = any(
        task.group.step.latency_target for task in worker.tasks.values()
    )
    used = worker.used_cpu + worker.filled_cpu
    return worker.entry.capacity.cpu_milli * (1 - serving) - used
