"""Followers: which hear from the leader often, and which may succeed it."""

from __future__ import annotations

from jujubebend_cluster import followers, hostcapacity, peers

WIDE = hostcapacity.HostCapacity(cores=2, link_mbps=100)
NARROW = hostcapacity.HostCapacity(cores=2, link_mbps=5)


def test_the_most_capable_followers_send_heartbeats_often():
    known = followers.Followers()
    for number in range(2 * followers.FREQUENT_FOLLOWER_COUNT):
        known.record_heartbeat(f'narrow-{number}', NARROW)
    interval = known.record_heartbeat('wide', WIDE)
    assert interval == peers.HEARTBEAT_INTERVAL_S
    assert known.addresses_by_capacity()[0] == 'wide'
    last = known.record_heartbeat('narrow-15', NARROW)
    assert last == followers.LONG_HEARTBEAT_INTERVAL_S


def test_only_followers_near_the_highest_capacity_are_best_successors():
    known = followers.Followers()
    known.record_heartbeat('narrow', NARROW)
    assert known.is_best_successor('narrow')
    known.record_heartbeat('wide', WIDE)
    assert known.is_best_successor('wide')
    assert not known.is_best_successor('narrow')
