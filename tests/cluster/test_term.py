"""A leader's term: starts, ends, takeover, lost workers, cancellations."""

from __future__ import annotations

import asyncio
from unittest import mock

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import (
    committer,
    interfaces,
    jobrecords,
    jobspec,
    jobwriter,
    keys,
    submissions,
)
from tests import fakecluster
from tests.cluster import harness

DEMAND = jobspec.Demand(9_000, 1_000)


def test_dependent_steps_run_in_order():
    async def scenario(cluster):
        term = await cluster.start_term()
        first = jobspec.Step(3, DEMAND, 1.0)
        second = jobspec.Step(2, DEMAND, 1.0, after=(0,))
        cluster.submit_job(fakecluster.job('j', first, second))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        steps = [task.step for _, task, _ in harness.find_starts(cluster, 'j')]
        assert sorted(steps) == [0, 0, 0, 1, 1]

    harness.run_scenario(scenario)


def test_an_end_is_stored_before_it_is_acknowledged():
    """An acknowledged end that is not stored would be lost with the leader.

    The store refuses commits while the task ends.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.store.refuse = True
        await asyncio.sleep(3)
        assert all(
            worker.acknowledged == 0 for worker in cluster.workers.values()
        )
        assert harness.find_job_state(term, 'j') != 'completed'
        cluster.store.refuse = False
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        await harness.wait_until(
            lambda: any(
                worker.acknowledged == 1 for worker in cluster.workers.values()
            )
        )

    harness.run_scenario(scenario)


def test_leases_outlive_a_store_outage():
    """A leader without the store keeps renewing leases for several seconds."""

    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(1, DEMAND, 7.0)))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.store.mute = True
        await asyncio.sleep(6.5)
        cluster.store.mute = False
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert len(harness.find_starts(cluster, 'j')) == 1

    harness.run_scenario(scenario, fakecluster.Worker('w1', seconds=7.0))


def test_a_new_leader_adopts_running_tasks():
    async def scenario(cluster):
        await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(2, DEMAND, 4.0)))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 2
        )
        await asyncio.sleep(0.5)
        await cluster.kill_leader()
        second = await cluster.start_term(epoch=2)
        await harness.wait_until(
            lambda: harness.find_job_state(second, 'j') == 'completed'
        )
        assert len(harness.find_starts(cluster, 'j')) == 2

    workers = [fakecluster.Worker(name, seconds=4.0) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)


def test_orders_go_out_once_while_two_leaders_overlap():
    """The former leader is neither killed nor told that it was replaced."""

    async def scenario(cluster):
        former = await cluster.start_term()
        await harness.wait_until(lambda: former.is_loaded)
        names = [f'j{number}' for number in range(40)]
        for number, name in enumerate(names):
            if number == len(names) // 2:
                term = await cluster.start_term(2)
            cluster.submit_job(fakecluster.job(name, jobspec.Step(2, DEMAND)))
            await asyncio.sleep(0.05)
        await harness.wait_until(
            lambda: all(
                harness.find_job_state(term, name) == 'completed'
                for name in names
            )
        )
        for name in names:
            tasks = [task for _, task, _ in harness.find_starts(cluster, name)]
            assert len(tasks) == len(set(tasks)) == 2

    harness.run_scenario(scenario)


def test_a_new_leader_keeps_committing_while_it_loads_many_jobs():
    """Loading must not block the event loop.

    The committer could not run, and another host would take over.
    """

    async def scenario(cluster):
        first = await cluster.start_term()
        for number in range(300):
            cluster.submit_job(
                fakecluster.job(f'j{number}', jobspec.Step(9, DEMAND))
            )
        await harness.wait_until(
            lambda: len(first.leader.job_table.jobs) == 300
        )
        await cluster.kill_leader()
        second = await cluster.start_term(epoch=2)
        with mock.patch.object(asyncio, 'sleep', wraps=asyncio.sleep) as sleep:
            await harness.wait_until(lambda: second.is_loaded)
        yield_count = sum(call.args == (0,) for call in sleep.call_args_list)
        assert yield_count >= 300 / submissions.JOBS_PER_YIELD

    harness.run_scenario(scenario)


def test_a_new_leader_loads_only_the_state_of_ended_jobs():
    """A resubmitted job that has ended must not run again after a takeover."""

    async def scenario(cluster):
        first = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j'))
        cluster.submit_job(fakecluster.job('k'))
        cluster.cancel('k')
        await harness.wait_until(
            lambda: harness.find_job_state(first, 'j') == 'completed'
        )
        await harness.wait_until(lambda: not first.leader.job_table.live_jobs)
        await cluster.kill_leader()
        second = await cluster.start_term(epoch=2)
        await harness.wait_until(lambda: second.is_loaded)
        assert harness.find_job_state(second, 'j') == 'completed'
        assert harness.find_job_state(second, 'k') == 'cancelled'
        assert not second.leader.job_table.live_jobs
        assert not second.leader.job_table.jobs['j'].groups
        cluster.submit_job(fakecluster.job('j'))
        await asyncio.sleep(2)
        assert len(harness.find_starts(cluster, 'j')) == 1

    harness.run_scenario(scenario)


def test_a_task_of_an_unreachable_worker_restarts_after_its_lease_expired():
    """Restarted earlier, the task would run on two workers."""

    async def scenario(cluster):
        await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(1, DEMAND, 30.0)))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        await asyncio.sleep(2)
        name = harness.find_starts(cluster, 'j')[0][0]
        unreachable = cluster.workers[name]
        unreachable.mute = True
        cluster.unlist_worker(unreachable)
        await asyncio.sleep(4)
        assert len(harness.find_starts(cluster, 'j')) == 1
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 2
        )
        unreachable._end_due_runs()
        assert not unreachable.runs

    workers = [fakecluster.Worker(name, seconds=30.0) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)


@pytest.mark.parametrize('has_drained', [True, False])
def test_a_new_leader_uses_no_worker_that_has_left(has_drained):
    """The former leader used it; its entry went before or after the change."""

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        cluster.submit_job(fakecluster.job('first', jobspec.Step(8, DEMAND)))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'first') == 'completed'
        )
        leaver = cluster.workers['w1']
        assert leaver.started
        if has_drained:
            cluster.list_worker(leaver, interfaces.WorkerState.DRAINING)
            await asyncio.sleep(0.5)
        await cluster.kill_leader()
        cluster.unlist_worker(leaver)
        leaver.started.clear()
        term = await cluster.start_term(2)
        await harness.wait_until(lambda: term.is_loaded)
        cluster.submit_job(fakecluster.job('second', jobspec.Step(8, DEMAND)))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'second') == 'completed'
        )
        assert not leaver.started

    harness.run_scenario(scenario)


@pytest.mark.parametrize('silence_seconds', [1, 2, 3, 4])
def test_work_on_a_silent_worker_goes_on_where_it_is(silence_seconds):
    """Its calls are not answered, and its entry is gone for as long."""

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        for worker in cluster.workers.values():
            worker.seconds = 8.0
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        silent = cluster.workers[harness.find_starts(cluster, 'j')[0][0]]
        await asyncio.sleep(1)
        silent.mute = True
        cluster.unlist_worker(silent)
        await asyncio.sleep(silence_seconds)
        silent.mute = False
        cluster.list_worker(silent)
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert len(harness.find_starts(cluster, 'j')) == 1

    harness.run_scenario(scenario)


@pytest.mark.parametrize('answer_delay', [1, 2, 4])
def test_a_start_that_is_answered_late_runs_once(answer_delay):
    """The worker runs it at once; neither start nor status is answered."""

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        await asyncio.sleep(1)
        start = fakecluster.Worker.start

        async def lose_answer(worker, order):
            await start(worker, order)
            worker.mute = True
            raise errors.UnreachableError('no answer')

        with mock.patch.object(fakecluster.Worker, 'start', lose_answer):
            cluster.submit_job(fakecluster.job('j'))
            await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        await asyncio.sleep(answer_delay)
        for worker in cluster.workers.values():
            worker.mute = False
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert len(harness.find_starts(cluster, 'j')) == 1

    harness.run_scenario(scenario)


def test_a_refused_connection_is_no_proof_of_a_dead_worker():
    """The connection is refused while the worker still runs its task.

    A restart before the lease has expired would run the task twice.
    """

    async def scenario(cluster):
        await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(1, DEMAND, 30.0)))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        await asyncio.sleep(2)
        refusing = cluster.workers[harness.find_starts(cluster, 'j')[0][0]]
        refusing.refuse = True
        await asyncio.sleep(4)
        assert refusing.runs
        assert len(harness.find_starts(cluster, 'j')) == 1
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 2
        )

    workers = [fakecluster.Worker(name, seconds=30.0) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)


def test_a_new_leader_waits_for_leases_of_a_worker_it_never_reached():
    """The new leader does not know what leases the former one gave.

    It must wait for the last one that the former leader could have given.
    """

    async def scenario(cluster):
        await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(1, DEMAND, 60.0)))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        await asyncio.sleep(1)
        cluster.workers[harness.find_starts(cluster, 'j')[0][0]].mute = True
        await cluster.kill_leader()
        await cluster.start_term(epoch=2)
        # A leader cut off from the store renews leases for up to 8 s, and a
        # lease lasts 6 s.
        await asyncio.sleep(13.5)
        assert len(harness.find_starts(cluster, 'j')) == 1
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 2
        )

    workers = [fakecluster.Worker(name, seconds=60.0) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)


def test_a_start_whose_answer_is_lost_does_not_run_twice():
    """The start is retried or withdrawn, then the lost one arrives late.

    The worker must refuse it.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        for worker in cluster.workers.values():
            worker.lose_starts = 1
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        for worker in cluster.workers.values():
            for order in worker.late_starts:
                order_result = worker.apply_start(order)
                assert order_result is not interfaces.OrderResult.ACCEPTED
        assert len(harness.find_starts(cluster, 'j')) == 1

    harness.run_scenario(scenario)


