"""Placement of a group's tasks on the workers of one service."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import abc

import attrs

from jujubebend_cluster import fleet, jobspec, jobtable, progress

# Weight of a worker's CPU utilization (0 to 1) against its relative speed.
PACKING_WEIGHT = 0.3
# A queue whose slack factor is at least this high tolerates slow workers:
# they take about 1.5 times the estimated work.
LATENCY_TOLERANT_SLACK = 2.0
# A worker counts as fast from this multiple of its service's mean speed.
FAST_FACTOR = 1.05
# Share of the CPU of all fast workers of a service that is kept free of
# latency-tolerant work. It may be on any of them: a quarter of each worker would
# be too little for most tasks.
RESERVED_FAST_SHARE = 0.25


@attrs.frozen
class PlacementRequest:
    """A group that is ready to run, and the queue that it was submitted to.

    A group that ``is_too_late`` no longer earns anything and preempts no
    other work.
    """

    queue: jobspec.Queue
    group: jobtable.Group
    is_too_late: bool = False

    @property
    def step(self) -> jobspec.Step:
        """Return the group's step."""
        return self.group.step

    @property
    def is_preemptible(self) -> bool:
        """Return whether tasks of the group can be stopped at little loss."""
        step = self.step
        return step.checkpoints and not (
            step.gang or step.lasting or step.filler
        )

    @property
    def is_latency_tolerant(self) -> bool:
        """Return whether the queue's objective leaves time for slow workers."""
        return is_latency_tolerant(self.queue)


@attrs.frozen
class Placement:
    """A task, the worker chosen for it, and the queue's rank at that time."""

    task: jobtable.Task
    worker: fleet.Worker
    ticket: str = ''
    rank: int = 0


@attrs.frozen
class WorkerReservation:
    """A worker's reservation for a gang of ``rank`` that waits for capacity.

    Work of a lower rank may not use the worker. An ``is_exclusive``
    reservation is that of a gang that starts as soon as the capacity on its
    workers is released: no other work of its rank may use them either.
    """

    group: jobtable.Group
    rank: int
    is_exclusive: bool

    def admits(self, request: PlacementRequest) -> bool:
        """Return whether a group may use the worker all the same."""
        if request.group is self.group or request.queue.rank < self.rank:
            return True
        if self.is_exclusive:
            return False
        return request.queue.rank == self.rank or request.is_preemptible


