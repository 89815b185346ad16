"""Admission control for the queue of one kind of work.

Work is refused on arrival when the queue of its kind is full, or when the
expected wait is longer than the time left before its deadline. Refusing it
at once avoids queueing work that would time out before it starts.
"""

from __future__ import annotations

import math

import attrs

RATE_HALF_LIFE_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0
MIN_GRANTS = 3.0


@attrs.define
class RateMeter:
    """Rate of grants per second, as an exponentially decaying average.

    Times are in seconds on any monotonic clock.
    """

    count: float = 0
    updated_at: float = 0

    def record_grant(self, now: float) -> None:
        """Count a grant."""
        self._decay(now)
        self.count += 1

    def rate(self, now: float) -> float:
        """Return grants per second, or zero when too few were counted."""
        self._decay(now)
        if self.count < MIN_GRANTS:
            return 0
        return self.count * math.log(2) / RATE_HALF_LIFE_SECONDS

    def _decay(self, now: float) -> None:
        self.count *= 0.5 ** ((now - self.updated_at) / RATE_HALF_LIFE_SECONDS)
        self.updated_at = now


@attrs.frozen
class Refusal:
    """The reason why work is refused; ``retry_after`` is in seconds."""

    reason: str
    retry_after: float


def find_refusal(
    queued: int, limit: int, time_left: float, rate: float
) -> Refusal | None:
    """Return a refusal if the queue is full or the wait too long.

    ``queued`` is the number of tickets already waiting, ``limit`` the
    largest number allowed, ``time_left`` the seconds to the deadline and
    ``rate`` the grants per second. A rate of zero means that it is unknown;
    the expected wait is then not checked. Returns None to admit the work.
    """
    expected_wait = queued / rate if rate else 0
    retry_after = min(
        MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, expected_wait)
    )
    if queued >= limit:
        return Refusal(
            f'queue full: {queued} waiting, limit {limit}', retry_after
        )
    if expected_wait > time_left:
        reason = (
            f'expected wait of {expected_wait:.1f} s exceeds'
            f' the {time_left:.1f} s left'
        )
        return Refusal(reason, retry_after)
    return None
