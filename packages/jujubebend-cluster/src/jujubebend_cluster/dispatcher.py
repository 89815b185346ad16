"""Sends start and stop orders; a start is stored before it is sent."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    clock,
    fleet,
    interfaces,
    jobtable,
    leaderstate,
    logs,
    progress,
    startlimit,
    workercontroller,
)


@attrs.frozen
class Start:
    """A run to be started: its task, its worker and the ticket for it."""

    task: jobtable.Task
    worker: fleet.Worker
    run: int
    ticket: str = ''


@attrs.define(eq=False)
class Dispatcher:
    """Sends orders to workers and applies the results."""

    leader: leaderstate.LeaderState
    start_limit: startlimit.StartLimit = attrs.field(
        factory=startlimit.StartLimit
    )

    async def start_runs(self, starts: list[Start]) -> None:
        """Start tasks once their placement is stored."""
        now = clock.now()
        numbers = [self.start_limit.open(now) for _ in starts]
        await self.leader.commits.flush()
        await asyncio.gather(*map(self._start_run, starts, numbers))

    def stop_run(self, task: jobtable.Task, why: str) -> None:
        """Stop a task's run; its worker will report the end."""
        if task.state is not progress.TaskState.PLACED or task.is_stopping:
            return
        task.is_stopping = True
        logs.run_decision(
            'stop',
            task.name,
            task.run,
            task.worker,
            percent=task.percent,
            why=why,
        )
        self.send_stop(task)

    def send_stop(self, task: jobtable.Task) -> None:
        """Send the stop of a task that is being stopped, once for each run.

        A new leader applies cancellations before it knows the workers, so the
        stop is sent when the worker first lists the run.
        """
        controller = self.leader.controllers.get(task.worker)
        if controller is None or not task.is_start_sent or task.is_stop_sent:
            return
        task.is_stop_sent = True
        self.leader.spawn(controller.stop_run(task))

    def stop_job(self, job: jobtable.Job) -> None:
        """Stop all runs of a job."""
        for group in job.groups.values():
            self.stop_group(group)

    def stop_group(self, group: jobtable.Group) -> None:
        """Stop all runs of a group."""
        for task in group.placed_tasks():
            self.stop_run(task, f'its job is {group.job.state.value}')

    def release_run(
        self, worker: fleet.Worker, task: jobtable.Task, why: str
    ) -> None:
        """Release a run that has certainly ended or can never start."""
        worker.deallocate(task)
        self.leader.job_table.release_run(task)
        logs.run_decision(
            'released',
            task.name,
            task.run,
            worker.name,
            born=task.incarnation,
            why=why,
        )
        if task.group.step.gang:
            self.stop_group(task.group)
        self.leader.save_job(task.group.job)

    async def _start_run(self, start: Start, number: int) -> None:
        is_answered = False
        try:
            is_answered = await self._order_start(start)
        finally:
            self.start_limit.close(number, clock.now(), is_answered=is_answered)

    async def _order_start(self, start: Start) -> bool:
        """Send a start unless it is obsolete; return whether it was answered."""
        task, worker, run = start.task, start.worker, start.run
        if not task.is_current_run(run):
            # The run was released during the commit, and another one may
            # have been planned.
            return False
        obstacle = _find_obstacle(start)
        if obstacle:
            self.release_run(worker, task, obstacle)
            return False
        task.is_start_sent = True
        controller = self.leader.controllers[worker.name]
        sent_at = clock.now()
        ready_at = task.group.ready_at or sent_at
        self.leader.metrics.observe('start_wait', sent_at - ready_at)
        order_result = await controller.start_run(task, start.ticket)
        self.leader.metrics.observe('order', clock.now() - sent_at)
        is_answered = order_result is not None
        if not task.is_current_run(run):
            return is_answered
        outcome = order_result.value if order_result else 'unknown'
        self.leader.metrics.count('starts', outcome=outcome)
        _log_start(task, worker, outcome)
        self._apply_result(task, worker, order_result)
        return is_answered

    def _apply_result(
        self,
        task: jobtable.Task,
        worker: fleet.Worker,
        order_result: interfaces.OrderResult | None,
    ) -> None:
        now = clock.now()
        if order_result is interfaces.OrderResult.ACCEPTED:
            task.answered_at = now
            task.group.job.has_started = True
            return
        if order_result is interfaces.OrderResult.RESTARTED:
            # The incarnation that the run was placed on had answered before, so
            # the one that answers now is a later one. It gets work once it has
            # answered a renewal.
            if task.incarnation == worker.incarnation:
                worker.is_reachable = False
            self.release_run(worker, task, 'its worker has restarted')
            return
        if order_result is None:
            # After a restart, the worker's list of runs decides.
            if task.incarnation == worker.incarnation:
                self.stop_run(task, 'its start was not answered')
            return
        if order_result is interfaces.OrderResult.FENCED:
            self.leader.end_term(
                f'{worker.name} has seen a higher fencing token'
            )
            return
        if order_result is interfaces.OrderResult.NO_TICKET:
            task.group.tickets.approvals[worker.name] = ('', 0)
        elif order_result is not interfaces.OrderResult.SUPERSEDED:
            worker.no_placements_until = now + workercontroller.RENEWAL_PAUSE_S
        # An earlier attempt of the same start may still arrive. A worker that
        # has answered the stop refuses the run from then on.
        self.stop_run(task, f'its start was refused: {order_result.value}')


def _find_obstacle(start: Start) -> str:
    """Return why a start cannot succeed any more, empty if it can."""
    task, worker = start.task, start.worker
    if task.is_stopping:
        return 'withdrawn before its start was sent'
    is_ready = worker.entry.state is interfaces.WorkerState.READY
    is_same = worker.is_entry_current and task.incarnation == worker.incarnation
    if not is_ready or not is_same:
        return 'its worker changed before its start was sent'
    tickets = task.group.tickets
    if start.ticket and tickets.valid_ticket(worker.name, clock.now()) is None:
        return 'its ticket expired before its start was sent'
    return ''


def _log_start(task: jobtable.Task, worker: fleet.Worker, outcome: str) -> None:
    status_age = clock.now() - (worker.clock_read_at or 0)
    logs.run_decision(
        'start',
        task.name,
        task.run,
        worker.name,
        born=task.incarnation,
        token=worker.token,
        report_age=round(status_age, 3),
        free_cpu=worker.entry.capacity.cpu_milli - worker.used_cpu,
        outcome=outcome,
    )
