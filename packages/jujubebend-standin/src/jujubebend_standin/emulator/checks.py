"""Invariant checks on the runs of workers and the outcomes callers saw."""

from __future__ import annotations

import collections
from collections import abc

from jujubebend_standin.emulator import loadgenerator, localcluster, worker

# Two clock readings of the same moment differ by less than this.
CLOCK_TOLERANCE_SECONDS = 0.05


def find_violations(
    cluster: localcluster.LocalCluster, load: loadgenerator.LoadGenerator
) -> list[str]:
    """Return a description of each violated invariant.

    No worker runs more than its CPU capacity, runs of a task don't overlap,
    no task runs again after its end was acknowledged, refused jobs don't run,
    accepted jobs stay known, and in a completed job every task has run.
    """
    runs_by_task: dict[str, list[worker.Run]] = collections.defaultdict(list)
    for emulated_worker in cluster.workers:
        # A worker ends runs when it is called; one that is cut off is not.
        emulated_worker.end_due_runs()
        for run in emulated_worker.runs:
            runs_by_task[run.task].append(run)
    violations = [
        f'{emulated_worker.name}: allocated cpu '
        f'{emulated_worker.peak_cpu} exceeds its capacity '
        f'{emulated_worker.cpu}'
        for emulated_worker in cluster.workers
        if emulated_worker.peak_cpu > emulated_worker.cpu
    ]
    for task, runs in runs_by_task.items():
        violations.extend(_check_runs(task, runs))
    for job in load.jobs.values():
        violations.extend(_check_job(job, runs_by_task))
    return violations


def _check_runs(task: str, runs: list[worker.Run]) -> abc.Iterator[str]:
    runs = sorted(runs, key=lambda run: run.started_at)
    for before, after in zip(runs, runs[1:], strict=False):
        if (
            before.ended_at is None
            or after.started_at < before.ended_at - CLOCK_TOLERANCE_SECONDS
        ):
            yield f'{task}: runs {before.number} and {after.number} overlap'
        if before.outcome == 'done' and before.is_acknowledged:
            yield f'{task}: run {after.number} began after the task was done'


def _check_job(
    job: loadgenerator.SubmittedJob, runs_by_task: dict[str, list[worker.Run]]
) -> abc.Iterator[str]:
    started = {task for task in runs_by_task if task.startswith(job.job_id)}
    if started and not job.is_accepted and not job.is_acceptance_unknown:
        yield f'{job.job_id}: was refused, but ran'
    if job.is_accepted and job.state == 'not found':
        yield f'{job.job_id}: was accepted, but is no longer known'
    if job.state == 'completed':
        done = {
            task
            for task in started
            if any(run.outcome == 'done' for run in runs_by_task[task])
        }
        if len(done) != job.tasks:
            yield (
                f'{job.job_id}: completed with {len(done)} of {job.tasks} '
                'tasks done'
            )
