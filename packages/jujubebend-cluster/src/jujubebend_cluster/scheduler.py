"""Planning passes: what is ready, what is placed, whose advice is needed."""

from __future__ import annotations

import asyncio
import contextlib
from collections import abc

import attrs

from jujubebend_cluster import (
    adviceclient,
    cell,
    clock,
    dispatcher,
    fleet,
    jobspec,
    jobtable,
    placement,
    planner,
)

PASS_GAP = 0.012  # seconds between two planning passes
PASS_SHARE = 0.3  # of the time, at most, is spent in passes
PASS_IDLE = 0.1  # seconds; occurrences and leases come due without an event


@attrs.define(eq=False)
class Scheduler:
    """Places what is ready whenever something changed."""

    cell: cell.Cell
    dispatcher: dispatcher.Dispatcher

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PASS_IDLE):
                    await self.cell.wake_event.wait()
            self.cell.wake_event.clear()
            began = clock.now()
            if self.cell.is_current() and not self.cell.commits.is_store_lost:
                self._plan()
            taken = clock.now() - began
            await asyncio.sleep(max(PASS_GAP, taken / PASS_SHARE - taken))

    def _plan(self) -> None:
        now = clock.now()
        unix = clock.unix()
        ready = planner.sort_by_urgency(self._ready_groups(now, unix), unix)
        made = planner.plan(ready, self.cell.workers, now)
        for question in made.advice_requests:
            self._ask_advice(question, now)
        for task in made.preempted:
            task.was_preempted = True
            self.dispatcher.stop_run(task, 'work of higher rank needs its room')
        if made.placements:
            self._place(made.placements, now)

    def _place(self, placements: list[placement.Placement], now: float) -> None:
        runs = _next_runs(placements)
        starts = []
        for planned in placements:
            task, worker = planned.task, planned.worker
            run = runs[task.name]
            self.cell.job_table.place(task, worker.name, worker.entry.born, run)
            task.placed_at = now
            task.progressed_at = now
            task.rank = planned.rank
            self.cell.save_job(task.group.job)
            starts.append(dispatcher.Start(task, worker, run, planned.ticket))
        self.cell.spawn(self.dispatcher.start_runs(starts))

    def _ready_groups(
        self, now: float, unix: float
    ) -> abc.Iterator[tuple[jobspec.Queue, jobtable.Group]]:
        for job in self.cell.job_table.live.values():
            queue = self.cell.queue_of(job)
            if queue is None or job.is_ended:
                continue
            self.cell.job_table.open_due(job, unix, now)
            for group in job.groups.values():
                if group.ready_at is not None and group.waiting_count:
                    yield queue, group

    def _ask_advice(self, question: planner.AdviceRequest, now: float) -> None:
        want = question.placement_request
        desk = self.cell.advice_client
        named = desk.select_candidates(
            want.group, question.usable_workers, now, question.awaited_workers
        )
        if not named:
            return
        policy = want.queue.advice
        caller = desk.choose_route(
            policy, len(named), now, latency_tolerant=want.is_latency_tolerant
        )
        if caller is None:
            return
        want.group.tickets.is_request_pending = True
        self.cell.spawn(self._advise(want.group, policy, named, caller))

    async def _advise(
        self,
        group: jobtable.Group,
        policy: jobspec.AdvicePolicy,
        named: list[fleet.Worker],
        caller: adviceclient.AdviceRoute,
    ) -> None:
        await self.cell.advice_client.renew(group, policy, named, caller)
        self.cell.wake_event.set()


def _next_runs(
    placements: list[placement.Placement],
) -> dict[jobspec.TaskName, int]:
    """Return the number of each task's next run, one for a whole gang."""
    runs: dict[jobspec.TaskName, int] = {}
    for planned in placements:
        task = planned.task
        run = task.run
        if task.group.step.gang:
            run = max(one.run for one in task.group.tasks)
        runs[task.name] = run + 1
    return runs