@attrs.define(eq=False)
class Placer:
    """Places groups on the workers of one service during a planning pass.

    ``reservations`` maps the name of a reserved worker to the reservation.
    Independent tasks are not placed beyond ``max_placements`` in the pass.
    Starts reach their workers ``start_delay`` seconds later.
    """

    workers: abc.Sequence[fleet.Worker]
    now: float
    reservations: dict[str, WorkerReservation] = attrs.field(factory=dict)
    placements: list[Placement] = attrs.field(factory=list)
    max_placements: float = math.inf
    start_delay: float = 0
    mean_cpu_milli: float = attrs.field(init=False)
    _mean_speed: float = attrs.field(init=False)
    _tolerant_room_milli: float = attrs.field(init=False)
    _by_name: dict[str, fleet.Worker] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Index the workers and compute their mean capacity and speed."""
        self._by_name = {worker.name: worker for worker in self.workers}
        count = max(1, len(self.workers))
        self._mean_speed = sum(worker.speed for worker in self.workers) / count
        self.mean_cpu_milli = (
            sum(worker.entry.capacity.cpu_milli for worker in self.workers)
            / count
        )
        self._tolerant_room_milli = sum(
            (1 - RESERVED_FAST_SHARE) * worker.entry.capacity.cpu_milli
            - (worker.used_cpu - worker.sensitive_cpu)
            for worker in self.workers
            if self._is_fast(worker)
        )

    @property
    def arrival(self) -> float:
        """Return when a start that is placed now reaches its worker."""
        return self.now + self.start_delay

    def eligible_workers(
        self,
        request: PlacementRequest,
        excluded: abc.Collection[str] = (),
    ) -> abc.Sequence[fleet.Worker]:
        """Return the workers that the group's label and rank allow.

        Those with a name in ``excluded`` are left out.
        """
        if not (self.reservations or request.step.required_label or excluded):
            return self.workers
        return [
            worker
            for worker in self.workers
            if worker.name not in excluded
            and self._is_eligible(request, worker)
        ]

    def ticketed_workers(
        self, request: PlacementRequest
    ) -> abc.Sequence[fleet.Worker]:
        """Return the workers on which the group may be started now.

        For a queue with advice, these are the workers with a valid ticket.
        """
        if request.queue.advice is None:
            return self.eligible_workers(request)
        approvals = request.group.tickets.approvals
        valid_names = [
            name
            for name, (_, expires_at) in approvals.items()
            if self.arrival < expires_at
        ]
        return self._select_by_name(request, valid_names)

    def approved_workers(
        self, request: PlacementRequest
    ) -> abc.Sequence[fleet.Worker]:
        """Return the workers that advice approved, even with expired tickets.

        For a queue without advice, these are all eligible workers.
        """
        if request.queue.advice is None:
            return self.eligible_workers(request)
        return self._select_by_name(request, request.group.tickets.approvals)

    def count_fitting(
        self,
        request: PlacementRequest,
        worker: fleet.Worker,
        limit: int,
        freed: jobspec.Demand = fleet.NO_DEMAND,
    ) -> int:
        """Return how many of a group's tasks fit on a worker, up to ``limit``.

        Latency-tolerant work leaves a share of the fast workers to work that
        needs one; only a gang, which is placed as a whole, may exceed it.
        ``freed`` is the capacity that tasks being stopped will release.
        """
        step = request.step
        count = worker.count_fitting(
            step.demand, limit, filler=step.filler, freed=freed
        )
        if count and request.is_latency_tolerant and self._is_fast(worker):
            room = self._tolerant_room_milli + freed.cpu_milli
            cpu_per_task = max(1, step.demand.cpu_milli)
            count = min(count, max(0, int(room // cpu_per_task)))
        if step.per_worker_limit:
            remaining = step.per_worker_limit - self._count_group_tasks(
                request.group, worker
            )
            count = min(count, max(0, remaining))
        return count

    def place_tasks(
        self, request: PlacementRequest, allowed: abc.Sequence[fleet.Worker]
    ) -> bool:
        """Place independent tasks on the best workers; return whether all fit.

        The tasks beyond ``max_placements`` count as fitting.

        Workers are ranked once: a placement changes only the rank of the
        worker that it uses.
        """
        tasks = request.group.waiting_tasks()
        never_failed = [task for task in tasks if not task.failed_on]
        for task in tasks:
            if task.failed_on and not self._place_retry(request, task, allowed):
                return False
        ranked = [
            (_placement_cost(request, worker), worker.name)
            for worker in allowed
            if self.count_fitting(request, worker, 1)
        ]
        heapq.heapify(ranked)
        for task in never_failed:
            if len(self.placements) >= self.max_placements:
                return True
            worker = self._pop_fitting(request, ranked)
            if worker is None:
                return False
            self.assign_task(request, task, worker)
            entry = (_placement_cost(request, worker), worker.name)
            heapq.heappush(ranked, entry)
        return True

    def choose_gang_workers(
        self, request: PlacementRequest, allowed: abc.Sequence[fleet.Worker]
    ) -> list[fleet.Worker] | None:
        """Return a worker for each task of a gang, None if not all fit."""
        task_count = len(request.group.tasks)
        counts = {
            worker.name: self.count_fitting(request, worker, task_count)
            for worker in allowed
        }
        if sum(counts.values()) < task_count:
            return None
        fitting = [worker for worker in allowed if counts[worker.name]]
        for members in self.partition(request, fitting):
            chosen = _fill_workers(members, counts, task_count)
            if chosen is not None:
                return chosen
        return None

    def partition(
        self, request: PlacementRequest, workers: abc.Sequence[fleet.Worker]
    ) -> abc.Iterator[abc.Sequence[fleet.Worker]]:
        """Yield the sets of workers that may hold all tasks, the best first.

        A step that must stay in one rack has its own sets for each rack. The
        members of a gang end together, with the slowest, and hold the faster
        workers until then. So a gang goes to workers that are all faster or
        all slower than the mean, and only if it fits on neither to both. The
        slower ones come first if its queue tolerates them.
        """
        racks = partition_by_rack(request, workers)
        if request.step.gang:
            prefers_fast = not request.is_latency_tolerant
            for is_fast in (prefers_fast, not prefers_fast):
                for members in racks:
                    yield [
                        worker
                        for worker in members
                        if (worker.speed > self._mean_speed) == is_fast
                    ]
        yield from racks

    def assign_task(
        self,
        request: PlacementRequest,
        task: jobtable.Task,
        worker: fleet.Worker,
    ) -> None:
        """Place a task on a worker and allocate the worker's capacity."""
        ticket = request.group.tickets.valid_ticket(worker.name, self.now) or ''
        task.is_latency_sensitive = not request.is_latency_tolerant
        worker.allocate(task)
        if request.is_latency_tolerant and self._is_fast(worker):
            self._tolerant_room_milli -= request.step.demand.cpu_milli
        self.placements.append(
            Placement(task, worker, ticket, request.queue.rank)
        )

    def _pop_fitting(
        self, request: PlacementRequest, ranked: list
    ) -> fleet.Worker | None:
        """Take the best worker on which one more task fits from the heap."""
        while ranked:
            worker = self._by_name[heapq.heappop(ranked)[1]]
            if self.count_fitting(request, worker, 1):
                return worker
        return None

    def _is_fast(self, worker: fleet.Worker) -> bool:
        return worker.speed >= FAST_FACTOR * self._mean_speed

    def _select_by_name(
        self, request: PlacementRequest, names: abc.Iterable[str]
    ) -> list[fleet.Worker]:
        known_workers = [
            self._by_name[name] for name in names if name in self._by_name
        ]
        return [
            worker
            for worker in known_workers
            if self._is_eligible(request, worker)
        ]

    def _is_eligible(
        self, request: PlacementRequest, worker: fleet.Worker
    ) -> bool:
        reservation = self.reservations.get(worker.name)
        is_admitted = reservation is None or reservation.admits(request)
        return is_admitted and worker.has_label(request.step.required_label)

    def _place_retry(
        self,
        request: PlacementRequest,
        task: jobtable.Task,
        allowed: abc.Sequence[fleet.Worker],
    ) -> bool:
        """Place a failed task, if possible on a worker where it did not fail.

        Return whether it was placed.
        """
        fitting = [
            worker
            for worker in allowed
            if self.count_fitting(request, worker, 1)
        ]
        if not fitting:
            return False
        chosen = min(
            fitting,
            key=lambda worker: (
                worker.name in task.failed_on,
                _placement_cost(request, worker),
            ),
        )
        self.assign_task(request, task, chosen)
        return True

    def _count_group_tasks(
        self, group: jobtable.Group, worker: fleet.Worker
    ) -> int:
        return sum(
            task.group is group and task.state is not progress.TaskState.DONE
            for task in worker.tasks.values()
        )


