"""Simulation of a scheduler in virtual time, for the library and a baseline.

Both schedulers receive the same work. ``LibraryScheduler`` uses the library's
queue and ledger. ``BaselineScheduler`` starts work first in, first out, on a
random worker with enough capacity, and has no admission limits.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
import typing

import attrs

from jujubebend import ledger, manifest, policy, queue, resources

DONE = 'done'


@attrs.define(eq=False)
class WorkItem:
    """One item of work, and what the scheduler did with it.

    Times are in virtual seconds. ``duration`` is the run time on a worker of
    speed one; ``started_at`` is negative if the item has not been started.
    """

    id: str
    kind: str
    team: str
    demand: resources.Resources
    arrives_at: float
    duration: float
    usage: resources.Resources
    deadline: float = 1e9
    cancelled_at: float = float('inf')
    started_at: float = -1
    is_refused: bool = False
    worker: str = ''


@attrs.frozen
class SimulatedWorker:
    """One worker; if ``is_failing``, it fails every item."""

    name: str
    capacity: resources.Resources
    speed: float = 1
    is_failing: bool = False


class Scheduler(typing.Protocol):
    """Interface between the simulator and a scheduler."""

    def add_work(self, item: WorkItem, now: float) -> None:
        """Queue an item, or mark it as refused."""

    def cancel_work(self, item: WorkItem) -> None:
        """Remove an item that is waiting."""

    def place_next(self, now: float) -> tuple[str, str] | None:
        """Return the item ID and worker to start now, if any."""

    def record_end(self, item: WorkItem, now: float, *, failed: bool) -> None:
        """Release the capacity of an item that ended."""


class LibraryScheduler:
    """Scheduler built from the library's queue, ledger and ejector."""

    def __init__(
        self, config: manifest.Manifest, workers: list[SimulatedWorker]
    ) -> None:
        """Add every worker to the ledger."""
        self.ledger = ledger.Ledger()
        self.ledger.ejector.workers = len(workers)
        for index, worker in enumerate(workers):
            rack = f'rack-{index // 8}'
            self.ledger.owned_workers[worker.name] = ledger.OwnedWorker(
                worker.name, rack, worker.capacity
            )
            self.ledger.total_capacity += worker.capacity
        self.ledger.reindex()
        self.queue = queue.FairQueue(self.ledger)
        self.queue.configure(config)
        self._mean_durations: dict[str, float] = {}

    def add_work(self, item: WorkItem, now: float) -> None:
        time_left = item.deadline - now
        if self.queue.find_refusal(item.kind, item.team, time_left, now):
            item.is_refused = True
            return
        ticket = queue.Ticket(
            item.id,
            item.kind,
            item.team,
            item.demand,
            policy.Prompt(),
            item.deadline,
            now,
        )
        self.queue.add(ticket)

    def cancel_work(self, item: WorkItem) -> None:
        self.queue.cancel(item.id)

    def place_next(self, now: float) -> tuple[str, str] | None:
        placed = self.queue.place_next(now)
        if placed is None:
            return None
        self.ledger.ejector.started(placed.worker)
        return placed.ticket.id, placed.worker

    def record_end(self, item: WorkItem, now: float, *, failed: bool) -> None:
        allocation = self.ledger.deallocate(item.id)
        self.queue.count_deallocation(allocation)
        self.ledger.ejector.ended(item.worker, failed=failed, now=now)
        if failed:
            return
        duration = now - item.started_at
        mean = self._mean_durations.get(item.kind, duration)
        if mean:
            self.ledger.record_duration_ratio(item.worker, duration / mean)
        self._mean_durations[item.kind] = mean + 0.1 * (duration - mean)


class BaselineScheduler:
    """First in, first out; a random worker with capacity; no limits."""

    def __init__(self, workers: list[SimulatedWorker], seed: int) -> None:
        """Start with all workers idle."""
        self.free_capacity = {
            worker.name: worker.capacity for worker in workers
        }
        self.waiting: list[WorkItem] = []
        self.rng = random.Random(seed)

    def add_work(self, item: WorkItem, now: float) -> None:
        self.waiting.append(item)

    def cancel_work(self, item: WorkItem) -> None:
        if item in self.waiting:
            self.waiting.remove(item)

    def place_next(self, now: float) -> tuple[str, str] | None:
        if not self.waiting:
            return None
        item = self.waiting[0]
        fitting_workers = [
            name
            for name, free in self.free_capacity.items()
            if item.demand.fits(free)
        ]
        if not fitting_workers:
            return None
        self.waiting.pop(0)
        worker = self.rng.choice(fitting_workers)
        self.free_capacity[worker] -= item.demand
        return item.id, worker

    def record_end(self, item: WorkItem, now: float, *, failed: bool) -> None:
        self.free_capacity[item.worker] += item.demand


@attrs.frozen
class SimulationResult:
    """The work items after a simulation, and totals of the scheduler.

    ``packing`` is the average share of slots allocated in the window.
    ``decision_seconds`` lists the real time of each placement decision.
    """

    items: list[WorkItem]
    packing: float
    failed_starts: int
    decision_seconds: list[float]


def simulate(
    scheduler: Scheduler,
    workers: list[SimulatedWorker],
    items: list[WorkItem],
    until: float,
    window: tuple[float, float],
) -> SimulationResult:
    """Simulate the work until the virtual time ``until``.

    The packing is measured from the start to the end of ``window``.
    """
    workers_by_name = {worker.name: worker for worker in workers}
    items_by_id = {item.id: item for item in items}
    sequence = itertools.count()
    events = [
        (item.arrives_at, next(sequence), 'arrive', item) for item in items
    ]
    events += [
        (item.cancelled_at, next(sequence), 'cancel', item)
        for item in items
        if item.cancelled_at < until
    ]
    heapq.heapify(events)
    busy_slot_seconds = float(0)
    failed_starts = 0
    decision_seconds = []
    while events and events[0][0] <= until:
        now, _, event, item = heapq.heappop(events)
        worker = workers_by_name.get(item.worker)
        match event:
            case 'arrive':
                scheduler.add_work(item, now)
            case 'cancel':
                if item.started_at < 0:
                    scheduler.cancel_work(item)
            case _:
                scheduler.record_end(item, now, failed=worker.is_failing)
        while True:
            decision_start = time.perf_counter()
            placed = scheduler.place_next(now)
            decision_seconds.append(time.perf_counter() - decision_start)
            if placed is None:
                break
            started_item = items_by_id[placed[0]]
            started_item.started_at = now
            started_item.worker = placed[1]
            worker = workers_by_name[started_item.worker]
            # A failing worker fails each item after 1 ms.
            run_time = (
                0.001
                if worker.is_failing
                else started_item.duration / worker.speed
            )
            failed_starts += worker.is_failing
            overlap = min(now + run_time, window[1]) - max(now, window[0])
            busy_slot_seconds += started_item.demand.slots * max(0, overlap)
            heapq.heappush(
                events, (now + run_time, next(sequence), 'end', started_item)
            )
    slots = sum(worker.capacity.slots for worker in workers)
    packing = busy_slot_seconds / slots / (window[1] - window[0])
    return SimulationResult(items, packing, failed_starts, decision_seconds)
