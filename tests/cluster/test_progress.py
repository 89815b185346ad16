"""Progress records of jobs: encoding and restoring.

The tests guard against progress that a new leader does not restore as the
former leader recorded it.
"""

from __future__ import annotations

from jujubebend_cluster import jobspec, jobtable, progress
from tests import fakecluster

STEPS = (
    jobspec.Step(3, jobspec.Demand(1_000, 1), 1.0),
    jobspec.Step(2, jobspec.Demand(1_000, 1), 1.0, gang=True),
)


def _job():
    return jobtable.JobTable().add(fakecluster.job('j', *STEPS))


def _job_in_progress():
    job_table = jobtable.JobTable()
    job = job_table.add(fakecluster.job('j', *STEPS))
    first, second, _ = job.groups[0, 0].tasks
    job_table.assign_run(first, 'w1', 7, 1)
    job_table.assign_run(second, 'w2', 8, 2)
    job_table.record_end(first, jobtable.interfaces.RunOutcome.DONE, '', 3)
    job_table.record_end(
        second, jobtable.interfaces.RunOutcome.FAILED, 'saved', 3
    )
    job_table.assign_run(second, 'w3', 9, 3)
    job.groups[0, 1].failures = 2
    return job


def test_progress_survives_a_round_trip():
    job = _job_in_progress()
    body = jobtable.build_progress(job).encode()
    record = progress.decode_progress(body)
    assert not record.is_over()
    restored = jobtable.JobTable().add(job.spec, record)
    assert jobtable.build_progress(restored) == jobtable.build_progress(job)
    assert restored.state is progress.JobState.RUNNING
    group = restored.groups[0, 0]
    assert (group.done_count, group.placed_count, group.waiting_count) == (
        1,
        1,
        1,
    )
    task = group.tasks[1]
    assert (task.worker, task.incarnation, task.run) == ('w3', 9, 3)
    assert (task.failures, task.checkpoint) == (1, 'saved')
    assert restored.groups[0, 1].failures == 2


def test_a_job_without_runs_has_an_empty_record():
    record = progress.decode_progress(jobtable.build_progress(_job()).encode())
    assert record == progress.Progress(progress.JobState.QUEUED)
    assert not record.occurrences()


def test_an_ended_job_is_over_once_none_of_its_tasks_runs():
    job = _job_in_progress()
    jobtable.JobTable().cancel(job, 1)
    assert not progress.decode_progress(
        jobtable.build_progress(job).encode()
    ).is_over()
    for task in job.groups[0, 0].tasks:
        jobtable.JobTable().release_run(task)
    record = progress.decode_progress(jobtable.build_progress(job).encode())
    assert record == progress.Progress(progress.JobState.CANCELLED)
    assert record.is_over()
