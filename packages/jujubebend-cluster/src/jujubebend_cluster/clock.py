"""Clocks. Leases are measured on one that counts time spent suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds on a clock that never jumps and never stands still.

    A host may be suspended: CLOCK_MONOTONIC leaves that time out, so a lease
    measured on it would seem younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix() -> float:
    """Return the time of day, which may jump."""
    return time.time()
