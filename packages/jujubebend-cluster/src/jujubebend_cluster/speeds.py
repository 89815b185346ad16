"""Estimates of the speed of workers from the durations of their runs.

A declared duration can be wrong by a factor of ten, but all tasks of a group
are wrong by about the same factor. So what the earlier runs of a group took, at
the speeds of their workers, tells how much work a task of the group really is,
and the next run of the group how fast its worker is:

>>> work = WorkEstimate.declared(2.0)
>>> for _ in range(8):  # on workers of speed 1, which need twice as long
...     work.add_run(4.0, SpeedEstimate(variance=0.01))
>>> slow = SpeedEstimate()
>>> slow.add_run(work, 8.0, now=1.0)
>>> round(slow.speed, 1)
0.6

All estimates are of logarithms, with a variance each. Times are in seconds.
"""

from __future__ import annotations

import math

import attrs

# Variance of the work of the tasks of one group around their mean.
TASK_VARIANCE = 0.06
# Variance of the mean work of a group around its declared duration.
DECLARED_VARIANCE = 0.5
# Variance of the speed of a worker of which nothing is known.
UNKNOWN_VARIANCE = 0.25
# Added to the variance of a speed for each second without a run.
DRIFT_VARIANCE = 0.005
# A run that deviates by more standard deviations shows that the speed has
# changed.
CHANGE_DEVIATIONS = 3.0
# Error of the measured duration of a run: the delay of its start and its end.
DURATION_ERROR_S = 0.03
# Bounds on speeds, as multiples of the declared speed.
MAX_SPEED = 4.0
MIN_SPEED = 0.1


@attrs.define
class SpeedEstimate:
    """How fast a worker is; a speed of 1 takes the declared duration."""

    log_speed: float = 0
    variance: float = UNKNOWN_VARIANCE
    updated_at: float = 0

    @property
    def speed(self) -> float:
        """Return the most likely speed, within its bounds."""
        return min(MAX_SPEED, max(MIN_SPEED, math.exp(self.log_speed)))

    def add_run(self, work: WorkEstimate, seconds: float, now: float) -> None:
        """Take a run of ``seconds`` of a task of that work into account."""
        elapsed = max(0, now - self.updated_at) if self.updated_at else 0
        self.updated_at = now
        variance = min(
            UNKNOWN_VARIANCE, self.variance + DRIFT_VARIANCE * elapsed
        )
        deviation = work.log_seconds - math.log(seconds) - self.log_speed
        run_variance = work.variance + _run_variance(seconds)
        if deviation**2 > CHANGE_DEVIATIONS**2 * (variance + run_variance):
            variance = UNKNOWN_VARIANCE
        gain = variance / (variance + run_variance)
        self.log_speed += gain * deviation
        self.variance = (1 - gain) * variance


@attrs.define
class WorkEstimate:
    """How long a task of a group takes on a worker of speed 1."""

    log_seconds: float
    variance: float = DECLARED_VARIANCE

    @classmethod
    def declared(cls, seconds: float) -> WorkEstimate:
        """Return the estimate of a group that has run nothing yet."""
        return cls(math.log(seconds))

    def add_run(self, seconds: float, worker: SpeedEstimate) -> None:
        """Take a run of a task of the group on a worker into account."""
        log_seconds = math.log(seconds) + worker.log_speed
        run_variance = worker.variance + _run_variance(seconds)
        gain = self.variance / (self.variance + run_variance)
        self.log_seconds += gain * (log_seconds - self.log_seconds)
        self.variance *= 1 - gain


def _run_variance(seconds: float) -> float:
    return TASK_VARIANCE + (DURATION_ERROR_S / seconds) ** 2
