"""What callers asked for, from the store: jobs accepted and cancelled."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    cell,
    clock,
    committer,
    feed,
    interfaces,
    jobrecords,
    jobtable,
    keys,
    logs,
    orders,
    progress,
)

LOAD_SLICE = 8  # jobs read between two turns of the event loop


@attrs.define(eq=False)
class Inbox:
    """Brings accepted jobs and cancels into the book."""

    cell: cell.Cell
    orders: orders.Orders
    _cancelled_early: set[str] = attrs.field(factory=set)

    async def load(self) -> feed.Feed:
        """Read all that is recorded; return the feed that follows it."""
        inbox, revision = await self._insist(keys.INBOX)
        recorded, _ = await self._insist(keys.PROGRESS)
        told = {
            item.key.removeprefix(keys.PROGRESS): item.body
            for item in recorded
            if item.body is not None
        }
        for number, item in enumerate(inbox):
            if item.key.startswith(keys.JOBS) and item.body is not None:
                name = item.key.removeprefix(keys.JOBS)
                self._load_job(name, item.body, told.pop(name, None))
            if number % LOAD_SLICE == 0:
                # Others take a leader that does not commit for gone.
                await asyncio.sleep(0)
        for name, body in told.items():
            # Its job's own record is gone: the job is over.
            self.cell.book.add_ended(name, progress.parse(body).state)
        for item in inbox:
            self._take(item.key, item)
        logs.belief(
            'loaded',
            jobs=len(self.cell.book.jobs),
            live=len(self.cell.book.live),
        )
        return feed.Feed(
            self.cell.context.store,
            keys.INBOX,
            self._take,
            items={item.key: item.revision for item in inbox},
            revision=revision,
        )

    async def _insist(self, prefix: str) -> tuple[list[interfaces.Item], int]:
        while True:
            try:
                return await self.cell.context.store.scan(prefix)
            except errors.JujubebendError as exc:
                logs.dependency('store', lost=True, why=str(exc))
                await asyncio.sleep(committer.RETRY_MOST)

    def _load_job(self, name: str, body: bytes, told: bytes | None) -> None:
        record = progress.parse(told) if told else None
        if record is not None and record.is_over():
            self.cell.book.add_ended(name, record.state)
        else:
            self.cell.book.add(jobrecords.decode_job(body), record)

    def _take(self, key: str, item: interfaces.Item | None) -> None:
        if item is None or item.body is None:
            return
        if key.startswith(keys.JOBS):
            self._take_job(item.body)
        elif key.startswith(keys.CANCELS):
            self._take_cancel(key.removeprefix(keys.CANCELS))

    def _take_job(self, body: bytes) -> None:
        spec = jobrecords.decode_job(body)
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

    def _cancel(self, job: jobtable.Job) -> None:
        self.cell.book.cancel(job, clock.now())
        logs.decision('cancelled', job=job.spec.job)
        self.orders.withdraw(job)
        self.cell.save(job)
