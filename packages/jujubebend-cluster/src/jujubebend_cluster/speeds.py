"""Estimates of the speed of workers from the durations of their runs.

A declared duration can be wrong by a factor of ten, but all tasks of a group
are wrong by about the same factor. So what the other runs of a group took, at
the speeds of their workers, tells how much work a task of the group really is,
and that tells how fast the worker of a run is:

>>> usual, slow = SpeedEstimate(variance=0.01), SpeedEstimate()
>>> runs = [Run(usual, 4.0), Run(usual, 4.0), Run(usual, 4.0), Run(slow, 8.0)]
>>> learn_from_group(2.0, runs, now=1.0)
>>> round(slow.speed, 1)
0.6

A group is looked at once all its runs are known: its first ones are those of
its shortest tasks. All estimates are of logarithms, with a variance each. Times
are in seconds.
"""

from __future__ import annotations

import math
from collections import abc

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


@attrs.define(eq=False)
class SpeedEstimate:
    """How fast a worker is; a speed of 1 takes the declared duration.

    ``variance`` is that of the logarithm of ``speed``.
    """

    speed: float = 1
    variance: float = UNKNOWN_VARIANCE
    updated_at: float = 0

    def forget(self) -> None:
        """Trust the estimate no more than that of an unknown worker."""
        self.variance = UNKNOWN_VARIANCE

    def update(self, log_speed: float, variance: float, now: float) -> None:
        """Take a measured speed with its variance into account."""
        elapsed = max(0, now - self.updated_at) if self.updated_at else 0
        self.updated_at = now
        own_variance = min(
            UNKNOWN_VARIANCE, self.variance + DRIFT_VARIANCE * elapsed
        )
        deviation = log_speed - math.log(self.speed)
        if deviation**2 > CHANGE_DEVIATIONS**2 * (own_variance + variance):
            own_variance = UNKNOWN_VARIANCE
        gain = own_variance / (own_variance + variance)
        speed = self.speed * math.exp(gain * deviation)
        self.speed = min(MAX_SPEED, max(MIN_SPEED, speed))
        self.variance = (1 - gain) * own_variance


@attrs.frozen
class Run:
    """A complete run of a task: the estimate of its worker, its duration."""

    worker: SpeedEstimate
    seconds: float

    @property
    def log_work(self) -> float:
        """Return the work of the task, by the estimated speed."""
        return math.log(self.seconds * self.worker.speed)

    @property
    def variance(self) -> float:
        """Return the variance of a duration of the same work."""
        return TASK_VARIANCE + (DURATION_ERROR_S / self.seconds) ** 2

    @property
    def weight(self) -> float:
        """Return how much the run tells about the work of its group."""
        return 1 / (self.variance + self.worker.variance)


def learn_from_group(
    declared: float, runs: abc.Sequence[Run], now: float
) -> None:
    """Update the speeds of the workers that ran the tasks of a group.

    ``declared`` is the declared duration of a task.
    """
    weight = 1 / DECLARED_VARIANCE + sum(run.weight for run in runs)
    total = math.log(declared) / DECLARED_VARIANCE + sum(
        run.weight * run.log_work for run in runs
    )
    measured = []
    for run in runs:
        others_weight = weight - run.weight
        log_work = (total - run.weight * run.log_work) / others_weight
        log_speed = log_work - math.log(run.seconds)
        measured.append((log_speed, 1 / others_weight + run.variance))
    for run, (log_speed, variance) in zip(runs, measured, strict=True):
        run.worker.update(log_speed, variance, now)
