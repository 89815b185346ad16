"""Outlier ejection of workers whose work keeps failing.

Each worker has two counts that decay with time: completed attempts and
failed attempts. A worker is ejected when it has enough samples, most of them
failed, and its failure ratio is well above that of the other workers. The
comparison matters because work that fails on every worker is not evidence
against any one of them. A single failure never ejects a worker.

At most a fixed fraction of the workers is ejected at a time. An ejected
worker receives one probe at a time, and is readmitted when a probe succeeds.
"""

from __future__ import annotations

import attrs

HALF_LIFE_SECONDS = 30.0
MIN_SAMPLES = 4.0
MIN_FAILURE_RATIO = 0.6
MAX_EJECTED_FRACTION = 0.34
MIN_RATIO_TO_OTHERS = 2.0
FIRST_PROBE_WAIT_SECONDS = 2.0
MAX_PROBE_WAIT_SECONDS = 120.0
# The counts decay between samples, so four samples add up to slightly less
# than four.
SAMPLE_TOLERANCE = 0.05


@attrs.define
class WorkerHealth:
    """Decayed counts and probe state of one worker; times are in seconds."""

    attempts: float = 0
    failures: float = 0
    updated_at: float = 0
    is_ejected: bool = False
    probe_wait: float = FIRST_PROBE_WAIT_SECONDS
    next_probe_at: float = 0
    is_probing: bool = False


@attrs.define
class Ejector:
    """Decides which workers are ejected, from the results of their work.

    ``workers`` is the number of workers that serve the same work, including
    those owned by other hosts. The only worker is never ejected.

        ejector = Ejector()
        ejector.ended('worker-1', failed=True, now=0)
        ejector.admits('worker-1', now=0)
    """

    health_by_worker: dict[str, WorkerHealth] = attrs.field(factory=dict)
    workers: int = 0

    def ended(self, worker: str, *, failed: bool, now: float) -> None:
        """Record the result of an attempt on ``worker``."""
        health = self.health_by_worker.setdefault(
            worker, WorkerHealth(updated_at=now)
        )
        if health.is_ejected:
            self._record_probe_result(health, failed=failed, now=now)
            return
        self._decay(health, now)
        health.attempts += 1
        health.failures += failed
        if self._is_failing(health) and self._may_eject(health):
            health.is_ejected = True
            health.probe_wait = FIRST_PROBE_WAIT_SECONDS
            health.next_probe_at = now + FIRST_PROBE_WAIT_SECONDS

    def admits(self, worker: str, now: float) -> bool:
        """Return whether ``worker`` may receive work, or a probe, now."""
        health = self.health_by_worker.get(worker)
        if health is None or not health.is_ejected:
            return True
        return not health.is_probing and now >= health.next_probe_at

    def started(self, worker: str) -> None:
        """Record a start on ``worker``; if it is ejected, this is a probe."""
        health = self.health_by_worker.get(worker)
        if health is not None and health.is_ejected:
            health.is_probing = True

    def forget_worker(self, worker: str) -> None:
        """Drop the state of a worker that has left or restarted."""
        self.health_by_worker.pop(worker, None)

    def withdraw_probe(self, worker: str) -> None:
        """Record that a probe was withdrawn before it gave a result."""
        health = self.health_by_worker.get(worker)
        if health is not None:
            health.is_probing = False

    def ejected_workers(self) -> list[str]:
        """Return the names of the ejected workers."""
        return [
            name
            for name, health in self.health_by_worker.items()
            if health.is_ejected
        ]

    def _record_probe_result(
        self, health: WorkerHealth, *, failed: bool, now: float
    ) -> None:
        if not health.is_probing:
            return
        health.is_probing = False
        if failed:
            health.probe_wait = min(
                MAX_PROBE_WAIT_SECONDS, health.probe_wait * 2
            )
            health.next_probe_at = now + health.probe_wait
            return
        health.is_ejected = False
        health.attempts = 0
        health.failures = 0
        health.updated_at = now

    def _decay(self, health: WorkerHealth, now: float) -> None:
        decay = 0.5 ** ((now - health.updated_at) / HALF_LIFE_SECONDS)
        health.attempts *= decay
        health.failures *= decay
        health.updated_at = now

    def _is_failing(self, health: WorkerHealth) -> bool:
        if health.attempts < MIN_SAMPLES - SAMPLE_TOLERANCE:
            return False
        return health.failures >= MIN_FAILURE_RATIO * health.attempts

    def _may_eject(self, health: WorkerHealth) -> bool:
        others = [
            other
            for other in self.health_by_worker.values()
            if other is not health
        ]
        ejected_count = sum(other.is_ejected for other in others)
        worker_count = max(self.workers, len(self.health_by_worker))
        if (
            ejected_count + 1 > max(1, MAX_EJECTED_FRACTION * worker_count)
            or worker_count < 2
        ):
            return False
        others_attempts = sum(other.attempts for other in others)
        others_failures = sum(
            other.failures for other in others if not other.is_ejected
        )
        if others_attempts < MIN_SAMPLES:
            return True
        failure_ratio = health.failures / health.attempts
        return (
            failure_ratio
            >= MIN_RATIO_TO_OTHERS * others_failures / others_attempts
        )
