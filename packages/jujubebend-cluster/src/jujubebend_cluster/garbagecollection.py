"""Workers that are gone, runs on them, jobs that nobody asks for any more."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import cell, clock, committer, jobtable, keys, registry

FORGET_SLACK = 30.0  # seconds an ended job is kept beyond what callers need
SWEEP_EVERY = 0.5  # seconds between looks at orphans and old jobs


@attrs.define(eq=False)
class GarbageCollector:
    """Sweeps the book every now and then."""

    cell: cell.Cell
    registry: registry.WorkerRegistry

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_EVERY)
            if not self.cell.may_send_orders():
                self.cell.end('the store was away for too long')
            now = clock.now()
            self._sweep(now)
            self.registry.remove_unlisted_workers(now)

    def _sweep(self, now: float) -> None:
        orphaned = now > self.cell.former_leases_expire_at()
        known = self.cell.job_table
        for job in list(known.live.values()):
            if orphaned:
                self.registry.release_orphaned_runs(job)
            if job.is_over:
                known.live.pop(job.spec.job)
        kept = self.cell.context.status_retention + FORGET_SLACK
        for job in list(known.jobs.values()):
            ended_at = max(job.ended_at, self.cell.started_at)
            if job.is_ended and now - ended_at > kept:
                self._forget(job)

    def _forget(self, job: jobtable.Job) -> None:
        name = job.spec.job
        self.cell.job_table.forget(job)
        for key in (keys.job(name), keys.cancel(name), keys.progress(name)):
            self.cell.commits.put(key, committer.Deletion())
