"""Free loopback ports for fakes and for daemons tested against them.

A daemon binds its ports some time after they were chosen, and again after each
restart. So that two test runs on one machine never choose the same ones, each
process takes ports from blocks of its own: it listens on the first port of a
block for as long as it lives, which no other process can do then.
"""

from __future__ import annotations

import collections
import random
import socket

# Below the kernel's range of ephemeral ports, so that no outgoing connection
# takes a port between its choice and its use.
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
BLOCK_SIZE = 200  # ports, of which the first one guards the block
# Sockets that listen on the first ports of this process's blocks.
_guards: list[socket.socket] = []
# Ports of this process's blocks that have not been given out, in order.
_unused_ports: collections.deque[int] = collections.deque()


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on at present."""
    return [find_free_port_range(1) for _ in range(count)]


def find_free_port_range(count: int) -> int:
    """Return the first of ``count`` consecutive free ports.

    No port is returned twice, neither to this process nor to another one that
    uses this module at the same time. Raises ``ValueError`` if a block does
    not have as many ports, and ``OSError`` if all blocks are in use.
    """
    if count >= BLOCK_SIZE:
        raise ValueError(f'{count} ports asked for, a block has {BLOCK_SIZE}')
    while True:
        if len(_unused_ports) < count:
            _unused_ports.clear()
            _unused_ports.extend(_acquire_block())
        candidates = [_unused_ports.popleft() for _ in range(count)]
        if all(map(_is_free, candidates)):
            return candidates[0]


def _acquire_block() -> range:
    """Return the ports of a block that no process uses, without its first."""
    starts = list(range(LOWEST_PORT, HIGHEST_PORT, BLOCK_SIZE))
    random.SystemRandom().shuffle(starts)
    for first in starts:
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', first))
            guard.listen()
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return range(first + 1, first + BLOCK_SIZE)
    raise OSError(f'no block of {BLOCK_SIZE} ports is free')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
