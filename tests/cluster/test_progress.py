"""What is kept of a job, and that it is read back whole."""

from __future__ import annotations

from jujubebend_cluster import jobspec, jobtable, progress
from tests import fakecluster

STEPS = (
    jobspec.Step(3, jobspec.Demand(1_000, 1), 1.0),
    jobspec.Step(2, jobspec.Demand(1_000, 1), 1.0, gang=True),
)


def _job():
    return jobtable.JobTable().add(fakecluster.job('j', *STEPS))


def _worked():
    known = jobtable.JobTable()
    job = known.add(fakecluster.job('j', *STEPS))
    first, second, _ = job.groups[0, 0].tasks
    known.place(first, 'w1', 7, 1)
    known.place(second, 'w2', 8, 2)
    known.ended(first, jobtable.interfaces.RunOutcome.DONE, '', 3)
    known.ended(second, jobtable.interfaces.RunOutcome.FAILED, 'saved', 3)
    known.place(second, 'w3', 9, 3)
    job.groups[0, 1].failures = 2
    return job


def test_progress_is_read_back_whole():
    job = _worked()
    body = jobtable.build_progress(job).encode()
    record = progress.parse(body)
    assert not record.is_over()
    again = jobtable.JobTable().add(job.spec, record)
    assert jobtable.build_progress(again) == jobtable.build_progress(job)
    assert again.state is progress.JobState.RUNNING
    group = again.groups[0, 0]
    assert (group.done, group.placed, group.waiting_count) == (1, 1, 1)
    task = group.tasks[1]
    assert (task.worker, task.incarnation, task.run) == ('w3', 9, 3)
    assert (task.failures, task.checkpoint) == (1, 'saved')
    assert again.groups[0, 1].failures == 2


def test_a_job_that_never_began_has_a_short_record():
    record = progress.parse(jobtable.build_progress(_job()).encode())
    assert record == progress.Progress(progress.JobState.QUEUED)
    assert not record.occurrences()


def test_an_ended_job_is_over_once_nothing_of_it_runs():
    job = _worked()
    jobtable.JobTable().cancel(job, 1)
    assert not progress.parse(jobtable.build_progress(job).encode()).is_over()
    for task in job.groups[0, 0].tasks:
        jobtable.JobTable().release(task)
    record = progress.parse(jobtable.build_progress(job).encode())
    assert record == progress.Progress(progress.JobState.CANCELLED)
    assert record.is_over()
