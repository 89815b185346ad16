"""Workers that restart under their IDs: no run is started beside another."""

from __future__ import annotations

import asyncio
import math
from unittest import mock

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    fleet,
    interfaces,
    jobtable,
    progress,
    workercontroller,
)
from tests import fakecluster, virtualtime
from tests.cluster import harness

TASK_S = 2.0


class _WorkerOfFormerBuilds(fakecluster.Worker):
    """Carries out starts that were meant for the incarnation before.

    The orders of leaders of former builds reach whichever incarnation is there.
    """

    async def start(self, order):
        await self._simulate_call()
        if self.restarts_before_start:
            self.restarts_before_start = False
            self.crash(restart=True)
        return self.apply_start(attrs.evolve(order, incarnation=self.born))


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


def _run(scenario, worker_class=fakecluster.Worker):
    harness.run_scenario(
        scenario,
        worker_class('w1', seconds=TASK_S),
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

    _run(scenario, _WorkerOfFormerBuilds)


@pytest.mark.parametrize('stays_silent', [False, True])
@pytest.mark.parametrize('restart_delay', [0, 0.5, 2.5])
def test_a_start_that_is_lost_in_a_restart_is_started_once_elsewhere(
    restart_delay, stays_silent
):
    """Guards against a run that is taken for one of the new incarnation.

    The start is lost with its connection. The worker may stay silent, so that
    only the leases of the incarnation before tell that nothing runs there.
    """

    async def scenario(cluster):
        term, first, second = await _lead_with_one_usable_worker(cluster)
        first.lose_starts = workercontroller.MAX_START_ATTEMPTS
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: first.late_starts)
        await asyncio.sleep(restart_delay)
        cluster.list_worker(second)
        first.crash(restart=True)
        first.mute = stays_silent
        for order in first.late_starts:
            with pytest.raises(errors.UnreachableError):
                first.apply_start(order)
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert len(harness.find_starts(cluster, 'j')) == 1

    _run(scenario)


def test_runs_end_with_their_incarnation_however_late_its_restart_is_seen():
    """Guards against a run that stays assigned to an incarnation that is gone.

    The start was answered after the renewal whose status tells of the restart
    was sent.
    """

    async def scenario(cluster):
        term, first, second = await _lead_with_one_usable_worker(cluster)
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.list_worker(second)
        task = term.leader.job_table.jobs['j'].groups[0, 0].tasks[0]
        task.answered_at = math.inf
        first.crash(restart=True)
        await _assert_completed_by(cluster, term, [('w1', 1), ('w2', 2)])

    _run(scenario)


class _RestartingCalls:
    """Calls to a worker that restarts during the first start.

    The new incarnation answers instead, or nobody does.
    """

    def __init__(self, *, is_answered):
        self.worker = None
        self.start_count = 0
        self.is_answered = is_answered

    async def start(self, order):
        self.start_count += 1
        if self.is_answered:
            return interfaces.OrderResult.RESTARTED
        self.worker.incarnation += 1
        raise errors.UnreachableError('no answer')


@pytest.mark.parametrize('is_answered', [False, True])
def test_a_start_is_not_repeated_after_a_restart(is_answered):
    """Guards against calls that can reach no incarnation any more."""

    async def main():
        calls = _RestartingCalls(is_answered=is_answered)
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
        order_result = await controller.start_run(task, '')
        expected = interfaces.OrderResult.RESTARTED if is_answered else None
        assert order_result is expected
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
                lambda: (
                    term.leader.workers.workers['w1'].incarnation == first.born
                )
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

    _run(scenario, _WorkerOfFormerBuilds)


