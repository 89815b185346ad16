"""One term of this host as the leader, from its election to its end."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    committer,
    dispatcher,
    garbagecollection,
    leaderstate,
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

    leader: leaderstate.LeaderState
    is_loaded: bool = False
    dispatcher: dispatcher.Dispatcher = attrs.field(init=False)
    submissions: submissions.Submissions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components that loading needs."""
        self.dispatcher = dispatcher.Dispatcher(self.leader)
        self.submissions = submissions.Submissions(self.leader, self.dispatcher)

    async def run(self) -> None:
        """Lead until the term ends."""
        logs.belief('leading', epoch=self.leader.epoch)
        self.leader.spawn(self._run_committer())
        loading = asyncio.ensure_future(self._load_and_start())
        try:
            await asyncio.wait(
                [loading, self.leader.ended],
                return_when=asyncio.FIRST_COMPLETED,
            )
            await self.leader.ended
        finally:
            loading.cancel()
            await self._close_leader_state()

    def resign(self) -> None:
        """End the term because this host stops."""
        self.leader.end_term('this host stops')

    def is_up_to_date(self) -> bool:
        """Return whether this leader's state is complete and recent."""
        return self.is_loaded and self.leader.is_current()

    def find_job_state(self, job: str) -> progress.JobState | None:
        """Return the stored state of a job, None if the job is not known."""
        known_job = self.leader.job_table.jobs.get(job)
        return known_job.stored_state if known_job else None

    def count_waiting_jobs(self, queue: str) -> int:
        """Return how many of a queue's jobs have not started a task."""
        return sum(
            job.spec.queue == queue and not job.has_started
            for job in self.leader.job_table.live_jobs.values()
        )

    async def _close_leader_state(self) -> None:
        await self.leader.close()
        logs.belief('led', epoch=self.leader.epoch)

    async def _load_and_start(self) -> None:
        job_watcher = await self.submissions.load_jobs()
        self.is_loaded = True
        pacer = pacing.Pacer(self.leader)
        status_reconciler = reconciler.Reconciler(
            self.leader, self.dispatcher, pacer
        )
        worker_registry = registry.WorkerRegistry(
            self.leader, self.dispatcher, status_reconciler
        )
        self.leader.spawn(job_watcher.run())
        self.leader.spawn(worker_registry.watch_entries())
        self.leader.spawn(
            scheduler.Scheduler(self.leader, self.dispatcher).run()
        )
        self.leader.spawn(
            garbagecollection.GarbageCollector(
                self.leader, worker_registry
            ).run()
        )
        self._start_maintenance()

    def _start_maintenance(self) -> None:
        machines = self.leader.context.machines
        if machines is not None:
            host = self.leader.commits.record.host
            maintenance_controller = maintenance.MaintenanceController(
                self.leader, self.dispatcher, machines, host
            )
            self.leader.spawn(maintenance_controller.run())

    async def _run_committer(self) -> None:
        try:
            await self.leader.commits.run()
        except committer.DeposedError as exc:
            self.leader.end_term(str(exc))
