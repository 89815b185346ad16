"""Workers that are withdrawn while the leader changes."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend_cluster import clock, interfaces, jobspec
from tests import fakecluster
from tests.cluster import harness

# A start that was on its way when the worker's entry changed.
GRACE_S = 0.1
# Before and after the leader has read the change and placed work elsewhere.
DELAYS_S = (0, 0.003, 0.006, 0.02, 0.1, 0.7)


def _drain(cluster, worker):
    cluster.list_worker(worker, interfaces.WorkerState.DRAINING)


def _unlist(cluster, worker):
    cluster.unlist_worker(worker)


@pytest.mark.parametrize('withdraw', [_drain, _unlist])
@pytest.mark.parametrize('delay', DELAYS_S)
def test_a_withdrawn_worker_gets_no_starts_when_the_leader_restarts(
    delay, withdraw
):
    """It goes on answering, as a worker that drains does."""

    async def scenario(cluster):
        await cluster.start_term(1)
        step = jobspec.Step(40, jobspec.Demand(16_000, 10), 1.0)
        cluster.submit_job(fakecluster.job('j', step))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) > 4
        )
        first = cluster.workers['w1']
        withdraw(cluster, first)
        withdrawn_at = clock.now()
        await asyncio.sleep(delay)
        await cluster.kill_leader()
        second = await cluster.start_term(2)
        await harness.wait_until(
            lambda: harness.find_job_state(second, 'j') == 'completed', 60
        )
        late_starts = [
            task
            for task, _, started_at in first.start_times
            if started_at > withdrawn_at + GRACE_S
        ]
        assert not late_starts

    harness.run_scenario(scenario)


@pytest.mark.parametrize(
    'exc', [OverflowError('port'), ValueError('ID'), RecursionError('depth')]
)
def test_an_error_in_calls_to_one_worker_does_not_stop_the_others(exc):
    """Guards against one entry of another writer that ends every term.

    No call to the worker that it names can be made, and the errors are none
    that calls may raise. Seen in review/1.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: len(term.leader.controllers) == 2)
        unusable = fakecluster.Worker('w3')
        cluster.list_worker(unusable)
        unusable.call_error = exc
        await asyncio.sleep(1)
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert not term.leader.ended.done()

    harness.run_scenario(scenario)