def is_latency_tolerant(queue: jobspec.Queue) -> bool:
    """Return whether the queue's objective leaves time for slow workers."""
    return queue.slack_factor >= LATENCY_TOLERANT_SLACK


def partition_by_rack(
    request: PlacementRequest, workers: abc.Sequence[fleet.Worker]
) -> list[abc.Sequence[fleet.Worker]]:
    """Return the sets of workers, one of which must hold all tasks.

    A step that must stay in one rack has a set for each rack, any other step
    a single set.
    """
    if not request.step.same_rack:
        return [workers]
    by_rack: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.entry.rack, []).append(worker)
    return list(by_rack.values())


def count_when_empty(request: PlacementRequest, worker: fleet.Worker) -> int:
    """Return how many of a group's tasks fit if nothing else runs there."""
    step = request.step
    count = worker.count_when_empty(step.demand)
    return min(count, step.per_worker_limit or count)


def may_hold(
    request: PlacementRequest, workers: abc.Iterable[fleet.Worker]
) -> bool:
    """Return whether all tasks of a group fit if nothing else runs.

    Only for a group that does not fit are all workers looked at.
    """
    missing = len(request.group.tasks)
    for worker in workers:
        missing -= count_when_empty(request, worker)
        if missing <= 0:
            return True
    return False


def _fill_workers(
    workers: abc.Sequence[fleet.Worker],
    counts: abc.Mapping[str, int],
    task_count: int,
) -> list[fleet.Worker] | None:
    """Return a worker for each task, the most used first; None if too few.

    ``counts`` maps the name of each worker to how many tasks fit on it.
    """
    chosen: list[fleet.Worker] = []
    for worker in sorted(
        workers, key=lambda worker: worker.used_cpu, reverse=True
    ):
        count = min(counts[worker.name], task_count - len(chosen))
        chosen.extend(itertools.repeat(worker, count))
        if len(chosen) >= task_count:
            return chosen
    return None


def _placement_cost(
    request: PlacementRequest, worker: fleet.Worker
) -> tuple[float, ...]:
    """Return the sort key of a worker: the lowest is the best choice.

    The criteria are, in this order: the rack of the step's data, isolation
    of serving tasks from fillers, speed with a bonus for workers that are
    already in use, and utilization. Latency-tolerant work prefers slow
    workers.
    """
    step = request.step
    is_remote = bool(step.data_rack) and worker.entry.rack != step.data_rack
    speed = -worker.speed if request.is_latency_tolerant else worker.speed
    utilization = worker.used_cpu / max(1, worker.entry.capacity.cpu_milli)
    return (
        is_remote,
        -_isolation_score(step, worker),
        -speed - PACKING_WEIGHT * utilization,
        -utilization,
    )


def _isolation_score(step: jobspec.Step, worker: fleet.Worker) -> float:
    """Return how little a task and its neighbours would interfere.

    The score is in thousandths of a core, higher is better. Serving tasks
    avoid workers with fillers; fillers avoid workers with serving tasks.
    """
    if step.latency_target:
        return -worker.filler_cpu
    if not step.filler:
        return 0
    has_serving_tasks = any(
        task.group.step.latency_target for task in worker.tasks.values()
    )
    used_cpu = worker.used_cpu + worker.filler_cpu
    return worker.entry.capacity.cpu_milli * (1 - has_serving_tasks) - used_cpu
