"""Capacity of a host to lead."""

from __future__ import annotations

from jujubebend_cluster import hostcapacity

WIDE = hostcapacity.HostCapacity(cores=2, link_mbps=100)
NARROW = hostcapacity.HostCapacity(cores=2, link_mbps=5)


def test_a_narrow_link_limits_the_capacity_to_lead():
    assert WIDE.leading == WIDE.cores
    assert NARROW.leading < WIDE.leading / 1.5
    assert hostcapacity.HostCapacity(cores=2).leading == 2