def test_runs_of_an_earlier_incarnation_are_released():
    """A restarted worker has lost its runs and gets orders of its own."""

    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(1, DEMAND, 3.0)))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.workers['w1'].crash(restart=True)
        cluster.list_worker(cluster.workers['w1'])
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert [run for _, _, run in harness.find_starts(cluster, 'j')] == [
            1,
            2,
        ]

    harness.run_scenario(scenario, fakecluster.Worker('w1', seconds=3.0))


@pytest.mark.parametrize('seconds', [0.5, 5.0])
def test_a_cancelled_job_is_stopped(seconds):
    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(
            fakecluster.job('j', jobspec.Step(2, DEMAND, seconds))
        )
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        cluster.cancel('j')
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'cancelled'
        )
        await asyncio.sleep(1)
        assert not any(worker.runs for worker in cluster.workers.values())
        assert len(harness.find_starts(cluster, 'j')) == 2

    workers = [
        fakecluster.Worker(name, seconds=seconds + 4) for name in ('w1', 'w2')
    ]
    harness.run_scenario(scenario, *workers)


def test_a_job_fails_after_the_attempts_of_its_queue():
    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'failed'
        )
        assert len(harness.find_starts(cluster, 'j')) == harness.QUEUE.attempts

    workers = [fakecluster.Worker(name, fails=True) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)


