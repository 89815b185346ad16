"""The leader's in-memory table of jobs, their groups and their tasks.

A job has a group for each step of each occurrence, and a group has tasks.
The leader writes a job's progress to the store before it acts on a change
that must survive a change of leader. This module does no I/O.
"""

from __future__ import annotations

import math

import attrs

from jujubebend_cluster import interfaces, jobspec, progress, speeds

# Share of the workers that advice approves for a step of which nothing is known
# yet, and the number of workers queried that counts as much as this guess.
USUAL_APPROVAL_RATE = 1 / 3
USUAL_QUERIES = 30


@attrs.define(eq=False)
class Task:
    """The state of one task and of its latest run.

    ``run`` counts the task's runs from one; ``incarnation`` is that of the
    worker when the run was placed. ``answered_at`` is when the worker
    answered a start or stop of this run: a status of the worker that was
    requested later than that must list the run, or the run is over.
    ``is_start_sent`` is set if an order to start this run may have been sent,
    and ``is_stop_sent`` if an order to stop it is being sent until the worker
    answers.

    ``tail_latency_s`` is the latency that a serving task measures.
    ``acknowledged_pace`` is the pace in percent that the worker last accepted
    for a filler, None if not known. ``progressed_at`` is when ``percent`` last
    changed. ``rank`` is the rank of the queue when the run was placed. A task
    that ``was_preempted`` is not preempted again. One that
    ``is_latency_sensitive`` is of a queue that does not tolerate slow workers.
    """

    name: jobspec.TaskName
    group: Group
    state: progress.TaskState = progress.TaskState.WAITING
    run: int = 0
    worker: str = ''
    incarnation: int = 0
    failures: int = 0
    checkpoint: str = ''
    placed_at: float = 0
    answered_at: float | None = None
    is_stopping: bool = False
    is_start_sent: bool = False
    is_stop_sent: bool = False
    percent: int = 0
    progressed_at: float = 0
    tail_latency_s: float = 0
    acknowledged_pace: int | None = None
    rank: int = 0
    was_preempted: bool = False
    is_latency_sensitive: bool = False
    failed_on: set[str] = attrs.field(factory=set)

    def is_current_run(self, run: int) -> bool:
        """Return whether the run is the latest one and not yet released."""
        return self.run == run and self.state is progress.TaskState.PLACED


@attrs.define(eq=False)
class Tickets:
    """Advice on a group's step: which workers may run it, and the tickets.

    ``queried_workers`` are the workers that advice was given on, and
    ``pending_workers`` those that a request without an answer names.
    ``approvals`` maps each approved worker to its ticket and the time at which
    the ticket expires. The approval itself never changes.
    """

    approvals: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    queried_workers: set[str] = attrs.field(factory=set)
    pending_workers: set[str] = attrs.field(factory=set)

    @property
    def approval_rate(self) -> float:
        """Return the expected share of workers that advice approves.

        It is the share of the workers queried so far, drawn towards a usual
        share while these are few.
        """
        approved = len(self.approvals) + USUAL_APPROVAL_RATE * USUAL_QUERIES
        return approved / (len(self.queried_workers) + USUAL_QUERIES)

    def is_advice_useful(self, worker: str, now: float) -> bool:
        """Return whether advice on the worker could yield a new ticket."""
        if worker in self.pending_workers:
            return False
        is_refused = (
            worker in self.queried_workers and worker not in self.approvals
        )
        return not is_refused and self.valid_ticket(worker, now) is None

    def valid_ticket(self, worker: str, now: float) -> str | None:
        """Return the worker's ticket, None if there is none or it expired."""
        ticket, expires_at = self.approvals.get(worker, ('', 0))
        return ticket if now < expires_at else None


@attrs.define(eq=False)
class Group:
    """The tasks of one step in one occurrence of a job.

    ``failures`` counts the failed runs of a gang, which fails as a whole;
    ``failed_run`` is the last of them.
    ``ready_at`` is when the steps before were done, None until then.
    ``tried_at`` is when a planning pass last tried to place it.
    ``full_runs`` are those of its tasks that ran from start to end at once.
    """

    job: Job
    occurrence: int
    index: int
    step: jobspec.Step
    tasks: list[Task] = attrs.field(factory=list)
    failures: int = 0
    failed_run: int = 0
    done_count: int = 0
    placed_count: int = 0
    ready_at: float | None = None
    tried_at: float = -math.inf
    tickets: Tickets = attrs.field(factory=Tickets)
    full_runs: list[speeds.Run] = attrs.field(factory=list)

    @property
    def waiting_count(self) -> int:
        """Return the number of tasks that have no run and are not done."""
        return len(self.tasks) - self.done_count - self.placed_count

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.done_count == len(self.tasks)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that have no run and are not done."""
        return [
            task
            for task in self.tasks
            if task.state is progress.TaskState.WAITING
        ]

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that have a run."""
        return [
            task
            for task in self.tasks
            if task.state is progress.TaskState.PLACED
        ]

    def step_name(self) -> str:
        """Return the step's name in requests to the advice service."""
        return f'{self.job.spec.job}.{self.occurrence}.{self.index}'


