"""Cancellations across a change of leader at each point on their way."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend_cluster import clock, jobspec
from tests import fakecluster
from tests.cluster import harness

# A start that was on its way when the cancellation was stored.
GRACE_S = 0.1
# Before and after the leader has read, applied and stored the cancellation.
DELAYS_S = (0, 0.003, 0.006, 0.02, 0.1, 0.7)


@pytest.mark.parametrize('delay', DELAYS_S)
def test_a_cancelled_job_stays_cancelled_when_the_leader_restarts(delay):
    """The job has tasks that run and tasks that wait for room."""

    async def scenario(cluster):
        await cluster.start_term(1)
        step = jobspec.Step(8, jobspec.Demand(16_000, 10), 3.0)
        cluster.submit_job(fakecluster.job('j', step))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 4
        )
        await asyncio.sleep(1)
        cluster.cancel('j')
        cancelled_at = clock.now()
        await asyncio.sleep(delay)
        await cluster.kill_leader()
        second = await cluster.start_term(2)
        await harness.wait_until(
            lambda: harness.find_job_state(second, 'j') == 'cancelled'
        )
        workers = cluster.workers.values()
        await harness.wait_until(
            lambda: not any(worker.runs for worker in workers)
        )
        await asyncio.sleep(10)
        late_starts = [
            task
            for worker in workers
            for task, _, started_at in worker.start_times
            if started_at > cancelled_at + GRACE_S
        ]
        assert not late_starts

    harness.run_scenario(
        scenario,
        fakecluster.Worker('w1', seconds=3),
        fakecluster.Worker('w2', seconds=3),
    )
