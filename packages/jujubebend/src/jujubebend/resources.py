"""Resource vectors: worker capacity and demand in five dimensions.

CPUs are counted in thousandths of a core, so that sums are exact. A worker
with 8 slots, 64 connections, 32 cores and 64 GiB of memory is

    resources.Resources(8, 64, 32_000, 64 * 2**30, 0)
"""

from __future__ import annotations

import sys

import attrs

DIMENSIONS = ('slots', 'connections', 'cpus', 'memory_bytes', 'accelerators')
MILLI_CPUS_PER_CPU = 1000
KIB = 1024
MIB = KIB * KIB
GIB = KIB * MIB
MAX_AMOUNT = sys.maxsize


@attrs.frozen
class Resources:
    """An amount in each dimension.

    Capacities and demands are not negative; a difference may be.
    """

    slots: int = 0
    connections: int = 0
    milli_cpus: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum in each dimension."""
        return Resources(
            self.slots + other.slots,
            self.connections + other.connections,
            self.milli_cpus + other.milli_cpus,
            self.memory_bytes + other.memory_bytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference in each dimension."""
        return Resources(
            self.slots - other.slots,
            self.connections - other.connections,
            self.milli_cpus - other.milli_cpus,
            self.memory_bytes - other.memory_bytes,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: Resources) -> bool:
        """Return whether no dimension exceeds that of ``room``."""
        return (
            self.slots <= room.slots
            and self.connections <= room.connections
            and self.milli_cpus <= room.milli_cpus
            and self.memory_bytes <= room.memory_bytes
            and self.accelerators <= room.accelerators
        )

    def vector(self) -> tuple[int, ...]:
        """Return the amounts in the order of ``DIMENSIONS``."""
        return (
            self.slots,
            self.connections,
            self.milli_cpus,
            self.memory_bytes,
            self.accelerators,
        )

    def exceeded_dimension(self, room: Resources) -> str:
        """Return the first dimension that exceeds ``room``, or ''."""
        pairs = zip(DIMENSIONS, self.vector(), room.vector(), strict=True)
        for name, needed, available in pairs:
            if needed > available:
                return name
        return ''

    def dominant_share(self, total: Resources) -> float:
        """Return the dominant share: the largest fraction of ``total``.

        A dimension in which ``total`` is zero counts as fully used if this
        amount is positive there.
        """
        largest_fraction = float(0)
        for used, available in zip(self.vector(), total.vector(), strict=True):
            if used > 0:
                largest_fraction = max(
                    largest_fraction, used / available if available > 0 else 1
                )
        return largest_fraction

    def elementwise_max(self, other: Resources) -> Resources:
        """Return the larger amount in each dimension."""
        pairs = zip(self.vector(), other.vector(), strict=True)
        return Resources(*(max(pair) for pair in pairs))

    def to_json(self) -> dict[str, float]:
        """Return the amounts by their public names; CPUs in cores."""
        amounts: dict[str, float] = dict(
            zip(DIMENSIONS, self.vector(), strict=True)
        )
        amounts['cpus'] = self.milli_cpus / MILLI_CPUS_PER_CPU
        return amounts


NOTHING = Resources()


def from_json(amounts: dict[str, float]) -> Resources:
    """Return the vector of amounts by their public names."""
    return Resources(
        int(amounts.get('slots', 0)),
        int(amounts.get('connections', 0)),
        round(amounts.get('cpus', 0) * MILLI_CPUS_PER_CPU),
        int(amounts.get('memory_bytes', 0)),
        int(amounts.get('accelerators', 0)),
    )
