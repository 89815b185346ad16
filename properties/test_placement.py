"""The index of room, the ledger and the queue against naive versions."""

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
def test_the_index_finds_what_a_scan_finds(rooms, updates, demand):
    index = placement.Index()
    current = {f'w{at:02d}': room for at, room in enumerate(rooms)}
    index.rebuild(current)
    for at, room in updates:
        name = f'w{at % len(rooms):02d}'
        current[name] = room
        index.update(name, room)
    scanned = [name for name, room in current.items() if demand.fits(room)]
    assert list(index.fitting(demand)) == scanned


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
TEXT = manifest.Manifest(
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
    """Plays steps on the real parts and keeps a naive account beside."""

    def __init__(self):
        self.book = ledger.Ledger()
        self.waiting = queue.FairQueue(self.book)
        self.waiting.configure(TEXT)
        for number in range(4):
            self._join(f'w{number}')
        self.queued = {}
        self.held = {}
        self.now = 0

    def play(self, step):
        self.now += 1
        getattr(self, f'_{step[0]}')(*step[1:])
        self._pick()
        self._check()

    def _join(self, name):
        size = resources.Resources(8, 64)
        self.book.add(ledger.Place(name, f'rack-{name}', size))

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
        shed = self.waiting.add(ticket)
        self.queued[ticket.id] = ticket
        if shed is not None:
            self.queued.pop(shed.id)

    def _end(self, at):
        if self.held:
            name = sorted(self.held)[at % len(self.held)]
            self.held.pop(name)
            self.waiting.freed(self.book.free(name))

    def _cancel(self, at):
        if self.queued:
            name = sorted(self.queued)[at % len(self.queued)]
            assert self.waiting.cancel(name) is self.queued.pop(name)

    def _lose(self, at):
        name = f'w{at}'
        for hold in self.book.remove(name):
            self.waiting.freed(hold)
            self.held.pop(hold.id)
        self._join(name)

    def _grow(self, at, slots):
        if self.held:
            name = sorted(self.held)[at % len(self.held)]
            before = self.book.holds[name]
            used = resources.Resources(slots, 1)
            after = self.book.observe(name, used)
            self.waiting.grown(before, after)
            self.held[name] = after

    def _pick(self):
        while placed := self.waiting.pick(self.now):
            room = self._room(placed.worker, leave_out=placed.ticket.id)
            assert placed.ticket.demand.fits(room)
            self.queued.pop(placed.ticket.id)
            self.held[placed.ticket.id] = self.book.holds[placed.ticket.id]

    def _room(self, worker, leave_out=''):
        room = self.book.places[worker].capacity
        for hold in self.held.values():
            if hold.worker == worker and hold.id != leave_out:
                room -= hold.demand
        return room

    def _check(self):
        assert set(self.waiting.tickets) == set(self.queued)
        assert set(self.book.holds) == set(self.held)
        for name, place in self.book.places.items():
            assert place.capacity - place.held == self._room(name)
        sizes = self.waiting.sizes()
        for kind in ('quick', 'slow'):
            waiting = [one for one in self.queued.values() if one.kind == kind]
            assert sizes[kind] == len(waiting)
            assert sizes[kind] <= 8
        self._check_urgent()

    def _check_urgent(self):
        """No urgent work waits that is allowed and for which there is room."""
        for ticket in self.queued.values():
            if ticket.kind != 'quick' or ticket.team == 'capped':
                continue
            fits = [
                name
                for name in self.book.places
                if ticket.demand.fits(self._room(name))
                and name != self.book.earmarked
            ]
            head = min(
                (
                    one
                    for one in self.queued.values()
                    if (one.kind, one.team) == (ticket.kind, ticket.team)
                ),
                key=lambda one: one.deadline,
            )
            assert head is not ticket or not fits


@hypothesis.given(steps)
def test_queue_and_ledger_agree_with_a_naive_account(drawn):
    history = _History()
    for step in drawn:
        history.play(step)
