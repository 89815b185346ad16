"""Jobs and services: recorded work with many tasks.

``run`` carries one record to its end under its policy: a batch task by
task, a gang all at once or not at all, a service kept running for as long
as it is wanted.
"""

from __future__ import annotations

import asyncio
import functools
import random
import typing

import attrs
import eliot

from jujubebend import errors, manifest, outcome, policy, records, retry
from jujubebend_entry import attempts, callerapi, dispatcher, grants

TASKS_AT_ONCE = 64
PLACE_WAIT = 3600.0
GANG_WAIT = 5.0
DEPENDENCY_INTERVAL = 0.5
FIRST_WAIT = 0.1
LONGEST_WAIT = 10.0


class JobContext(typing.Protocol):
    """What a job needs to know beyond its own shard."""

    def text(self) -> manifest.Manifest:
        """Return the operators' text in force."""

    async def is_done(self, job_id: str) -> bool:
        """Say whether a job that another depends on has ended well."""

    async def is_running(self, service: str) -> bool:
        """Say whether a service has a replica that runs."""

    async def place_replica(
        self, work: dispatcher.Work, number: int
    ) -> grants.Grant:
        """Hold room for replica ``number``, zones taken in turn."""


@attrs.frozen
class BatchPolicy:
    """Each task for itself."""


@attrs.frozen
class GangPolicy:
    """All tasks together or none."""


@attrs.frozen
class ServicePolicy:
    """Tasks that are kept running."""


JobPolicy = BatchPolicy | GangPolicy | ServicePolicy
_POLICIES: dict[str, JobPolicy] = {
    'batch': BatchPolicy(),
    'gang': GangPolicy(),
    'service': ServicePolicy(),
}


@attrs.define(eq=False)
class Job:
    """One record on its way to its end."""

    record: records.Record
    attempts: attempts.Attempts
    context: JobContext
    rng: random.Random = attrs.field(factory=random.Random)

    def spec(self) -> callerapi.JobBody:
        """Return the job as it was sent."""
        return callerapi.parse_spec(self.record.spec)

    def policy(self) -> JobPolicy:
        """Return the policy to run the job under."""
        return _POLICIES[self.spec().policy]

    def work(self, task: callerapi.JobTask) -> dispatcher.Work:
        """Return one of its tasks as work to be placed."""
        spec = self.spec()
        text = self.context.text()
        service = text.service(spec.service)
        kind = service.kind if service else manifest.PATIENT
        wanted: policy.Policy = policy.Batch()
        if isinstance(self.policy(), ServicePolicy):
            wanted = policy.Spread(self.record.id)
        return dispatcher.Work(
            spec.service,
            kind,
            spec.team,
            task.resources,
            task.payload,
            _now() + PLACE_WAIT,
            wanted,
            is_sheddable=False,
        )

    def is_wanted(self, task: str) -> bool:
        """Say whether a task is still to be run."""
        if self.record.cancelled:
            return False
        found = self.record.tasks.get(task)
        return found is not None and found.outcome is None

    def backoff(self) -> retry.Backoff:
        """Return the waits between attempts of one task."""
        return retry.Backoff(self.rng, FIRST_WAIT, LONGEST_WAIT)


async def run(job: Job) -> None:
    """Carry a job to its end."""
    for needed in job.spec().depends_on:
        while not await job.context.is_done(needed):
            await asyncio.sleep(DEPENDENCY_INTERVAL)
    await run_under(job.policy(), job)
    eliot.log_message('job:ended', job=job.record.id)


@functools.singledispatch
async def run_under(wanted: JobPolicy, job: Job) -> None:
    """Carry a job to its end under one policy."""
    raise TypeError(f'{type(wanted).__name__} is not a job policy')


@run_under.register
async def _run_batch(wanted: BatchPolicy, job: Job) -> None:
    room = asyncio.Semaphore(TASKS_AT_ONCE)

    async def run_one(task: callerapi.JobTask) -> None:
        async with room:
            await _run_task(job, task)

    async with asyncio.TaskGroup() as group:
        for task in job.spec().tasks:
            group.create_task(run_one(task))


@run_under.register
async def _run_service(wanted: ServicePolicy, job: Job) -> None:
    async with asyncio.TaskGroup() as group:
        for number, task in enumerate(job.spec().tasks):
            group.create_task(_keep_running(job, task, number))