def test_a_worker_is_never_overcommitted():
    async def scenario(cluster):
        term = await cluster.start_term()
        for number in range(12):
            cluster.submit_job(
                fakecluster.job(f'j{number}', jobspec.Step(2, DEMAND, 1))
            )
        for _ in range(200):
            await asyncio.sleep(0.05)
            for worker in cluster.workers.values():
                used = len(worker.runs) * DEMAND.cpu_milli
                assert used <= worker.cpu_milli
        assert not term.leader.job_table.live_jobs

    harness.run_scenario(scenario)


def test_a_job_counts_as_waiting_until_a_start_is_accepted():
    async def scenario(cluster):
        term = await cluster.start_term()
        for number in range(6):
            cluster.submit_job(fakecluster.job(f'j{number}'))
        await harness.wait_until(lambda: term.count_waiting_jobs('q') == 6)
        for worker in cluster.workers.values():
            worker.refuse = True
        await asyncio.sleep(0.3)
        assert term.count_waiting_jobs('q') == 6
        for worker in cluster.workers.values():
            worker.refuse = False
        await harness.wait_until(lambda: not term.count_waiting_jobs('q'))

    harness.run_scenario(scenario)


def test_all_members_of_a_gang_start_with_one_run_number():
    async def scenario(cluster):
        term = await cluster.start_term()
        gang = jobspec.Step(5, DEMAND, 1.0, gang=True)
        cluster.submit_job(fakecluster.job('j', gang))
        cluster.submit_job(fakecluster.job('k', gang))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'k') == 'completed'
        )
        for name in ('j', 'k'):
            runs = harness.find_starts(cluster, name)
            assert len(runs) == 5
            assert {run for _, _, run in runs} == {1}

    harness.run_scenario(scenario)


