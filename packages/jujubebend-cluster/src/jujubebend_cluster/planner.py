"""Planning passes: which groups start next, and on which workers.

Groups are taken in order of urgency: by rank, then by whether they can still
meet their objective, then by when they have to start for that. Groups that are
too late to earn anything go last. A gang is placed as a whole or not at all.
While a gang waits for capacity, the workers that it needs are reserved against
lower-ranked work, and lower-ranked tasks with checkpoints are preempted.
"""

from __future__ import annotations

import collections
import heapq
import math
from collections import abc

import attrs

from jujubebend_cluster import (
    adviceclient,
    fleet,
    jobspec,
    jobtable,
    placement,
    preemption,
)

# A job that is later than this multiple of its objective earns nothing.
LATE_FACTOR = 3.0
# Latency-tolerant work may run on slow workers, which take this multiple of the
# declared work.
SLOW_WORKER_FACTOR = 1.7
# Time in which the capacity of a whole service becomes free for one gang. A gang
# that needs a share of it takes that share of this time to find its place.
GATHERING_TIME_S = 40.0
# A gang has enough approved workers once they could run this multiple of its
# tasks.
APPROVED_CAPACITY_FACTOR = 8.0
# Groups of one queue that require the same label, which a pass tries to place
# without success before it skips the others; also the number of a queue's
# groups whose turn it is in a pass.
MAX_BLOCKED_GROUPS = 20
# The size of a service without listed workers.
UNKNOWN_SIZE = fleet.ServiceSize()


@attrs.frozen
class AdviceRequest:
    """A group that needs advice on the workers of its service.

    ``awaited_workers`` are the names of the workers reserved for the group, and
    ``worker_count`` is how many workers to ask about at the most.
    """

    placement_request: placement.PlacementRequest
    usable_workers: abc.Sequence[fleet.Worker]
    awaited_workers: frozenset[str]
    worker_count: int


@attrs.define(eq=False)
class Plan:
    """The decisions of one planning pass."""

    placements: list[placement.Placement] = attrs.field(factory=list)
    advice_requests: list[AdviceRequest] = attrs.field(factory=list)
    preempted: list[jobtable.Task] = attrs.field(factory=list)


