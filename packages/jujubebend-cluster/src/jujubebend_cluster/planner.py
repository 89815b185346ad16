"""Chooses what starts next and where.

Groups are taken in order of rank, then of the objective that they are about
to miss. A gang is placed whole or not at all; while one waits for room, work
of lower rank is kept off the workers that it needs most.
"""

from __future__ import annotations

import functools
import itertools
from collections import abc

import attrs

from jujubebend_cluster import book, fleet, jobspec

RESERVATIONS = 2  # gangs at once that may keep lower work off workers
PACKING_WEIGHT = 0.3  # of a worker's fill against its relative speed
PATIENT_SLACK = 2.0  # times the work; slow workers take about 1.5 times
FAST_FACTOR = 1.15  # times the mean pace of a service's workers
KEPT_FREE = 0.2  # of a fast worker's processors, for work that needs it
LATE_FACTOR = 3.0  # past this many objectives a job earns nothing


@attrs.frozen
class Placement:
    """One task and the worker that it shall run on."""

    task: book.Task
    worker: fleet.Worker
    ticket: str = ''


@attrs.define(eq=False)
class Plan:
    """What one pass decided; ``unadvised`` groups need tickets first."""

    placements: list[Placement] = attrs.field(factory=list)
    unadvised: list[book.Group] = attrs.field(factory=list)
    blocked: list[book.Group] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Pass:
    plan: Plan
    now: float
    workers: abc.Sequence[fleet.Worker]
    fast: float
    reserved: dict[str, int] = attrs.field(factory=dict)
    reservations: int = 0


def urgency(
    queue: jobspec.Queue, group: book.Group, unix: float
) -> tuple[int, int, float]:
    """Return the sort key of a group: the smallest goes first."""
    spec = group.job.spec
    objective = queue.objective(spec)
    begun = spec.accepted_at
    if spec.occurrences:
        begun = spec.first_due + group.occurrence * spec.interval
    worthless = unix > begun + LATE_FACTOR * objective
    return int(worthless), queue.rank, begun + objective


def plan(
    ordered: abc.Iterable[tuple[jobspec.Queue, book.Group]],
    cell: fleet.Fleet,
    now: float,
) -> Plan:
    """Place what has room, in the order given."""
    made = Plan()
    passes: dict[str, _Pass] = {}
    for queue, group in ordered:
        one = passes.get(queue.service)
        if one is None:
            workers = cell.usable(queue.service, now)
            one = _Pass(made, now, workers, _fast_pace(workers))
            passes[queue.service] = one
        _place_group(one, queue, group)
    for placement in made.placements:
        # The caller occupies the room for good once the record is made.
        placement.worker.vacate(placement.task)
    return made


def _place_group(one: _Pass, queue: jobspec.Queue, group: book.Group) -> None:
    allowed = _allowed(one, queue, group)
    ticketed = _ticketed(one, queue, group, allowed)
    if group.step.gang:
        placed = _place_gang(one, queue, group, ticketed)
    else:
        placed = _place_each(one, queue, group, ticketed)
    if placed:
        return
    one.plan.blocked.append(group)
    suited = allowed
    if queue.advice is not None:
        suited = [
            worker for worker in allowed if worker.name in group.tickets.good
        ]
        if _needs_advice(one, queue, group, allowed, suited):
            one.plan.unadvised.append(group)
    if group.step.gang:
        _reserve(one, queue, group, suited)


def _fast_pace(workers: abc.Sequence[fleet.Worker]) -> float:
    """Return the pace from which a worker counts as a fast one."""
    total = sum(worker.speed for worker in workers)
    return FAST_FACTOR * total / max(1, len(workers))


def is_patient(queue: jobspec.Queue) -> bool:
    """Say whether the queue's objective allows for a slow worker."""
    return queue.slack_factor >= PATIENT_SLACK


def _seats_at(
    one: _Pass,
    queue: jobspec.Queue,
    step: jobspec.Step,
    worker: fleet.Worker,
    most: int,
) -> int:
    """Return how many tasks of a step the worker may take now.

    Work whose objective allows for slow workers leaves a share of the fast
    ones to work that needs them.
    """
    kept = 0
    if is_patient(queue) and worker.speed >= one.fast:
        kept = round(KEPT_FREE * worker.entry.capacity.cpu_milli)
    worker.used_cpu += kept
    count = worker.count_fitting(step.demand, most, filler=step.filler)
    worker.used_cpu -= kept
    return count


def _ticketed(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    allowed: list[fleet.Worker],
) -> list[fleet.Worker]:
    if queue.advice is None:
        return allowed
    return [
        worker
        for worker in allowed
        if group.tickets.valid(worker.name, one.now) is not None
    ]


