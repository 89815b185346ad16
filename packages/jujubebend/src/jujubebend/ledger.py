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
class Allocation:
    """Capacity of a worker that is reserved for one piece of work."""

    id: str
    worker: str
    demand: resources.Resources
    kind: str
    team: str
    group: str = ''


@attrs.define
class OwnedWorker:
    """One owned worker: its capacity, its reservations and its speed.

    ``relative_duration`` is the moving average of the ratio between the duration of an
    attempt on this worker and the mean duration of its kind. Below one means
    that the worker is faster than average.
    """

    name: str
    rack: str
    capacity: resources.Resources
    allocated: resources.Resources = resources.NOTHING
    leaving: bool = False
    leased: bool = True
    relative_duration: float = 1.0


@attrs.define
class Ledger:
    """Reservations on the owned workers, by an id that the caller chooses."""

    ejector: ejection.Ejector = attrs.field(factory=ejection.Ejector)
    owned_workers: dict[str, OwnedWorker] = attrs.field(factory=dict)
    allocations: dict[str, Allocation] = attrs.field(factory=dict)
    total: resources.Resources = resources.NOTHING
    earmarked_worker: str = ''
    _index: placement.Index = attrs.field(factory=placement.Index)
    _ranked_pace: dict[str, float] = attrs.field(factory=dict)

    def add(self, place: OwnedWorker) -> None:
        """Add an owned worker."""
        self.owned_workers[place.name] = place
        self.total += place.capacity
        self._index.racks[place.name] = place.rack
        self.reindex()

    def remove(self, name: str) -> list[Allocation]:
        """Remove a worker and return the reservations lost with it."""
        place = self.owned_workers.pop(name, None)
        if place is None:
            return []
        lost = [
            hold for hold in self.allocations.values() if hold.worker == name
        ]
        for hold in lost:
            self.allocations.pop(hold.id)
            if hold.group:
                self._index.moved(hold.group, name, -1)
        self.total -= place.capacity
        if self.earmarked_worker == name:
            self.earmarked_worker = ''
        self.reindex()
        return lost

    def find_worker(
        self,
        wanted: policy.Policy,
        demand: resources.Resources,
        now: float,
        *,
        may_use_earmarked: bool = False,
    ) -> str:
        """Return the worker to place ``demand`` on, or '' if none fits."""

        def usable(name: str) -> bool:
            if name == self.earmarked_worker and not may_use_earmarked:
                return False
            return self.ejector.admits(name, now)

        return placement.choose(wanted, self._index, demand, usable)

    def allocate(self, hold: Allocation) -> None:
        """Reserve capacity; the caller has checked that it fits."""
        place = self.owned_workers[hold.worker]
        self.allocations[hold.id] = hold
        place.allocated += hold.demand
        if hold.group:
            self._index.moved(hold.group, hold.worker, 1)
        self._update_index(place)

    def deallocate(self, allocation_id: str) -> Allocation | None:
        """Release a reservation and return it, or None if there is none."""
        hold = self.allocations.pop(allocation_id, None)
        if hold is None:
            return None
        place = self.owned_workers[hold.worker]
        place.allocated -= hold.demand
        if hold.group:
            self._index.moved(hold.group, hold.worker, -1)
        self._update_index(place)
        return hold

    def record_usage(
        self, allocation_id: str, used: resources.Resources
    ) -> Allocation | None:
        """Grow a reservation if the work uses more than is reserved for it.

        Returns the reservation after the change, or None if there is none.
        """
        hold = self.allocations.get(allocation_id)
        if hold is None:
            return None
        new_demand = hold.demand.elementwise_max(used)
        if new_demand == hold.demand:
            return hold
        place = self.owned_workers[hold.worker]
        place.allocated += new_demand - hold.demand
        grown = attrs.evolve(hold, demand=new_demand)
        self.allocations[allocation_id] = grown
        self._update_index(place)
        return grown

    def set_usable(self, name: str, *, leased: bool, leaving: bool) -> None:
        """Set whether a worker is leased and whether it is leaving.

        Only a leased worker that is not leaving receives new work.
        """
        place = self.owned_workers[name]
        if (place.leased, place.leaving) == (leased, leaving):
            return
        place.leased = leased
        place.leaving = leaving
        self._update_index(place)

    def record_duration_ratio(self, name: str, ratio: float) -> None:
        """Update the pace of a worker with the duration ratio of an attempt.

        Reordering the workers takes O(n log n), so it is done only when the
        pace has changed by a factor of ``RERANK_RATIO`` since the last time.
        """
        place = self.owned_workers.get(name)
        if place is None:
            return
        place.relative_duration += PACE_SMOOTHING * (
            ratio - place.relative_duration
        )
        ranked_pace = self._ranked_pace.get(name, 1)
        if (
            not ranked_pace / RERANK_RATIO
            <= place.relative_duration
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
            for place in self.owned_workers.values()
            if demand.fits(place.capacity)
            and place.leased
            and not place.leaving
        ]
        if self.earmarked_worker or not suitable:
            return
        least_loaded = min(
            suitable, key=lambda place: place.allocated.share_of(place.capacity)
        )
        self.earmarked_worker = least_loaded.name

    def largest_room(self) -> resources.Resources:
        """Return the largest free amount on any usable worker, by dimension."""
        return self._index.largest()

    def distinct_capacities(self) -> frozenset[resources.Resources]:
        """Return the distinct capacities of the owned workers."""
        return frozenset(
            place.capacity for place in self.owned_workers.values()
        )

    def fits_empty_worker(self, demand: resources.Resources) -> bool:
        """Return whether ``demand`` fits an owned worker when that is empty."""
        return any(
            demand.fits(place.capacity)
            for place in self.owned_workers.values()
            if not place.leaving
        )

    def _room(self, place: OwnedWorker) -> resources.Resources:
        if place.leaving or not place.leased:
            return resources.Resources(-1)
        return place.capacity - place.allocated

    def _update_index(self, place: OwnedWorker) -> None:
        self._index.update(place.name, self._room(place))

    def reindex(self) -> None:
        """Rebuild the index with the fastest workers first; O(n log n)."""
        ordered = sorted(
            self.owned_workers.values(),
            key=lambda place: (place.relative_duration, place.name),
        )
        self._ranked_pace = {
            place.name: place.relative_duration for place in ordered
        }
        self._index.rebuild({
            place.name: self._room(place) for place in ordered
        })
