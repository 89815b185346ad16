"""An asyncio event loop on virtual time.

Waits do not take real time, and the order of events is deterministic.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from unittest import mock

from jujubebend_cluster import clock

START_SECONDS = 1_000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = START_SECONDS

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.clock = _VirtualTimeSelector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now


def run(main, *, seed=1):
    """Run a coroutine function on virtual time and return its result.

    ``seed`` seeds the global random generator.
    """
    loop = _VirtualTimeLoop()
    random.seed(seed)
    with (
        mock.patch.object(clock, 'now', loop.time),
        mock.patch.object(clock, 'unix', loop.time),
    ):
        try:
            return loop.run_until_complete(main())
        finally:
            loop.close()