def _allowed(
    one: _Pass, queue: jobspec.Queue, group: book.Group
) -> list[fleet.Worker]:
    label = group.step.required_label
    return [
        worker
        for worker in one.workers
        if worker.has_label(label)
        and one.reserved.get(worker.name, queue.rank) >= queue.rank
    ]


def _needs_advice(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    allowed: list[fleet.Worker],
    suited: list[fleet.Worker],
) -> bool:
    """Say whether a call for advice could let more of the group start."""
    tickets = group.tickets
    if tickets.asking:
        return False
    if not tickets.asked:
        return True
    fresh = [
        worker
        for worker in allowed
        if worker.name not in tickets.asked and worker.fits(group.step.demand)
    ]
    if not group.step.gang:
        return bool(fresh) or any(
            worker.fits(group.step.demand)
            for worker in suited
            if tickets.valid(worker.name, one.now) is None
        )
    # Tickets of a gang age while it waits for room: they are renewed once
    # the room is there.
    wanted = len(group.tasks)
    return _gang_seats(one, queue, group, suited + fresh, wanted) is not None


def _place_each(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    allowed: list[fleet.Worker],
) -> bool:
    step = group.step
    for task in group.waiting_tasks():
        choices = [
            worker
            for worker in allowed
            if _seats_at(one, queue, step, worker, 1)
            and _below_limit(group, worker, one)
        ]
        if not choices:
            return False
        merit = functools.partial(_merit, queue, group, task)
        best = max(choices, key=merit)
        _take(one, group, task, best)
    return True


def _merit(
    queue: jobspec.Queue,
    group: book.Group,
    task: book.Task,
    worker: fleet.Worker,
) -> tuple[float, ...]:
    step = group.step
    far = bool(step.data_rack) and worker.entry.rack != step.data_rack
    speed = -worker.speed if is_patient(queue) else worker.speed
    room = worker.entry.capacity
    fill = worker.used_cpu / max(1, room.cpu_milli)
    return (
        -float(worker.name in task.failed_on),
        -float(far),
        speed + PACKING_WEIGHT * fill,
        fill,
    )


def _place_gang(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    allowed: list[fleet.Worker],
) -> bool:
    if group.placed:
        return True
    tasks = group.waiting_tasks()
    chosen = _gang_seats(one, queue, group, allowed, len(tasks))
    if chosen is None:
        return False
    for task, worker in zip(tasks, chosen, strict=True):
        _take(one, group, task, worker)
    return True


def _gang_seats(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    allowed: list[fleet.Worker],
    wanted: int,
) -> list[fleet.Worker] | None:
    if not group.step.same_rack:
        return _seats(one, queue, group, allowed, wanted)
    racks: dict[str, list[fleet.Worker]] = {}
    for worker in allowed:
        racks.setdefault(worker.entry.rack, []).append(worker)
    for members in racks.values():
        seats = _seats(one, queue, group, members, wanted)
        if seats is not None:
            return seats
    return None


def _seats(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    workers: list[fleet.Worker],
    wanted: int,
) -> list[fleet.Worker] | None:
    step = group.step
    seats: list[fleet.Worker] = []
    ranked = sorted(
        workers,
        key=lambda worker: (worker.speed, worker.used_cpu),
        reverse=not is_patient(queue),
    )
    for worker in ranked:
        count = _seats_at(one, queue, step, worker, wanted - len(seats))
        if step.per_worker_limit:
            count = min(count, step.per_worker_limit)
        seats.extend(itertools.repeat(worker, count))
        if len(seats) >= wanted:
            return seats
    return None


def _reserve(
    one: _Pass,
    queue: jobspec.Queue,
    group: book.Group,
    allowed: list[fleet.Worker],
) -> None:
    """Keep lower ranks off the emptiest workers that would seat the gang."""
    if one.reservations >= RESERVATIONS:
        return
    one.reservations += 1
    step = group.step
    seats = 0
    for worker in sorted(allowed, key=lambda each: each.used_cpu):
        if worker.name in one.reserved:
            continue
        one.reserved[worker.name] = queue.rank
        room = worker.entry.capacity
        seats += room.cpu_milli // max(1, step.demand.cpu_milli)
        if seats >= len(group.tasks):
            return


def _below_limit(group: book.Group, worker: fleet.Worker, one: _Pass) -> bool:
    limit = group.step.per_worker_limit
    if not limit:
        return True
    here = sum(task.worker == worker.name for task in group.placed_tasks())
    here += sum(
        placement.worker is worker and placement.task.group is group
        for placement in one.plan.placements
    )
    return here < limit


def _take(
    one: _Pass, group: book.Group, task: book.Task, worker: fleet.Worker
) -> None:
    ticket = group.tickets.valid(worker.name, one.now) or ''
    worker.occupy(task)
    one.plan.placements.append(Placement(task, worker, ticket))
