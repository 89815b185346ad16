"""One host's time as the cell's leader, from its election to its end."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    cell,
    committer,
    garbagecollection,
    inbox,
    logs,
    maintenance,
    orders,
    pacing,
    progress,
    reports,
    roster,
    scheduler,
)


@attrs.define(eq=False)
class Term:
    """Schedules the cell under one epoch; answers for its jobs."""

    cell: cell.Cell
    loaded: bool = False
    orders: orders.Orders = attrs.field(init=False)
    inbox: inbox.Inbox = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Put the parts together that must stand before anything is read."""
        self.orders = orders.Orders(self.cell)
        self.inbox = inbox.Inbox(self.cell, self.orders)

    async def run(self) -> None:
        """Lead until another host does."""
        logs.belief('leading', epoch=self.cell.epoch)
        self.cell.spawn(self._commit())
        loading = asyncio.ensure_future(self._load())
        try:
            await asyncio.wait(
                [loading, self.cell.ended],
                return_when=asyncio.FIRST_COMPLETED,
            )
            await self.cell.ended
        finally:
            loading.cancel()
            await self._close()

    def resign(self) -> None:
        """End the term at this host's own wish."""
        self.cell.end('this host stops')

    def speaks(self) -> bool:
        """Say whether this leader's answers are current."""
        return self.loaded and self.cell.is_current()

    def state_of(self, job: str) -> progress.JobState | None:
        """Return the recorded state of a job, None if it is not known."""
        known = self.cell.book.jobs.get(job)
        return known.shown if known else None

    def count_waiting(self, queue: str) -> int:
        """Return how many of a queue's jobs have started no task."""
        return sum(
            job.spec.queue == queue and not job.begun
            for job in self.cell.book.live.values()
        )

    async def _close(self) -> None:
        await self.cell.close()
        logs.belief('led', epoch=self.cell.epoch)

    async def _load(self) -> None:
        follower = await self.inbox.load()
        self.loaded = True
        pacer = pacing.Pacer(self.cell)
        told = reports.Reports(self.cell, self.orders, pacer)
        workers = roster.Roster(self.cell, self.orders, told)
        self.cell.spawn(follower.run())
        self.cell.spawn(workers.follow())
        self.cell.spawn(scheduler.Scheduler(self.cell, self.orders).run())
        self.cell.spawn(
            garbagecollection.Housekeeping(self.cell, workers).run()
        )
        self._keep_up()

    def _keep_up(self) -> None:
        machines = self.cell.context.machines
        if machines is not None:
            host = self.cell.commits.record.host
            made = maintenance.Upkeep(self.cell, self.orders, machines, host)
            self.cell.spawn(made.run())

    async def _commit(self) -> None:
        try:
            await self.cell.commits.run()
        except committer.DeposedError as exc:
            self.cell.end(str(exc))
