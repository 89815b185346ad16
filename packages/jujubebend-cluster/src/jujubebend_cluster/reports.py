"""What workers tell the leader: runs, ends, progress, their own end."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    cell,
    clock,
    fleet,
    interfaces,
    jobspec,
    jobtable,
    link,
    logs,
    orders,
    pacing,
    progress,
)

STALL_LIMIT = 3.0  # seconds without progress after which a run stands still
WHOLE = 100  # percent of a task's declared work


@attrs.define(eq=False)
class Reports:
    """Brings the book in line with what workers list."""

    cell: cell.Cell
    orders: orders.Orders
    pacer: pacing.Pacer

    def may_order(self) -> bool:
        """Say whether this leader may still give orders to workers."""
        return self.cell.may_order()

    async def looked(
        self, worker: fleet.Worker, look: interfaces.WorkerStatus, sent: float
    ) -> bool:
        """Take what a worker tells; True once all of it is stored."""
        margin = worker.leased_until - look.clock
        self.cell.metrics.observe('lease_margin', max(0, margin))
        self.cell.metrics.count('holds', outcome='answered')
        for end in look.ended:
            self._take_end(worker, end)
        if look.running is not None:
            self._take_running(worker, look, sent)
            self.pacer.looked(worker)
        self.cell.wake.set()
        await self.cell.commits.flush()
        return True

    def life_ended(self, worker: fleet.Worker, why: str) -> None:
        """Release all that ran in a worker's former life."""
        lost = list(worker.tasks.values())
        if lost:
            logs.belief(
                'worker_lost', worker=worker.name, why=why, tasks=len(lost)
            )
        for task in lost:
            self.orders.release(worker, task, why)
        self.cell.wake.set()

    def life_began(self, worker: fleet.Worker, why: str) -> None:
        """Release what ran in the former life.

        A start that was never answered may still reach the new life, which
        knows of no token before our first look: that look tells.
        """
        now = clock.now()
        unsure = [
            task
            for task in worker.tasks.values()
            if task.ordered and task.answered_at is None
        ]
        for task in unsure:
            worker.vacate(task)
        self.life_ended(worker, why)
        for task in unsure:
            worker.occupy(task)
            task.life = worker.entry.born
            task.answered_at = now

    def fenced(self, worker: fleet.Worker) -> None:
        """End the term: a worker has seen a later leader."""
        self.cell.end(f'{worker.name} has seen a later token')

    def _take_end(self, worker: fleet.Worker, end: interfaces.EndedRun) -> None:
        task = worker.tasks.get(end.task)
        if task is None or task.run != end.run:
            return
        now = clock.now()
        group = task.group
        job = group.job
        job.begun = True
        logs.run_decision(
            'ended',
            end.task,
            end.run,
            worker.name,
            how=end.outcome.value,
            number=end.number,
            seconds=round(now - task.placed_at, 3),
        )
        self.cell.metrics.count('ends', how=end.outcome.value)
        self._judge(worker, task, end.outcome, now)
        queue = self.cell.queue_of(job)
        attempts = queue.attempts if queue else 1
        released = self.cell.book.ended(
            task, end.outcome, end.checkpoint, attempts
        )
        for one in released:
            self._vacate(one, worker)
        if group.step.gang and not group.is_done:
            self.orders.withdraw_group(group)
        self.cell.book.settle(job, now)
        if job.is_ended:
            self._end_job(job, now)
        self.cell.save(job)

    def _end_job(self, job: jobtable.Job, now: float) -> None:
        if not job.ended_at:
            job.ended_at = now
        self.orders.withdraw(job)
        logs.decision('job_ended', job=job.spec.job, state=job.state.value)

    def _judge(
        self,
        worker: fleet.Worker,
        task: jobtable.Task,
        ending: interfaces.RunOutcome,
        now: float,
    ) -> None:
        if ending is interfaces.RunOutcome.DONE:
            worker.succeeded()
            step = task.group.step
            whole = not (task.checkpoint or step.gang or step.filler)
            if whole and task.placed_at:
                worker.ran(step.estimate, now - task.placed_at)
        elif ending is interfaces.RunOutcome.FAILED:
            # A task that fails everywhere says nothing of its workers.
            blames = not task.failed_on
            task.failed_on.add(worker.name)
            if blames and worker.failed(now):
                self._suspend(worker, 'it fails what it starts')

    def _suspend(self, worker: fleet.Worker, why: str) -> None:
        now = clock.now()
        if now < worker.suspended_until:
            return
        if self.cell.workers.may_suspend(worker, now):
            worker.suspend(now)
            logs.belief('worker_suspended', worker=worker.name, why=why)

    def _take_running(
        self, worker: fleet.Worker, look: interfaces.WorkerStatus, sent: float
    ) -> None:
        listed: set[jobspec.TaskName] = set()
        now = clock.now()
        for row in look.running or ():
            task = worker.tasks.get(row.task)
            if task is None or task.run != row.run:
                self._take_stray(worker, row)
                continue
            listed.add(row.task)
            self._take_progress(worker, task, row, now)
        listed.update(end.task for end in look.ended)
        for task in list(worker.tasks.values()):
            answered = task.answered_at
            if task.name in listed or answered is None:
                continue
            if sent > answered:
                self.orders.release(worker, task, 'the worker lists it not')

    def _take_stray(
        self, worker: fleet.Worker, row: interfaces.ActiveRun
    ) -> None:
        known = self.cell.book.find(row.task)
        if known is not None and known.state is progress.TaskState.DONE:
            # Another member's end stood for its gang: this one ends too.
            return
        worker.refused_until = clock.now() + link.HOLD_WAIT
        logs.run_decision(
            'stray_stopped',
            row.task,
            row.run,
            worker.name,
        )
        self.cell.spawn(self.cell.links[worker.name].drop(row))

    def _take_progress(
        self,
        worker: fleet.Worker,
        task: jobtable.Task,
        row: interfaces.ActiveRun,
        now: float,
    ) -> None:
        task.group.job.begun = True
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if task.group.step.latency_target:
            task.tail = row.usage
        if row.percent != task.percent:
            task.percent = row.percent
            task.moved_at = now
        stalled = now - task.moved_at > STALL_LIMIT
        # The figure is of the declared work: a task that takes longer than
        # it declared stays at its most, and is no sign of a fault.
        # Fillers stand still wherever others leave them nothing.
        step = task.group.step
        judged = row.percent < WHOLE and not (step.lasting or step.filler)
        if stalled and judged and not task.stopping:
            self._suspend(worker, 'its tasks stand still')
            self.orders.stop(task, 'it stands still')

    def _vacate(self, task: jobtable.Task, reporter: fleet.Worker) -> None:
        holder = self.cell.workers.workers.get(task.worker, reporter)
        holder.vacate(task)
        if holder is not reporter:
            # Its own list will tell when the room is free.
            holder.refused_until = clock.now() + link.HOLD_PAUSE
