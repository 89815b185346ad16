"""The jobs of the cell and how far each has come.

A job has a group for each step of each occurrence, and a group has tasks.
The leader writes a job's progress to the store before it acts on a change
that must survive. Nothing here does I/O.
"""

from __future__ import annotations

import attrs

from jujubebend_cluster import interfaces, jobspec, progress


@attrs.define(eq=False)
class Task:
    """One task and its latest run; ``run`` counts starts from one.

    ``answered_at`` is when a start or stop of this run was answered: a look
    at the worker sent later than that must list the run. ``tail_latency_s`` is the
    response time in seconds that a serving task measures; ``acknowledged_pace`` is the
    percent that a filler was last told, None where that is not known;
    ``rank`` that of its queue when the run was placed. One that ``was_preempted``
    to work of higher rank is left alone from then on.
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
    percent: int = 0
    progressed_at: float = 0
    tail_latency_s: float = 0
    acknowledged_pace: int | None = None
    rank: int = 0
    was_preempted: bool = False
    failed_on: set[str] = attrs.field(factory=set)

    def is_current_run(self, run: int) -> bool:
        """Say whether that run is the latest and has not been given up."""
        return self.run == run and self.state is progress.TaskState.PLACED


@attrs.define(eq=False)
class Tickets:
    """Which workers may run a group's step, and until when tickets hold.

    Whether a worker may run the step never changes; only its ticket ages.
    """

    good: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    asked: set[str] = attrs.field(factory=set)
    is_request_pending: bool = False

    def may_help(self, worker: str, now: float) -> bool:
        """Say whether asking for the worker could bring a ticket."""
        refused = worker in self.asked and worker not in self.good
        return not refused and self.valid_ticket(worker, now) is None

    def valid_ticket(self, worker: str, now: float) -> str | None:
        """Return the worker's ticket if it still holds."""
        ticket, until = self.good.get(worker, ('', 0))
        return ticket if now < until else None


@attrs.define(eq=False)
class Group:
    """The tasks of one step in one occurrence."""

    job: Job
    occurrence: int
    index: int
    step: jobspec.Step
    tasks: list[Task] = attrs.field(factory=list)
    failures: int = 0
    done: int = 0
    placed: int = 0
    ready_at: float | None = None
    tickets: Tickets = attrs.field(factory=Tickets)

    @property
    def waiting_count(self) -> int:
        """Return how many tasks have no run."""
        return len(self.tasks) - self.done - self.placed

    @property
    def is_done(self) -> bool:
        """Say whether every task is done."""
        return self.done == len(self.tasks)

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that have no run."""
        return [
            one for one in self.tasks if one.state is progress.TaskState.WAITING
        ]

    def placed_tasks(self) -> list[Task]:
        """Return the tasks that have a run."""
        return [
            one for one in self.tasks if one.state is progress.TaskState.PLACED
        ]

    def step_name(self) -> str:
        """Return the name by which advice knows the step."""
        return f'{self.job.spec.job}.{self.occurrence}.{self.index}'


@attrs.define(eq=False)
class Job:
    """One accepted job.

    ``has_started`` says that a worker has taken a start of it; after a takeover it
    is learned anew from what workers list.
    """

    spec: jobspec.JobSpec
    state: progress.JobState = progress.JobState.QUEUED
    stored_state: progress.JobState = progress.JobState.QUEUED
    has_started: bool = False
    groups: dict[tuple[int, int], Group] = attrs.field(factory=dict)
    ended_at: float = 0
    restored: progress.Progress | None = None

    @property
    def is_ended(self) -> bool:
        """Say whether nothing of the job will start again."""
        return self.state in progress.ENDED_STATES

    @property
    def is_over(self) -> bool:
        """Say whether the job has ended and nothing of it runs any more."""
        runs = any(group.placed for group in self.groups.values())
        return self.is_ended and not runs


@attrs.define(eq=False)
class JobTable:
    """Every job that is known, by its ID."""

    jobs: dict[str, Job] = attrs.field(factory=dict)
    live: dict[str, Job] = attrs.field(factory=dict)

    def add(
        self, spec: jobspec.JobSpec, record: progress.Progress | None = None
    ) -> Job:
        """Add a job, with the progress that an earlier leader recorded."""
        known = self.jobs.get(spec.job)
        if known is not None:
            return known
        job = Job(spec)
        self.jobs[spec.job] = job
        if record is not None:
            _restore(job, record)
        if not job.is_ended:
            self.live[spec.job] = job
            if not spec.occurrences:
                _open(job, 0)
        return job

    def add_ended(self, name: str, state: progress.JobState) -> None:
        """Add a job of which only its end is still of interest."""
        spec = jobspec.JobSpec(name, '', '', (), 0)
        self.jobs[name] = Job(spec, state, stored_state=state, has_started=True)

    def open_due(self, job: Job, unix: float, now: float) -> None:
        """Open the occurrences that are due and find steps that are ready."""
        spec = job.spec
        for occurrence in range(spec.occurrences):
            if unix < spec.first_due + occurrence * spec.interval:
                break
            if (occurrence, 0) not in job.groups:
                _open(job, occurrence)
        for group in job.groups.values():
            if group.ready_at is None and self._is_ready(group):
                group.ready_at = now

    def find(self, name: jobspec.TaskName) -> Task | None:
        """Return the task of that name, if its job is known."""
        job = self.jobs.get(name.job)
        group = job and job.groups.get((name.occurrence, name.step))
        if not group or name.index >= len(group.tasks):
            return None
        return group.tasks[name.index]

    def place(self, task: Task, worker: str, life: int, run: int) -> None:
        """Give a task a new run on a worker."""
        task.state = progress.TaskState.PLACED
        task.worker = worker
        task.incarnation = life
        task.run = run
        task.answered_at = None
        task.is_stopping = False
        task.is_start_sent = False
        task.percent = 0
        task.tail_latency_s = 0
        task.acknowledged_pace = None
        group = task.group
        group.placed += 1
        if not group.job.is_ended:
            group.job.state = progress.JobState.RUNNING

    def release(self, task: Task) -> None:
        """Take a task's run away: it has ended or can never begin."""
        if task.state is not progress.TaskState.PLACED:
            return
        task.state = progress.TaskState.WAITING
        task.worker = ''
        task.is_stopping = False
        task.group.placed -= 1

    def ended(
        self,
        task: Task,
        ending: interfaces.RunOutcome,
        checkpoint: str,
        attempts: int,
    ) -> list[Task]:
        """Note how a task's run ended; return tasks released with it.

        One member that is done stands for its whole gang, since the members
        are done together.
        """
        group = task.group
        if checkpoint and task.state is progress.TaskState.PLACED:
            self._keep_checkpoint(task, checkpoint)
        if ending is interfaces.RunOutcome.DONE and not group.step.lasting:
            return self._done(task)
        self.release(task)
        if ending is interfaces.RunOutcome.FAILED and not group.step.lasting:
            self._failed(task, attempts)
        return [task]

    def cancel(self, job: Job, now: float) -> None:
        """End a job at its caller's wish."""
        if not job.is_ended:
            self._end(job, progress.JobState.CANCELLED, now)

    def complete_if_done(self, job: Job, now: float) -> None:
        """Complete the job if all its tasks are done."""
        occurrences = max(1, job.spec.occurrences)
        wanted = occurrences * len(job.spec.steps)
        if job.is_ended or len(job.groups) < wanted:
            return
        if all(group.is_done for group in job.groups.values()):
            self._end(job, progress.JobState.COMPLETED, now)

    def forget(self, job: Job) -> None:
        """Drop an ended job for good."""
        self.jobs.pop(job.spec.job, None)
        self.live.pop(job.spec.job, None)

    def _done(self, task: Task) -> list[Task]:
        group = task.group
        together = group.tasks if group.step.gang else [task]
        released = []
        for one in together:
            if one.state is progress.TaskState.DONE:
                continue
            if one.state is progress.TaskState.PLACED:
                group.placed -= 1
                released.append(one)
            one.state = progress.TaskState.DONE
            group.done += 1
        return released

    def _failed(self, task: Task, attempts: int) -> None:
        group = task.group
        if group.step.gang:
            group.failures += 1
            failures = group.failures
        else:
            task.failures += 1
            failures = task.failures
        if failures >= attempts and not group.job.is_ended:
            self._end(group.job, progress.JobState.FAILED, 0)

    def _keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        task.checkpoint = checkpoint
        if task.group.step.gang:
            for one in task.group.tasks:
                one.checkpoint = checkpoint

    def _end(self, job: Job, state: progress.JobState, now: float) -> None:
        job.state = state
        job.ended_at = now

    def _is_ready(self, group: Group) -> bool:
        groups = group.job.groups
        return all(
            groups[group.occurrence, before].is_done
            for before in group.step.after
        )


