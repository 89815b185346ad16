"""Free loopback ports for stand-ins and the daemons beside them."""

from __future__ import annotations

import random
import socket

# Below the range from which the kernel takes the ports of outgoing
# connections, so that none of those lands on a port chosen here.
LOWEST = 10_000
HIGHEST = 32_000


def choose(count: int) -> list[int]:
    """Return ports that nothing listens on now."""
    rng = random.SystemRandom()
    found: list[int] = []
    while len(found) < count:
        port = rng.randrange(LOWEST, HIGHEST)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def choose_row(count: int) -> int:
    """Return the first of ``count`` ports in a row that are free now."""
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(LOWEST, HIGHEST - count)
        if all(_is_free(first + at) for at in range(count)):
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
