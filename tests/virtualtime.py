"""An event loop on virtual time: waits take none, and order is the same."""

from __future__ import annotations

import asyncio
import random
import selectors
from unittest import mock

from jujubebend_cluster import clock

START = 1_000.0


class _Selector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = START

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self.now += timeout
        return found


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.clock = _Selector()
        super().__init__(self.clock)

    def time(self):
        return self.clock.now


def run(main, *, seed=1):
    """Run a coroutine function on virtual time."""
    loop = _Loop()
    random.seed(seed)
    with (
        mock.patch.object(clock, 'now', loop.time),
        mock.patch.object(clock, 'unix', loop.time),
    ):
        try:
            return loop.run_until_complete(main())
        finally:
            loop.close()
