"""Free loopback ports for fakes and for daemons tested against them."""

from __future__ import annotations

import random
import socket

# Below the kernel's range of ephemeral ports, so that no outgoing connection
# takes a port between its choice and its use.
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
# Ports of ranges that this process has given out. A daemon binds its ports some
# time later, and again after each restart.
_reserved_ports: set[int] = set()


def find_free_ports(count: int) -> list[int]:
    """Return random ports that nothing listens on at present."""
    rng = random.SystemRandom()
    free_ports: list[int] = []
    while len(free_ports) < count:
        port = rng.randrange(LOWEST_PORT, HIGHEST_PORT)
        if port not in free_ports and _is_free(port):
            free_ports.append(port)
    return free_ports


def find_free_port_range(count: int) -> int:
    """Return the first of ``count`` consecutive free ports.

    No port is returned twice by one process.
    """
    rng = random.SystemRandom()
    while True:
        first = rng.randrange(LOWEST_PORT, HIGHEST_PORT - count)
        port_range = range(first, first + count)
        is_reserved = not _reserved_ports.isdisjoint(port_range)
        if not is_reserved and all(map(_is_free, port_range)):
            _reserved_ports.update(port_range)
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
