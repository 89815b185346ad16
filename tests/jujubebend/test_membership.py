"""Who is alive, and whom rendezvous hashing names."""

from __future__ import annotations

from jujubebend import membership


def _view(count=6):
    own = membership.Member('h0', 'a', '')
    view = membership.View(own)
    for number in range(1, count):
        zone = 'abc'[number % 3]
        view.heard(membership.Member(f'h{number}', zone, '', heard=100))
    return view


def test_silent_hosts_are_not_alive():
    view = _view()
    assert len(view.alive(101)) == 6
    names = [one.name for one in view.alive(100 + membership.ALIVE_FOR)]
    assert names == ['h0']


def test_an_old_heartbeat_changes_nothing():
    view = _view()
    late = membership.Member('h1', 'b', '', heard=50, leaving=True)
    assert not view.heard(late)
    assert not view.members['h1'].leaving


def test_another_zone_stands_in_only_for_hosts_that_are_gone():
    view = _view()
    now = 100 + membership.ALIVE_FOR
    assert view.candidates('b', set(), now) == []
    assert [one.name for one in view.candidates('b', {'b'}, now)] == ['h0']


def test_a_lost_host_moves_only_what_it_held():
    names = [f'h{number}' for number in range(8)]
    keys = [f'worker-{number}' for number in range(200)]
    before = {key: membership.choose(key, names) for key in keys}
    after = {key: membership.choose(key, names[:-1]) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert moved
    assert all(before[key] == 'h7' for key in moved)


def test_of_a_pair_that_hears_each_other_one_sends():
    names = [f'h{number}' for number in range(8)]
    sent = set()
    for name in names:
        own = membership.Member(name, 'a', '')
        view = membership.View(own)
        for other in names:
            if other != name:
                view.heard(membership.Member(other, 'a', '', heard=100))
        due = membership.due_targets(view, 101)
        sent.update((name, target.name) for target in due)
        late = membership.due_targets(view, 102)
        assert len(late) == len(names) - 1
    assert len(sent) == len(names) * (len(names) - 1) // 2
    assert all((other, name) not in sent for name, other in sent)


def test_heartbeats_go_to_the_zone_and_one_host_of_each_other():
    targets = membership.beat_targets(_view(30), 101)
    zones = [target.zone for target in targets]
    assert zones.count('a') == 9
    assert (zones.count('b'), zones.count('c')) == (1, 1)
