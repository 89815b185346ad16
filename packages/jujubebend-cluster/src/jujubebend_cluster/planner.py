"""Chooses what starts next and where.

Groups are taken in order of rank, then of the objective that they are about
to miss. A gang is placed whole or not at all; while one waits for room, work
of lower rank is kept off the workers that it needs most, and what has been
saved there gives way.
"""

from __future__ import annotations

import collections
from collections import abc

import attrs

from jujubebend_cluster import fleet, jobspec, jobtable, placement, preemption

LATE_FACTOR = 3.0  # past this many objectives a job earns nothing
KNOWN_FACTOR = 4.0  # times a gang's seats, on workers known to be good
MOST_BLOCKED = 20  # groups of a queue without room that one pass looks at


@attrs.frozen
class AdviceRequest:
    """A group that needs advice on the ``usable_workers`` workers of its service.

    ``awaited_workers`` are those that it waits for.
    """

    placement_request: placement.PlacementRequest
    usable_workers: abc.Sequence[fleet.Worker]
    awaited_workers: frozenset[str]


@attrs.define(eq=False)
class Plan:
    """What one pass decided."""

    placements: list[placement.Placement] = attrs.field(factory=list)
    advice_requests: list[AdviceRequest] = attrs.field(factory=list)
    preempted: list[jobtable.Task] = attrs.field(factory=list)


@attrs.define(eq=False)
class _Pass:
    """One service during one pass."""

    plan: Plan
    room: placement.Seats
    reservations: int = 0
    _blocked: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def place(self, want: placement.PlacementRequest) -> None:
        """Place a group as far as there is room, or prepare for it.

        Under a flood, most groups of a queue find no room: only the first
        are looked at in one pass, but each may ask for advice at once.
        """
        queue = want.queue
        is_new = queue.advice is not None and not want.group.tickets.asked
        if self._blocked[queue.name] >= MOST_BLOCKED and not is_new:
            return
        ticketed = self.room.ticketed(want)
        if want.step.gang:
            done = self._place_gang(want, ticketed)
        else:
            done = self.room.place_each(want, ticketed)
        if not done:
            self._blocked[queue.name] += not is_new
            self._prepare(want)

    def _place_gang(
        self,
        want: placement.PlacementRequest,
        allowed: abc.Sequence[fleet.Worker],
    ) -> bool:
        if want.group.placed:
            return True
        chosen = self.room.gang(want, allowed)
        if chosen is None:
            return False
        tasks = want.group.waiting_tasks()
        for task, worker in zip(tasks, chosen, strict=True):
            self.room.take(want, task, worker)
        return True

    def _prepare(self, want: placement.PlacementRequest) -> None:
        """Reserve room, have saved work give way, and ask for advice."""
        suited = self.room.suited(want)
        about = frozenset()
        if self.reservations < preemption.RESERVATIONS:
            made = preemption.reserve(self.room, want, suited)
            self.reservations += bool(made.workers and want.step.gang)
            self.plan.preempted.extend(made.preempted)
            if made.count >= want.group.waiting_count:
                about = frozenset(worker.name for worker in made.workers)
        if want.queue.advice is None:
            return
        if self._needs_advice(want, suited, about):
            asked = AdviceRequest(want, self.room.workers, about)
            self.plan.advice_requests.append(asked)

    def _needs_advice(
        self,
        want: placement.PlacementRequest,
        suited: abc.Sequence[fleet.Worker],
        about: frozenset[str],
    ) -> bool:
        """Say whether a call for advice could let more of the group start."""
        tickets = want.group.tickets
        if tickets.is_request_pending:
            return False
        if not tickets.asked:
            return True
        fresh = [
            worker
            for worker in self.room.allowed(want)
            if worker.name not in tickets.asked
        ]
        if want.step.gang:
            return self._gang_needs_advice(want, fresh, suited, about)
        stale = [
            worker
            for worker in suited
            if tickets.valid_ticket(worker.name, self.room.now) is None
        ]
        return any(worker.fits(want.step.demand) for worker in fresh + stale)

    def _gang_needs_advice(
        self,
        want: placement.PlacementRequest,
        fresh: list[fleet.Worker],
        suited: abc.Sequence[fleet.Worker],
        about: frozenset[str],
    ) -> bool:
        if fresh and not _knows_enough(want, suited):
            return True
        # Tickets age while the gang waits for room: they are renewed once
        # the room is there, or about to be.
        tickets = want.group.tickets
        stale = any(
            tickets.valid_ticket(name, self.room.now) is None for name in about
        )
        if about and stale:
            return True
        roomy = [worker for worker in fresh if worker.fits(want.step.demand)]
        return self.room.gang(want, [*suited, *roomy]) is not None


def urgency(
    queue: jobspec.Queue, group: jobtable.Group, unix: float
) -> tuple[int, int, int, float]:
    """Return the sort key of a group: the smallest goes first.

    Within a rank, what can still meet its objective goes before what cannot:
    under a flood, the oldest first would make every job late.
    """
    spec = group.job.spec
    objective = queue.objective(spec)
    begun = spec.accepted_at
    if spec.occurrences:
        begun = spec.first_due + group.occurrence * spec.interval
    due = begun + objective
    worthless = unix > begun + LATE_FACTOR * objective
    late = unix + group.step.estimate > due
    return int(worthless), queue.rank, int(late), due


def sort_by_urgency(
    ready: abc.Iterable[tuple[jobspec.Queue, jobtable.Group]], unix: float
) -> list[placement.PlacementRequest]:
    """Return the groups that are ready, the most urgent first."""
    rows = []
    for number, (queue, group) in enumerate(ready):
        key = urgency(queue, group, unix)
        rows.append((
            key,
            number,
            placement.PlacementRequest(queue, group, bool(key[0])),
        ))
    rows.sort()
    return [want for _, _, want in rows]


def plan(
    ordered: abc.Iterable[placement.PlacementRequest],
    cell: fleet.Fleet,
    now: float,
) -> Plan:
    """Place what has room, in the order given; the room is occupied."""
    made = Plan()
    passes: dict[str, _Pass] = {}
    for want in ordered:
        service = want.queue.service
        one = passes.get(service)
        if one is None:
            room = placement.Seats(
                cell.usable_workers(service, now), now, taken=made.placements
            )
            one = _Pass(made, room)
            passes[service] = one
        one.place(want)
    return made


def _knows_enough(
    want: placement.PlacementRequest, suited: abc.Sequence[fleet.Worker]
) -> bool:
    """Say whether a gang could choose among the workers known to be good."""
    needed = max(1, want.step.demand.cpu_milli)
    known = sum(worker.entry.capacity.cpu_milli // needed for worker in suited)
    return known >= KNOWN_FACTOR * len(want.group.tasks)
