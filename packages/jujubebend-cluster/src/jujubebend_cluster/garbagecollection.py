"""Garbage collection of old jobs, unlisted workers and orphaned runs."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    clock,
    committer,
    jobtable,
    keys,
    leaderstate,
    registry,
)

# Time that an ended job is kept beyond the status retention.
RETENTION_SLACK_S = 30.0
COLLECTION_INTERVAL_S = 0.5


@attrs.define(eq=False)
class GarbageCollector:
    """Removes old jobs and unlisted workers, and releases orphaned runs."""

    leader: leaderstate.LeaderState
    registry: registry.WorkerRegistry

    async def run(self) -> None:
        """Collect at fixed intervals until cancelled.

        Also end the term once the store has been unreachable for too long.
        """
        while True:
            await asyncio.sleep(COLLECTION_INTERVAL_S)
            if not self.leader.may_send_orders():
                self.leader.end_term('the store was unreachable for too long')
            now = clock.now()
            self._collect_jobs(now)
            self.leader.lease_bounds.update(self.leader.workers, now)
            self.registry.remove_unlisted_workers(now)

    def _collect_jobs(self, now: float) -> None:
        job_table = self.leader.job_table
        for job in list(job_table.live_jobs.values()):
            self.registry.release_orphaned_runs(job, now)
            if job.is_over:
                job_table.live_jobs.pop(job.spec.job)
        retention_s = self.leader.context.status_retention + RETENTION_SLACK_S
        for job in list(job_table.jobs.values()):
            ended_at = max(job.ended_at, self.leader.started_at)
            if job.is_ended and now - ended_at > retention_s:
                self._remove_job(job)

    def _remove_job(self, job: jobtable.Job) -> None:
        name = job.spec.job
        self.leader.job_table.remove(job)
        for key in (keys.job(name), keys.cancel(name), keys.progress(name)):
            self.leader.commits.put(key, committer.Deletion())