@attrs.define(eq=False)
class Job:
    """One accepted job.

    ``stored_state`` is the state that the store has acknowledged, which is
    what callers are told. ``has_started`` is set once a worker has accepted
    a start of the job; a new leader learns it from what workers list.
    ``restored_progress`` is what an earlier leader recorded.
    """

    spec: jobspec.JobSpec
    state: progress.JobState = progress.JobState.QUEUED
    stored_state: progress.JobState = progress.JobState.QUEUED
    has_started: bool = False
    groups: dict[tuple[int, int], Group] = attrs.field(factory=dict)
    ended_at: float = 0
    restored_progress: progress.Progress | None = None

    @property
    def is_ended(self) -> bool:
        """Return whether the job has ended, so that no task starts again."""
        return self.state in progress.ENDED_STATES

    @property
    def is_over(self) -> bool:
        """Return whether the job has ended and none of its tasks runs."""
        has_runs = any(group.placed_count for group in self.groups.values())
        return self.is_ended and not has_runs


@attrs.define(eq=False)
class JobTable:
    """All known jobs by ID; ``live_jobs`` are those that are not yet over."""

    jobs: dict[str, Job] = attrs.field(factory=dict)
    live_jobs: dict[str, Job] = attrs.field(factory=dict)

    def add(
        self, spec: jobspec.JobSpec, record: progress.Progress | None = None
    ) -> Job:
        """Add a job, with the progress that an earlier leader recorded.

        A job that is already known is returned unchanged.
        """
        known_job = self.jobs.get(spec.job)
        if known_job is not None:
            return known_job
        job = Job(spec)
        if record is not None:
            _restore_job(job, record)
        self.jobs[spec.job] = job
        if not job.is_ended:
            self.live_jobs[spec.job] = job
            if not spec.occurrences:
                _create_groups(job, 0)
        return job

    def add_ended_job(self, name: str, state: progress.JobState) -> None:
        """Add a job of which only the final state is needed."""
        spec = jobspec.JobSpec(name, '', '', (), 0)
        self.jobs[name] = Job(spec, state, stored_state=state, has_started=True)

    def create_due_groups(self, job: Job, unix_now: float, now: float) -> None:
        """Create the groups of due occurrences and mark ready groups."""
        spec = job.spec
        for occurrence in range(spec.occurrences):
            if unix_now < spec.first_due + occurrence * spec.interval:
                break
            if (occurrence, 0) not in job.groups:
                _create_groups(job, occurrence)
        for group in job.groups.values():
            if group.ready_at is None and self._is_ready(group):
                group.ready_at = now

    def find_task(self, name: jobspec.TaskName) -> Task | None:
        """Return the task of that name, if its job is known."""
        job = self.jobs.get(name.job)
        group = job and job.groups.get((name.occurrence, name.step))
        if not group or name.index >= len(group.tasks):
            return None
        return group.tasks[name.index]

    def assign_run(
        self, task: Task, worker: str, incarnation: int, run: int
    ) -> None:
        """Assign a new run of a task to an incarnation of a worker."""
        task.state = progress.TaskState.PLACED
        task.worker = worker
        task.incarnation = incarnation
        task.run = run
        task.answered_at = None
        task.is_stopping = False
        task.is_start_sent = False
        task.is_stop_sent = False
        task.percent = 0
        task.tail_latency_s = 0
        task.acknowledged_pace = None
        group = task.group
        group.placed_count += 1
        if not group.job.is_ended:
            group.job.state = progress.JobState.RUNNING

    def release_run(self, task: Task) -> None:
        """Set a task back to waiting: its run has ended or cannot start."""
        if task.state is not progress.TaskState.PLACED:
            return
        task.state = progress.TaskState.WAITING
        task.worker = ''
        task.is_stopping = False
        task.group.placed_count -= 1

    def record_end(
        self,
        task: Task,
        outcome: interfaces.RunOutcome,
        checkpoint: str,
        attempts: int,
    ) -> list[Task]:
        """Record the end of a task's run; return the tasks left without a run.

        The members of a gang are done together, so one that is done
        completes the whole gang.
        """
        group = task.group
        if checkpoint and task.state is progress.TaskState.PLACED:
            self._save_checkpoint(task, checkpoint)
        if outcome is interfaces.RunOutcome.DONE and not group.step.lasting:
            return self._complete_task(task)
        self.release_run(task)
        if outcome is interfaces.RunOutcome.FAILED and not group.step.lasting:
            self._count_failure(task, attempts)
        return [task]

    def cancel(self, job: Job, now: float) -> None:
        """Cancel a job unless it has ended."""
        if not job.is_ended:
            self._end_job(job, progress.JobState.CANCELLED, now)

    def complete_if_done(self, job: Job, now: float) -> None:
        """Complete a job if all its tasks are done."""
        occurrences = max(1, job.spec.occurrences)
        group_count = occurrences * len(job.spec.steps)
        if job.is_ended or len(job.groups) < group_count:
            return
        if all(group.is_done for group in job.groups.values()):
            self._end_job(job, progress.JobState.COMPLETED, now)

    def remove(self, job: Job) -> None:
        """Remove an ended job from the table."""
        self.jobs.pop(job.spec.job, None)
        self.live_jobs.pop(job.spec.job, None)

    def _complete_task(self, task: Task) -> list[Task]:
        group = task.group
        completed = group.tasks if group.step.gang else [task]
        released = []
        for member in completed:
            if member.state is progress.TaskState.DONE:
                continue
            if member.state is progress.TaskState.PLACED:
                group.placed_count -= 1
                released.append(member)
            member.state = progress.TaskState.DONE
            group.done_count += 1
        return released

    def _count_failure(self, task: Task, attempts: int) -> None:
        group = task.group
        if group.step.gang:
            # Several members of one run may fail.
            if task.run > group.failed_run:
                group.failed_run = task.run
                group.failures += 1
            failures = group.failures
        else:
            task.failures += 1
            failures = task.failures
        if failures >= attempts and not group.job.is_ended:
            self._end_job(group.job, progress.JobState.FAILED, 0)

    def _save_checkpoint(self, task: Task, checkpoint: str) -> None:
        task.checkpoint = checkpoint
        if task.group.step.gang:
            for member in task.group.tasks:
                member.checkpoint = checkpoint

    def _end_job(self, job: Job, state: progress.JobState, now: float) -> None:
        job.state = state
        job.ended_at = now

    def _is_ready(self, group: Group) -> bool:
        groups = group.job.groups
        return all(
            groups[group.occurrence, step_index].is_done
            for step_index in group.step.after
        )


