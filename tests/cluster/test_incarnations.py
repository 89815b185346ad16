"""Workers that restart under their IDs: no run is started beside another."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    fleet,
    interfaces,
    jobtable,
    workercontroller,
)
from tests import fakecluster, virtualtime
from tests.cluster import harness

TASK_S = 2.0


class _WorkerWithDelayedStarts(fakecluster.Worker):
    """Carries out lost starts just after the first status of a restart."""

    async def renew_leases(self, *args, **options):
        status = await super().renew_leases(*args, **options)
        if self.born > 1 and self.late_starts:
            self.apply_start(self.late_starts.pop())
        return status


async def _lead_with_one_usable_worker(cluster):
    """Start a term in which only w1 gets work; return the term and workers."""
    term = await cluster.start_term()
    await harness.wait_until(lambda: len(term.leader.controllers) == 2)
    first, second = cluster.workers.values()
    cluster.list_worker(second, interfaces.WorkerState.DRAINING)
    await asyncio.sleep(1)
    return term, first, second


async def _assert_completed_by(cluster, term, expected_starts):
    await harness.wait_until(
        lambda: harness.find_job_state(term, 'j') == 'completed'
    )
    starts = harness.find_starts(cluster, 'j')
    assert [(name, run) for name, _, run in starts] == expected_starts


def _run(scenario):
    harness.run_scenario(
        scenario,
        fakecluster.Worker('w1', seconds=TASK_S),
        fakecluster.Worker('w2', seconds=TASK_S),
    )


@pytest.mark.parametrize('silence_seconds', [0, 2.5])
@pytest.mark.parametrize('entry_delay', [0, 0.1, 0.9, 4])
def test_a_start_answered_by_a_new_incarnation_does_not_run_twice(
    entry_delay, silence_seconds
):
    """Guards against releasing it as a run of the incarnation before.

    The leader learns of the restart after the start, from the worker's entry
    or its status; with the entry the worker may fall silent. Seen in review/2
    and in the soak with seed 10.
    """

    async def scenario(cluster):
        term, first, second = await _lead_with_one_usable_worker(cluster)
        first.restarts_before_start = True
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.list_worker(second)
        await asyncio.sleep(entry_delay)
        cluster.list_worker(first)
        first.mute = True
        await asyncio.sleep(silence_seconds)
        first.mute = False
        await _assert_completed_by(cluster, term, [('w1', 1)])

    _run(scenario)


def test_a_delayed_start_after_the_first_status_of_an_incarnation_runs_once():
    """Guards against releasing a run that the new incarnation still accepts.

    A start is sent twice and answered by the incarnation before. The first
    copy reaches the new one between its first status, which does not list the
    run, and the renewal with the higher token.
    """

    async def scenario(cluster):
        term, first, second = await _lead_with_one_usable_worker(cluster)
        first.lose_starts = 1
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.list_worker(second)
        first.crash(restart=True)
        await _assert_completed_by(cluster, term, [('w1', 1), ('w1', 1)])

    harness.run_scenario(
        scenario,
        _WorkerWithDelayedStarts('w1', seconds=TASK_S),
        fakecluster.Worker('w2', seconds=TASK_S),
    )


@pytest.mark.parametrize('arrival_delay', [0, 0.5, 2.5])
def test_a_start_carried_out_after_a_restart_keeps_its_lease(arrival_delay):
    """Guards against releasing its run by the clock before the restart.

    A start reaches the new incarnation, which grants the longest lease, and
    the worker is silent from then on.
    """

    async def scenario(cluster):
        _, first, second = await _lead_with_one_usable_worker(cluster)
        first.seconds = 1_000
        first.lose_starts = 1
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: first.late_starts)
        cluster.list_worker(second)
        first.crash(restart=True)
        first.mute = True
        await asyncio.sleep(arrival_delay)
        first.apply_start(first.late_starts.pop())
        await harness.wait_until(lambda: second.started)
        first._end_due_runs()
        _, _, restarted_at = second.start_times[0]
        assert first.ended_at[first.started[0]] <= restarted_at

    _run(scenario)


class _RestartingCalls:
    """Calls to a worker that restarts during the first start.

    The start is fenced by the token of the new incarnation, or not answered.
    """

    def __init__(self, *, is_fenced):
        self.worker = None
        self.start_count = 0
        self.is_fenced = is_fenced

    async def start(self, order):
        self.start_count += 1
        self.worker.incarnation += 1
        self.worker.token += 1
        if self.is_fenced:
            return interfaces.OrderResult.FENCED
        raise errors.UnreachableError('no answer')


@pytest.mark.parametrize('is_fenced', [False, True])
def test_a_start_is_not_repeated_after_a_restart(is_fenced):
    """Guards against a second attempt that the new incarnation may carry out.

    It would have the new token, so the renewal that shuts out older orders
    lets it pass, and it may arrive after the list that releases the run. A
    first attempt that this token shuts out is no sign of another leader, which
    would end the term.
    """

    async def main():
        calls = _RestartingCalls(is_fenced=is_fenced)
        worker = fleet.Worker(fakecluster.Worker('w1').entry())
        worker.record_clock(1, clock.now(), clock.now())
        calls.worker = worker
        listener = mock.Mock()
        controller = workercontroller.WorkerController(
            worker, lambda name, address: calls, listener, 1, 6.0, 0
        )
        job_table = jobtable.JobTable()
        task = job_table.add(fakecluster.job('j')).groups[0, 0].tasks[0]
        job_table.assign_run(task, 'w1', worker.incarnation, 1)
        assert await controller.start_run(task, '') is None
        assert calls.start_count == 1

    virtualtime.run(main)


@pytest.mark.parametrize('is_entry_written', [True, False])
def test_a_restarted_worker_gets_work_once_its_entry_is_known(
    is_entry_written,
):
    """Guards against starts that the new incarnation may have no room for.

    A worker may return with other capacity and labels, which only its entry
    tells.
    """

    async def scenario(cluster):
        term, first, _ = await _lead_with_one_usable_worker(cluster)
        first.crash(restart=True)
        await harness.wait_until(
            lambda: term.leader.workers.workers['w1'].incarnation == first.born
        )
        if is_entry_written:
            cluster.list_worker(first)
        cluster.submit_job(fakecluster.job('j'))
        await asyncio.sleep(2)
        assert bool(harness.find_starts(cluster, 'j')) is is_entry_written

    _run(scenario)


@pytest.mark.parametrize('is_entry_stale', [True, False])
@pytest.mark.parametrize('is_restart_known', [True, False])
def test_a_new_leader_keeps_runs_whose_record_and_entry_differ(
    is_restart_known, is_entry_stale
):
    """Guards against trusting an entry that is older than a recorded run.

    A worker restarts and answers a start, then the leader is killed. The store
    may still have the entry of the incarnation before, and the record of the
    run names either incarnation. Seen in review/4.
    """

    async def scenario(cluster):
        term, first, second = await _lead_with_one_usable_worker(cluster)
        old_entry = cluster.store.data['servers/w1'].body
        if is_restart_known:
            first.crash(restart=True)
            cluster.list_worker(first)
            await harness.wait_until(
                lambda: term.leader.workers.workers['w1'].token > 64
            )
        else:
            first.restarts_before_start = True
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        await cluster.kill_leader()
        cluster.list_worker(first)
        if is_entry_stale:
            cluster.store.put('servers/w1', old_entry)
        cluster.list_worker(second)
        term = await cluster.start_term(2)
        await _assert_completed_by(cluster, term, [('w1', 1)])

    _run(scenario)