@attrs.define(eq=False)
class _ServicePass:
    """The part of a planning pass that concerns one service.

    ``turns`` are the groups whose turn it is: they are tried in any case.
    ``_blocked_counts`` counts the groups that found no room, by queue and by
    required label.
    """

    plan: Plan
    placer: placement.Placer
    turns: abc.Set[jobtable.Group]
    _blocked_counts: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )

    def place_group(self, request: placement.PlacementRequest) -> None:
        """Place a group as far as it fits, else prepare capacity for it.

        Under overload most groups of a queue do not fit, so a pass tries
        only the first of them, and those whose turn it is: that some found no
        room says little about the others, which may ask for less. A group that
        has no advice yet is always tried, so that its advice is requested
        without delay.
        """
        queue = request.queue
        key = (queue.name, request.step.required_label)
        is_new = (
            queue.advice is not None
            and not request.group.tickets.queried_workers
        )
        is_limited = self._blocked_counts[key] >= MAX_BLOCKED_GROUPS
        if is_limited and not is_new and request.group not in self.turns:
            return
        request.group.tried_at = self.placer.now
        ticketed = self.placer.ticketed_workers(request)
        if request.step.gang:
            is_placed = self._place_gang(request, ticketed)
        else:
            is_placed = self.placer.place_tasks(request, ticketed)
        if not is_placed:
            self._blocked_counts[key] += not is_new
            self._prepare_capacity(request)

    def _place_gang(
        self,
        request: placement.PlacementRequest,
        allowed: abc.Sequence[fleet.Worker],
    ) -> bool:
        if request.group.placed_count:
            return True
        chosen = self.placer.choose_gang_workers(request, allowed)
        if chosen is None:
            return False
        tasks = request.group.waiting_tasks()
        for task, worker in zip(tasks, chosen, strict=True):
            self.placer.assign_task(request, task, worker)
        return True

    def _prepare_capacity(self, request: placement.PlacementRequest) -> None:
        """Reserve workers, preempt lower-ranked tasks and request advice."""
        approved = self.placer.approved_workers(request)
        awaited_workers = frozenset()
        may_reserve = preemption.may_reserve(self.placer)
        if may_reserve and self._may_ever_fit(request, approved):
            reservation = preemption.reserve_workers(
                self.placer, request, approved
            )
            self.plan.preempted.extend(reservation.preempted)
            if reservation.count >= request.group.waiting_count:
                awaited_workers = frozenset(
                    worker.name for worker in reservation.workers
                )
        if request.queue.advice is None:
            return
        count = self._count_workers_to_query(request, approved, awaited_workers)
        if count:
            advice_request = AdviceRequest(
                request, self.placer.workers, awaited_workers, count
            )
            self.plan.advice_requests.append(advice_request)

    def _may_ever_fit(
        self,
        request: placement.PlacementRequest,
        approved: abc.Sequence[fleet.Worker],
    ) -> bool:
        """Return whether a gang would fit if nothing else ran.

        One that never fits, or that is approved on too few workers, must not
        reserve any: it would keep other work from them for nothing. Workers
        that advice has not been requested on may still be approved.
        """
        if not request.step.gang:
            return True
        candidates = approved
        if request.queue.advice is not None:
            candidates = [*approved, *self._unqueried_workers(request)]
        return any(
            placement.may_hold(request, members)
            for members in placement.partition_by_rack(request, candidates)
        )

    def _count_workers_to_query(
        self,
        request: placement.PlacementRequest,
        approved: abc.Sequence[fleet.Worker],
        awaited_workers: frozenset[str],
    ) -> int:
        """Return on how many workers to request advice now, zero for none."""
        tickets = request.group.tickets
        if request.step.gang:
            return self._count_workers_to_query_for_gang(
                request, approved, awaited_workers
            )
        if tickets.pending_workers:
            return 0
        usual_count = adviceclient.USUAL_WORKERS_PER_CALL
        if not tickets.queried_workers:
            return usual_count
        unqueried = self._unqueried_workers(request)
        expired = [
            worker
            for worker in approved
            if tickets.valid_ticket(worker.name, self.placer.arrival) is None
        ]
        fits_more = any(
            worker.fits(request.step.demand)
            for worker in (*unqueried, *expired)
        )
        return usual_count if fits_more else 0

    def _unqueried_workers(
        self, request: placement.PlacementRequest
    ) -> abc.Sequence[fleet.Worker]:
        tickets = request.group.tickets
        return self.placer.eligible_workers(
            request, tickets.queried_workers | tickets.pending_workers
        )

    def _count_workers_to_query_for_gang(
        self,
        request: placement.PlacementRequest,
        approved: abc.Sequence[fleet.Worker],
        awaited_workers: frozenset[str],
    ) -> int:
        tickets = request.group.tickets
        usual_count = adviceclient.USUAL_WORKERS_PER_CALL
        unqueried = self._unqueried_workers(request)
        # Tickets expire while the gang waits for capacity. They are renewed
        # only once the capacity is there or is about to be.
        expired_count = sum(
            tickets.is_advice_useful(name, self.placer.arrival)
            for name in awaited_workers
        )
        missing = _count_missing_approvals(
            request, approved, self.placer.mean_cpu_milli
        )
        if unqueried and missing:
            new_count = math.ceil(missing / tickets.approval_rate)
            return max(usual_count, expired_count + new_count)
        if expired_count:
            return max(usual_count, expired_count)
        if tickets.pending_workers:
            return 0
        fitting = [
            worker for worker in unqueried if worker.fits(request.step.demand)
        ]
        gang_fits = self.placer.choose_gang_workers(
            request, [*approved, *fitting]
        )
        return 0 if gang_fits is None else usual_count


def urgency_key(
    queue: jobspec.Queue,
    group: jobtable.Group,
    unix_now: float,
    size: fleet.ServiceSize = UNKNOWN_SIZE,
) -> tuple[int, int, int, float]:
    """Return the sort key of a group: the most urgent has the smallest key.

    Within a rank, groups that can still meet their objective go before those
    that cannot: with the oldest first, an overload would make every job late.
    Latency-tolerant groups must be able to meet it on slow workers too, or an
    overload would let each of them start just too late for those.

    Then the group goes first that must start first to meet its objective. By
    deadline alone, a long or a wide group would wait behind others until it is
    too late for it. ``size`` is that of the queue's service.
    """
    spec = group.job.spec
    objective = queue.objective(spec)
    begins_at = spec.accepted_at
    if spec.occurrences:
        begins_at = spec.first_due + group.occurrence * spec.interval
    due_at = begins_at + objective
    is_too_late = unix_now > begins_at + LATE_FACTOR * objective
    run_seconds = group.step.estimate
    if placement.is_latency_tolerant(queue):
        run_seconds *= SLOW_WORKER_FACTOR
    misses_objective = unix_now + run_seconds > due_at
    starts_by = due_at - run_seconds
    if group.step.gang:
        starts_by -= _gathering_time(group, size)
    return int(is_too_late), queue.rank, int(misses_objective), starts_by


