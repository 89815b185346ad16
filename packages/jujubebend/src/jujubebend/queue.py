"""The queue of waiting work: fair between kinds, then between teams.

Each kind of work is guaranteed its weight's share of the capacity. Kinds
below their share come first, urgent before patient; kinds above it use what
the others leave. Within a kind the team comes first that holds least for
its weight and is under its quota, and within a team the earliest deadline.
"""

from __future__ import annotations

import heapq
import itertools
from collections import abc

import attrs
import sortedcontainers

from jujubebend import admission, ledger, manifest, policy, resources

URGENT_RESERVE = 0.125
EARMARK_AFTER = 3.0
TAKE_AMONG = 16
UNKNOWN_KIND = manifest.Kind('unknown', manifest.PATIENT)
UNKNOWN_TEAM = manifest.Team('unknown')


@attrs.define(eq=False)
class Ticket:
    """One piece of work that waits for room.

    ``deadline`` and ``queued_at`` are seconds on the clock of this process.
    ``sheddable`` work may be refused when its queue is full. A ``guest``
    waits here for a peer, and must not be handed on to a third host.
    """

    id: str
    kind: str
    team: str
    demand: resources.Resources
    wanted: policy.Policy
    deadline: float
    queued_at: float
    sheddable: bool = True
    guest: bool = False
    waiting: bool = True

    def hold(self, worker: str) -> ledger.Hold:
        """Return what the ticket holds once it is placed on ``worker``."""
        group = ''
        if isinstance(self.wanted, policy.Spread):
            group = self.wanted.group
        return ledger.Hold(
            self.id, worker, self.demand, self.kind, self.team, group
        )


@attrs.define(eq=False)
class _Lane:
    """The waiting work of one team in one kind."""

    team: str
    order: tuple[float, str] = (0, '')
    size: int = 0
    heap: list[tuple[float, int, Ticket]] = attrs.field(factory=list)

    def head(self) -> Ticket | None:
        while self.heap and not self.heap[0][2].waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def own_head(self) -> Ticket | None:
        """Return the first ticket that may be handed to a peer."""
        first = heapq.nsmallest(TAKE_AMONG, self.heap)
        own = (
            ticket
            for _, _, ticket in first
            if ticket.waiting and not ticket.guest
        )
        return next(own, None)


@attrs.define(eq=False)
class _Row:
    """One kind: its settings, its lanes, what it holds."""

    settings: manifest.Kind
    guarantee: float = 1
    held: resources.Resources = resources.NOTHING
    size: int = 0
    meter: admission.RateMeter = attrs.field(factory=admission.RateMeter)
    lanes: dict[str, _Lane] = attrs.field(factory=dict)
    team_held: dict[str, resources.Resources] = attrs.field(factory=dict)
    order: sortedcontainers.SortedKeyList = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(
            key=lambda lane: lane.order
        )
    )


@attrs.frozen
class Placed:
    """A ticket and the worker on which room is now held for it."""

    ticket: Ticket
    worker: str


