"""The scheduling loop: runs planning passes and carries out their plans.

A full pass looks at all ready groups, which takes long on a busy cluster.
Between two full passes, short ones look at latency-sensitive groups only.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import abc

import attrs

from jujubebend_cluster import (
    adviceclient,
    clock,
    dispatcher,
    jobspec,
    jobtable,
    leaderstate,
    placement,
    planner,
)

# Shortest pause between two planning passes.
PASS_GAP_S = 0.012
# Largest share of the time that is spent in full passes, and in short ones
# between them.
MAX_PASS_SHARE = 0.3
# Longest wait for an event: occurrences become due and leases expire without
# one.
PASS_IDLE_S = 0.1


@attrs.define(eq=False)
class Scheduler:
    """Places ready tasks whenever the state of the cluster changes."""

    leader: leaderstate.LeaderState
    dispatcher: dispatcher.Dispatcher
    _next_full_pass_at: float = -math.inf
    _is_full_pass_pending: bool = False

    async def run(self) -> None:
        """Run planning passes until cancelled."""
        while True:
            await self._wait_for_event()
            started_at = clock.now()
            is_full = started_at >= self._next_full_pass_at
            if (
                self.leader.is_current()
                and not self.leader.commits.is_store_lost
            ):
                self._run_pass(is_full=is_full)
            pass_duration = clock.now() - started_at
            self.leader.metrics.observe('pass', pass_duration)
            gap = PASS_GAP_S
            if is_full:
                self._next_full_pass_at = (
                    started_at + pass_duration / MAX_PASS_SHARE
                )
            else:
                gap = max(gap, pass_duration / MAX_PASS_SHARE - pass_duration)
            self._is_full_pass_pending = not is_full
            await asyncio.sleep(gap)

    async def _wait_for_event(self) -> None:
        """Wait until the state changes or a pending full pass is due."""
        timeout = PASS_IDLE_S
        if self._is_full_pass_pending:
            timeout = min(timeout, self._next_full_pass_at - clock.now())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self.leader.wake_event.wait()
        self.leader.wake_event.clear()

    def _run_pass(self, *, is_full: bool) -> None:
        now = clock.now()
        unix_now = clock.unix()
        start_limit = self.dispatcher.start_limit
        available = start_limit.count_available(now)
        if not available:
            return
        ready = planner.sort_by_urgency(
            self._ready_groups(now, unix_now, is_full=is_full),
            unix_now,
            self.leader.workers,
        )
        plan = planner.plan(
            ready, self.leader.workers, now, available, start_limit.delay
        )
        for advice_request in plan.advice_requests:
            self._request_advice(advice_request, now)
        for task in plan.preempted:
            task.was_preempted = True
            self.dispatcher.stop_run(task, 'preempted by work of higher rank')
        if plan.placements:
            self._start_tasks(plan.placements, now)

    def _start_tasks(
        self, placements: list[placement.Placement], now: float
    ) -> None:
        runs = _next_runs(placements)
        starts = []
        for planned in placements:
            task, worker = planned.task, planned.worker
            run = runs[task.name]
            self.leader.job_table.assign_run(
                task, worker.name, worker.incarnation, run
            )
            task.placed_at = now
            task.progressed_at = now
            task.rank = planned.rank
            self.leader.save_job(task.group.job)
            starts.append(dispatcher.Start(task, worker, run, planned.ticket))
        self.leader.spawn(self.dispatcher.start_runs(starts))

    def _ready_groups(
        self, now: float, unix_now: float, *, is_full: bool
    ) -> abc.Iterator[tuple[jobspec.Queue, jobtable.Group]]:
        for queue, job in self._live_jobs():
            if not is_full and placement.is_latency_tolerant(queue):
                continue
            self.leader.job_table.create_due_groups(job, unix_now, now)
            for group in job.groups.values():
                if group.ready_at is not None and group.waiting_count:
                    yield queue, group

    def _live_jobs(self) -> abc.Iterator[tuple[jobspec.Queue, jobtable.Job]]:
        for job in self.leader.job_table.live_jobs.values():
            queue = self.leader.find_queue(job)
            if queue is not None and not job.is_ended:
                yield queue, job

    def _request_advice(
        self, advice_request: planner.AdviceRequest, now: float
    ) -> None:
        request = advice_request.placement_request
        client = self.leader.advice_client
        candidates = client.select_candidates(
            request.group,
            advice_request.usable_workers,
            now + self.dispatcher.start_limit.delay,
            advice_request.awaited_workers,
            advice_request.worker_count,
            latency_tolerant=request.is_latency_tolerant,
        )
        if not candidates:
            return
        policy = request.queue.advice
        calls = client.plan_calls(
            policy,
            candidates,
            now,
            latency_tolerant=request.is_latency_tolerant,
        )
        for call in calls:
            request.group.tickets.pending_workers.update(
                worker.name for worker in call.workers
            )
            self.leader.spawn(
                self._request_tickets(request.group, policy, call)
            )

    async def _request_tickets(
        self,
        group: jobtable.Group,
        policy: jobspec.AdvicePolicy,
        call: adviceclient.AdviceCall,
    ) -> None:
        await self.leader.advice_client.request_tickets(group, policy, call)
        self.leader.wake_event.set()


def _next_runs(
    placements: list[placement.Placement],
) -> dict[jobspec.TaskName, int]:
    """Return the number of each task's next run.

    All members of a gang get the same number.
    """
    runs: dict[jobspec.TaskName, int] = {}
    for planned in placements:
        task = planned.task
        last_run = task.run
        if task.group.step.gang:
            last_run = max(member.run for member in task.group.tasks)
        runs[task.name] = last_run + 1
    return runs
