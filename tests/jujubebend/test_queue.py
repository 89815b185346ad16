"""The fair queue: shares, classes, quotas, shedding, earmarks."""

from __future__ import annotations

import pytest

from jujubebend import ledger, manifest, policy, queue, resources

SLOT = resources.Resources(1, 1)
TEXT = manifest.Manifest(
    teams=[
        manifest.Team('one'),
        manifest.Team('two'),
        manifest.Team('capped', quota=0.25),
    ],
    kinds=[
        manifest.Kind('quick', 'urgent', queue_limit=10),
        manifest.Kind('slow', 'patient', queue_limit=10),
    ],
)


@pytest.fixture
def waiting():
    book = ledger.Ledger()
    for number in range(2):
        size = resources.Resources(8, 64)
        book.add(ledger.Place(f'w{number}', 'rack', size))
    made = queue.FairQueue(book)
    made.configure(TEXT)
    return made


def _add(waiting, name, kind='slow', team='one', demand=SLOT, now=0):
    ticket = queue.Ticket(
        name, kind, team, demand, policy.Prompt(), now + 60, now
    )
    return ticket, waiting.add(ticket)


def _pick_all(waiting, now=0):
    picked = []
    while placed := waiting.pick(now):
        picked.append(placed.ticket)
    return picked


def test_urgent_goes_before_patient(waiting):
    _add(waiting, 'p')
    _add(waiting, 'u', kind='quick')
    assert [one.id for one in _pick_all(waiting)] == ['u', 'p']


def test_patient_work_leaves_room_for_urgent(waiting):
    for number in range(10):
        _add(waiting, f'a{number}', team='one')
        _add(waiting, f'b{number}', team='two')
    assert len(_pick_all(waiting)) == 10


def test_patient_work_is_served_in_an_urgent_flood(waiting):
    for number in range(10):
        _add(waiting, f'u{number}', kind='quick')
    _add(waiting, 'p')
    order = [one.id for one in _pick_all(waiting)]
    assert order.index('p') < 9


def test_a_team_stays_under_its_quota(waiting):
    for number in range(8):
        _add(waiting, f'c{number}', kind='quick', team='capped')
    assert len(_pick_all(waiting)) == 4


def test_teams_take_turns_by_weight(waiting):
    for number in range(5):
        _add(waiting, f'a{number}', team='one')
        _add(waiting, f'b{number}', team='two')
    first = [one.team for one in _pick_all(waiting)][:4]
    assert sorted(first) == ['one', 'one', 'two', 'two']


def test_a_full_queue_sheds_the_team_that_waits_with_most(waiting):
    for number in range(10):
        _add(waiting, f'a{number}')
    assert waiting.refusal('slow', 'one', 60, 0) is not None
    assert waiting.refusal('slow', 'two', 60, 0) is None
    _, shed = _add(waiting, 'b', team='two')
    assert shed.id == 'a9'


def test_cancelled_work_is_never_placed(waiting):
    for number in range(6):
        _add(waiting, f'a{number}')
    for number in range(5):
        waiting.cancel(f'a{number}')
    assert [one.id for one in _pick_all(waiting)] == ['a5']
    assert waiting.sizes()['slow'] == 0


def test_large_work_gets_a_worker_kept_free(waiting):
    large = resources.Resources(8, 8)
    held = []
    for number in range(10):
        _add(waiting, f'u{number}', kind='quick')
    held += _pick_all(waiting)
    _add(waiting, 'large', kind='quick', demand=large)
    assert not _pick_all(waiting, now=queue.EARMARK_AFTER + 1)
    kept = waiting.capacity.earmarked
    assert kept
    for ticket in held:
        hold = waiting.capacity.holds[ticket.id]
        if hold.worker == kept:
            waiting.freed(waiting.capacity.free(ticket.id))
            _add(waiting, f'new-{ticket.id}', kind='quick')
    placed = _pick_all(waiting, now=queue.EARMARK_AFTER + 2)
    assert 'large' in [one.id for one in placed]


def test_a_guest_is_not_handed_on(waiting):
    guest, _ = _add(waiting, 'guest')
    guest.guest = True
    own, _ = _add(waiting, 'own')
    assert waiting.take_for('slow', 'one', SLOT) is own
    assert waiting.take_for('slow', 'one', SLOT) is None
