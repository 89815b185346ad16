"""Capacity of a host: its processor time and its network link."""

from __future__ import annotations

import attrs

# What a leader sends and receives for each core that it uses.
LINK_MBPS_PER_CORE = 5.0


@attrs.frozen
class HostCapacity:
    """The processor time and the link of one host.

    ``cores`` is the processor time that the daemon may use, in cores of normal
    speed. ``link_mbps`` is the rate of the host's link in Mbit/s, zero if it
    is not known.

        HostCapacity(cores=2.0, link_mbps=5.0).leading == 1.0
    """

    cores: float = 1
    link_mbps: float = 0

    @property
    def leading(self) -> float:
        """Return how many cores a leader on this host can make use of."""
        if not self.link_mbps:
            return self.cores
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)