@attrs.define
class FairQueue:
    """Tickets waiting for room in one ledger.

    waiting.add(ticket, now)
    placed = waiting.pick(now)
    """

    capacity: ledger.Ledger
    tickets: dict[str, Ticket] = attrs.field(factory=dict)
    _rows: dict[str, _Row] = attrs.field(factory=dict)
    _teams: dict[str, manifest.Team] = attrs.field(factory=dict)
    _team_held: dict[str, resources.Resources] = attrs.field(factory=dict)
    _patient_held: resources.Resources = resources.NOTHING
    _has_urgent: bool = False
    _sequence: abc.Iterator[int] = attrs.field(factory=itertools.count)
    _earmark_for: Ticket | None = None

    def configure(self, text: manifest.Manifest) -> None:
        """Take kinds and teams from the operators' text."""
        self._teams = {team.name: team for team in text.teams}
        for kind in text.kinds:
            self._row(kind.name).settings = kind
        weights = sum(row.settings.weight for row in self._rows.values())
        for row in self._rows.values():
            row.guarantee = row.settings.weight / weights
        self._has_urgent = any(
            kind.work_class == manifest.URGENT for kind in text.kinds
        )

    def refusal(
        self, kind: str, team: str, time_left: float, now: float
    ) -> admission.Refusal | None:
        """Say why work of a kind would not be taken now, if so.

        A full queue refuses the team that waits with the most; a smaller
        team's work is taken and the other's newest is shed for it.
        """
        row = self._row(kind)
        rate = row.meter.rate(now)
        limit = row.settings.queue_limit
        full = admission.judge(row.size, limit, time_left, rate)
        lane = row.lanes.get(team)
        own = lane.size if lane else 0
        if full and row.size >= limit and self._largest(row).size > own + 1:
            return admission.judge(own, limit, time_left, rate)
        return full

    def add(self, ticket: Ticket) -> Ticket | None:
        """Queue a ticket; return one that was shed to make room for it."""
        row = self._row(ticket.kind)
        shed = None
        if ticket.sheddable and row.size >= row.settings.queue_limit:
            shed = self._shed(row)
        lane = self._lane(row, ticket.team)
        entry = (ticket.deadline, next(self._sequence), ticket)
        heapq.heappush(lane.heap, entry)
        lane.size += 1
        row.size += 1
        if lane.size == 1:
            row.order.add(lane)
        self.tickets[ticket.id] = ticket
        return shed

    def cancel(self, ticket_id: str) -> Ticket | None:
        """Take a waiting ticket out; amortised constant cost."""
        ticket = self.tickets.get(ticket_id)
        if ticket is not None:
            self._take(ticket)
        return ticket

    def pick(self, now: float) -> Placed | None:
        """Place the ticket whose turn it is and hold its room, if any fits.

        What does not fit is passed by; once it has waited a while a worker
        is kept free for it.
        """
        missed: list[tuple[type, resources.Resources]] = []
        rows = [row for row in self._rows.values() if row.size]
        for row in sorted(rows, key=self._row_order):
            for lane in row.order:
                placed = self._try_head(row, lane, now, missed)
                if placed is not None:
                    return placed
        return None

    def take_for(
        self, kind: str, team: str, room: resources.Resources
    ) -> Ticket | None:
        """Take the best waiting ticket of a lane for room held elsewhere."""
        row = self._row(kind)
        lane = row.lanes.get(team)
        ticket = lane.own_head() if lane else None
        if ticket is None or not ticket.demand.fits(room):
            return None
        self._take(ticket)
        return ticket

    def own_heads(self) -> list[Ticket]:
        """Return the first ticket of each lane that is no guest."""
        lanes = (
            lane
            for row in self._rows.values()
            if row.size
            for lane in row.order
        )
        found = (lane.own_head() for lane in lanes)
        return [ticket for ticket in found if ticket is not None]

    def heads(self) -> list[Ticket]:
        """Return the first ticket of each lane, best first."""
        rows = sorted(
            (row for row in self._rows.values() if row.size),
            key=self._row_order,
        )
        found = (lane.head() for row in rows for lane in row.order)
        return [ticket for ticket in found if ticket is not None]

    def sizes(self) -> dict[str, int]:
        """Return how many wait, by kind."""
        return {name: row.size for name, row in self._rows.items()}

    def held(self, hold: ledger.Hold) -> None:
        """Count what a hold takes towards its kind and team."""
        self._count(hold, hold.demand)

    def freed(self, hold: ledger.Hold) -> None:
        """Count what a hold gave back."""
        self._count(hold, resources.NOTHING - hold.demand)

    def grown(self, before: ledger.Hold, after: ledger.Hold) -> None:
        """Count the growth of a hold."""
        self._count(after, after.demand - before.demand)

    def _count(self, hold: ledger.Hold, change: resources.Resources) -> None:
        row = self._row(hold.kind)
        row.held += change
        held = self._team_held.get(hold.team, resources.NOTHING)
        self._team_held[hold.team] = held + change
        within = row.team_held.get(hold.team, resources.NOTHING)
        row.team_held[hold.team] = within + change
        if row.settings.work_class == manifest.PATIENT:
            self._patient_held += change
        lane = row.lanes.get(hold.team)
        if lane is not None:
            self._reorder(row, lane)

    def _try_head(
        self,
        row: _Row,
        lane: _Lane,
        now: float,
        missed: list[tuple[type, resources.Resources]],
    ) -> Placed | None:
        ticket = lane.head()
        if ticket is None or not self._is_allowed(row, ticket):
            return None
        sort = type(ticket.wanted)
        is_kept = self._earmark_for is ticket
        if not is_kept and any(
            sort is other and least.fits(ticket.demand)
            for other, least in missed
        ):
            return None
        worker = self.capacity.find(
            ticket.wanted, ticket.demand, now, may_use_earmarked=is_kept
        )
        if not worker:
            missed.append((sort, ticket.demand))
            self._maybe_earmark(ticket, now)
            return None
        return self._place(row, ticket, worker, now)

    def _place(
        self, row: _Row, ticket: Ticket, worker: str, now: float
    ) -> Placed:
        self._take(ticket)
        hold = ticket.hold(worker)
        self.capacity.hold(hold)
        self.held(hold)
        row.meter.granted(now)
        return Placed(ticket, worker)

    def _maybe_earmark(self, ticket: Ticket, now: float) -> None:
        if self._earmark_for is not None:
            return
        if now - ticket.queued_at < EARMARK_AFTER:
            return
        self.capacity.earmark(ticket.demand)
        if self.capacity.earmarked:
            self._earmark_for = ticket

    def _is_allowed(self, row: _Row, ticket: Ticket) -> bool:
        total = self.capacity.total
        team = self._teams.get(ticket.team, UNKNOWN_TEAM)
        held = self._team_held.get(ticket.team, resources.NOTHING)
        if team.quota < 1 and held != resources.NOTHING:
            if (held + ticket.demand).share_of(total) > team.quota:
                return False
        if row.settings.work_class != manifest.PATIENT or not self._has_urgent:
            return True
        if self._patient_held == resources.NOTHING:
            return True
        patient = self._patient_held + ticket.demand
        return patient.slots <= total.slots * (1 - URGENT_RESERVE)

    def _row_order(self, row: _Row) -> tuple[bool, bool, float]:
        share = row.held.share_of(self.capacity.total)
        return (
            share >= row.guarantee,
            row.settings.work_class != manifest.URGENT,
            share / row.settings.weight,
        )

    def _row(self, kind: str) -> _Row:
        row = self._rows.get(kind)
        if row is None:
            row = _Row(attrs.evolve(UNKNOWN_KIND, name=kind))
            self._rows[kind] = row
        return row

    def _lane(self, row: _Row, team: str) -> _Lane:
        lane = row.lanes.get(team)
        if lane is None:
            lane = _Lane(team)
            row.lanes[team] = lane
            self._reorder(row, lane)
        return lane

    def _reorder(self, row: _Row, lane: _Lane) -> None:
        if lane.size:
            row.order.remove(lane)
        weight = self._teams.get(lane.team, UNKNOWN_TEAM).weight
        held = row.team_held.get(lane.team, resources.NOTHING)
        share = held.share_of(self.capacity.total) / weight
        lane.order = (share, lane.team)
        if lane.size:
            row.order.add(lane)

    def _take(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self.tickets.pop(ticket.id)
        row = self._row(ticket.kind)
        lane = row.lanes[ticket.team]
        lane.size -= 1
        row.size -= 1
        if not lane.size:
            row.order.remove(lane)
            lane.heap.clear()
        if self._earmark_for is ticket:
            self._earmark_for = None
            self.capacity.earmarked = ''

    def _largest(self, row: _Row) -> _Lane:
        return max(row.lanes.values(), key=lambda lane: lane.size)

    def _shed(self, row: _Row) -> Ticket | None:
        lane = self._largest(row)
        waiting = (
            entry
            for entry in lane.heap
            if entry[2].waiting and entry[2].sheddable
        )
        newest = max(waiting, key=lambda entry: entry[1], default=None)
        if newest is None:
            return None
        self._take(newest[2])
        return newest[2]
