"""In-memory accounting of capacity and allocations on owned workers.

All placement goes through the ledger, and only the owner of a worker starts
work on it, so a worker is never overcommitted. The amount allocated to a
piece of work is the larger of its declared demand and its observed usage.
"""

from __future__ import annotations

import attrs

from jujubebend import ejection, placement, policy, resources

DURATION_SMOOTHING = 0.1
RERANK_RATIO = 1.5


@attrs.frozen
class Allocation:
    """Capacity of a worker that is allocated to one piece of work."""

    id: str
    worker: str
    demand: resources.Resources
    kind: str
    team: str
    group: str = ''


@attrs.define
class OwnedWorker:
    """One owned worker: its capacity, its allocations and its speed.

    ``relative_duration`` is a moving average over the attempts on this
    worker: the duration of the attempt divided by the mean duration of its
    kind. Below one means that the worker is faster than average.
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
    """Allocations on the owned workers, by an id that the caller chooses.

    ``room_revision`` changes when a demand may fit that fitted no worker before,
    even an empty one.
    """

    ejector: ejection.Ejector = attrs.field(factory=ejection.Ejector)
    owned_workers: dict[str, OwnedWorker] = attrs.field(factory=dict)
    allocations: dict[str, Allocation] = attrs.field(factory=dict)
    total_capacity: resources.Resources = resources.NOTHING
    earmarked_worker: str = ''
    room_revision: int = 0
    _index: placement.Index = attrs.field(factory=placement.Index)
    _ranked_durations: dict[str, float] = attrs.field(factory=dict)

    def add(self, worker: OwnedWorker) -> None:
        """Add an owned worker."""
        self.owned_workers[worker.name] = worker
        self.total_capacity += worker.capacity
        self.room_revision += 1
        self._index.racks[worker.name] = worker.rack
        self.reindex()

    def remove(self, name: str) -> list[Allocation]:
        """Remove a worker and return the allocations lost with it."""
        worker = self.owned_workers.pop(name, None)
        if worker is None:
            return []
        lost_allocations = [
            allocation
            for allocation in self.allocations.values()
            if allocation.worker == name
        ]
        for allocation in lost_allocations:
            self.allocations.pop(allocation.id)
            if allocation.group:
                self._index.count_replica(allocation.group, name, -1)
        self.total_capacity -= worker.capacity
        if self.earmarked_worker == name:
            self.earmarked_worker = ''
        self.reindex()
        return lost_allocations

    def find_worker(
        self,
        placement_policy: policy.Policy,
        demand: resources.Resources,
        now: float,
        *,
        may_use_earmarked: bool = False,
    ) -> str:
        """Return the worker to place ``demand`` on, or '' if none fits."""

        def is_usable(name: str) -> bool:
            if name == self.earmarked_worker and not may_use_earmarked:
                return False
            return self.ejector.admits(name, now)

        return placement.choose_worker(
            placement_policy, self._index, demand, is_usable
        )

    def allocate(self, allocation: Allocation) -> None:
        """Allocate capacity; the caller has checked that it fits."""
        worker = self.owned_workers[allocation.worker]
        self.allocations[allocation.id] = allocation
        worker.allocated += allocation.demand
        if allocation.group:
            self._index.count_replica(allocation.group, allocation.worker, 1)
        self._update_index(worker)

    def deallocate(self, allocation_id: str) -> Allocation | None:
        """Remove an allocation and return it, or None if there is none."""
        allocation = self.allocations.pop(allocation_id, None)
        if allocation is None:
            return None
        worker = self.owned_workers[allocation.worker]
        worker.allocated -= allocation.demand
        if allocation.group:
            self._index.count_replica(allocation.group, allocation.worker, -1)
        self._update_index(worker)
        return allocation

    def record_usage(
        self, allocation_id: str, used: resources.Resources
    ) -> Allocation | None:
        """Grow an allocation if the work uses more than its amount.

        Returns the allocation after the change, or None if there is none.
        """
        allocation = self.allocations.get(allocation_id)
        if allocation is None:
            return None
        new_demand = allocation.demand.elementwise_max(used)
        if new_demand == allocation.demand:
            return allocation
        worker = self.owned_workers[allocation.worker]
        worker.allocated += new_demand - allocation.demand
        grown_allocation = attrs.evolve(allocation, demand=new_demand)
        self.allocations[allocation_id] = grown_allocation
        self._update_index(worker)
        return grown_allocation

    def set_availability(
        self, name: str, *, leased: bool, leaving: bool
    ) -> None:
        """Set whether a worker is leased and whether it is leaving.

        Only a leased worker that is not leaving receives new work.
        """
        worker = self.owned_workers[name]
        if (worker.leased, worker.leaving) == (leased, leaving):
            return
        worker.leased = leased
        worker.leaving = leaving
        self.room_revision += 1
        self._update_index(worker)

    def record_duration_ratio(self, name: str, ratio: float) -> None:
        """Update the relative duration of a worker with that of an attempt.

        Reordering the workers takes O(n log n), so it is done only when the
        value has changed by a factor of ``RERANK_RATIO`` since the last time.
        """
        worker = self.owned_workers.get(name)
        if worker is None:
            return
        worker.relative_duration += DURATION_SMOOTHING * (
            ratio - worker.relative_duration
        )
        ranked_duration = self._ranked_durations.get(name, 1)
        if (
            not ranked_duration / RERANK_RATIO
            <= worker.relative_duration
            <= ranked_duration * RERANK_RATIO
        ):
            self.reindex()

    def earmark(self, demand: resources.Resources) -> None:
        """Keep other work off the least loaded worker that can fit ``demand``.

        Without this, small work that keeps filling the workers would starve
        a large demand. Only one worker is earmarked at a time.
        """
        suitable = [
            worker
            for worker in self.owned_workers.values()
            if demand.fits(worker.capacity)
            and worker.leased
            and not worker.leaving
        ]
        if self.earmarked_worker or not suitable:
            return
        least_loaded = min(
            suitable,
            key=lambda worker: worker.allocated.dominant_share(worker.capacity),
        )
        self.earmarked_worker = least_loaded.name

    def largest_room(self) -> resources.Resources:
        """Return the largest free amount on any usable worker, by dimension."""
        return self._index.largest_room()

    def distinct_capacities(self) -> frozenset[resources.Resources]:
        """Return the distinct capacities of the owned workers."""
        return frozenset(
            worker.capacity for worker in self.owned_workers.values()
        )

    def fits_empty_worker(self, demand: resources.Resources) -> bool:
        """Return whether ``demand`` fits an owned worker when that is empty."""
        return any(
            demand.fits(worker.capacity)
            for worker in self.owned_workers.values()
            if not worker.leaving
        )

    def _free_capacity(self, worker: OwnedWorker) -> resources.Resources:
        if worker.leaving or not worker.leased:
            return resources.Resources(-1)
        return worker.capacity - worker.allocated

    def _update_index(self, worker: OwnedWorker) -> None:
        self._index.update(worker.name, self._free_capacity(worker))

    def reindex(self) -> None:
        """Rebuild the index with the fastest workers first; O(n log n)."""
        ordered = sorted(
            self.owned_workers.values(),
            key=lambda worker: (worker.relative_duration, worker.name),
        )
        self._ranked_durations = {
            worker.name: worker.relative_duration for worker in ordered
        }
        self._index.rebuild({
            worker.name: self._free_capacity(worker) for worker in ordered
        })
