"""Reservation of workers and preemption of lower-ranked tasks.

A task that saves checkpoints loses almost no work when it is stopped: it
continues from its checkpoint on another worker. Such tasks are preempted
when a group of higher rank does not fit.
"""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import fleet, jobspec, jobtable, placement, progress

# Share of a service's workers from which no gang reserves further ones.
MAX_RESERVED_SHARE = 0.1
# Seconds that a group waits for capacity before it preempts other tasks.
PREEMPTION_DELAY_S = 0.25


@attrs.define(eq=False)
class Reservation:
    """The workers that a group waits for, and the tasks to preempt there.

    ``count`` is how many of the group's tasks fit once the preempted tasks are
    stopped.
    """

    count: int = 0
    workers: list[fleet.Worker] = attrs.field(factory=list)
    preempted: list[jobtable.Task] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Offer:
    """How many tasks fit on a worker once ``victims`` are preempted."""

    worker: fleet.Worker
    count: int
    victims: list[jobtable.Task]


def may_reserve(placer: placement.Placer) -> bool:
    """Return whether further workers may be reserved in this pass."""
    limit = MAX_RESERVED_SHARE * len(placer.workers)
    return len(placer.reservations) < limit


def reserve_workers(
    placer: placement.Placer,
    request: placement.PlacementRequest,
    approved: abc.Sequence[fleet.Worker],
) -> Reservation:
    """Choose the workers that can run the group soonest.

    For a gang, these are reserved in ``placer``, and nothing is preempted
    unless all its tasks would then fit.
    """
    offers = _make_offers(placer, request, approved)
    best = Reservation()
    for members in _sets_to_reserve(placer, request, approved):
        reservation = _choose_workers(placer, request, members, offers)
        if reservation.count > best.count or not best.workers:
            best = reservation
        if best.count >= request.group.waiting_count:
            break
    if request.step.gang:
        is_starting = (
            best.count >= request.group.waiting_count
            and _has_valid_tickets(placer, request, best)
        )
        for worker in best.workers:
            placer.reservations.setdefault(
                worker.name,
                placement.WorkerReservation(
                    request.group, request.queue.rank, is_starting
                ),
            )
        if not is_starting:
            best.preempted.clear()
    ready_at = request.group.ready_at
    if (
        request.is_too_late
        or ready_at is None
        or placer.now - ready_at < PREEMPTION_DELAY_S
    ):
        best.preempted.clear()
    return best


def _sets_to_reserve(
    placer: placement.Placer,
    request: placement.PlacementRequest,
    approved: abc.Sequence[fleet.Worker],
) -> list[abc.Sequence[fleet.Worker]]:
    """Return the sets of workers to choose from, the best first.

    They are the sets that hold all tasks once they are empty. If there is
    none, further workers may be approved.
    """
    sets = list(placer.partition(request, approved))
    return [
        members for members in sets if placement.may_hold(request, members)
    ] or sets


def _has_valid_tickets(
    placer: placement.Placer,
    request: placement.PlacementRequest,
    reservation: Reservation,
) -> bool:
    """Return whether a gang may start on all its workers once they are free.

    Otherwise what is stopped for it would leave them idle until advice comes.
    """
    tickets = request.group.tickets
    return request.queue.advice is None or all(
        tickets.valid_ticket(worker.name, placer.arrival)
        for worker in reservation.workers
    )


def _make_offers(
    placer: placement.Placer,
    request: placement.PlacementRequest,
    workers: abc.Sequence[fleet.Worker],
) -> dict[str, _Offer]:
    task_count = request.group.waiting_count
    return {
        worker.name: _make_offer(placer, request, worker, task_count)
        for worker in workers
    }


def _choose_workers(
    placer: placement.Placer,
    request: placement.PlacementRequest,
    workers: abc.Sequence[fleet.Worker],
    offer_by_worker: dict[str, _Offer],
) -> Reservation:
    """Choose the workers with the fewest preemptions.

    If a gang still does not fit, its reservation is extended to the least
    used workers, by CPU.
    """
    reservation = Reservation()
    task_count = request.group.waiting_count
    offers = [offer_by_worker[worker.name] for worker in workers]
    offers.sort(key=lambda offer: (len(offer.victims), -offer.count))
    for full_offer in offers:
        needed = min(full_offer.count, task_count - reservation.count)
        if not needed:
            continue
        offer = full_offer
        if needed < offer.count:
            offer = _make_offer(placer, request, offer.worker, needed)
        reservation.workers.append(offer.worker)
        reservation.preempted.extend(offer.victims)
        reservation.count += offer.count
    if reservation.count < task_count and request.step.gang:
        _extend_reservation(request, offers, reservation)
    return reservation


def _extend_reservation(
    request: placement.PlacementRequest,
    offers: list[_Offer],
    reservation: Reservation,
) -> None:
    missing = request.group.waiting_count - reservation.count
    offers.sort(key=lambda offer: offer.worker.used_cpu)
    for offer in offers:
        if missing <= 0:
            return
        gained = placement.count_when_empty(request, offer.worker) - offer.count
        if gained <= 0:
            continue
        missing -= gained
        if offer.worker not in reservation.workers:
            reservation.workers.append(offer.worker)


def _make_offer(
    placer: placement.Placer,
    request: placement.PlacementRequest,
    worker: fleet.Worker,
    limit: int,
) -> _Offer:
    """Return an offer for up to ``limit`` tasks; preempt no more than needed.

    The capacity of tasks that are already stopping counts as free.
    """
    freed = _sum_demands(
        task for task in worker.tasks.values() if task.is_stopping
    )
    count = placer.count_fitting(request, worker, limit, freed)
    victims: list[jobtable.Task] = []
    considered: list[jobtable.Task] = []
    for task in _preemptible_tasks(request, worker):
        if count >= limit:
            break
        considered.append(task)
        freed = _sum_demands((task,), freed)
        new_count = placer.count_fitting(request, worker, limit, freed)
        if new_count > count:
            count = new_count
            victims = list(considered)
    return _Offer(worker, count, victims)


def _sum_demands(
    tasks: abc.Iterable[jobtable.Task],
    total: jobspec.Demand = fleet.NO_DEMAND,
) -> jobspec.Demand:
    for task in tasks:
        demand = task.group.step.demand
        total = jobspec.Demand(
            total.cpu_milli + demand.cpu_milli,
            total.memory_mb + demand.memory_mb,
            total.accelerators + demand.accelerators,
        )
    return total


def _preemptible_tasks(
    request: placement.PlacementRequest, worker: fleet.Worker
) -> list[jobtable.Task]:
    """Return preemptible tasks: lowest rank first, then least progress."""
    preemptible = [
        task
        for task in worker.tasks.values()
        if _is_preemptible(task) and task.rank > request.queue.rank
    ]
    preemptible.sort(key=lambda task: (-task.rank, task.percent))
    return preemptible


def _is_preemptible(task: jobtable.Task) -> bool:
    step = task.group.step
    return (
        step.checkpoints
        and not (step.gang or step.lasting or step.filler)
        and task.state is progress.TaskState.PLACED
        and task.answered_at is not None
        and not (task.is_stopping or task.was_preempted)
    )