def test_a_stalled_run_is_restarted_on_another_worker():
    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.workers['w1'].is_stalled = True
        cluster.workers['w2'].is_stalled = True
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        first = harness.find_starts(cluster, 'j')[0][0]
        other = next(name for name in cluster.workers if name != first)
        cluster.workers[other].is_stalled = False
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )

    workers = [fakecluster.Worker(f'w{number}') for number in range(1, 5)]
    harness.run_scenario(scenario, *workers)


def test_a_run_beyond_its_estimate_is_not_stopped():
    """Such a run reports 100 percent until it ends.

    It must not count as stalled.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert len(harness.find_starts(cluster, 'j')) == 1

    worker = fakecluster.Worker('w1', seconds=9.0, reports_full_progress=True)
    harness.run_scenario(scenario, worker)


def test_no_task_starts_on_a_draining_worker():
    async def scenario(cluster):
        term = await cluster.start_term()
        await asyncio.sleep(1)
        cluster.list_worker(
            cluster.workers['w1'], interfaces.WorkerState.DRAINING
        )
        await asyncio.sleep(0.5)
        for number in range(4):
            cluster.submit_job(fakecluster.job(f'j{number}'))
        await harness.wait_until(
            lambda: (
                not term.leader.job_table.live_jobs
                and term.leader.job_table.jobs
            )
        )
        assert not cluster.workers['w1'].started

    harness.run_scenario(scenario)


def test_no_occurrence_of_a_recurring_job_starts_early():
    async def scenario(cluster):
        term = await cluster.start_term()
        spec = fakecluster.job(
            'j', occurrences=3, first_due=1_005.0, interval=2.0
        )
        cluster.submit_job(spec)
        loop = asyncio.get_running_loop()
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
        assert round(loop.time() - 1_005, 2) >= 0
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert round(loop.time() - 1_009, 2) >= 0
        assert len(harness.find_starts(cluster, 'j')) == 3

    harness.run_scenario(scenario)


def test_a_lasting_job_is_restarted_until_it_is_cancelled():
    async def scenario(cluster):
        term = await cluster.start_term()
        step = jobspec.Step(2, DEMAND, 1.0, lasting=True)
        cluster.submit_job(fakecluster.job('j', step))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) >= 8
        )
        assert harness.find_job_state(term, 'j') == 'running'
        cluster.cancel('j')
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'cancelled'
        )
        await asyncio.sleep(1)
        count = len(harness.find_starts(cluster, 'j'))
        await asyncio.sleep(5)
        assert len(harness.find_starts(cluster, 'j')) == count

    workers = [fakecluster.Worker(name, fails=True) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)


def test_a_cancellation_between_two_leaders_stops_the_lasting_runs():
    """The new leader reads the cancellation before it knows any worker."""

    async def scenario(cluster):
        await cluster.start_term(1)
        step = jobspec.Step(2, jobspec.Demand(1_000, 10), lasting=True)
        cluster.submit_job(fakecluster.job('j', step))
        workers = cluster.workers.values()
        await harness.wait_until(
            lambda: sum(len(worker.runs) for worker in workers) == 2
        )
        await cluster.kill_leader()
        cluster.cancel('j')
        await cluster.start_term(2)
        await harness.wait_until(
            lambda: not any(worker.runs for worker in workers), 3
        )
        assert len(harness.find_starts(cluster, 'j')) == 2

    harness.run_scenario(
        scenario,
        fakecluster.Worker('w1', seconds=100),
        fakecluster.Worker('w2', seconds=100),
    )


def test_submissions_are_listed_again_after_the_history_was_compacted():
    """The watch cannot resume, so a job submitted meanwhile could be missed."""

    async def scenario(cluster):
        term = await cluster.start_term()
        await asyncio.sleep(1)
        cluster.submit_job(fakecluster.job('j'))
        cluster.store.compact_history()
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )

    harness.run_scenario(scenario)


def test_an_ended_job_is_forgotten_after_the_retention_period():
    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        await asyncio.sleep(121)
        assert harness.find_job_state(term, 'j') == 'completed'
        await asyncio.sleep(60)
        assert harness.find_job_state(term, 'j') is None
        assert keys.progress('j') not in cluster.store.data

    harness.run_scenario(scenario)


def test_only_the_final_state_of_an_ended_job_stays_stored():
    async def scenario(cluster):
        term = await cluster.start_term()
        spec = fakecluster.job('j')
        cluster.submit_job(spec)
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        await harness.wait_until(
            lambda: keys.job('j') not in cluster.store.data
        )
        assert len(cluster.store.data[keys.progress('j')].body) < 30
        # A late duplicate of the submission must not create the job again.
        body = jobrecords.encode_job(spec)
        assert not await jobwriter.create_job(cluster.store, 'j', body)
        await cluster.kill_leader()
        second = await cluster.start_term(2)
        await harness.wait_until(lambda: second.is_loaded)
        assert harness.find_job_state(second, 'j') == 'completed'
        await asyncio.sleep(3)
        assert len(harness.find_starts(cluster, 'j')) == 1

    harness.run_scenario(scenario)


def test_a_cancelled_job_stays_stored_until_its_tasks_have_ended():
    """A new leader would not know the job's runs without its record.

    The workers are unreachable when the job is cancelled.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(3, DEMAND, 5.0)))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 3
        )
        for worker in cluster.workers.values():
            worker.mute = True
        cluster.cancel('j')
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'cancelled'
        )
        assert keys.job('j') in cluster.store.data
        for worker in cluster.workers.values():
            worker.mute = False
        await harness.wait_until(
            lambda: keys.job('j') not in cluster.store.data
        )
        assert harness.find_job_state(term, 'j') == 'cancelled'

    harness.run_scenario(scenario)


