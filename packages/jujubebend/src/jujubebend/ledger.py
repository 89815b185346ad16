"""In-memory accounting of capacity and reservations on owned workers.

All placement goes through the ledger, and only the owner of a worker starts
work on it, so a worker is never overcommitted. The amount reserved for a
piece of work is the larger of its declared demand and its observed usage.
"""

from __future__ import annotations

import attrs

from jujubebend import ejection, placement, policy, resources

PACE_SMOOTHING = 0.1
RERANK_RATIO = 1.5


@attrs.frozen
class Hold:
    """Capacity of a worker that is reserved for one piece of work."""

    id: str
    worker: str
    demand: resources.Resources
    kind: str
    team: str
    group: str = ''


@attrs.define
class Place:
    """One owned worker: its capacity, its reservations and its speed.

    ``pace`` is the moving average of the ratio between the duration of an
    attempt on this worker and the mean duration of its kind. Below one means
    that the worker is faster than average.
    """

    name: str
    rack: str
    capacity: resources.Resources
    held: resources.Resources = resources.NOTHING
    leaving: bool = False
    leased: bool = True
    pace: float = 1.0


@attrs.define
class Ledger:
    """Reservations on the owned workers, by an id that the caller chooses."""

    ejector: ejection.Ejector = attrs.field(factory=ejection.Ejector)
    places: dict[str, Place] = attrs.field(factory=dict)
    holds: dict[str, Hold] = attrs.field(factory=dict)
    total: resources.Resources = resources.NOTHING
    earmarked: str = ''
    _index: placement.Index = attrs.field(factory=placement.Index)
    _ranked_pace: dict[str, float] = attrs.field(factory=dict)

    def add(self, place: Place) -> None:
        """Add an owned worker."""
        self.places[place.name] = place
        self.total += place.capacity
        self._index.racks[place.name] = place.rack
        self.reindex()

    def remove(self, name: str) -> list[Hold]:
        """Remove a worker and return the reservations lost with it."""
        place = self.places.pop(name, None)
        if place is None:
            return []
        lost = [hold for hold in self.holds.values() if hold.worker == name]
        for hold in lost:
            self.holds.pop(hold.id)
            if hold.group:
                self._index.moved(hold.group, name, -1)
        self.total -= place.capacity
        if self.earmarked == name:
            self.earmarked = ''
        self.reindex()
        return lost

    def find(
        self,
        wanted: policy.Policy,
        demand: resources.Resources,
        now: float,
        *,
        may_use_earmarked: bool = False,
    ) -> str:
        """Return the worker to place ``demand`` on, or '' if none fits."""

        def usable(name: str) -> bool:
            if name == self.earmarked and not may_use_earmarked:
                return False
            return self.ejector.admits(name, now)

        return placement.choose(wanted, self._index, demand, usable)

    def hold(self, hold: Hold) -> None:
        """Reserve capacity; the caller has checked that it fits."""
        place = self.places[hold.worker]
        self.holds[hold.id] = hold
        place.held += hold.demand
        if hold.group:
            self._index.moved(hold.group, hold.worker, 1)
        self._update_index(place)

    def free(self, hold_id: str) -> Hold | None:
        """Release a reservation and return it, or None if there is none."""
        hold = self.holds.pop(hold_id, None)
        if hold is None:
            return None
        place = self.places[hold.worker]
        place.held -= hold.demand
        if hold.group:
            self._index.moved(hold.group, hold.worker, -1)
        self._update_index(place)
        return hold

    def observe(self, hold_id: str, used: resources.Resources) -> Hold | None:
        """Grow a reservation if the work uses more than is reserved for it.

        Returns the reservation after the change, or None if there is none.
        """
        hold = self.holds.get(hold_id)
        if hold is None:
            return None
        new_demand = hold.demand.larger(used)
        if new_demand == hold.demand:
            return hold
        place = self.places[hold.worker]
        place.held += new_demand - hold.demand
        grown = attrs.evolve(hold, demand=new_demand)
        self.holds[hold_id] = grown
        self._update_index(place)
        return grown

    def set_usable(self, name: str, *, leased: bool, leaving: bool) -> None:
        """Set whether a worker is leased and whether it is leaving.

        Only a leased worker that is not leaving receives new work.
        """
        place = self.places[name]
        if (place.leased, place.leaving) == (leased, leaving):
            return
        place.leased = leased
        place.leaving = leaving
        self._update_index(place)

    def paced(self, name: str, ratio: float) -> None:
        """Update the pace of a worker with the duration ratio of an attempt.

        Reordering the workers takes O(n log n), so it is done only when the
        pace has changed by a factor of ``RERANK_RATIO`` since the last time.
        """
        place = self.places.get(name)
        if place is None:
            return
        place.pace += PACE_SMOOTHING * (ratio - place.pace)
        ranked_pace = self._ranked_pace.get(name, 1)
        if (
            not ranked_pace / RERANK_RATIO
            <= place.pace
            <= ranked_pace * RERANK_RATIO
        ):
            self.reindex()

    def earmark(self, demand: resources.Resources) -> None:
        """Keep the least loaded worker that can fit ``demand`` for it.

        Without this, small work that keeps filling the workers would starve
        a large demand. Only one worker is earmarked at a time.
        """
        suitable = [
            place
            for place in self.places.values()
            if demand.fits(place.capacity)
            and place.leased
            and not place.leaving
        ]
        if self.earmarked or not suitable:
            return
        least_loaded = min(
            suitable, key=lambda place: place.held.share_of(place.capacity)
        )
        self.earmarked = least_loaded.name

    def largest_room(self) -> resources.Resources:
        """Return the largest free amount on any usable worker, by dimension."""
        return self._index.largest()

    def capacities(self) -> frozenset[resources.Resources]:
        """Return the distinct capacities of the owned workers."""
        return frozenset(place.capacity for place in self.places.values())

    def could_hold(self, demand: resources.Resources) -> bool:
        """Return whether ``demand`` fits an owned worker when that is empty."""
        return any(
            demand.fits(place.capacity)
            for place in self.places.values()
            if not place.leaving
        )

    def _room(self, place: Place) -> resources.Resources:
        if place.leaving or not place.leased:
            return resources.Resources(-1)
        return place.capacity - place.held

    def _update_index(self, place: Place) -> None:
        self._index.update(place.name, self._room(place))

    def reindex(self) -> None:
        """Rebuild the index with the fastest workers first; O(n log n)."""
        ordered = sorted(
            self.places.values(), key=lambda place: (place.pace, place.name)
        )
        self._ranked_pace = {place.name: place.pace for place in ordered}
        self._index.rebuild({
            place.name: self._room(place) for place in ordered
        })