def _gathering_time(group: jobtable.Group, size: fleet.ServiceSize) -> float:
    """Return how long a gang takes to find room for all its tasks at once."""
    room = size.count_tasks(group.step.demand)
    return GATHERING_TIME_S * min(1, len(group.tasks) / max(1, room))


def sort_by_urgency(
    ready: abc.Iterable[tuple[jobspec.Queue, jobtable.Group]],
    unix_now: float,
    worker_fleet: fleet.Fleet,
) -> list[placement.PlacementRequest]:
    """Return a placement request for each ready group, most urgent first."""
    sizes = worker_fleet.measure_services()
    rows = []
    for number, (queue, group) in enumerate(ready):
        key = urgency_key(
            queue, group, unix_now, sizes.get(queue.service, UNKNOWN_SIZE)
        )
        rows.append((
            key,
            number,
            placement.PlacementRequest(queue, group, bool(key[0])),
        ))
    rows.sort()
    return [request for _, _, request in rows]


def plan(
    requests: abc.Collection[placement.PlacementRequest],
    worker_fleet: fleet.Fleet,
    now: float,
    max_placements: float = math.inf,
    start_delay: float = 0,
) -> Plan:
    """Place the groups that fit, in the given order.

    The capacity of each placed task is allocated on its worker. No group is
    placed once there are ``max_placements``; only the last one, a gang, may
    exceed them. A start is expected to reach its worker after ``start_delay``
    seconds, with a ticket that is still valid then.
    """
    new_plan = Plan()
    turns = _choose_turns(requests)
    pass_by_service: dict[str, _ServicePass] = {}
    for request in requests:
        if len(new_plan.placements) >= max_placements:
            break
        service = request.queue.service
        service_pass = pass_by_service.get(service)
        if service_pass is None:
            placer = placement.Placer(
                worker_fleet.usable_workers(service, now),
                now,
                placements=new_plan.placements,
                max_placements=max_placements,
                start_delay=start_delay,
            )
            service_pass = _ServicePass(new_plan, placer, turns)
            pass_by_service[service] = service_pass
        service_pass.place_group(request)
    return new_plan


def _choose_turns(
    requests: abc.Iterable[placement.PlacementRequest],
) -> set[jobtable.Group]:
    """Return the groups of each queue whose last try is the longest ago.

    So each group is tried again and again, however many others wait, and a
    group that was never tried is tried at once.
    """
    groups_by_queue: dict[str, list[jobtable.Group]] = {}
    for request in requests:
        groups_by_queue.setdefault(request.queue.name, []).append(request.group)
    turns: set[jobtable.Group] = set()
    for groups in groups_by_queue.values():
        turns.update(
            heapq.nsmallest(
                MAX_BLOCKED_GROUPS, groups, key=lambda group: group.tried_at
            )
        )
    return turns


def _count_missing_approvals(
    request: placement.PlacementRequest,
    approved: abc.Sequence[fleet.Worker],
    mean_cpu_milli: float,
) -> int:
    """Return how many more approved workers would leave a gang enough choice.

    The approvals expected of pending requests are counted too. Workers that
    have not been approved yet are taken to have ``mean_cpu_milli``.
    """
    tickets = request.group.tickets
    cpu_per_task = max(1, request.step.demand.cpu_milli)
    missing_tasks = APPROVED_CAPACITY_FACTOR * len(request.group.tasks) - sum(
        worker.entry.capacity.cpu_milli // cpu_per_task for worker in approved
    )
    tasks_per_worker = max(1, mean_cpu_milli // cpu_per_task)
    expected = tickets.approval_rate * len(tickets.pending_workers)
    return max(0, math.ceil(missing_tasks / tasks_per_worker - expected))
