"""The capacity of the workers that one host owns, held in memory.

Nothing is placed but through the ledger, and only the owner of a worker
starts work on it, so a worker is never given more than it holds. What is
held for a piece of work is the larger of what it declared and what it was
seen to use.
"""

from __future__ import annotations

import attrs

from jujubebend import ejection, placement, policy, resources

SPEED_WEIGHT = 0.1
RANK_STEP = 1.5


@attrs.frozen
class Hold:
    """Room on a worker that is held for one piece of work."""

    id: str
    worker: str
    demand: resources.Resources
    kind: str
    team: str
    group: str = ''


@attrs.define
class Place:
    """One owned worker: what it holds, what is held, how fast it is.

    ``pace`` is the mean ratio of the time work took here to the time that
    work of its kind takes on the average; below one is fast.
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
    """Every hold on the owned workers, by an id that the caller gives."""

    ejector: ejection.Ejector = attrs.field(factory=ejection.Ejector)
    places: dict[str, Place] = attrs.field(factory=dict)
    holds: dict[str, Hold] = attrs.field(factory=dict)
    total: resources.Resources = resources.NOTHING
    earmarked: str = ''
    _index: placement.Index = attrs.field(factory=placement.Index)
    _ranked: dict[str, float] = attrs.field(factory=dict)

    def add(self, place: Place) -> None:
        """Take in an owned worker."""
        self.places[place.name] = place
        self.total += place.capacity
        self._index.racks[place.name] = place.rack
        self.reindex()

    def remove(self, name: str) -> list[Hold]:
        """Drop a worker and return the holds that go with it."""
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
        """Return the worker to place ``demand`` on now, or ''."""

        def usable(name: str) -> bool:
            if name == self.earmarked and not may_use_earmarked:
                return False
            return self.ejector.admits(name, now)

        return placement.choose(wanted, self._index, demand, usable)

    def hold(self, hold: Hold) -> None:
        """Hold room; the caller has found that it fits."""
        place = self.places[hold.worker]
        self.holds[hold.id] = hold
        place.held += hold.demand
        if hold.group:
            self._index.moved(hold.group, hold.worker, 1)
        self._room_changed(place)

    def free(self, hold_id: str) -> Hold | None:
        """Give back what was held under an id; None if nothing was."""
        hold = self.holds.pop(hold_id, None)
        if hold is None:
            return None
        place = self.places[hold.worker]
        place.held -= hold.demand
        if hold.group:
            self._index.moved(hold.group, hold.worker, -1)
        self._room_changed(place)
        return hold

    def observe(self, hold_id: str, used: resources.Resources) -> Hold | None:
        """Hold more when work uses more than it declared."""
        hold = self.holds.get(hold_id)
        if hold is None:
            return None
        larger = hold.demand.larger(used)
        if larger == hold.demand:
            return hold
        place = self.places[hold.worker]
        place.held += larger - hold.demand
        grown = attrs.evolve(hold, demand=larger)
        self.holds[hold_id] = grown
        self._room_changed(place)
        return grown

    def set_usable(self, name: str, *, leased: bool, leaving: bool) -> None:
        """Note whether new work may go to a worker at all."""
        place = self.places[name]
        if (place.leased, place.leaving) == (leased, leaving):
            return
        place.leased = leased
        place.leaving = leaving
        self._room_changed(place)

    def paced(self, name: str, ratio: float) -> None:
        """Learn the pace of a worker from one piece of work."""
        place = self.places.get(name)
        if place is None:
            return
        place.pace += SPEED_WEIGHT * (ratio - place.pace)
        ranked = self._ranked.get(name, 1)
        if not ranked / RANK_STEP <= place.pace <= ranked * RANK_STEP:
            self.reindex()

    def earmark(self, demand: resources.Resources) -> None:
        """Keep the least held worker that could hold ``demand`` free.

        Work that others keep passing by because it is large gets its turn
        this way. One worker at a time is kept.
        """
        able = [
            place
            for place in self.places.values()
            if demand.fits(place.capacity)
            and place.leased
            and not place.leaving
        ]
        if self.earmarked or not able:
            return
        least = min(able, key=lambda pl: pl.held.share_of(pl.capacity))
        self.earmarked = least.name

    def largest_room(self) -> resources.Resources:
        """Return the largest room on any usable worker, by dimension."""
        return self._index.largest()

    def capacities(self) -> frozenset[resources.Resources]:
        """Return the distinct sizes of the owned workers."""
        return frozenset(place.capacity for place in self.places.values())

    def could_hold(self, demand: resources.Resources) -> bool:
        """Say whether an owned worker could hold ``demand`` when empty."""
        return any(
            demand.fits(place.capacity)
            for place in self.places.values()
            if not place.leaving
        )

    def _room(self, place: Place) -> resources.Resources:
        if place.leaving or not place.leased:
            return resources.Resources(-1)
        return place.capacity - place.held

    def _room_changed(self, place: Place) -> None:
        self._index.update(place.name, self._room(place))

    def reindex(self) -> None:
        """Order the workers anew, the fastest first; O(n log n)."""
        ordered = sorted(
            self.places.values(), key=lambda pl: (pl.pace, pl.name)
        )
        self._ranked = {place.name: place.pace for place in ordered}
        self._index.rebuild({pl.name: self._room(pl) for pl in ordered})
