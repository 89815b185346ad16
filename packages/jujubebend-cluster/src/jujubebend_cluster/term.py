"""One host's time as the cell's leader, from its election to its end."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    book,
    cell,
    clock,
    committer,
    feed,
    keys,
    logs,
    orders,
    ports,
    records,
    reports,
    roster,
)
from jujubebend_cluster import scheduler as scheduling

FORGET_SLACK = 30.0  # seconds an ended job is kept beyond what callers need
LOAD_SLICE = 8  # jobs read between two turns of the event loop
SWEEP_EVERY = 0.5  # seconds between looks at orphans and old jobs


@attrs.define(eq=False)
class Term:
    """Schedules the cell under one epoch; answers for its jobs."""

    cell: cell.Cell
    loaded: bool = False
    orders: orders.Orders = attrs.field(init=False)
    roster: roster.Roster = attrs.field(init=False)
    _cancelled_early: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        self.orders = orders.Orders(self.cell)
        told = reports.Reports(self.cell, self.orders)
        self.roster = roster.Roster(self.cell, self.orders, told)

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

    def state_of(self, job: str) -> book.JobState | None:
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
        inbox, revision = await self._insist(keys.INBOX)
        progress, _ = await self._insist(keys.PROGRESS)
        told = {item.key: item.body for item in progress}
        for number, item in enumerate(inbox):
            if item.key.startswith(keys.JOBS) and item.body is not None:
                self._load_job(item, told)
            if number % LOAD_SLICE == 0:
                # Others take a leader that does not commit for gone.
                await asyncio.sleep(0)
        for item in inbox:
            self._take_inbox(item.key, item)
        follower = feed.Feed(
            self.cell.around.store,
            keys.INBOX,
            self._take_inbox,
            items={item.key: item.revision for item in inbox},
            revision=revision,
        )
        self._begin(follower)
        logs.belief(
            'loaded',
            jobs=len(self.cell.book.jobs),
            live=len(self.cell.book.live),
        )

    def _load_job(
        self, item: ports.Item, told: dict[str, bytes | None]
    ) -> None:
        name = item.key.removeprefix(keys.JOBS)
        progress = told.get(keys.progress(name))
        state = book.recorded_state(progress) if progress else None
        if state in book.ENDED_STATES and not book.has_runs(progress):
            self.cell.book.add_ended(name, state)
        else:
            spec = records.decode_job(item.body or b'')
            self.cell.book.add(spec, progress)

    def _begin(self, follower: feed.Feed) -> None:
        self.loaded = True
        self.cell.spawn(follower.run())
        self.cell.spawn(self.roster.follow())
        self.cell.spawn(scheduling.Scheduler(self.cell, self.orders).run())
        self.cell.spawn(self._sweep_forever())

    async def _insist(self, prefix: str) -> tuple[list[ports.Item], int]:
        while True:
            try:
                return await self.cell.around.store.scan(prefix)
            except errors.JujubebendError as exc:
                logs.dependency('store', lost=True, why=str(exc))
                await asyncio.sleep(committer.RETRY_MOST)

    def _take_inbox(self, key: str, item: ports.Item | None) -> None:
        if item is None or item.body is None:
            return
        if key.startswith(keys.JOBS):
            self._take_job(item.body)
        elif key.startswith(keys.CANCELS):
            self._take_cancel(key.removeprefix(keys.CANCELS))

    def _take_job(self, body: bytes) -> None:
        spec = records.decode_job(body)
        if spec.job in self.cell.book.jobs:
            return
        job = self.cell.book.add(spec)
        logs.decision('queued', job=spec.job, queue=spec.queue)
        if spec.job in self._cancelled_early:
            self._cancel(job)
        self.cell.wake.set()

    def _take_cancel(self, name: str) -> None:
        job = self.cell.book.jobs.get(name)
        if job is None:
            self._cancelled_early.add(name)
        elif not job.is_ended:
            self._cancel(job)

    def _cancel(self, job: book.Job) -> None:
        self.cell.book.cancel(job, clock.now())
        logs.decision('cancelled', job=job.spec.job)
        self.orders.withdraw(job)
        self.cell.save(job)

    async def _commit(self) -> None:
        try:
            await self.cell.commits.run()
        except committer.DeposedError as exc:
            self.cell.end(str(exc))

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_EVERY)
            now = clock.now()
            if not self.cell.may_order():
                self.cell.end('the store was away for too long')
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        orphaned = now > self.cell.orphaned_until()
        known = self.cell.book
        for job in list(known.live.values()):
            if orphaned:
                self.roster.release_orphans(job)
            placed = any(group.placed for group in job.groups.values())
            if job.is_ended and not placed:
                known.live.pop(job.spec.job)
        kept = self.cell.around.status_kept + FORGET_SLACK
        for job in list(known.jobs.values()):
            ended_at = max(job.ended_at, self.cell.began)
            if job.is_ended and now - ended_at > kept:
                self._forget(job)

    def _forget(self, job: book.Job) -> None:
        name = job.spec.job
        self.cell.book.forget(job)
        for key in (keys.job(name), keys.cancel(name), keys.progress(name)):
            self.cell.commits.put(key, committer.Deletion())