@run_under.register
async def _run_gang(wanted: GangPolicy, job: Job) -> None:
    backoff = job.backoff()
    while any(job.is_wanted(task.name) for task in job.spec().tasks):
        if not await _join_open(job):
            await _run_gang_once(job)
        await asyncio.sleep(backoff.draw_wait())


async def _run_task(job: Job, task: callerapi.JobTask) -> None:
    backoff = job.backoff()
    while job.is_wanted(task.name):
        try:
            ended = await _run_task_once(job, task)
        except (errors.RefusedError, errors.UnreachableError):
            ended = outcome.NotRun('it could not be placed or recorded')
        if not isinstance(ended, outcome.Answered):
            await asyncio.sleep(backoff.draw_wait())


async def _run_task_once(job: Job, task: callerapi.JobTask) -> outcome.Outcome:
    opened = job.record.tasks[task.name].intent
    if opened is not None:
        return await job.attempts.wait_end(opened.attempt)
    work = job.work(task)
    grant = await job.attempts.dispatcher.place(work)
    launch = attempts.Launch(task.name, work, grant)
    ends = await job.attempts.launch(job.record.id, [launch])
    return await ends[0]


async def _keep_running(job: Job, task: callerapi.JobTask, number: int) -> None:
    service = job.context.text().service(job.spec().service)
    for needed in service.depends_on if service else ():
        while not await job.context.is_running(needed):
            await asyncio.sleep(DEPENDENCY_INTERVAL)
    backoff = job.backoff()
    while job.is_wanted(task.name):
        try:
            await _keep_running_once(job, task, number)
        except (errors.RefusedError, errors.UnreachableError):
            await asyncio.sleep(backoff.draw_wait())
        await asyncio.sleep(backoff.draw_wait())


async def _keep_running_once(
    job: Job, task: callerapi.JobTask, number: int
) -> None:
    opened = job.record.tasks[task.name].intent
    if opened is not None:
        await job.attempts.wait_end(opened.attempt)
        return
    work = job.work(task)
    grant = await job.context.place_replica(work, number)
    launch = attempts.Launch(task.name, work, grant)
    ends = await job.attempts.launch(job.record.id, [launch])
    await ends[0]


async def _join_open(job: Job) -> bool:
    """Wait for attempts that an earlier holder started."""
    opened = [
        task.intent
        for task in job.record.tasks.values()
        if task.intent is not None
    ]
    waits = (job.attempts.wait_end(one.attempt) for one in opened)
    await asyncio.gather(*waits)
    return bool(opened)


async def _run_gang_once(job: Job) -> None:
    """Hold room for every task within a time, or give all of it back."""
    wanted = [task for task in job.spec().tasks if job.is_wanted(task.name)]
    held: list[attempts.Launch] = []
    try:
        async with asyncio.timeout(GANG_WAIT), asyncio.TaskGroup() as group:
            for task in wanted:
                group.create_task(_hold_one(job, task, held))
    except (TimeoutError, ExceptionGroup):
        await _release_all(job, held)
        return
    except asyncio.CancelledError:
        await _release_all(job, held)
        raise
    try:
        ends = await job.attempts.launch(job.record.id, held)
    except (errors.RefusedError, errors.UnreachableError):
        return
    await _stop_together(job, ends)


async def _hold_one(
    job: Job, task: callerapi.JobTask, held: list[attempts.Launch]
) -> None:
    work = job.work(task)
    grant = await job.attempts.dispatcher.place(work)
    held.append(attempts.Launch(task.name, work, grant))


async def _release_all(job: Job, held: list[attempts.Launch]) -> None:
    releases = (
        job.attempts.dispatcher.release(launch.grant) for launch in held
    )
    await asyncio.gather(*releases)


async def _stop_together(
    job: Job, ends: list[asyncio.Future[outcome.Outcome]]
) -> None:
    """Wait for a gang; one task that fails stops the others."""
    for finished in asyncio.as_completed(ends):
        ended = await finished
        if not isinstance(ended, outcome.Answered):
            await job.attempts.stop(job.record.id)


def _now() -> float:
    return asyncio.get_running_loop().time()
