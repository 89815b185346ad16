"""The peers that greet this host while it leads, and may take work off it."""

from __future__ import annotations

import itertools

import attrs

from jujubebend_cluster import clock, peers

SILENCE_SLACK = 1.5  # seconds beyond two pauses that a peer may still help
HEIRS = 8  # hosts that greet often, so that one of them notices a loss soon
CROWD_PAUSE = 2.0  # seconds between greetings of the others


@attrs.define(eq=False)
class _Greeter:
    cores: float
    seen: float


@attrs.define(eq=False)
class Followers:
    """Peers by their address, in the order in which they came."""

    _known: dict[str, _Greeter] = attrs.field(factory=dict)

    def greeted(self, address: str, cores: float) -> None:
        """Note a greeting; a known peer keeps its place."""
        known = self._known.setdefault(address, _Greeter(cores, 0))
        known.seen = clock.now()

    def pause(self, address: str) -> float:
        """Return the seconds until a peer should greet again."""
        heirs = itertools.islice(self._known, HEIRS)
        return peers.HEARTBEAT_INTERVAL_S if address in heirs else CROWD_PAUSE

    def forget_silent(self) -> list[str]:
        """Drop the peers that stopped greeting; return their addresses."""
        now = clock.now()
        silent = [
            address
            for address, known in self._known.items()
            if now - known.seen > 2 * self.pause(address) + SILENCE_SLACK
        ]
        for address in silent:
            self._known.pop(address)
        return silent

    def addresses_by_cores(self) -> list[str]:
        """Return the peers' addresses, those with most processor first."""
        return sorted(
            self._known, key=lambda address: -self._known[address].cores
        )