@attrs.define(eq=False)
class ProgressEntry:
    """A job's progress as an entry of a commit; see ``committer.Entry``."""

    job: Job
    state: progress.JobState = progress.JobState.QUEUED

    def encode(self) -> bytes:
        """Return the job's progress record at this time."""
        self.state = self.job.state
        return build_progress(self.job).encode()

    def mark_stored(self) -> None:
        """Publish the state that is now stored."""
        self.job.stored_state = self.state


def build_progress(job: Job) -> progress.Progress:
    """Return a job's progress record.

    The record of a job that is over holds only its final state.
    """
    record = progress.Progress(job.state)
    if job.is_over:
        return record
    for group in job.groups.values():
        if group.failures:
            record.gangs[_group_key(group)] = progress.GangProgress(
                group.failures, group.failed_run
            )
        done_indices = []
        for task in group.tasks:
            if task.state is progress.TaskState.DONE:
                done_indices.append(task.name.index)
            elif task.run:
                record.tasks[task.name.label] = _task_progress(task)
        if done_indices:
            record.done[_group_key(group)] = done_indices
    return record


def _task_progress(task: Task) -> progress.TaskProgress:
    return progress.TaskProgress(
        task.state,
        task.run,
        task.worker,
        task.incarnation,
        task.failures,
        task.checkpoint,
    )


def _group_key(group: Group) -> str:
    return f'{group.occurrence}.{group.index}'


def _create_groups(job: Job, occurrence: int) -> None:
    for index, step in enumerate(job.spec.steps):
        key = (occurrence, index)
        if key in job.groups:
            continue
        group = Group(job, occurrence, index, step)
        group.tasks = [
            Task(
                jobspec.TaskName(job.spec.job, occurrence, index, number),
                group,
            )
            for number in range(step.tasks)
        ]
        job.groups[key] = group
        if job.restored_progress is not None:
            _restore_group(group, job.restored_progress)


def _restore_job(job: Job, record: progress.Progress) -> None:
    job.state = record.state
    job.stored_state = job.state
    job.restored_progress = record
    for occurrence in record.occurrences():
        _create_groups(job, occurrence)


def _restore_group(group: Group, record: progress.Progress) -> None:
    key = _group_key(group)
    gang = record.gangs.get(key)
    if gang is not None:
        group.failures = gang.failures
        group.failed_run = gang.failed_run
    for index in record.done.get(key, ()):
        group.tasks[index].state = progress.TaskState.DONE
        group.done_count += 1
    for task in group.tasks:
        task_record = record.tasks.get(task.name.label)
        if task_record is not None:
            _restore_task(task, task_record)
            group.placed_count += task.state is progress.TaskState.PLACED


def _restore_task(task: Task, task_record: progress.TaskProgress) -> None:
    task.state = task_record.state
    task.run = task_record.run
    task.worker = task_record.worker
    task.incarnation = task_record.incarnation
    task.failures = task_record.failures
    task.checkpoint = task_record.checkpoint
    task.is_start_sent = True
