"""Limit on the starts that a leader has under way.

A placed start waits for its commit, and for the processor and the link of the
leader. If more starts are placed than get through, each waits longer, urgent
ones too, until their tickets expire on the way and none succeeds. So the number
under way follows the delay that the starts measure.
"""

from __future__ import annotations

import statistics

import attrs

from jujubebend_cluster import logs

# Longest median delay from a placement to the worker's answer. It is 0.1 s
# through a relay while nothing waits, 0.35 s while the store is slow, and tickets
# are valid for about 2 s.
TARGET_DELAY_S = 0.4
MIN_LIMIT = 50
INITIAL_LIMIT = 100
RAISE = 1.25  # factor of one adjustment
MIN_SAMPLES = 5  # of the delay, for one adjustment
USED_SHARE = 0.8  # of the limit; it is raised only if it was used so far
ADJUSTMENT_INTERVAL_S = 0.25
# A start whose worker has not answered by then no longer counts: it waits for
# the worker, not for the leader.
MAX_COUNTED_S = 1.0


@attrs.define(eq=False)
class StartLimit:
    """Counts the starts under way and adapts their highest number.

        number = start_limit.open(now=10.0)
        start_limit.close(number, now=10.1, is_answered=True)

    Times are in seconds of one clock. ``delay`` is the median delay of recent
    starts, at most ``TARGET_DELAY_S``.
    """

    limit: float = INITIAL_LIMIT
    delay: float = 0
    _opened_at: dict[int, float] = attrs.field(factory=dict)
    _next_number: int = 0
    _delays: list[float] = attrs.field(factory=list)
    _adjusted_at: float = 0
    _most_open: int = 0

    def count_available(self, now: float) -> int:
        """Return how many more starts may be placed, at least zero."""
        counted = sum(
            now - opened_at <= MAX_COUNTED_S
            for opened_at in self._opened_at.values()
        )
        return max(0, int(self.limit) - counted)

    def open(self, now: float) -> int:
        """Count a start that has been placed; return its number."""
        number = self._next_number
        self._next_number += 1
        self._opened_at[number] = now
        self._most_open = max(self._most_open, len(self._opened_at))
        return number

    def close(self, number: int, now: float, *, is_answered: bool) -> None:
        """Count a start as done; its delay matters if it was answered."""
        opened_at = self._opened_at.pop(number)
        # A start that was placed before the last adjustment does not show its
        # effect.
        if not is_answered or opened_at < self._adjusted_at:
            return
        self._delays.append(now - opened_at)
        if (
            len(self._delays) >= MIN_SAMPLES
            and now - self._adjusted_at > ADJUSTMENT_INTERVAL_S
        ):
            self._adjust(now)

    def _adjust(self, now: float) -> None:
        delay = statistics.median(self._delays)
        former_limit = self.limit
        if delay > TARGET_DELAY_S:
            # Little's law: as many as get through in the target delay.
            limit = self._most_open * TARGET_DELAY_S / delay
            self.limit = max(MIN_LIMIT, min(self.limit, limit))
        elif self._most_open >= USED_SHARE * self.limit:
            self.limit *= RAISE
        if self.limit != former_limit:
            logs.belief(
                'start_limit', limit=int(self.limit), delay=round(delay, 3)
            )
        self.delay = min(delay, TARGET_DELAY_S)
        self._delays.clear()
        self._most_open = len(self._opened_at)
        self._adjusted_at = now
