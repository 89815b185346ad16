"""Pacing of fillers beside serving tasks.

Fillers use the CPU that serving tasks leave on a worker, and interfere with
them by an amount that changes within seconds. So the pace of a worker's
fillers follows the latency that its serving tasks measure: it is cut at once
and raised step by step.
"""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import clock, fleet, jobtable, leaderstate, logs

FULL_PACE = 100  # percent; a task that is not slowed down
FIRST_PACE = 50  # percent, until serving tasks have measured their latency
RAISE_BELOW = 0.7  # share of the latency target
HALVE_ABOVE = 0.85  # share of the latency target
MIN_PACE = 10  # percent; slower fillers interfere more than they accomplish
PACE_STEP = 10  # percentage points of one raise
# Measurements cover the last half second, so a raise shows after that.
RAISE_INTERVAL_S = 1.0
# A new pace takes effect after a tenth of a second, and measurements cover
# the last half second: an earlier cut would react to the old pace.
CUT_INTERVAL_S = 0.7


@attrs.define(eq=False)
class Pacer:
    """Sets the pace of the fillers on each worker."""

    leader: leaderstate.LeaderState

    def adjust_fillers(self, worker: fleet.Worker) -> None:
        """Adjust the pace of a worker's fillers to the latest status."""
        fillers = [
            task for task in worker.tasks.values() if task.group.step.filler
        ]
        if not fillers:
            worker.pace = FULL_PACE
            worker.pace_changed_at = 0
            return
        self._adjust_pace(worker, clock.now())
        stale_fillers = [
            task for task in fillers if _is_pace_stale(task, worker)
        ]
        if stale_fillers and not worker.is_pace_pending:
            worker.is_pace_pending = True
            self.leader.spawn(self._send_pace(worker, stale_fillers))

    def _adjust_pace(self, worker: fleet.Worker, now: float) -> None:
        ratio = latency_ratio(worker.tasks.values())
        pace = _choose_pace(worker, ratio, now)
        if pace == worker.pace:
            return
        logs.belief(
            'pace',
            worker=worker.name,
            before=worker.pace,
            percent=pace,
            strain=None if ratio is None else round(ratio, 2),
        )
        worker.pace = pace
        worker.pace_changed_at = now

    async def _send_pace(
        self, worker: fleet.Worker, stale_fillers: list[jobtable.Task]
    ) -> None:
        controller = self.leader.controllers[worker.name]
        try:
            for task in stale_fillers:
                await controller.set_pace(task, worker.pace)
        finally:
            worker.is_pace_pending = False


def latency_ratio(tasks: abc.Iterable[jobtable.Task]) -> float | None:
    """Return the highest ratio of tail latency to target of serving tasks.

    At 1.0 the slowest task just meets its target. Return None if no task
    serves. A task that has measured nothing yet has a ratio of 0.
    """
    return max(
        (
            task.tail_latency_s / task.group.step.latency_target
            for task in tasks
            if task.group.step.latency_target
        ),
        default=None,
    )


def _is_pace_stale(task: jobtable.Task, worker: fleet.Worker) -> bool:
    return (
        task.answered_at is not None and task.acknowledged_pace != worker.pace
    )


def _choose_pace(worker: fleet.Worker, ratio: float | None, now: float) -> int:
    elapsed = now - worker.pace_changed_at
    if ratio is None:
        return FULL_PACE
    if not worker.pace_changed_at:
        return FIRST_PACE if ratio < HALVE_ABOVE else 0
    if ratio >= 1:
        return 0
    if ratio > HALVE_ABOVE and elapsed > CUT_INTERVAL_S:
        half = worker.pace // 2
        return half if half >= MIN_PACE else 0
    if ratio < RAISE_BELOW and elapsed > RAISE_INTERVAL_S:
        return min(FULL_PACE, worker.pace + PACE_STEP)
    return worker.pace
