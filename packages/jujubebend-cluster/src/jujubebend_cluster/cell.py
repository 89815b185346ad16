"""What the parts of a leader share: its book, its workers, its commits."""

from __future__ import annotations

import asyncio
from collections import abc

import attrs

from jujubebend_cluster import (
    adviceclient,
    clock,
    committer,
    context,
    fleet,
    interfaces,
    jobspec,
    jobtable,
    keys,
    logs,
    metrics,
    workercontroller,
)

HOLD_ON = 8.0  # seconds a leader cut off from the store keeps leases alive
SPEAKS_FOR = 1.5  # seconds since a commit in which a leader answers as one


@attrs.define(eq=False)
class Cell:
    """The state of one term as leader."""

    context: context.Context
    commits: committer.Committer
    advice_client: adviceclient.AdviceClient
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    job_table: jobtable.JobTable = attrs.field(factory=jobtable.JobTable)
    workers: fleet.Fleet = attrs.field(factory=fleet.Fleet)
    controllers: dict[str, workercontroller.WorkerController] = attrs.field(
        factory=dict
    )
    started_at: float = attrs.field(factory=lambda: clock.now())
    wake_event: asyncio.Event = attrs.field(factory=asyncio.Event)
    connect: abc.Callable[[str, str], interfaces.WorkerCalls] = attrs.field(
        init=False
    )
    ended: asyncio.Future = attrs.field(init=False)
    _queues: dict[str, jobspec.Queue] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Call workers directly; make the future that ends the term."""
        self.connect = self.context.connect
        self.ended = asyncio.get_running_loop().create_future()

    @property
    def epoch(self) -> int:
        """Return the epoch of this term."""
        return self.commits.record.epoch

    def is_current(self) -> bool:
        """Say whether what this leader believes is up to date."""
        recent = clock.now() - self.commits.committed_at < SPEAKS_FOR
        return recent and not self.commits.is_deposed

    def may_send_orders(self) -> bool:
        """Say whether this leader may still give orders to workers."""
        held = clock.now() - self.commits.committed_at < HOLD_ON
        return held and not self.commits.is_deposed

    def former_leases_expire_at(self) -> float:
        """Return when leases of former leaders have surely lapsed."""
        lease = self.context.lease / fleet.SLOWEST_CLOCK
        return self.started_at + HOLD_ON + lease + fleet.LEASE_MARGIN

    def save_job(self, job: jobtable.Job) -> None:
        """Write the job's progress with the next commit.

        Of a job that is over no more is kept than how it ended, so that the
        next leader has little to read.
        """
        name = job.spec.job
        self.commits.put(keys.progress(name), jobtable.ProgressEntry(job))
        if job.is_over:
            self.commits.put(keys.job(name), committer.Deletion())
            self.commits.put(keys.cancel(name), committer.Deletion())

    def queue_of(self, job: jobtable.Job) -> jobspec.Queue | None:
        """Return the job's queue; one that was dropped is remembered."""
        text = self.context.current_config()
        queue = text.queue(job.spec.queue) if text else None
        if queue is None:
            return self._queues.get(job.spec.queue)
        self._queues[queue.name] = queue
        return queue

    def spawn(self, work: abc.Coroutine) -> None:
        """Run a coroutine until it ends or the term does."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def end(self, why: str) -> None:
        """End the term."""
        if not self.ended.done():
            logs.belief('deposed', epoch=self.epoch, why=why)
            self.ended.set_result(None)

    async def close(self) -> None:
        """Cancel all that ``spawn`` began."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if isinstance(exc, committer.DeposedError):
            self.end(str(exc))
        elif exc is not None:
            logs.lifecycle('error', what=repr(exc))
            self.end(f'a part of the leader failed: {exc!r}')
