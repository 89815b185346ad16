"""Weighted fair queue of waiting work, by kind and then by team.

Each kind is guaranteed a share of the capacity in proportion to its weight.
Kinds below their share are served first, urgent before patient; kinds above
their share use what is left. Within a kind, the team with the smallest
allocation relative to its weight is served first, provided that it is within
its quota. Within a team, tickets are served by earliest deadline.
"""

from __future__ import annotations

import heapq
import itertools
from collections import abc

import attrs
import sortedcontainers

from jujubebend import admission, ledger, manifest, policy, resources

URGENT_RESERVED_FRACTION = 0.125
EARMARK_AFTER_SECONDS = 3.0
HANDOVER_SEARCH_LIMIT = 16
UNKNOWN_KIND = manifest.Kind('unknown', manifest.PATIENT)
UNKNOWN_TEAM = manifest.Team('unknown')


@attrs.define(eq=False)
class Ticket:
    """One piece of work that waits for capacity.

    ``deadline`` and ``queued_at`` are seconds on the clock of this process.
    A ticket may be dropped when its queue is full if it ``is_sheddable``. If
    it ``is_from_peer``, it is queued on behalf of a peer and is not handed
    over again.
    """

    id: str
    kind: str
    team: str
    demand: resources.Resources
    placement_policy: policy.Policy
    deadline: float
    queued_at: float
    is_sheddable: bool = True
    is_from_peer: bool = False
    is_waiting: bool = True

    def allocation_on(self, worker: str) -> ledger.Allocation:
        """Return the allocation of this ticket on ``worker``."""
        group = ''
        if isinstance(self.placement_policy, policy.Spread):
            group = self.placement_policy.group
        return ledger.Allocation(
            self.id, worker, self.demand, self.kind, self.team, group
        )


@attrs.define(eq=False)
class _TeamQueue:
    """Waiting tickets of one team within one kind, by deadline.

    ``size`` counts only tickets that still wait. The heap may also hold
    removed tickets, which are dropped when they reach its head. Those that fit
    no owned worker, even an empty one, are set aside in ``oversized``, by ID.
    """

    team: str
    sort_key: tuple[float, str] = (0, '')
    size: int = 0
    heap: list[tuple[float, int, Ticket]] = attrs.field(factory=list)
    oversized: dict[str, tuple[float, int, Ticket]] = attrs.field(factory=dict)

    def entries(self) -> list[tuple[float, int, Ticket]]:
        in_heap = (entry for entry in self.heap if entry[2].is_waiting)
        return [*self.oversized.values(), *in_heap]

    def first(self) -> Ticket | None:
        entry = min(self.entries(), default=None)
        return entry[2] if entry else None

    def set_head_aside(self) -> None:
        entry = heapq.heappop(self.heap)
        self.oversized[entry[2].id] = entry

    def put_oversized_back(self) -> None:
        for entry in self.oversized.values():
            heapq.heappush(self.heap, entry)
        self.oversized.clear()

    def head(self) -> Ticket | None:
        while self.heap and not self.heap[0][2].is_waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def handover_candidate(self) -> Ticket | None:
        """Return the first ticket that may be handed to a peer.

        Only the first ``HANDOVER_SEARCH_LIMIT`` entries are searched.
        """
        first_entries = heapq.nsmallest(HANDOVER_SEARCH_LIMIT, self.entries())
        candidates = (
            ticket for _, _, ticket in first_entries if not ticket.is_from_peer
        )
        return next(candidates, None)


@attrs.define(eq=False)
class _KindQueue:
    """The queue of one kind: its settings, team queues and allocations."""

    settings: manifest.Kind
    guaranteed_share: float = 1
    allocated: resources.Resources = resources.NOTHING
    size: int = 0
    grant_meter: admission.RateMeter = attrs.field(factory=admission.RateMeter)
    team_queues: dict[str, _TeamQueue] = attrs.field(factory=dict)
    team_allocated: dict[str, resources.Resources] = attrs.field(factory=dict)
    serving_order: sortedcontainers.SortedKeyList = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(
            key=lambda team_queue: team_queue.sort_key
        )
    )


@attrs.frozen
class Placed:
    """A placed ticket and the worker on which capacity is allocated to it."""

    ticket: Ticket
    worker: str