def test_a_start_planned_for_an_earlier_run_is_not_sent():
    """A worker restarts during the commit that precedes a start.

    Its run is released and another one planned on a second worker. The start
    of the earlier run then took the new run for its own and released it. Seen
    in the soak test with seed 10 and 8 faults.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        await asyncio.sleep(1)
        first, second = cluster.workers.values()
        cluster.list_worker(second, interfaces.WorkerState.DRAINING)
        await asyncio.sleep(0.5)
        cluster.store.delay = 0.1
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: _run_numbers(term) == [1])
        first.crash(restart=True)
        term.leader.controllers['w1'].update_entry(first.entry())
        term.leader.controllers['w2'].update_entry(second.entry())
        term.leader.wake_event.set()
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        starts = harness.find_starts(cluster, 'j')
        assert [(name, run) for name, _, run in starts] == [('w2', 2)]

    harness.run_scenario(scenario)


def _run_numbers(term):
    job = term.leader.job_table.jobs.get('j')
    return [task.run for task in job.groups[0, 0].tasks] if job else []


def test_a_leader_that_was_paused_before_a_start_does_not_send_it():
    """Its process stops between the commit and the start, for 12 s.

    Another host may lead by then, and have waited for the leases of a worker
    that only this leader reaches. So the permission to send orders is checked
    where they leave.
    """
    sent = []
    pauses = [12]

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        await asyncio.sleep(1)
        flush, start = committer.Committer.flush, fakecluster.Worker.start

        async def flush_and_pause(commits):
            await flush(commits)
            if pauses and _run_numbers(term) == [1]:
                asyncio.get_running_loop().clock.now += pauses.pop()

        async def record_start(worker, order):
            sent.append(order)
            return await start(worker, order)

        with (
            mock.patch.object(committer.Committer, 'flush', flush_and_pause),
            mock.patch.object(fakecluster.Worker, 'start', record_start),
        ):
            cluster.submit_job(fakecluster.job('j'))
            await harness.wait_until(lambda: not pauses)
            await asyncio.sleep(1)
            assert not sent
            term = await cluster.start_term(2)
            await harness.wait_until(
                lambda: harness.find_job_state(term, 'j') == 'completed'
            )

    harness.run_scenario(scenario)


def test_a_start_that_reaches_a_new_incarnation_runs_nothing_twice():
    """A worker restarts before it answered a start, which then arrives late.

    The new incarnation accepts it, as it does those of leaders of former builds.
    The leader must adopt that run and not start another.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        await asyncio.sleep(1)
        first, second = cluster.workers.values()
        cluster.list_worker(second, interfaces.WorkerState.DRAINING)
        await asyncio.sleep(0.5)
        first.lose_starts = 1
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(lambda: first.late_starts)
        first.crash(restart=True)
        cluster.list_worker(second)
        term.leader.controllers['w2'].update_entry(second.entry())
        term.leader.controllers['w1'].update_entry(first.entry())
        order = attrs.evolve(first.late_starts[0], incarnation=first.born)
        first.apply_start(order)
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        starts = harness.find_starts(cluster, 'j')
        assert [(name, run) for name, _, run in starts] == [('w1', 1)]

    harness.run_scenario(scenario)


