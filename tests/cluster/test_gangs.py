"""Gangs whose members fail: a run counts once, however many of them do."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend_cluster import jobspec, jobtable, progress
from tests import fakecluster
from tests.cluster import harness

MEMBERS = 4
TASK_S = 1.0
GANG = jobspec.Step(
    MEMBERS, jobspec.Demand(1_000, 1_000), TASK_S, gang=True, per_worker_limit=2
)


async def _start_failing_gang(cluster):
    """Start a gang on two workers that are silent until all members failed.

    Its queue allows two attempts.
    """
    queue = attrs.evolve(harness.QUEUE, attempts=2)
    cluster.config = attrs.evolve(cluster.config, queues=(queue,))
    term = await cluster.start_term()
    for worker in cluster.workers.values():
        worker.fails = True
    cluster.submit_job(fakecluster.job('j', GANG))
    await harness.wait_until(
        lambda: len(harness.find_starts(cluster, 'j')) == MEMBERS
    )
    for worker in cluster.workers.values():
        worker.mute = True
    await asyncio.sleep(TASK_S + 0.5)
    for worker in cluster.workers.values():
        worker._end_due_runs()
    return term


def _find_runs(cluster):
    return {run for _, _, run in harness.find_starts(cluster, 'j')}


@pytest.mark.parametrize('is_leader_replaced', [False, True])
def test_members_that_fail_together_use_one_attempt(is_leader_replaced):
    """Guards against a job shown as failed that has attempts left.

    All members of the first run fail. The second worker reports that later
    than the first, to this leader or to the next.
    """

    async def scenario(cluster):
        term = await _start_failing_gang(cluster)
        first, second = cluster.workers.values()
        first.mute = False
        await harness.wait_until(lambda: first.acknowledged == 2)
        if is_leader_replaced:
            await cluster.kill_leader()
            term = await cluster.start_term(2)
        first.fails = False
        second.mute = False
        second.fails = False
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') in {'completed', 'failed'}
        )
        assert harness.find_job_state(term, 'j') == 'completed'
        assert _find_runs(cluster) == {1, 2}

    harness.run_scenario(scenario)


def test_a_gang_that_fails_in_each_attempt_is_shown_as_failed():
    """Guards against a run beyond the attempts that the queue allows."""

    async def scenario(cluster):
        term = await _start_failing_gang(cluster)
        for worker in cluster.workers.values():
            worker.mute = False
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'failed'
        )
        await asyncio.sleep(2)
        assert _find_runs(cluster) == {1, 2}

    harness.run_scenario(scenario)


def test_the_failures_of_a_gang_are_read_from_records_of_earlier_builds():
    """Guards against a record of the number alone, which has no run."""
    job = jobtable.JobTable().add(fakecluster.job('j', GANG))
    group = job.groups[0, 0]
    group.failures = 1
    body = jobtable.build_progress(job).encode()
    record = progress.decode_progress(
        progress.compression.compress(b'{"state":"queued","gangs":{"0.0":1}}')
    )
    assert record == progress.decode_progress(body)
