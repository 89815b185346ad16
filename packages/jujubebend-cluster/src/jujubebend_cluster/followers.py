"""Peers that send this host heartbeats while it leads.

The leader may use them as relays for its calls to workers.
"""

from __future__ import annotations

import itertools

import attrs

from jujubebend_cluster import clock, peers

HEARTBEAT_SLACK_S = 1.5  # added to two intervals before a follower is removed
# The first followers get a short interval, to detect a failed leader soon.
FREQUENT_FOLLOWER_COUNT = 8
LONG_HEARTBEAT_INTERVAL_S = 2.0  # between heartbeats of the other followers


@attrs.define(eq=False)
class _Follower:
    cores: float
    last_heartbeat_at: float


@attrs.define(eq=False)
class Followers:
    """Followers by address, in the order of their first heartbeat."""

    _followers: dict[str, _Follower] = attrs.field(factory=dict)

    def record_heartbeat(self, address: str, cores: float) -> None:
        """Record a heartbeat; a known follower keeps its position."""
        follower = self._followers.setdefault(address, _Follower(cores, 0))
        follower.last_heartbeat_at = clock.now()

    def heartbeat_interval(self, address: str) -> float:
        """Return the seconds until a follower's next heartbeat is due."""
        frequent = itertools.islice(self._followers, FREQUENT_FOLLOWER_COUNT)
        return (
            peers.HEARTBEAT_INTERVAL_S
            if address in frequent
            else LONG_HEARTBEAT_INTERVAL_S
        )

    def remove_silent(self) -> list[str]:
        """Remove followers whose heartbeats stopped; return their addresses."""
        now = clock.now()
        silent = [
            address
            for address, follower in self._followers.items()
            if now - follower.last_heartbeat_at
            > 2 * self.heartbeat_interval(address) + HEARTBEAT_SLACK_S
        ]
        for address in silent:
            self._followers.pop(address)
        return silent

    def addresses_by_cores(self) -> list[str]:
        """Return the followers' addresses, those with most cores first."""
        return sorted(
            self._followers, key=lambda address: -self._followers[address].cores
        )
