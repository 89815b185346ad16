"""Execution of recorded jobs and services.

``run_job`` runs one record under its policy. The tasks of a batch run
independently, the tasks of a gang run all together or not at all, and the
replicas of a service are restarted until the service is cancelled.
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

MAX_CONCURRENT_TASKS = 64
PLACEMENT_TIMEOUT_SECONDS = 3600.0
GANG_TIMEOUT_SECONDS = 5.0
DEPENDENCY_POLL_SECONDS = 0.5
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 10.0


class JobContext(typing.Protocol):
    """Access to configuration, other jobs and zones while a job runs."""

    def current_manifest(self) -> manifest.Manifest:
        """Return the operator configuration in force."""

    async def is_job_done(self, job_id: str) -> bool:
        """Return whether a job has ended successfully."""

    async def is_service_running(self, service: str) -> bool:
        """Return whether a service has a running replica or needs none."""

    async def place_replica(
        self, work: dispatcher.Work, number: int
    ) -> grants.Grant:
        """Reserve capacity for replica ``number``, rotating over the zones."""


@attrs.frozen
class BatchPolicy:
    """Policy that runs each task independently."""


@attrs.frozen
class GangPolicy:
    """Policy that runs all tasks together or none of them."""


@attrs.frozen
class ServicePolicy:
    """Policy that restarts ended tasks until the service is cancelled."""


JobPolicy = BatchPolicy | GangPolicy | ServicePolicy
_POLICIES: dict[str, JobPolicy] = {
    'batch': BatchPolicy(),
    'gang': GangPolicy(),
    'service': ServicePolicy(),
}


@attrs.define(eq=False)
class Job:
    """A record whose open tasks are run, and the means to run them."""

    record: records.Record
    attempts: attempts.Attempts
    context: JobContext
    rng: random.Random = attrs.field(factory=random.Random)

    def spec(self) -> callerapi.JobBody:
        """Return the job as the caller submitted it."""
        return callerapi.parse_spec(self.record.spec)

    def policy(self) -> JobPolicy:
        """Return the policy that the job runs under."""
        return _POLICIES[self.spec().policy]

    def build_work(self, task: callerapi.JobTask) -> dispatcher.Work:
        """Return the work of one task, ready to be placed."""
        spec = self.spec()
        current_manifest = self.context.current_manifest()
        service = current_manifest.service(spec.service)
        kind = service.kind if service else manifest.PATIENT
        placement_policy: policy.Policy = policy.Batch()
        if isinstance(self.policy(), ServicePolicy):
            placement_policy = policy.Spread(self.record.id)
        return dispatcher.Work(
            spec.service,
            kind,
            spec.team,
            task.resources,
            task.payload,
            _now() + PLACEMENT_TIMEOUT_SECONDS,
            placement_policy,
            is_sheddable=False,
        )

    def needs_run(self, task: str) -> bool:
        """Return whether a task still has to run."""
        if self.record.cancelled:
            return False
        recorded_task = self.record.tasks.get(task)
        return recorded_task is not None and recorded_task.outcome is None

    def make_backoff(self) -> retry.Backoff:
        """Return the back-off between the attempts of one task."""
        return retry.Backoff(
            self.rng, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        )


async def run_job(job: Job) -> None:
    """Run a job to its end, once the jobs that it depends on are done."""
    for dependency in job.spec().depends_on:
        while not await job.context.is_job_done(dependency):
            await asyncio.sleep(DEPENDENCY_POLL_SECONDS)
    await run_with_policy(job.policy(), job)
    eliot.log_message('job:ended', job=job.record.id)


@functools.singledispatch
async def run_with_policy(job_policy: JobPolicy, job: Job) -> None:
    """Run a job to its end under one policy."""
    raise TypeError(f'expected a job policy, got {type(job_policy).__name__}')


@run_with_policy.register
async def _run_batch(job_policy: BatchPolicy, job: Job) -> None:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_TASKS)

    async def run_limited(task: callerapi.JobTask) -> None:
        async with semaphore:
            await _run_task(job, task)

    async with asyncio.TaskGroup() as group:
        for task in job.spec().tasks:
            group.create_task(run_limited(task))


@run_with_policy.register
async def _run_service(job_policy: ServicePolicy, job: Job) -> None:
    async with asyncio.TaskGroup() as group:
        for number, task in enumerate(job.spec().tasks):
            group.create_task(_run_replica(job, task, number))


@run_with_policy.register
async def _run_gang(job_policy: GangPolicy, job: Job) -> None:
    backoff = job.make_backoff()
    while any(job.needs_run(task.name) for task in job.spec().tasks):
        if not await _wait_for_open_attempts(job):
            await _run_gang_once(job)
        await asyncio.sleep(backoff.draw_wait())


async def _run_task(job: Job, task: callerapi.JobTask) -> None:
    backoff = job.make_backoff()
    while job.needs_run(task.name):
        try:
            task_outcome = await _run_task_once(job, task)
        except (errors.RefusedError, errors.UnreachableError):
            task_outcome = outcome.NotRun(
                'the attempt could not be placed or recorded'
            )
        if not isinstance(task_outcome, outcome.Answered):
            await asyncio.sleep(backoff.draw_wait())


async def _run_task_once(job: Job, task: callerapi.JobTask) -> outcome.Outcome:
    open_intent = job.record.tasks[task.name].intent
    if open_intent is not None:
        return await job.attempts.wait_outcome(open_intent.attempt)
    work = job.build_work(task)
    grant = await job.attempts.dispatcher.place(work)
    launch = attempts.Launch(task.name, work, grant)
    outcome_futures = await job.attempts.launch(job.record.id, [launch])
    return await outcome_futures[0]


async def _run_replica(job: Job, task: callerapi.JobTask, number: int) -> None:
    service = job.context.current_manifest().service(job.spec().service)
    for dependency in service.depends_on if service else ():
        while not await job.context.is_service_running(dependency):
            await asyncio.sleep(DEPENDENCY_POLL_SECONDS)
    backoff = job.make_backoff()
    while job.needs_run(task.name):
        try:
            await _run_replica_once(job, task, number)
        except (errors.RefusedError, errors.UnreachableError):
            await asyncio.sleep(backoff.draw_wait())
        await asyncio.sleep(backoff.draw_wait())


async def _run_replica_once(
    job: Job, task: callerapi.JobTask, number: int
) -> None:
    open_intent = job.record.tasks[task.name].intent
    if open_intent is not None:
        await job.attempts.wait_outcome(open_intent.attempt)
        return
    work = job.build_work(task)
    grant = await job.context.place_replica(work, number)
    launch = attempts.Launch(task.name, work, grant)
    outcome_futures = await job.attempts.launch(job.record.id, [launch])
    await outcome_futures[0]


async def _wait_for_open_attempts(job: Job) -> bool:
    """Wait for open attempts that an earlier holder started.

    Returns whether there were any.
    """
    open_intents = [
        task.intent
        for task in job.record.tasks.values()
        if task.intent is not None
    ]
    waits = (
        job.attempts.wait_outcome(open_intent.attempt)
        for open_intent in open_intents
    )
    await asyncio.gather(*waits)
    return bool(open_intents)


async def _run_gang_once(job: Job) -> None:
    """Start all tasks of a gang if all get capacity before the time-out.

    Otherwise the capacity that was reserved is released.
    """
    open_tasks = [task for task in job.spec().tasks if job.needs_run(task.name)]
    launches: list[attempts.Launch] = []
    try:
        async with (
            asyncio.timeout(GANG_TIMEOUT_SECONDS),
            asyncio.TaskGroup() as group,
        ):
            for task in open_tasks:
                group.create_task(_reserve_for_task(job, task, launches))
    except (TimeoutError, ExceptionGroup):
        await _release_launches(job, launches)
        return
    except asyncio.CancelledError:
        await _release_launches(job, launches)
        raise
    try:
        outcome_futures = await job.attempts.launch(job.record.id, launches)
    except (errors.RefusedError, errors.UnreachableError):
        return
    await _wait_for_gang(job, outcome_futures)


async def _reserve_for_task(
    job: Job, task: callerapi.JobTask, launches: list[attempts.Launch]
) -> None:
    work = job.build_work(task)
    grant = await job.attempts.dispatcher.place(work)
    launches.append(attempts.Launch(task.name, work, grant))


async def _release_launches(job: Job, launches: list[attempts.Launch]) -> None:
    releases = (
        job.attempts.dispatcher.release(launch.grant) for launch in launches
    )
    await asyncio.gather(*releases)


async def _wait_for_gang(
    job: Job, outcome_futures: list[asyncio.Future[outcome.Outcome]]
) -> None:
    """Wait for a gang; stop all of its tasks once one of them fails."""
    for outcome_future in asyncio.as_completed(outcome_futures):
        task_outcome = await outcome_future
        if not isinstance(task_outcome, outcome.Answered):
            await job.attempts.stop_record(job.record.id)


def _now() -> float:
    return asyncio.get_running_loop().time()