@pytest.mark.parametrize('seconds', [0.1, 1.5, 20])
def test_another_worker_at_the_address_of_a_wrong_entry_ends_no_run(seconds):
    """Guards against an answer at an address where the worker has never been.

    An entry of another writer names the address of another worker. The runs end
    with their leases, if the worker's own entry does not come back before.
    """

    async def scenario(cluster):
        term, first, second = await _lead_with_one_usable_worker(cluster)
        first.seconds = 5
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.list_worker(second)
        cluster.list_worker(first, address='w2')
        await asyncio.sleep(seconds)
        cluster.list_worker(first)
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        first._end_due_runs()
        for _, _, started_at in second.start_times:
            assert first.ended_at[first.started[0]] <= started_at
        assert len(harness.find_starts(cluster, 'j')) == 1 + (seconds > 6)

    _run(scenario)


def test_another_worker_at_the_address_of_a_worker_ends_its_runs_at_once():
    async def scenario(cluster):
        _, first, second = await _lead_with_one_usable_worker(cluster)
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.list_worker(second)
        first.crash(restart=True)
        first.refusal = interfaces.OrderResult.OTHER_WORKER
        await harness.wait_until(lambda: second.started, seconds=1.5)

    _run(scenario)


def test_runs_on_a_worker_that_refuses_renewals_end_with_their_leases():
    """Guards against a run that is never released, as each call is answered."""

    async def scenario(cluster):
        _, first, second = await _lead_with_one_usable_worker(cluster)
        first.seconds = 1_000
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.list_worker(second)
        first.refusal = interfaces.OrderResult.UNHEALTHY
        await harness.wait_until(lambda: second.started)
        first._end_due_runs()
        _, _, restarted_at = second.start_times[0]
        assert first.ended_at[first.started[0]] <= restarted_at

    _run(scenario)


@pytest.mark.parametrize(
    'refusal',
    [
        interfaces.OrderResult.OTHER_WORKER,
        interfaces.OrderResult.UNHEALTHY,
    ],
)
def test_a_stop_is_repeated_until_the_worker_itself_answers(refusal):
    """Guards against a start that arrives after another worker's answer."""

    async def main():
        fake_worker = fakecluster.Worker('w1', refusal=refusal)
        worker = fleet.Worker(fake_worker.entry())
        controller = workercontroller.WorkerController(
            worker, lambda name, address: fake_worker, mock.Mock(), 1, 6.0, 0
        )
        job_table = jobtable.JobTable()
        task = job_table.add(fakecluster.job('j')).groups[0, 0].tasks[0]
        job_table.assign_run(task, 'w1', worker.incarnation, 1)
        stopping = asyncio.create_task(controller.stop_run(task))
        await asyncio.sleep(1)
        assert task.answered_at is None
        fake_worker.refusal = None
        await stopping
        assert task.answered_at == clock.now()

    virtualtime.run(main)


def test_a_stop_reaches_the_incarnation_that_lists_the_run():
    """Guards against a cancelled task that works on after a refused stop.

    A leader of a former build started the run in an incarnation that the store
    does not name yet. The next leader's first stops are meant for the one that
    the entry names.
    """

    async def scenario(cluster):
        _, first, _ = await _lead_with_one_usable_worker(cluster)
        first.seconds = 60
        first.restarts_before_start = True
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        await cluster.kill_leader()
        first.silent_renewals = 2
        term = await cluster.start_term(2)
        await harness.wait_until(lambda: 'w1' in term.leader.controllers)
        cluster.cancel('j')
        await harness.wait_until(lambda: not first.runs, seconds=6)

    _run(scenario, _WorkerOfFormerBuilds)


def test_a_restarted_worker_gets_no_work_before_it_has_answered_a_renewal():
    """Guards against starts that the next incarnation refuses again and again.

    The renewal that was under way at the restart waits for its time-out.
    """

    async def scenario(cluster):
        term, first, _ = await _lead_with_one_usable_worker(cluster)
        first.silent_renewals = math.inf
        first.crash(restart=True)
        cluster.submit_job(fakecluster.job('j'))
        await asyncio.sleep(0.95 * fakecluster.CALL_TIMEOUT_S)
        task = term.leader.job_table.jobs['j'].groups[0, 0].tasks[0]
        assert task.run == 1
        assert task.state is progress.TaskState.WAITING

    _run(scenario)
