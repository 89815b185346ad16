"""One term of this host as the leader, from its election to its end."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    cell,
    committer,
    dispatcher,
    garbagecollection,
    logs,
    maintenance,
    pacing,
    progress,
    reconciler,
    registry,
    scheduler,
    submissions,
)


@attrs.define(eq=False)
class Term:
    """Schedules the cluster's jobs in one epoch and answers queries on them.

    ``is_loaded`` is set once all recorded jobs have been read.
    """

    cell: cell.Cell
    is_loaded: bool = False
    dispatcher: dispatcher.Dispatcher = attrs.field(init=False)
    submissions: submissions.Submissions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components that loading needs."""
        self.dispatcher = dispatcher.Dispatcher(self.cell)
        self.submissions = submissions.Submissions(self.cell, self.dispatcher)

    async def run(self) -> None:
        """Lead until the term ends."""
        logs.belief('leading', epoch=self.cell.epoch)
        self.cell.spawn(self._run_committer())
        loading = asyncio.ensure_future(self._load_state())
        try:
            await asyncio.wait(
                [loading, self.cell.ended],
                return_when=asyncio.FIRST_COMPLETED,
            )
            await self.cell.ended
        finally:
            loading.cancel()
            await self._close_state()

    def resign(self) -> None:
        """End the term because this host stops."""
        self.cell.end('this host stops')

    def is_up_to_date(self) -> bool:
        """Return whether this leader's answers are up to date."""
        return self.is_loaded and self.cell.is_current()

    def find_job_state(self, job: str) -> progress.JobState | None:
        """Return the stored state of a job, None if the job is not known."""
        known_job = self.cell.job_table.jobs.get(job)
        return known_job.stored_state if known_job else None

    def count_waiting_jobs(self, queue: str) -> int:
        """Return how many of a queue's jobs have not started a task."""
        return sum(
            job.spec.queue == queue and not job.has_started
            for job in self.cell.job_table.live.values()
        )

    async def _close_state(self) -> None:
        await self.cell.close()
        logs.belief('led', epoch=self.cell.epoch)

    async def _load_state(self) -> None:
        job_watcher = await self.submissions.load_jobs()
        self.is_loaded = True
        pacer = pacing.Pacer(self.cell)
        status_reconciler = reconciler.Reconciler(
            self.cell, self.dispatcher, pacer
        )
        worker_registry = registry.WorkerRegistry(
            self.cell, self.dispatcher, status_reconciler
        )
        self.cell.spawn(job_watcher.run())
        self.cell.spawn(worker_registry.watch_entries())
        self.cell.spawn(scheduler.Scheduler(self.cell, self.dispatcher).run())
        self.cell.spawn(
            garbagecollection.GarbageCollector(self.cell, worker_registry).run()
        )
        self._start_maintenance()

    def _start_maintenance(self) -> None:
        machines = self.cell.context.machines
        if machines is not None:
            host = self.cell.commits.record.host
            maintenance_controller = maintenance.MaintenanceController(
                self.cell, self.dispatcher, machines, host
            )
            self.cell.spawn(maintenance_controller.run())

    async def _run_committer(self) -> None:
        try:
            await self.cell.commits.run()
        except committer.DeposedError as exc:
            self.cell.end(str(exc))