def test_a_worker_that_returns_after_its_removal_is_used_again():
    """Its last token must be kept.

    With a lower one the worker would answer as fenced and end the term.
    """

    async def scenario(cluster):
        term = await cluster.start_term()
        await harness.wait_until(lambda: len(term.leader.controllers) == 2)
        first, second = cluster.workers.values()
        first.crash(restart=True)
        cluster.list_worker(first)
        await asyncio.sleep(2)
        old_token = first.token
        first.refuse = True
        cluster.unlist_worker(first)
        await harness.wait_until(
            lambda: 'w1' not in term.leader.controllers, 60
        )
        first.refuse = False
        second.refuse = True
        cluster.list_worker(first)
        cluster.submit_job(fakecluster.job('j'))
        await harness.wait_until(
            lambda: harness.find_job_state(term, 'j') == 'completed'
        )
        assert first.token == old_token
        assert not term.leader.ended.done()

    harness.run_scenario(scenario)


def test_an_unlisted_worker_that_answers_is_not_removed():
    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(2, DEMAND, 60.0)))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 2
        )
        for worker in cluster.workers.values():
            cluster.unlist_worker(worker)
        await asyncio.sleep(45)
        assert len(term.leader.controllers) == 2

    workers = [fakecluster.Worker(name, seconds=60) for name in ('w1', 'w2')]
    harness.run_scenario(scenario, *workers)
