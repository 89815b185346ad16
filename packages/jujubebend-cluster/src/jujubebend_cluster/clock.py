"""Clocks: a monotonic clock that includes suspended time, and Unix time."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds on a monotonic clock that counts time spent suspended.

    CLOCK_MONOTONIC stops while a host is suspended, so a lease measured on it
    would seem younger than it is. CLOCK_BOOTTIME keeps counting.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix() -> float:
    """Return the Unix time in seconds; it may jump."""
    return time.time()
