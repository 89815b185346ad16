"""State that the parts of a leader share during one term."""

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
    leases,
    logs,
    metrics,
    workercontroller,
)

# Time since the last commit for which a leader that cannot reach the store
# keeps renewing leases and sends orders.
STORE_LOSS_GRACE_S = 8.0
# Time since the last commit for which a leader answers callers and plans.
MAX_COMMIT_AGE_S = 1.5


@attrs.define(eq=False)
class LeaderState:
    """The leader's state during one term, with its background tasks.

    ``connect_worker`` returns the client of a worker, direct or through a
    relay. ``ended`` is done once the term is over.
    """

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
    connect_worker: abc.Callable[[str, str], interfaces.WorkerCalls] = (
        attrs.field(init=False)
    )
    lease_bounds: leases.LeaseBounds = attrs.field(init=False)
    ended: asyncio.Future = attrs.field(init=False)
    _queues: dict[str, jobspec.Queue] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Default to direct calls and create the future ``ended``."""
        self.connect_worker = self.context.connect_worker
        self.lease_bounds = leases.LeaseBounds(self.commits)
        self.ended = asyncio.get_running_loop().create_future()

    @property
    def epoch(self) -> int:
        """Return the epoch of this term."""
        return self.commits.record.epoch

    def is_current(self) -> bool:
        """Return whether this leader's state is recent enough to act on."""
        is_recent = clock.now() - self.commits.committed_at < MAX_COMMIT_AGE_S
        return is_recent and not self.commits.is_deposed

    def may_send_orders(self) -> bool:
        """Return whether this leader may still send orders to workers."""
        is_within_grace = (
            clock.now() - self.commits.committed_at < STORE_LOSS_GRACE_S
        )
        return is_within_grace and not self.commits.is_deposed

    def former_leases_expire_at(self, worker: str, incarnation: int) -> float:
        """Return when a worker's leases of former leaders have expired.

        Without a recorded bound, the former leader may have renewed them
        until it could no longer commit.
        """
        bound = self.lease_bounds.find(worker, incarnation)
        if bound is not None:
            return bound
        lease_s = fleet.longest_lease(self.context.lease)
        return self.started_at + STORE_LOSS_GRACE_S + lease_s

    def save_job(self, job: jobtable.Job) -> None:
        """Write the job's progress with the next commit.

        The records of a job that is over are deleted except for its final
        state, so that the next leader has little to load.
        """
        name = job.spec.job
        self.commits.put(keys.progress(name), jobtable.ProgressEntry(job))
        if job.is_over:
            self.commits.put(keys.job(name), committer.Deletion())
            self.commits.put(keys.cancel(name), committer.Deletion())

    def find_queue(self, job: jobtable.Job) -> jobspec.Queue | None:
        """Return the job's queue.

        A queue that the operators have removed stays valid for its jobs.
        Return None if this leader has never seen it.
        """
        config = self.context.current_config()
        queue = config.find_queue(job.spec.queue) if config else None
        if queue is None:
            return self._queues.get(job.spec.queue)
        self._queues[queue.name] = queue
        return queue

    def spawn(self, coro: abc.Coroutine) -> None:
        """Run a coroutine in the background until it ends or the term does."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def end_term(self, why: str) -> None:
        """End the term; ``why`` is logged."""
        if not self.ended.done():
            logs.belief('deposed', epoch=self.epoch, why=why)
            self.ended.set_result(None)

    async def close(self) -> None:
        """Cancel all coroutines started by ``spawn``."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if isinstance(exc, committer.DeposedError):
            self.end_term(str(exc))
        elif exc is not None:
            logs.lifecycle('error', what=repr(exc))
            self.metrics.count('faults', where='leader')
            self.end_term(f'background task of the leader failed: {exc!r}')