@attrs.define
class FairQueue:
    """Tickets that wait for capacity in one ledger.

    For example:

        fair_queue.add(ticket)
        placed = fair_queue.place_next(now)
    """

    worker_ledger: ledger.Ledger
    tickets: dict[str, Ticket] = attrs.field(factory=dict)
    _kind_queues: dict[str, _KindQueue] = attrs.field(factory=dict)
    _teams: dict[str, manifest.Team] = attrs.field(factory=dict)
    _team_allocated: dict[str, resources.Resources] = attrs.field(factory=dict)
    _patient_allocated: resources.Resources = resources.NOTHING
    _has_urgent_kinds: bool = False
    _sequence: abc.Iterator[int] = attrs.field(factory=itertools.count)
    _earmarked_ticket: Ticket | None = None
    _room_revision: int = 0

    def configure(self, config: manifest.Manifest) -> None:
        """Apply the kinds and teams of the operator configuration."""
        self._teams = {team.name: team for team in config.teams}
        for kind in config.kinds:
            self._kind_queue(kind.name).settings = kind
        total_weight = sum(
            kind_queue.settings.weight
            for kind_queue in self._kind_queues.values()
        )
        for kind_queue in self._kind_queues.values():
            kind_queue.guaranteed_share = (
                kind_queue.settings.weight / total_weight
            )
        self._has_urgent_kinds = any(
            kind.work_class == manifest.URGENT for kind in config.kinds
        )

    def find_refusal(
        self, kind: str, team: str, time_left: float, now: float
    ) -> admission.Refusal | None:
        """Return why work would be refused now, or None if admitted.

        ``time_left`` is the seconds to its deadline. A full queue refuses
        work of the team with the most waiting tickets. Work of a team with
        fewer is admitted, and the newest ticket of the largest team is shed.
        """
        kind_queue = self._kind_queue(kind)
        rate = kind_queue.grant_meter.rate(now)
        limit = kind_queue.settings.queue_limit
        refusal = admission.find_refusal(
            kind_queue.size, limit, time_left, rate
        )
        team_queue = kind_queue.team_queues.get(team)
        own_size = team_queue.size if team_queue else 0
        if (
            refusal
            and kind_queue.size >= limit
            and self._largest_team_queue(kind_queue).size > own_size + 1
        ):
            return admission.find_refusal(own_size, limit, time_left, rate)
        return refusal

    def add(self, ticket: Ticket) -> Ticket | None:
        """Queue a ticket; return the ticket shed to make room, if any."""
        kind_queue = self._kind_queue(ticket.kind)
        shed_ticket = None
        if (
            ticket.is_sheddable
            and kind_queue.size >= kind_queue.settings.queue_limit
        ):
            shed_ticket = self._shed_newest_ticket(kind_queue)
        team_queue = self._team_queue(kind_queue, ticket.team)
        entry = (ticket.deadline, next(self._sequence), ticket)
        heapq.heappush(team_queue.heap, entry)
        team_queue.size += 1
        kind_queue.size += 1
        if team_queue.size == 1:
            kind_queue.serving_order.add(team_queue)
        self.tickets[ticket.id] = ticket
        return shed_ticket

    def cancel(self, ticket_id: str) -> Ticket | None:
        """Remove a waiting ticket and return it, or None if there is none.

        The amortised cost is constant, apart from reordering the teams when
        the last ticket of a team goes.
        """
        ticket = self.tickets.get(ticket_id)
        if ticket is not None:
            self._remove_ticket(ticket)
        return ticket

    def place_next(self, now: float) -> Placed | None:
        """Place the next ticket that fits and allocate capacity to it.

        Tickets that do not fit are skipped. Once a skipped ticket has waited
        for ``EARMARK_AFTER_SECONDS``, a worker is kept free for it. The other
        tickets of its team wait behind it, unless it fits no owned worker even
        if that is empty. Returns None if no ticket can be placed.
        """
        self._put_oversized_back()
        unplaced: list[tuple[type, resources.Resources]] = []
        kind_queues = [
            kind_queue
            for kind_queue in self._kind_queues.values()
            if kind_queue.size
        ]
        for kind_queue in sorted(kind_queues, key=self._kind_sort_key):
            for team_queue in kind_queue.serving_order:
                placed = self._try_place_head(
                    kind_queue, team_queue, now, unplaced
                )
                if placed is not None:
                    return placed
        return None

    def take_for_peer(
        self, kind: str, team: str, room: resources.Resources
    ) -> Ticket | None:
        """Remove and return a ticket to run in a peer's free capacity.

        Takes the first ticket of the kind and team that is not from a peer.
        Returns None if there is none or if it does not fit ``room``.
        """
        kind_queue = self._kind_queue(kind)
        team_queue = kind_queue.team_queues.get(team)
        ticket = team_queue.handover_candidate() if team_queue else None
        if ticket is None or not ticket.demand.fits(room):
            return None
        self._remove_ticket(ticket)
        return ticket

    def handover_candidates(self) -> list[Ticket]:
        """Return the first ticket not from a peer, of each kind and team."""
        team_queues = (
            team_queue
            for kind_queue in self._kind_queues.values()
            if kind_queue.size
            for team_queue in kind_queue.serving_order
        )
        candidates = (
            team_queue.handover_candidate() for team_queue in team_queues
        )
        return [ticket for ticket in candidates if ticket is not None]

    def heads(self) -> list[Ticket]:
        """Return the first ticket of each kind and team, in serving order."""
        kind_queues = sorted(
            (
                kind_queue
                for kind_queue in self._kind_queues.values()
                if kind_queue.size
            ),
            key=self._kind_sort_key,
        )
        heads = (
            team_queue.first()
            for kind_queue in kind_queues
            for team_queue in kind_queue.serving_order
        )
        return [ticket for ticket in heads if ticket is not None]

    def waiting_by_kind(self) -> dict[str, int]:
        """Return the number of waiting tickets by kind."""
        return {
            name: kind_queue.size
            for name, kind_queue in self._kind_queues.items()
        }

    def count_allocation(self, allocation: ledger.Allocation) -> None:
        """Count a new allocation towards its kind and team."""
        self._count_change(allocation, allocation.demand)

    def count_deallocation(self, allocation: ledger.Allocation) -> None:
        """Subtract a released allocation from its kind and team."""
        self._count_change(allocation, resources.NOTHING - allocation.demand)

    def count_growth(
        self, before: ledger.Allocation, after: ledger.Allocation
    ) -> None:
        """Count the growth of an allocation."""
        self._count_change(after, after.demand - before.demand)

    def _count_change(
        self, allocation: ledger.Allocation, change: resources.Resources
    ) -> None:
        kind_queue = self._kind_queue(allocation.kind)
        kind_queue.allocated += change
        team_total = self._team_allocated.get(
            allocation.team, resources.NOTHING
        )
        self._team_allocated[allocation.team] = team_total + change
        team_in_kind = kind_queue.team_allocated.get(
            allocation.team, resources.NOTHING
        )
        kind_queue.team_allocated[allocation.team] = team_in_kind + change
        if kind_queue.settings.work_class == manifest.PATIENT:
            self._patient_allocated += change
        team_queue = kind_queue.team_queues.get(allocation.team)
        if team_queue is not None:
            self._update_sort_key(kind_queue, team_queue)

    def _try_place_head(
        self,
        kind_queue: _KindQueue,
        team_queue: _TeamQueue,
        now: float,
        unplaced: list[tuple[type, resources.Resources]],
    ) -> Placed | None:
        while True:
            ticket = team_queue.head()
            if ticket is None or not self._is_within_limits(kind_queue, ticket):
                return None
            worker = self._find_worker(ticket, now, unplaced)
            if worker:
                return self._place_ticket(kind_queue, ticket, worker, now)
            if self.worker_ledger.fits_empty_worker(ticket.demand):
                return None
            team_queue.set_head_aside()

    def _find_worker(
        self,
        ticket: Ticket,
        now: float,
        unplaced: list[tuple[type, resources.Resources]],
    ) -> str:
        policy_type = type(ticket.placement_policy)
        is_earmarked = self._earmarked_ticket is ticket
        # A demand at least as large as one that did not fit does not fit.
        if not is_earmarked and any(
            policy_type is unplaced_type and unplaced_demand.fits(ticket.demand)
            for unplaced_type, unplaced_demand in unplaced
        ):
            return ''
        worker = self.worker_ledger.find_worker(
            ticket.placement_policy,
            ticket.demand,
            now,
            may_use_earmarked=is_earmarked,
        )
        if not worker:
            unplaced.append((policy_type, ticket.demand))
            self._earmark_if_overdue(ticket, now)
        return worker

    def _put_oversized_back(self) -> None:
        """Try tickets again that may fit a worker since that was added."""
        if self._room_revision == self.worker_ledger.room_revision:
            return
        self._room_revision = self.worker_ledger.room_revision
        for kind_queue in self._kind_queues.values():
            for team_queue in kind_queue.team_queues.values():
                team_queue.put_oversized_back()

    def _place_ticket(
        self, kind_queue: _KindQueue, ticket: Ticket, worker: str, now: float
    ) -> Placed:
        self._remove_ticket(ticket)
        allocation = ticket.allocation_on(worker)
        self.worker_ledger.allocate(allocation)
        self.count_allocation(allocation)
        kind_queue.grant_meter.record_grant(now)
        return Placed(ticket, worker)

    def _earmark_if_overdue(self, ticket: Ticket, now: float) -> None:
        if self.worker_ledger.earmarked_worker:
            return
        if now - ticket.queued_at < EARMARK_AFTER_SECONDS:
            return
        self.worker_ledger.earmark(ticket.demand)
        if self.worker_ledger.earmarked_worker:
            self._earmarked_ticket = ticket

    def _is_within_limits(self, kind_queue: _KindQueue, ticket: Ticket) -> bool:
        total = self.worker_ledger.total_capacity
        team = self._teams.get(ticket.team, UNKNOWN_TEAM)
        team_total = self._team_allocated.get(ticket.team, resources.NOTHING)
        # The quota does not limit the first allocation of a team.
        if team.quota < 1 and team_total != resources.NOTHING:
            if (team_total + ticket.demand).dominant_share(total) > team.quota:
                return False
        if (
            kind_queue.settings.work_class != manifest.PATIENT
            or not self._has_urgent_kinds
        ):
            return True
        # Patient work leaves some slots free for urgent work, except that its
        # first allocation is always allowed.
        if self._patient_allocated == resources.NOTHING:
            return True
        patient_total = self._patient_allocated + ticket.demand
        return patient_total.slots <= total.slots * (
            1 - URGENT_RESERVED_FRACTION
        )

    def _kind_sort_key(
        self, kind_queue: _KindQueue
    ) -> tuple[bool, bool, float]:
        share = kind_queue.allocated.dominant_share(
            self.worker_ledger.total_capacity
        )
        return (
            share >= kind_queue.guaranteed_share,
            kind_queue.settings.work_class != manifest.URGENT,
            share / kind_queue.settings.weight,
        )

    def _kind_queue(self, kind: str) -> _KindQueue:
        kind_queue = self._kind_queues.get(kind)
        if kind_queue is None:
            kind_queue = _KindQueue(attrs.evolve(UNKNOWN_KIND, name=kind))
            self._kind_queues[kind] = kind_queue
        return kind_queue

    def _team_queue(self, kind_queue: _KindQueue, team: str) -> _TeamQueue:
        team_queue = kind_queue.team_queues.get(team)
        if team_queue is None:
            team_queue = _TeamQueue(team)
            kind_queue.team_queues[team] = team_queue
            self._update_sort_key(kind_queue, team_queue)
        return team_queue

    def _update_sort_key(
        self, kind_queue: _KindQueue, team_queue: _TeamQueue
    ) -> None:
        if team_queue.size:
            kind_queue.serving_order.remove(team_queue)
        weight = self._teams.get(team_queue.team, UNKNOWN_TEAM).weight
        team_in_kind = kind_queue.team_allocated.get(
            team_queue.team, resources.NOTHING
        )
        share = (
            team_in_kind.dominant_share(self.worker_ledger.total_capacity)
            / weight
        )
        team_queue.sort_key = (share, team_queue.team)
        if team_queue.size:
            kind_queue.serving_order.add(team_queue)

    def _remove_ticket(self, ticket: Ticket) -> None:
        ticket.is_waiting = False
        self.tickets.pop(ticket.id)
        kind_queue = self._kind_queue(ticket.kind)
        team_queue = kind_queue.team_queues[ticket.team]
        team_queue.oversized.pop(ticket.id, None)
        team_queue.size -= 1
        kind_queue.size -= 1
        if not team_queue.size:
            kind_queue.serving_order.remove(team_queue)
            team_queue.heap.clear()
        if self._earmarked_ticket is ticket:
            self._earmarked_ticket = None
            self.worker_ledger.earmarked_worker = ''

    def _largest_team_queue(self, kind_queue: _KindQueue) -> _TeamQueue:
        return max(
            kind_queue.team_queues.values(),
            key=lambda team_queue: team_queue.size,
        )

    def _shed_newest_ticket(self, kind_queue: _KindQueue) -> Ticket | None:
        team_queue = self._largest_team_queue(kind_queue)
        sheddable_entries = (
            entry for entry in team_queue.entries() if entry[2].is_sheddable
        )
        newest_entry = max(
            sheddable_entries, key=lambda entry: entry[1], default=None
        )
        if newest_entry is None:
            return None
        self._remove_ticket(newest_entry[2])
        return newest_entry[2]
