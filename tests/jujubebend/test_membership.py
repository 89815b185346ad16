"""Liveness of the entry hosts and assignment by rendezvous hashing."""

from __future__ import annotations

from jujubebend import membership


def _make_view(count=6):
    own = membership.Member('h0', 'a', '')
    view = membership.View(own)
    for number in range(1, count):
        zone = 'abc'[number % 3]
        view.heard(membership.Member(f'h{number}', zone, '', heard=100))
    return view


def test_silent_hosts_are_not_alive():
    view = _make_view()
    assert len(view.live_hosts(101)) == 6
    names = [
        member.name
        for member in view.live_hosts(100 + membership.LIVENESS_TIMEOUT_SECONDS)
    ]
    assert names == ['h0']


def test_old_heartbeat_has_no_effect():
    view = _make_view()
    old_heartbeat = membership.Member('h1', 'b', '', heard=50, leaving=True)
    assert not view.heard(old_heartbeat)
    assert not view.members['h1'].leaving


def test_other_zones_take_over_only_if_all_hosts_are_gone():
    view = _make_view()
    now = 100 + membership.LIVENESS_TIMEOUT_SECONDS
    assert view.eligible_owners('b', set(), now) == []
    assert [
        member.name for member in view.eligible_owners('b', {'b'}, now)
    ] == ['h0']


def test_lost_host_moves_only_its_own_keys():
    names = [f'h{number}' for number in range(8)]
    keys = [f'worker-{number}' for number in range(200)]
    before = {key: membership.choose_by_rendezvous(key, names) for key in keys}
    after = {
        key: membership.choose_by_rendezvous(key, names[:-1]) for key in keys
    }
    moved_keys = [key for key in keys if before[key] != after[key]]
    assert moved_keys
    assert all(before[key] == 'h7' for key in moved_keys)


def test_one_host_of_each_live_pair_sends_heartbeats():
    names = [f'h{number}' for number in range(8)]
    sent_pairs = set()
    for name in names:
        own = membership.Member(name, 'a', '')
        view = membership.View(own)
        for other in names:
            if other != name:
                view.heard(membership.Member(other, 'a', '', heard=100))
        due = membership.due_heartbeat_targets(view, 101)
        sent_pairs.update((name, target.name) for target in due)
        due_after_silence = membership.due_heartbeat_targets(view, 102)
        assert len(due_after_silence) == len(names) - 1
    assert len(sent_pairs) == len(names) * (len(names) - 1) // 2
    assert all((other, name) not in sent_pairs for name, other in sent_pairs)


def test_heartbeats_go_to_own_zone_and_one_host_per_other_zone():
    targets = membership.heartbeat_targets(_make_view(30), 101)
    zones = [target.zone for target in targets]
    assert zones.count('a') == 9
    assert (zones.count('b'), zones.count('c')) == (1, 1)
