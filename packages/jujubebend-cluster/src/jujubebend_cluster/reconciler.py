"""Reconciles the job table with the status that workers report."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    clock,
    dispatcher,
    fleet,
    interfaces,
    jobspec,
    jobtable,
    leaderstate,
    logs,
    pacing,
    progress,
    speeds,
    workercontroller,
)

# Time without progress after which a run is restarted on another worker.
STALL_TIMEOUT_S = 3.0
DECLARED_WORK_PERCENT = 100


@attrs.define(eq=False)
class Reconciler:
    """Applies worker status to the job table.

    Implements ``workercontroller.StatusListener``.
    """

    leader: leaderstate.LeaderState
    dispatcher: dispatcher.Dispatcher
    pacer: pacing.Pacer

    def may_send_orders(self) -> bool:
        """Return whether this leader may still send orders to workers."""
        return self.leader.may_send_orders()

    def may_extend_lease(self, worker: fleet.Worker) -> bool:
        """Return whether a worker may be granted a longer lease."""
        return self.leader.lease_bounds.may_extend(worker.name)

    async def handle_status(
        self,
        worker: fleet.Worker,
        status: interfaces.WorkerStatus,
        sent_at: float,
    ) -> bool:
        """Apply a worker's status; return True once its ends are stored."""
        self.leader.lease_bounds.remove(worker.name)
        margin = worker.leased_until - status.clock
        self.leader.metrics.observe('lease_margin', max(0, margin))
        self.leader.metrics.count('holds', outcome='answered')
        for end in status.ended:
            self._apply_end(worker, end)
        if status.running is not None:
            self._apply_run_list(worker, status, sent_at)
            self.pacer.adjust_fillers(worker)
        self.leader.wake_event.set()
        await self.leader.commits.flush()
        return True

    def release_runs(
        self, worker: fleet.Worker, tasks: list[jobtable.Task], why: str
    ) -> None:
        """Release runs of a worker that have certainly ended."""
        if not tasks:
            return
        logs.belief(
            'worker_lost', worker=worker.name, why=why, tasks=len(tasks)
        )
        for task in tasks:
            self.dispatcher.release_run(worker, task, why)
        self.leader.wake_event.set()

    def handle_fencing(self, worker: fleet.Worker) -> None:
        """End the term: a worker has seen a higher fencing token."""
        self.leader.end_term(f'{worker.name} has seen a higher fencing token')

    def _apply_end(
        self, worker: fleet.Worker, end: interfaces.EndedRun
    ) -> None:
        task = worker.tasks.get(end.task)
        if task is None or task.run != end.run:
            return
        now = clock.now()
        group = task.group
        job = group.job
        job.has_started = True
        logs.run_decision(
            'ended',
            end.task,
            end.run,
            worker.name,
            born=worker.incarnation,
            how=end.outcome.value,
            number=end.number,
            seconds=round(now - task.placed_at, 3),
        )
        self.leader.metrics.count('ends', how=end.outcome.value)
        self._record_worker_outcome(worker, task, end.outcome, now)
        queue = self.leader.find_queue(job)
        attempts = queue.attempts if queue else 1
        released_tasks = self.leader.job_table.record_end(
            task, end.outcome, end.checkpoint, attempts
        )
        for released in released_tasks:
            self._release_capacity(released, worker)
        if group.is_done:
            _learn_speeds(group, now)
        elif group.step.gang:
            self.dispatcher.stop_group(group)
        self.leader.job_table.complete_if_done(job, now)
        if job.is_ended:
            self._end_job(job, now)
        self.leader.save_job(job)

    def _end_job(self, job: jobtable.Job, now: float) -> None:
        if not job.ended_at:
            job.ended_at = now
        self.dispatcher.stop_job(job)
        logs.decision('job_ended', job=job.spec.job, state=job.state.value)

    def _record_worker_outcome(
        self,
        worker: fleet.Worker,
        task: jobtable.Task,
        outcome: interfaces.RunOutcome,
        now: float,
    ) -> None:
        if outcome is interfaces.RunOutcome.DONE:
            worker.record_success()
            step = task.group.step
            # The duration of a resumed run, a gang member or a filler does not
            # show the speed of the worker.
            is_full_run = not (task.checkpoint or step.gang or step.filler)
            if is_full_run and task.placed_at:
                _record_run(worker, task, now)
        elif outcome is interfaces.RunOutcome.FAILED:
            # Only the first failure of a task counts against a worker: a task
            # that fails on every worker is at fault itself.
            is_first_failure = not task.failed_on
            task.failed_on.add(worker.name)
            if is_first_failure and worker.record_failure(now):
                self._suspend_worker(worker, 'too many tasks fail on it')

    def _suspend_worker(self, worker: fleet.Worker, why: str) -> None:
        now = clock.now()
        if now < worker.suspended_until:
            return
        if self.leader.workers.may_suspend(worker, now):
            worker.suspend(now)
            logs.belief('worker_suspended', worker=worker.name, why=why)

    def _apply_run_list(
        self,
        worker: fleet.Worker,
        status: interfaces.WorkerStatus,
        sent_at: float,
    ) -> None:
        listed_tasks: set[jobspec.TaskName] = set()
        now = clock.now()
        for active_run in status.running or ():
            task = worker.tasks.get(active_run.task)
            if task is None or task.run != active_run.run:
                self._stop_unknown_run(worker, active_run)
                continue
            listed_tasks.add(active_run.task)
            self._apply_progress(worker, task, active_run, now)
        if status.lists_all_ends:
            listed_tasks.update(end.task for end in status.ended)
            self._release_unlisted_runs(worker, listed_tasks, sent_at)

    def _release_unlisted_runs(
        self,
        worker: fleet.Worker,
        listed_tasks: set[jobspec.TaskName],
        sent_at: float,
    ) -> None:
        """Release the runs that a complete status does not list.

        A run of an earlier incarnation has ended with it, and none of its orders
        reaches a later one.
        """
        for task in list(worker.tasks.values()):
            if task.name in listed_tasks:
                continue
            answered_at = task.answered_at
            why = ''
            if answered_at is not None and sent_at > answered_at:
                why = 'the worker does not list the run'
            if task.incarnation != worker.incarnation:
                why = 'its worker has restarted'
            if why:
                self.dispatcher.release_run(worker, task, why)

    def _stop_unknown_run(
        self, worker: fleet.Worker, active_run: interfaces.ActiveRun
    ) -> None:
        known_task = self.leader.job_table.find_task(active_run.task)
        if (
            known_task is not None
            and known_task.state is progress.TaskState.DONE
        ):
            # The gang is done because another member ended. This member ends
            # by itself.
            logs.run_decision(
                'stray_of_done_task',
                active_run.task,
                active_run.run,
                worker.name,
                born=worker.incarnation,
            )
            return
        worker.no_placements_until = (
            clock.now() + workercontroller.RENEWAL_WAIT_S
        )
        logs.run_decision(
            'stray_stopped',
            active_run.task,
            active_run.run,
            worker.name,
        )
        self.leader.spawn(
            self.leader.controllers[worker.name].stop_unknown_run(active_run)
        )

    def _apply_progress(
        self,
        worker: fleet.Worker,
        task: jobtable.Task,
        active_run: interfaces.ActiveRun,
        now: float,
    ) -> None:
        task.group.job.has_started = True
        if task.is_stopping:
            self.dispatcher.send_stop(task)
        if active_run.checkpoint:
            task.checkpoint = active_run.checkpoint
        if task.group.step.latency_target:
            task.tail_latency_s = active_run.usage
        if active_run.percent != task.percent:
            task.percent = active_run.percent
            task.progressed_at = now
        is_stalled = now - task.progressed_at > STALL_TIMEOUT_S
        # The percentage is of the declared work. A task that needs longer
        # than it declared stays at 100 and is not faulty. Fillers make no
        # progress while other tasks use all of the processor time.
        step = task.group.step
        must_progress = active_run.percent < DECLARED_WORK_PERCENT and not (
            step.lasting or step.filler
        )
        if is_stalled and must_progress and not task.is_stopping:
            self._suspend_worker(worker, 'its tasks make no progress')
            self.dispatcher.stop_run(
                task, f'no progress for {STALL_TIMEOUT_S} s'
            )

    def _release_capacity(
        self, task: jobtable.Task, reporting_worker: fleet.Worker
    ) -> None:
        holder = self.leader.workers.workers.get(task.worker, reporting_worker)
        holder.deallocate(task)
        if holder is not reporting_worker:
            # The task may still run there until the worker's own status
            # shows that it has ended.
            holder.no_placements_until = (
                clock.now() + workercontroller.RENEWAL_PAUSE_S
            )


def _record_run(worker: fleet.Worker, task: jobtable.Task, now: float) -> None:
    """Keep the duration of a full run until those of its group are known."""
    if task.answered_at is not None and now > task.answered_at:
        task.group.full_runs.append(
            speeds.Run(worker.speed_estimate, now - task.answered_at)
        )


def _learn_speeds(group: jobtable.Group, now: float) -> None:
    """Learn the speeds of the workers from the full runs of a group."""
    if group.step.estimate > 0:
        speeds.learn_from_group(group.step.estimate, group.full_runs, now)
    group.full_runs.clear()