@attrs.define(eq=False)
class ProgressEntry:
    """A job's progress on its way to the store; see ``committer.Entry``."""

    job: Job
    state: progress.JobState = progress.JobState.QUEUED

    def encode(self) -> bytes:
        """Return the job's record as it stands now."""
        self.state = self.job.state
        return build_progress(self.job).encode()

    def mark_stored(self) -> None:
        """Show callers what is in the store."""
        self.job.stored_state = self.state


def build_progress(job: Job) -> progress.Progress:
    """Return a job's record; of one that is over, only how it ended."""
    made = progress.Progress(job.state)
    if job.is_over:
        return made
    for group in job.groups.values():
        if group.failures:
            made.gangs[_key(group)] = group.failures
        done = []
        for task in group.tasks:
            if task.state is progress.TaskState.DONE:
                done.append(task.name.index)
            elif task.run:
                made.tasks[task.name.label] = _row(task)
        if done:
            made.done[_key(group)] = done
    return made


def _row(task: Task) -> progress.TaskProgress:
    return progress.TaskProgress(
        task.state,
        task.run,
        task.worker,
        task.incarnation,
        task.failures,
        task.checkpoint,
    )


def _key(group: Group) -> str:
    return f'{group.occurrence}.{group.index}'


def _open(job: Job, occurrence: int) -> None:
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
        if job.restored is not None:
            _restore_group(group, job.restored)


def _restore(job: Job, record: progress.Progress) -> None:
    job.state = record.state
    job.stored_state = job.state
    job.restored = record
    for occurrence in record.occurrences():
        _open(job, occurrence)


def _restore_group(group: Group, record: progress.Progress) -> None:
    key = _key(group)
    group.failures = record.gangs.get(key, 0)
    for index in record.done.get(key, ()):
        group.tasks[index].state = progress.TaskState.DONE
        group.done += 1
    for task in group.tasks:
        row = record.tasks.get(task.name.label)
        if row is not None:
            _restore_task(task, row)
            group.placed += task.state is progress.TaskState.PLACED


def _restore_task(task: Task, row: progress.TaskProgress) -> None:
    task.state = row.state
    task.run = row.run
    task.worker = row.worker
    task.incarnation = row.incarnation
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.is_start_sent = True
