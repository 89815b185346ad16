"""Loads submitted jobs and cancellations from the store and follows them.

With them it loads what former leaders recorded: the progress of the jobs and
the bounds on the leases of silent workers.
"""

from __future__ import annotations

import asyncio
import typing
from collections import abc

import attrs

from jujubebend import decoding, errors
from jujubebend_cluster import (
    clock,
    committer,
    dispatcher,
    interfaces,
    jobrecords,
    jobtable,
    keys,
    leaderstate,
    logs,
    progress,
    watcher,
)

Read = typing.TypeVar('Read')

JOBS_PER_YIELD = 8  # jobs loaded between two yields to the event loop


@attrs.define(eq=False)
class Submissions:
    """Adds submitted jobs to the job table and applies cancellations.

    ``_cancelled_early`` holds the IDs of jobs whose cancellation was read
    before their submission, and ``_damaged`` those with a damaged record.
    """

    leader: leaderstate.LeaderState
    dispatcher: dispatcher.Dispatcher
    _cancelled_early: set[str] = attrs.field(factory=set)
    _damaged: set[str] = attrs.field(factory=set)

    async def load_jobs(self) -> watcher.PrefixWatcher:
        """Load every recorded job; return the watcher that follows changes.

        The bounds on the leases that the jobs' tasks may hold are loaded too.
        """
        await self._load_lease_bounds()
        scan = self.leader.context.store.scan
        inbox_items, revision = await self._read_with_retries(scan, keys.INBOX)
        progress_items, _ = await self._read_with_retries(scan, keys.PROGRESS)
        progress_bodies = {
            item.key.removeprefix(keys.PROGRESS): item.body
            for item in progress_items
            if item.body is not None
        }
        for number, item in enumerate(inbox_items):
            if item.key.startswith(keys.JOBS) and item.body is not None:
                name = item.key.removeprefix(keys.JOBS)
                self._load_job(name, item.body, progress_bodies.pop(name, None))
            if number % JOBS_PER_YIELD == 0:
                # Yield so that the committer runs: the other hosts replace a
                # leader that does not commit.
                await asyncio.sleep(0)
        for name, body in progress_bodies.items():
            self._load_ended_job(name, body)
        for item in inbox_items:
            self._apply_change(item.key, item)
        logs.belief(
            'loaded',
            jobs=len(self.leader.job_table.jobs),
            live=len(self.leader.job_table.live_jobs),
        )
        return watcher.PrefixWatcher(
            self.leader.context.store,
            keys.INBOX,
            self._apply_change,
            revisions={item.key: item.revision for item in inbox_items},
            revision=revision,
        )

    async def _load_lease_bounds(self) -> None:
        store = self.leader.context.store
        item = await self._read_with_retries(store.get, keys.LEASES)
        self.leader.lease_bounds.load(None if item is None else item.body)

    async def _read_with_retries(
        self, read: abc.Callable[[str], abc.Awaitable[Read]], key: str
    ) -> Read:
        while True:
            try:
                return await read(key)
            except errors.JujubebendError as exc:
                logs.dependency('store', lost=True, why=str(exc))
                await asyncio.sleep(committer.MAX_RETRY_DELAY_S)

    def _load_job(
        self, name: str, body: bytes, progress_body: bytes | None
    ) -> None:
        """Load a job; one with a damaged record is left out, and never runs."""
        try:
            record = (
                progress.decode_progress(progress_body)
                if progress_body
                else None
            )
            if record is not None and record.is_over():
                self.leader.job_table.add_ended_job(name, record.state)
            else:
                self.leader.job_table.add(jobrecords.decode_job(body), record)
        except decoding.DECODE_ERRORS as exc:
            self._leave_out(name, exc)

    def _load_ended_job(self, name: str, progress_body: bytes) -> None:
        """Load a job that is over: its submission has been deleted."""
        try:
            record = progress.decode_progress(progress_body)
        except errors.InvalidInputError as exc:
            self._leave_out(name, exc)
        else:
            self.leader.job_table.add_ended_job(name, record.state)

    def _leave_out(self, name: str, exc: Exception) -> None:
        self._damaged.add(name)
        logs.decision('job_left_out', job=name, why=decoding.describe(exc))

    def _apply_change(self, key: str, item: interfaces.Item | None) -> None:
        if item is None or item.body is None:
            return
        if key.startswith(keys.JOBS):
            self._add_job(key.removeprefix(keys.JOBS), item.body)
        elif key.startswith(keys.CANCELS):
            self._apply_cancellation(key.removeprefix(keys.CANCELS))

    def _add_job(self, name: str, body: bytes) -> None:
        if name in self._damaged or name in self.leader.job_table.jobs:
            return
        try:
            spec = jobrecords.decode_job(body)
        except errors.InvalidInputError as exc:
            self._leave_out(name, exc)
            return
        job = self.leader.job_table.add(spec)
        logs.decision('queued', job=spec.job, queue=spec.queue)
        if spec.job in self._cancelled_early:
            self._cancel_job(job)
        self.leader.wake_event.set()

    def _apply_cancellation(self, name: str) -> None:
        job = self.leader.job_table.jobs.get(name)
        if job is None:
            self._cancelled_early.add(name)
        elif not job.is_ended:
            self._cancel_job(job)

    def _cancel_job(self, job: jobtable.Job) -> None:
        self.leader.job_table.cancel(job, clock.now())
        logs.decision('cancelled', job=job.spec.job)
        self.dispatcher.stop_job(job)
        self.leader.save_job(job)
