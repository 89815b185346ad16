"""Slows fillers down before serving tasks beside them miss their target.

Fillers share what serving tasks leave of a worker, and disturb them by an
amount that changes within seconds. So the pace of a worker's fillers follows
what its serving tasks measure: down at once, up step by step.
"""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import cell, clock, fleet, jobtable, logs

WHOLE = 100  # percent; a task that is not slowed down
FIRST_PACE = 50  # percent, until serving tasks have shown what they bear
CALM = 0.7  # of a target; below it fillers may do more
TENSE = 0.85  # of a target; above it fillers do half as much
LEAST_PACE = 10  # percent; less is not worth its disturbance
RAISE = 10  # percent points
RAISE_EVERY = 1.0  # seconds; the figures are of the last half second
CUT_EVERY = 0.7  # seconds; a new pace counts from a tenth of a second on


@attrs.define(eq=False)
class Pacer:
    """Keeps fillers at the pace that their worker bears."""

    cell: cell.Cell

    def looked(self, worker: fleet.Worker) -> None:
        """Adjust the worker's fillers to what it has just told."""
        fillers = [
            task for task in worker.tasks.values() if task.group.step.filler
        ]
        if not fillers:
            worker.pace = WHOLE
            worker.paced_at = 0
            return
        self._adjust(worker, clock.now())
        stale = [task for task in fillers if _is_stale(task, worker)]
        if stale and not worker.pacing:
            worker.pacing = True
            self.cell.spawn(self._order(worker, stale))

    def _adjust(self, worker: fleet.Worker, now: float) -> None:
        load = strain(worker.tasks.values())
        wanted = _wanted(worker, load, now)
        if wanted == worker.pace:
            return
        logs.belief(
            'pace',
            worker=worker.name,
            before=worker.pace,
            percent=wanted,
            strain=None if load is None else round(load, 2),
        )
        worker.pace = wanted
        worker.paced_at = now

    async def _order(
        self, worker: fleet.Worker, stale: list[jobtable.Task]
    ) -> None:
        made = self.cell.controllers[worker.name]
        try:
            for task in stale:
                await made.pace(task, worker.pace)
        finally:
            worker.pacing = False


def strain(tasks: abc.Iterable[jobtable.Task]) -> float | None:
    """Return how near the worst serving task is to its target.

    One means that it meets its target exactly; None that none serves. A
    task that has measured nothing yet counts as being at ease.
    """
    return max(
        (
            task.tail_latency_s / task.group.step.latency_target
            for task in tasks
            if task.group.step.latency_target
        ),
        default=None,
    )


def _is_stale(task: jobtable.Task, worker: fleet.Worker) -> bool:
    return (
        task.answered_at is not None and task.acknowledged_pace != worker.pace
    )


def _wanted(worker: fleet.Worker, load: float | None, now: float) -> int:
    since = now - worker.paced_at
    if load is None:
        return WHOLE
    if not worker.paced_at:
        return FIRST_PACE if load < TENSE else 0
    if load >= 1:
        return 0
    if load > TENSE and since > CUT_EVERY:
        half = worker.pace // 2
        return half if half >= LEAST_PACE else 0
    if load < CALM and since > RAISE_EVERY:
        return min(WHOLE, worker.pace + RAISE)
    return worker.pace
