"""The fair queue: shares, classes, quotas, shedding and earmarking."""

from __future__ import annotations

import pytest

from jujubebend import ledger, manifest, policy, queue, resources

SLOT = resources.Resources(1, 1)
MANIFEST = manifest.Manifest(
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
def fair_queue():
    worker_ledger = ledger.Ledger()
    for number in range(2):
        size = resources.Resources(8, 64)
        worker_ledger.add(ledger.OwnedWorker(f'w{number}', 'rack', size))
    fair_queue = queue.FairQueue(worker_ledger)
    fair_queue.configure(MANIFEST)
    return fair_queue


def _add_ticket(fair_queue, name, kind='slow', team='one', demand=SLOT, now=0):
    ticket = queue.Ticket(
        name, kind, team, demand, policy.Prompt(), now + 60, now
    )
    return ticket, fair_queue.add(ticket)


def _place_all(fair_queue, now=0):
    placed_tickets = []
    while placed := fair_queue.place_next(now):
        placed_tickets.append(placed.ticket)
    return placed_tickets


def test_urgent_is_placed_before_patient(fair_queue):
    _add_ticket(fair_queue, 'p')
    _add_ticket(fair_queue, 'u', kind='quick')
    assert [ticket.id for ticket in _place_all(fair_queue)] == ['u', 'p']


def test_patient_work_leaves_capacity_for_urgent(fair_queue):
    for number in range(10):
        _add_ticket(fair_queue, f'a{number}', team='one')
        _add_ticket(fair_queue, f'b{number}', team='two')
    assert len(_place_all(fair_queue)) == 10


def test_patient_work_is_not_starved_by_urgent(fair_queue):
    for number in range(10):
        _add_ticket(fair_queue, f'u{number}', kind='quick')
    _add_ticket(fair_queue, 'p')
    order = [ticket.id for ticket in _place_all(fair_queue)]
    assert order.index('p') < 9


def test_team_stays_within_its_quota(fair_queue):
    for number in range(8):
        _add_ticket(fair_queue, f'c{number}', kind='quick', team='capped')
    assert len(_place_all(fair_queue)) == 4


def test_teams_share_a_kind_by_weight(fair_queue):
    for number in range(5):
        _add_ticket(fair_queue, f'a{number}', team='one')
        _add_ticket(fair_queue, f'b{number}', team='two')
    first = [ticket.team for ticket in _place_all(fair_queue)][:4]
    assert sorted(first) == ['one', 'one', 'two', 'two']


def test_full_queue_sheds_from_the_largest_team(fair_queue):
    for number in range(10):
        _add_ticket(fair_queue, f'a{number}')
    assert fair_queue.find_refusal('slow', 'one', 60, 0) is not None
    assert fair_queue.find_refusal('slow', 'two', 60, 0) is None
    _, shed = _add_ticket(fair_queue, 'b', team='two')
    assert shed.id == 'a9'


def test_cancelled_ticket_is_not_placed(fair_queue):
    for number in range(6):
        _add_ticket(fair_queue, f'a{number}')
    for number in range(5):
        fair_queue.cancel(f'a{number}')
    assert [ticket.id for ticket in _place_all(fair_queue)] == ['a5']
    assert fair_queue.waiting_by_kind()['slow'] == 0


def test_large_demand_gets_an_earmarked_worker(fair_queue):
    large = resources.Resources(8, 8)
    placed_tickets = []
    for number in range(10):
        _add_ticket(fair_queue, f'u{number}', kind='quick')
    placed_tickets += _place_all(fair_queue)
    _add_ticket(fair_queue, 'large', kind='quick', demand=large)
    assert not _place_all(fair_queue, now=queue.EARMARK_AFTER_SECONDS + 1)
    earmarked_worker = fair_queue.worker_ledger.earmarked_worker
    assert earmarked_worker
    for ticket in placed_tickets:
        allocation = fair_queue.worker_ledger.allocations[ticket.id]
        if allocation.worker == earmarked_worker:
            fair_queue.count_deallocation(
                fair_queue.worker_ledger.deallocate(ticket.id)
            )
            _add_ticket(fair_queue, f'new-{ticket.id}', kind='quick')
    placed = _place_all(fair_queue, now=queue.EARMARK_AFTER_SECONDS + 2)
    assert 'large' in [ticket.id for ticket in placed]


def test_a_ticket_that_fits_no_worker_does_not_hold_up_its_team(fair_queue):
    """Guards against a team that waits for a worker that was lost.

    The large tickets are first again once such a worker is added.
    """
    size = resources.Resources(16, 64)
    for number in range(20):
        _add_ticket(fair_queue, f'large{number}', demand=size)
    _add_ticket(fair_queue, 'small')
    assert [ticket.id for ticket in _place_all(fair_queue)] == ['small']
    _add_ticket(fair_queue, 'later')
    fair_queue.worker_ledger.add(ledger.OwnedWorker('w2', 'rack', size))
    placed = _place_all(fair_queue)
    assert [ticket.id for ticket in placed] == ['large0']


def test_tickets_that_fit_no_worker_are_all_handed_over():
    """Guards against a host without workers that keeps a part of its tickets.

    Those handed over count no longer, however many they are.
    """
    fair_queue = queue.FairQueue(ledger.Ledger())
    fair_queue.configure(MANIFEST)
    for number in range(3 * queue.HANDOVER_SEARCH_LIMIT):
        _add_ticket(fair_queue, f't{number}', kind='other')
    assert not _place_all(fair_queue)
    while fair_queue.tickets:
        assert fair_queue.handover_candidates()
        assert fair_queue.take_for_peer('other', 'one', SLOT)
    assert not fair_queue.handover_candidates()


def test_a_lost_earmarked_worker_is_replaced(fair_queue):
    """Guards against tickets that get no worker kept free for them.

    The worker that was kept for a large ticket is lost, and no other is large
    enough for it.
    """
    size = resources.Resources(16, 64)
    worker_ledger = fair_queue.worker_ledger
    worker_ledger.add(ledger.OwnedWorker('w2', 'rack', size))
    _add_ticket(fair_queue, 'first', kind='quick', demand=size)
    _place_all(fair_queue)
    overdue = queue.EARMARK_AFTER_SECONDS + 1
    _add_ticket(fair_queue, 'large', kind='quick', demand=size)
    assert not _place_all(fair_queue, now=overdue)
    assert worker_ledger.earmarked_worker == 'w2'
    worker_ledger.remove('w2')
    whole = resources.Resources(8, 64)
    for number in range(3):
        _add_ticket(fair_queue, f'b{number}', kind='quick', demand=whole)
    assert len(_place_all(fair_queue, now=overdue)) == 2
    assert worker_ledger.earmarked_worker


def test_ticket_from_peer_is_not_handed_over_again(fair_queue):
    peer_ticket, _ = _add_ticket(fair_queue, 'guest')
    peer_ticket.is_from_peer = True
    own, _ = _add_ticket(fair_queue, 'own')
    assert fair_queue.take_for_peer('slow', 'one', SLOT) is own
    assert fair_queue.take_for_peer('slow', 'one', SLOT) is None
