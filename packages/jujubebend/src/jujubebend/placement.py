"""Placement of work on workers by an index of their free capacity.

``Index`` keeps the free capacity (room) of each worker in a binary tree.
Each inner node stores the maximum of its subtree in each dimension, so that
a search skips subtrees without enough room. Finding a worker, or finding
that none fits, takes roughly logarithmic time in the number of workers.
"""

from __future__ import annotations

import functools
import itertools
from collections import abc

import attrs

from jujubebend import policy, resources

MAX_SPREAD_CANDIDATES = 24
GROWTH_FACTOR = 2


@attrs.define
class Index:
    """Free capacity by worker, searched in the order given by the caller.

    ``group_counts`` is the number of running replicas by (group, place),
    where a place is a worker or a rack.
    """

    _names: list[str] = attrs.field(factory=list)
    _position: dict[str, int] = attrs.field(factory=dict)
    _rooms: list[tuple[int, ...]] = attrs.field(factory=list)
    _leaf_count: int = 1
    racks: dict[str, str] = attrs.field(factory=dict)
    group_counts: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def rebuild(self, rooms: abc.Mapping[str, resources.Resources]) -> None:
        """Replace all workers, in the order given; O(n)."""
        self._names = list(rooms)
        self._position = {
            name: position for position, name in enumerate(self._names)
        }
        self._leaf_count = 1
        while self._leaf_count < len(self._names):
            self._leaf_count *= GROWTH_FACTOR
        empty = (-1,) * len(resources.DIMENSIONS)
        self._rooms = list(itertools.repeat(empty, 2 * self._leaf_count))
        for position, room in enumerate(rooms.values()):
            self._rooms[self._leaf_count + position] = room.vector()
        for node in range(self._leaf_count - 1, 0, -1):
            self._rooms[node] = self._maximum_of_children(node)

    def update(self, name: str, room: resources.Resources) -> None:
        """Set the room of one worker; O(log n)."""
        node = self._leaf_count + self._position[name]
        self._rooms[node] = room.vector()
        node >>= 1
        while node:
            largest = self._maximum_of_children(node)
            if largest == self._rooms[node]:
                return
            self._rooms[node] = largest
            node >>= 1

    def largest_room(self) -> resources.Resources:
        """Return the largest room on any worker, in each dimension."""
        if not self._names:
            return resources.NOTHING
        return resources.Resources(
            *(max(0, amount) for amount in self._rooms[1])
        )

    def fitting_workers(self, demand: resources.Resources) -> abc.Iterator[str]:
        """Yield the workers with room for ``demand``, in index order."""
        if not self._names:
            return
        need = demand.vector()
        stack = [1]
        while stack:
            node = stack.pop()
            if not _fits(self._rooms[node], need):
                continue
            if node >= self._leaf_count:
                yield self._names[node - self._leaf_count]
                continue
            stack.append(2 * node + 1)
            stack.append(2 * node)

    def count_replica(self, group: str, worker: str, change: int) -> None:
        """Count a replica placed on (+1) or removed from (-1) a worker."""
        for place in (worker, f'rack:{self.racks.get(worker, "")}'):
            count = self.group_counts.get((group, place), 0) + change
            self.group_counts[group, place] = count
            if count <= 0:
                self.group_counts.pop((group, place))

    def replica_counts(self, group: str, worker: str) -> tuple[int, int]:
        """Return the replicas of ``group`` in the worker's rack and on it."""
        rack = f'rack:{self.racks.get(worker, "")}'
        return (
            self.group_counts.get((group, rack), 0),
            self.group_counts.get((group, worker), 0),
        )

    def _maximum_of_children(self, node: int) -> tuple[int, ...]:
        left = self._rooms[2 * node]
        right = self._rooms[2 * node + 1]
        return tuple(map(max, left, right))


def _fits(room: tuple[int, ...], need: tuple[int, ...]) -> bool:
    return (
        room[0] >= need[0]
        and room[1] >= need[1]
        and room[2] >= need[2]
        and room[3] >= need[3]
        and room[4] >= need[4]
    )


WorkerFilter = abc.Callable[[str], bool]


@functools.singledispatch
def choose_worker(
    placement_policy: policy.Policy,
    index: Index,
    demand: resources.Resources,
    is_usable: WorkerFilter,
) -> str:
    """Return the worker on which to place ``demand``, or '' if none fits.

    ``is_usable`` excludes workers for reasons other than room.
    """
    raise TypeError(
        f'expected a placement policy, got {type(placement_policy).__name__};'
        ' see policy.py'
    )


@choose_worker.register
def _choose_prompt(
    placement_policy: policy.Prompt,
    index: Index,
    demand: resources.Resources,
    is_usable: WorkerFilter,
) -> str:
    return next(filter(is_usable, index.fitting_workers(demand)), '')


@choose_worker.register
def _choose_batch(
    placement_policy: policy.Batch,
    index: Index,
    demand: resources.Resources,
    is_usable: WorkerFilter,
) -> str:
    return next(filter(is_usable, index.fitting_workers(demand)), '')


@choose_worker.register
def _choose_spread(
    placement_policy: policy.Spread,
    index: Index,
    demand: resources.Resources,
    is_usable: WorkerFilter,
) -> str:
    best_worker = ''
    least_counts = (0, 0)
    candidate_count = 0
    for name in filter(is_usable, index.fitting_workers(demand)):
        replica_counts = index.replica_counts(placement_policy.group, name)
        if not best_worker or replica_counts < least_counts:
            best_worker = name
            least_counts = replica_counts
        candidate_count += 1
        if candidate_count >= MAX_SPREAD_CANDIDATES or least_counts == (0, 0):
            break
    return best_worker
