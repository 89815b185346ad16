"""Peers that send this host heartbeats while it leads.

The leader may use them as relays for its calls to workers, and tells them which
of them should claim first when it fails.
"""

from __future__ import annotations

import attrs

from jujubebend_cluster import clock, hostcapacity, peers

# The most capable followers get a short interval: they replace a failed leader,
# so they have to notice it soon.
FREQUENT_FOLLOWER_COUNT = 8
# A follower of at least this share of the highest capacity is a good successor.
SUCCESSOR_SHARE = 0.8
LONG_HEARTBEAT_INTERVAL_S = 2.0  # between heartbeats of the other followers
HEARTBEAT_SLACK_S = 1.5  # added to two intervals before a follower is removed


@attrs.define(eq=False)
class _Follower:
    """One follower; ``interval_s`` is what it was told with its last reply."""

    capacity: hostcapacity.HostCapacity
    last_heartbeat_at: float
    interval_s: float = peers.HEARTBEAT_INTERVAL_S


@attrs.define(eq=False)
class Followers:
    """Followers by address, in the order of their first heartbeat."""

    _followers: dict[str, _Follower] = attrs.field(factory=dict)

    def record_heartbeat(
        self, address: str, capacity: hostcapacity.HostCapacity
    ) -> float:
        """Record a heartbeat; return the seconds until the next one is due."""
        follower = _Follower(capacity, clock.now())
        self._followers[address] = follower
        frequent = self.addresses_by_capacity()[:FREQUENT_FOLLOWER_COUNT]
        if address not in frequent:
            follower.interval_s = LONG_HEARTBEAT_INTERVAL_S
        return follower.interval_s

    def is_best_successor(self, address: str) -> bool:
        """Return whether no follower is much more capable than this one."""
        highest = max(
            follower.capacity.leading for follower in self._followers.values()
        )
        own = self._followers[address].capacity.leading
        return own >= SUCCESSOR_SHARE * highest

    def remove_silent(self) -> list[str]:
        """Remove followers whose heartbeats stopped; return their addresses."""
        now = clock.now()
        silent = [
            address
            for address, follower in self._followers.items()
            if now - follower.last_heartbeat_at
            > 2 * follower.interval_s + HEARTBEAT_SLACK_S
        ]
        for address in silent:
            self._followers.pop(address)
        return silent

    def addresses_by_capacity(self) -> list[str]:
        """Return the followers' addresses, the most capable first."""
        return sorted(
            self._followers,
            key=lambda address: -self._followers[address].capacity.leading,
        )
