"""Virtual time for the decision logic: one loop, two schedulers.

Both see the same drawn work: ours is the library's queue and ledger, the
naive one takes work first in, first out, puts it on a random worker that has
room, and knows no limits.
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
class Work:
    """One drawn piece of work; times are virtual seconds."""

    id: str
    kind: str
    team: str
    demand: resources.Resources
    arrives: float
    runs: float
    uses: resources.Resources
    deadline: float = 1e9
    cancelled_at: float = float('inf')
    started: float = -1
    refused: bool = False
    worker: str = ''


@attrs.frozen
class Host:
    """One worker: its size, how fast it is, whether it fails everything."""

    name: str
    capacity: resources.Resources
    speed: float = 1
    fails: bool = False


class Scheduler(typing.Protocol):
    """What the engine asks of either side."""

    def arrive(self, work: Work, now: float) -> None:
        """Take work in, or mark it refused."""

    def cancel(self, work: Work) -> None:
        """Withdraw work that waits."""

    def place_next(self, now: float) -> tuple[str, str] | None:
        """Return (work, worker) to start now."""

    def end(self, work: Work, now: float, *, failed: bool) -> None:
        """Take note of an end."""


class Ours:
    """The library's queue, ledger and ejection."""

    def __init__(self, text: manifest.Manifest, hosts: list[Host]) -> None:
        """Own every host."""
        self.book = ledger.Ledger()
        self.book.ejector.workers = len(hosts)
        for at, host in enumerate(hosts):
            rack = f'rack-{at // 8}'
            self.book.owned_workers[host.name] = ledger.OwnedWorker(
                host.name, rack, host.capacity
            )
            self.book.total += host.capacity
        self.book.reindex()
        self.waiting = queue.FairQueue(self.book)
        self.waiting.configure(text)
        self._means: dict[str, float] = {}

    def arrive(self, work: Work, now: float) -> None:
        left = work.deadline - now
        if self.waiting.find_refusal(work.kind, work.team, left, now):
            work.refused = True
            return
        ticket = queue.Ticket(
            work.id,
            work.kind,
            work.team,
            work.demand,
            policy.Prompt(),
            work.deadline,
            now,
        )
        self.waiting.add(ticket)

    def cancel(self, work: Work) -> None:
        self.waiting.cancel(work.id)

    def place_next(self, now: float) -> tuple[str, str] | None:
        placed = self.waiting.place_next(now)
        if placed is None:
            return None
        self.book.ejector.started(placed.worker)
        return placed.ticket.id, placed.worker

    def end(self, work: Work, now: float, *, failed: bool) -> None:
        hold = self.book.deallocate(work.id)
        self.waiting.count_deallocation(hold)
        self.book.ejector.ended(work.worker, failed=failed, now=now)
        if failed:
            return
        taken = now - work.started
        mean = self._means.get(work.kind, taken)
        if mean:
            self.book.record_duration_ratio(work.worker, taken / mean)
        self._means[work.kind] = mean + 0.1 * (taken - mean)


class Naive:
    """First in, first out; a random worker with room; no limits."""

    def __init__(self, hosts: list[Host], seed: int) -> None:
        """Know every host."""
        self.room = {host.name: host.capacity for host in hosts}
        self.line: list[Work] = []
        self.rng = random.Random(seed)

    def arrive(self, work: Work, now: float) -> None:
        self.line.append(work)

    def cancel(self, work: Work) -> None:
        if work in self.line:
            self.line.remove(work)

    def place_next(self, now: float) -> tuple[str, str] | None:
        if not self.line:
            return None
        work = self.line[0]
        fits = [
            name for name, room in self.room.items() if work.demand.fits(room)
        ]
        if not fits:
            return None
        self.line.pop(0)
        chosen = self.rng.choice(fits)
        self.room[chosen] -= work.demand
        return work.id, chosen

    def end(self, work: Work, now: float, *, failed: bool) -> None:
        self.room[work.worker] += work.demand


@attrs.frozen
class Run:
    """What one scheduler did with the work."""

    works: list[Work]
    held_share: float
    failed_starts: int
    decision_seconds: list[float]


def play(
    scheduler: Scheduler,
    hosts: list[Host],
    works: list[Work],
    until: float,
    window: tuple[float, float],
) -> Run:
    """Play the work to ``until`` in virtual time.

    The share of slots held is taken within ``window``.
    """
    by_name = {host.name: host for host in hosts}
    by_id = {work.id: work for work in works}
    order = itertools.count()
    events = [(work.arrives, next(order), 'arrive', work) for work in works]
    events += [
        (work.cancelled_at, next(order), 'cancel', work)
        for work in works
        if work.cancelled_at < until
    ]
    heapq.heapify(events)
    busy = float(0)
    failed_starts = 0
    decisions = []
    while events and events[0][0] <= until:
        now, _, what, work = heapq.heappop(events)
        host = by_name.get(work.worker)
        match what:
            case 'arrive':
                scheduler.arrive(work, now)
            case 'cancel':
                if work.started < 0:
                    scheduler.cancel(work)
            case _:
                scheduler.end(work, now, failed=host.fails)
        while True:
            began = time.perf_counter()
            picked = scheduler.place_next(now)
            decisions.append(time.perf_counter() - began)
            if picked is None:
                break
            started = by_id[picked[0]]
            started.started = now
            started.worker = picked[1]
            host = by_name[started.worker]
            takes = 0.001 if host.fails else started.runs / host.speed
            failed_starts += host.fails
            inside = min(now + takes, window[1]) - max(now, window[0])
            busy += started.demand.slots * max(0, inside)
            heapq.heappush(events, (now + takes, next(order), 'end', started))
    slots = sum(host.capacity.slots for host in hosts)
    share = busy / slots / (window[1] - window[0])
    return Run(works, share, failed_starts, decisions)
