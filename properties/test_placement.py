"""The placement index, ledger and queue, checked against simple models."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from jujubebend import ledger, manifest, placement, policy, queue, resources

amounts = strategies.builds(
    resources.Resources,
    strategies.integers(0, 8),
    strategies.integers(0, 8),
    strategies.integers(0, 4000),
    strategies.integers(0, 100),
    strategies.integers(0, 2),
)


@hypothesis.given(
    strategies.lists(amounts, min_size=1, max_size=40),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 39), amounts), max_size=20
    ),
    amounts,
)
def test_index_finds_the_same_workers_as_a_scan(rooms, updates, demand):
    index = placement.Index()
    current = {f'w{position:02d}': room for position, room in enumerate(rooms)}
    index.rebuild(current)
    for position, room in updates:
        name = f'w{position % len(rooms):02d}'
        current[name] = room
        index.update(name, room)
    scanned = [name for name, room in current.items() if demand.fits(room)]
    assert list(index.fitting_workers(demand)) == scanned


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('add'),
            strategies.sampled_from(('quick', 'slow')),
            strategies.sampled_from(('one', 'two', 'capped')),
            strategies.integers(1, 4),
        ),
        strategies.tuples(strategies.just('end'), strategies.integers(0, 99)),
        strategies.tuples(
            strategies.just('cancel'), strategies.integers(0, 99)
        ),
        strategies.tuples(strategies.just('lose'), strategies.integers(0, 3)),
        strategies.tuples(
            strategies.just('grow'),
            strategies.integers(0, 99),
            strategies.integers(1, 8),
        ),
    ),
    max_size=60,
)
MANIFEST = manifest.Manifest(
    teams=[
        manifest.Team('one', weight=2),
        manifest.Team('two'),
        manifest.Team('capped', quota=0.3),
    ],
    kinds=[
        manifest.Kind('quick', 'urgent', weight=2, queue_limit=8),
        manifest.Kind('slow', 'patient', queue_limit=8),
    ],
)


class _History:
    """Applies steps to the real classes and to a simple model."""

    def __init__(self):
        self.ledger = ledger.Ledger()
        self.fair_queue = queue.FairQueue(self.ledger)
        self.fair_queue.configure(MANIFEST)
        for number in range(4):
            self._add_worker(f'w{number}')
        self.queued = {}
        self.placed = {}
        self.now = 0

    def apply_step(self, step):
        self.now += 1
        getattr(self, f'_{step[0]}')(*step[1:])
        self._place_all()
        self._check_model()

    def _add_worker(self, name):
        size = resources.Resources(8, 64)
        self.ledger.add(ledger.OwnedWorker(name, f'rack-{name}', size))

    def _add(self, kind, team, slots):
        ticket = queue.Ticket(
            f't{self.now}',
            kind,
            team,
            resources.Resources(slots, 1),
            policy.Prompt(),
            self.now + 100,
            self.now,
        )
        shed = self.fair_queue.add(ticket)
        self.queued[ticket.id] = ticket
        if shed is not None:
            self.queued.pop(shed.id)

    def _end(self, position):
        if self.placed:
            name = sorted(self.placed)[position % len(self.placed)]
            self.placed.pop(name)
            self.fair_queue.count_deallocation(self.ledger.deallocate(name))

    def _cancel(self, position):
        if self.queued:
            name = sorted(self.queued)[position % len(self.queued)]
            assert self.fair_queue.cancel(name) is self.queued.pop(name)

    def _lose(self, number):
        name = f'w{number}'
        for allocation in self.ledger.remove(name):
            self.fair_queue.count_deallocation(allocation)
            self.placed.pop(allocation.id)
        self._add_worker(name)

    def _grow(self, position, slots):
        if self.placed:
            name = sorted(self.placed)[position % len(self.placed)]
            before = self.ledger.allocations[name]
            used = resources.Resources(slots, 1)
            after = self.ledger.record_usage(name, used)
            self.fair_queue.count_growth(before, after)
            self.placed[name] = after

    def _place_all(self):
        while placed := self.fair_queue.place_next(self.now):
            room = self._room(placed.worker, excluded_id=placed.ticket.id)
            assert placed.ticket.demand.fits(room)
            self.queued.pop(placed.ticket.id)
            self.placed[placed.ticket.id] = self.ledger.allocations[
                placed.ticket.id
            ]

    def _room(self, worker_name, excluded_id=''):
        room = self.ledger.owned_workers[worker_name].capacity
        for allocation in self.placed.values():
            if (
                allocation.worker == worker_name
                and allocation.id != excluded_id
            ):
                room -= allocation.demand
        return room

    def _check_model(self):
        assert set(self.fair_queue.tickets) == set(self.queued)
        assert set(self.ledger.allocations) == set(self.placed)
        for name, worker in self.ledger.owned_workers.items():
            assert worker.capacity - worker.allocated == self._room(name)
        sizes = self.fair_queue.waiting_by_kind()
        for kind in ('quick', 'slow'):
            waiting_tickets = [
                ticket for ticket in self.queued.values() if ticket.kind == kind
            ]
            assert sizes[kind] == len(waiting_tickets)
            assert sizes[kind] <= 8
        self._check_urgent_work()

    def _check_urgent_work(self):
        """Check that no urgent ticket waits although it fits and is allowed."""
        for ticket in self.queued.values():
            if ticket.kind != 'quick' or ticket.team == 'capped':
                continue
            fitting_workers = [
                name
                for name in self.ledger.owned_workers
                if ticket.demand.fits(self._room(name))
                and name != self.ledger.earmarked_worker
            ]
            head = min(
                (
                    other
                    for other in self.queued.values()
                    if (other.kind, other.team) == (ticket.kind, ticket.team)
                ),
                key=lambda other: other.deadline,
            )
            assert head is not ticket or not fitting_workers


@hypothesis.given(steps)
def test_queue_and_ledger_agree_with_a_model(drawn_steps):
    history = _History()
    for step in drawn_steps:
        history.apply_step(step)
