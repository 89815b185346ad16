"""Room for work of higher rank: reserved, and given up by saved work.

A task that saves its progress loses almost nothing when it is stopped: it
goes on from its checkpoint elsewhere. So tasks of lower rank that do so give
way to a group that finds no room.
"""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import fleet, jobspec, jobtable, placement, progress

RESERVATIONS = 2  # gangs at once that may keep lower work off workers
PATIENCE = 0.25  # seconds that a group waits for room before others give way


@attrs.define(eq=False)
class Reservation:
    """The workers that a group waits for, and the tasks that give way.

    ``count`` is how many of the group's tasks would fit then.
    """

    count: int = 0
    workers: list[fleet.Worker] = attrs.field(factory=list)
    preempted: list[jobtable.Task] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Offer:
    """What one worker could give: seats, and the tasks to stop for them."""

    worker: fleet.Worker
    count: int
    victims: list[jobtable.Task]


def reserve(
    room: placement.Seats,
    want: placement.PlacementRequest,
    suited: abc.Sequence[fleet.Worker],
) -> Reservation:
    """Choose the workers that can seat the group soonest.

    Nothing is evicted unless a gang would then fit whole.
    """
    choices = [
        _choose(room, want, members)
        for members in placement.racks(want, suited)
    ]
    made = max(choices, key=lambda one: one.count, default=Reservation())
    if want.step.gang:
        for worker in made.workers:
            room.reserved[worker.name] = want.queue.rank
        if made.count < want.group.waiting_count:
            made.preempted.clear()
    ready = want.group.ready_at
    if want.is_worthless or ready is None or room.now - ready < PATIENCE:
        made.preempted.clear()
    return made


def _choose(
    room: placement.Seats,
    want: placement.PlacementRequest,
    workers: abc.Sequence[fleet.Worker],
) -> Reservation:
    """Take the offers that cost least, then wait for the emptiest workers."""
    made = Reservation()
    wanted = want.group.waiting_count
    offers = [_offer(room, want, worker, wanted) for worker in workers]
    offers.sort(key=lambda one: (len(one.victims), -one.count))
    for whole in offers:
        left = min(whole.count, wanted - made.count)
        if not left:
            continue
        offer = _offer(room, want, whole.worker, left)
        made.workers.append(offer.worker)
        made.preempted.extend(offer.victims)
        made.count += offer.count
    if made.count < wanted and want.step.gang:
        _wait_for(want, offers, made)
    return made


def _wait_for(
    want: placement.PlacementRequest, offers: list[_Offer], made: Reservation
) -> None:
    needed = max(1, want.step.demand.cpu_milli)
    missing = want.group.waiting_count - made.count
    offers.sort(key=lambda one: one.worker.used_cpu)
    for offer in offers:
        if missing <= 0:
            return
        most = offer.worker.entry.capacity.cpu_milli // needed
        missing -= most - offer.count
        if offer.worker not in made.workers:
            made.workers.append(offer.worker)


def _offer(
    room: placement.Seats,
    want: placement.PlacementRequest,
    worker: fleet.Worker,
    most: int,
) -> _Offer:
    """Return what stops under way free, and what evictions would add."""
    freed = _sum(task for task in worker.tasks.values() if task.is_stopping)
    count = room.count(want, worker, most, freed)
    victims: list[jobtable.Task] = []
    chosen: list[jobtable.Task] = []
    for task in _evictable(want, worker):
        if count >= most:
            break
        chosen.append(task)
        freed = _sum((task,), freed)
        more = room.count(want, worker, most, freed)
        if more > count:
            count = more
            victims = list(chosen)
    return _Offer(worker, count, victims)


def _sum(
    tasks: abc.Iterable[jobtable.Task], freed: jobspec.Demand = fleet.NOTHING
) -> jobspec.Demand:
    for task in tasks:
        demand = task.group.step.demand
        freed = jobspec.Demand(
            freed.cpu_milli + demand.cpu_milli,
            freed.memory_mb + demand.memory_mb,
            freed.accelerators + demand.accelerators,
        )
    return freed


def _evictable(
    want: placement.PlacementRequest, worker: fleet.Worker
) -> list[jobtable.Task]:
    found = [
        task
        for task in worker.tasks.values()
        if _may_give_way(task) and task.rank > want.queue.rank
    ]
    found.sort(key=lambda task: (-task.rank, task.percent))
    return found


def _may_give_way(task: jobtable.Task) -> bool:
    step = task.group.step
    return (
        step.checkpoints
        and not (step.gang or step.lasting or step.filler)
        and task.state is progress.TaskState.PLACED
        and task.answered_at is not None
        and not (task.is_stopping or task.was_preempted)
    )
