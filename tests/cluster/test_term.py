"""The leader: starts, ends, takeover, lost workers, cancels."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from jujubebend_cluster import (
    inbox,
    interfaces,
    jobrecords,
    jobspec,
    jobwriter,
    keys,
)
from tests import fakecell
from tests.cluster import celltest

DEMAND = jobspec.Demand(9_000, 1_000)


def test_a_job_of_dependent_steps_is_done_in_order():
    async def scenario(cell):
        made = await cell.lead()
        first = jobspec.Step(3, DEMAND, 1.0)
        second = jobspec.Step(2, DEMAND, 1.0, after=(0,))
        cell.submit(fakecell.job('j', first, second))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        steps = [task.step for _, task, _ in celltest.runs_of(cell, 'j')]
        assert sorted(steps) == [0, 0, 0, 1, 1]

    celltest.play(scenario)


def test_an_end_is_stored_before_it_is_acknowledged():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        cell.store.refuse = True
        await asyncio.sleep(3)
        assert all(one.seen == 0 for one in cell.workers.values())
        assert celltest.shown(made, 'j') != 'completed'
        cell.store.refuse = False
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        await celltest.until(
            lambda: any(one.seen == 1 for one in cell.workers.values())
        )

    celltest.play(scenario)


def test_leases_outlive_a_store_outage():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(1, DEMAND, 7.0)))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        cell.store.mute = True
        await asyncio.sleep(6.5)
        cell.store.mute = False
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        assert len(celltest.runs_of(cell, 'j')) == 1

    celltest.play(scenario, fakecell.Worker('w1', seconds=7.0))


def test_a_new_leader_adopts_what_runs():
    async def scenario(cell):
        await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(2, DEMAND, 4.0)))
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) == 2)
        await asyncio.sleep(0.5)
        await cell.kill()
        second = await cell.lead(epoch=2)
        await celltest.until(lambda: celltest.shown(second, 'j') == 'completed')
        assert len(celltest.runs_of(cell, 'j')) == 2

    workers = [fakecell.Worker(name, seconds=4.0) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)


def test_a_new_leader_keeps_committing_while_it_reads_many_jobs():
    async def scenario(cell):
        first = await cell.lead()
        for number in range(300):
            cell.submit(fakecell.job(f'j{number}', jobspec.Step(9, DEMAND)))
        await celltest.until(lambda: len(first.cell.book.jobs) == 300)
        await cell.kill()
        second = await cell.lead(epoch=2)
        with mock.patch.object(asyncio, 'sleep', wraps=asyncio.sleep) as sleep:
            await celltest.until(lambda: second.loaded)
        yields = sum(call.args == (0,) for call in sleep.call_args_list)
        assert yields >= 300 / inbox.LOAD_SLICE

    celltest.play(scenario)


def test_a_new_leader_knows_ended_jobs_without_reading_them_whole():
    async def scenario(cell):
        first = await cell.lead()
        cell.submit(fakecell.job('j'))
        cell.submit(fakecell.job('k'))
        cell.cancel('k')
        await celltest.until(lambda: celltest.shown(first, 'j') == 'completed')
        await celltest.until(lambda: not first.cell.book.live)
        await cell.kill()
        second = await cell.lead(epoch=2)
        await celltest.until(lambda: second.loaded)
        assert celltest.shown(second, 'j') == 'completed'
        assert celltest.shown(second, 'k') == 'cancelled'
        assert not second.cell.book.live
        assert not second.cell.book.jobs['j'].groups
        cell.submit(fakecell.job('j'))
        await asyncio.sleep(2)
        assert len(celltest.runs_of(cell, 'j')) == 1

    celltest.play(scenario)


def test_a_task_at_a_silent_worker_waits_for_every_lease_to_lapse():
    async def scenario(cell):
        await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(1, DEMAND, 30.0)))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        await asyncio.sleep(2)
        name = celltest.runs_of(cell, 'j')[0][0]
        silent = cell.workers[name]
        silent.mute = True
        cell.unlist(silent)
        await asyncio.sleep(4)
        assert len(celltest.runs_of(cell, 'j')) == 1
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) == 2)
        silent._settle()
        assert not silent.runs

    workers = [fakecell.Worker(name, seconds=30.0) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)


def test_a_refused_connection_is_no_proof_of_a_dead_worker():
    async def scenario(cell):
        await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(1, DEMAND, 30.0)))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        await asyncio.sleep(2)
        cut = cell.workers[celltest.runs_of(cell, 'j')[0][0]]
        cut.refuse = True
        await asyncio.sleep(4)
        assert cut.runs
        assert len(celltest.runs_of(cell, 'j')) == 1
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) == 2)

    workers = [fakecell.Worker(name, seconds=30.0) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)


def test_a_takeover_waits_longer_for_a_worker_it_never_reached():
    async def scenario(cell):
        await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(1, DEMAND, 60.0)))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        await asyncio.sleep(1)
        cell.workers[celltest.runs_of(cell, 'j')[0][0]].mute = True
        await cell.kill()
        await cell.lead(epoch=2)
        # The former leader may have held on for 8 s, and a lease lasts 6 s.
        await asyncio.sleep(13.5)
        assert len(celltest.runs_of(cell, 'j')) == 1
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) == 2)

    workers = [fakecell.Worker(name, seconds=60.0) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)


def test_a_start_whose_answer_is_lost_does_not_run_twice():
    async def scenario(cell):
        made = await cell.lead()
        for worker in cell.workers.values():
            worker.lose_starts = 1
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        for worker in cell.workers.values():
            for order in worker.late_starts:
                verdict = worker.take_start(order)
                assert verdict is not interfaces.OrderResult.ACCEPTED
        assert len(celltest.runs_of(cell, 'j')) == 1

    celltest.play(scenario)


def test_a_reborn_worker_releases_its_former_life():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(1, DEMAND, 3.0)))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        token = cell.workers['w1'].token
        cell.workers['w1'].crash(reborn=True)
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        assert [run for _, _, run in celltest.runs_of(cell, 'j')] == [1, 2]
        assert cell.workers['w1'].token > token

    celltest.play(scenario, fakecell.Worker('w1', seconds=3.0))


@pytest.mark.parametrize('seconds', [0.5, 5.0])
def test_a_cancelled_job_stops(seconds):
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(2, DEMAND, seconds)))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        cell.cancel('j')
        await celltest.until(lambda: celltest.shown(made, 'j') == 'cancelled')
        await asyncio.sleep(1)
        assert not any(worker.runs for worker in cell.workers.values())
        assert len(celltest.runs_of(cell, 'j')) == 2

    workers = [
        fakecell.Worker(name, seconds=seconds + 4) for name in ('w1', 'w2')
    ]
    celltest.play(scenario, *workers)


def test_a_task_that_always_fails_ends_its_job_after_its_attempts():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'failed')
        assert len(celltest.runs_of(cell, 'j')) == celltest.QUEUE.attempts

    workers = [fakecell.Worker(name, fails=True) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)


def test_a_worker_is_never_given_more_than_it_holds():
    async def scenario(cell):
        made = await cell.lead()
        for number in range(12):
            cell.submit(fakecell.job(f'j{number}', jobspec.Step(2, DEMAND, 1)))
        for _ in range(200):
            await asyncio.sleep(0.05)
            for worker in cell.workers.values():
                used = len(worker.runs) * DEMAND.cpu_milli
                assert used <= worker.cpu_milli
        assert not made.cell.book.live

    celltest.play(scenario)


def test_a_job_waits_until_a_worker_has_taken_a_start():
    async def scenario(cell):
        made = await cell.lead()
        for number in range(6):
            cell.submit(fakecell.job(f'j{number}'))
        await celltest.until(lambda: made.count_waiting('q') == 6)
        for worker in cell.workers.values():
            worker.refuse = True
        await asyncio.sleep(0.3)
        assert made.count_waiting('q') == 6
        for worker in cell.workers.values():
            worker.refuse = False
        await celltest.until(lambda: not made.count_waiting('q'))

    celltest.play(scenario)


def test_a_gang_starts_whole_with_one_run_number():
    async def scenario(cell):
        made = await cell.lead()
        gang = jobspec.Step(5, DEMAND, 1.0, gang=True)
        cell.submit(fakecell.job('j', gang))
        cell.submit(fakecell.job('k', gang))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        await celltest.until(lambda: celltest.shown(made, 'k') == 'completed')
        for name in ('j', 'k'):
            runs = celltest.runs_of(cell, name)
            assert len(runs) == 5
            assert {run for _, _, run in runs} == {1}

    celltest.play(scenario)


def test_a_run_that_stands_still_is_moved():
    async def scenario(cell):
        made = await cell.lead()
        cell.workers['w1'].stands_still = True
        cell.workers['w2'].stands_still = True
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        first = celltest.runs_of(cell, 'j')[0][0]
        other = next(name for name in cell.workers if name != first)
        cell.workers[other].stands_still = False
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')

    workers = [fakecell.Worker(f'w{number}') for number in range(1, 5)]
    celltest.play(scenario, *workers)


def test_a_run_beyond_its_declared_work_is_left_alone():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        assert len(celltest.runs_of(cell, 'j')) == 1

    worker = fakecell.Worker('w1', seconds=9.0, shows_whole=True)
    celltest.play(scenario, worker)


def test_nothing_starts_on_a_worker_that_drains():
    async def scenario(cell):
        made = await cell.lead()
        await asyncio.sleep(1)
        cell.list_worker(cell.workers['w1'], interfaces.WorkerState.DRAINING)
        await asyncio.sleep(0.5)
        for number in range(4):
            cell.submit(fakecell.job(f'j{number}'))
        await celltest.until(
            lambda: not made.cell.book.live and made.cell.book.jobs
        )
        assert not cell.workers['w1'].started

    celltest.play(scenario)


def test_a_timed_job_starts_no_occurrence_early():
    async def scenario(cell):
        made = await cell.lead()
        spec = fakecell.job('j', occurrences=3, first_due=1_005.0, interval=2.0)
        cell.submit(spec)
        loop = asyncio.get_running_loop()
        await celltest.until(lambda: celltest.runs_of(cell, 'j'))
        assert round(loop.time() - 1_005, 2) >= 0
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        assert round(loop.time() - 1_009, 2) >= 0
        assert len(celltest.runs_of(cell, 'j')) == 3

    celltest.play(scenario)


def test_a_lasting_job_is_restarted_until_it_is_cancelled():
    async def scenario(cell):
        made = await cell.lead()
        step = jobspec.Step(2, DEMAND, 1.0, lasting=True)
        cell.submit(fakecell.job('j', step))
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) >= 8)
        assert celltest.shown(made, 'j') == 'running'
        cell.cancel('j')
        await celltest.until(lambda: celltest.shown(made, 'j') == 'cancelled')
        await asyncio.sleep(1)
        count = len(celltest.runs_of(cell, 'j'))
        await asyncio.sleep(5)
        assert len(celltest.runs_of(cell, 'j')) == count

    workers = [fakecell.Worker(name, fails=True) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)


def test_the_inbox_is_read_again_after_its_history_was_dropped():
    async def scenario(cell):
        made = await cell.lead()
        await asyncio.sleep(1)
        cell.submit(fakecell.job('j'))
        cell.store.forget_history()
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')

    celltest.play(scenario)


def test_an_old_job_is_forgotten_after_callers_need_it():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        await asyncio.sleep(121)
        assert celltest.shown(made, 'j') == 'completed'
        await asyncio.sleep(60)
        assert celltest.shown(made, 'j') is None
        assert keys.progress('j') not in cell.store.data

    celltest.play(scenario)


def test_of_a_job_that_is_over_only_its_end_is_kept():
    async def scenario(cell):
        made = await cell.lead()
        spec = fakecell.job('j')
        cell.submit(spec)
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        await celltest.until(lambda: keys.job('j') not in cell.store.data)
        assert len(cell.store.data[keys.progress('j')].body) < 30
        # A copy of the submission that comes late is the same job.
        body = jobrecords.encode_job(spec)
        assert not await jobwriter.create_job(cell.store, 'j', body)
        await cell.kill()
        later = await cell.lead(2)
        await celltest.until(lambda: later.loaded)
        assert celltest.shown(later, 'j') == 'completed'
        await asyncio.sleep(3)
        assert len(celltest.runs_of(cell, 'j')) == 1

    celltest.play(scenario)


def test_a_cancelled_job_is_kept_until_its_tasks_are_gone():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(3, DEMAND, 5.0)))
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) == 3)
        for worker in cell.workers.values():
            worker.mute = True
        cell.cancel('j')
        await celltest.until(lambda: celltest.shown(made, 'j') == 'cancelled')
        assert keys.job('j') in cell.store.data
        for worker in cell.workers.values():
            worker.mute = False
        await celltest.until(lambda: keys.job('j') not in cell.store.data)
        assert celltest.shown(made, 'j') == 'cancelled'

    celltest.play(scenario)


def test_a_start_that_was_planned_for_a_former_run_is_not_sent():
    """Soak seed 10 with 8 faults: a worker was reborn during a commit.

    The start of the former run then took the next run, which was planned
    elsewhere, for its own, and gave it up.
    """

    async def scenario(cell):
        made = await cell.lead()
        await celltest.until(lambda: made.loaded)
        await asyncio.sleep(1)
        first, second = cell.workers.values()
        cell.list_worker(second, interfaces.WorkerState.DRAINING)
        await asyncio.sleep(0.5)
        cell.store.delay = 0.1
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: _runs(made) == [1])
        first.crash(reborn=True)
        made.cell.links['w1'].moved(first.entry())
        made.cell.links['w2'].moved(second.entry())
        made.cell.wake.set()
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        starts = celltest.runs_of(cell, 'j')
        assert [(name, run) for name, _, run in starts] == [('w2', 2)]

    celltest.play(scenario)


def _runs(made):
    job = made.cell.book.jobs.get('j')
    return [task.run for task in job.groups[0, 0].tasks] if job else []


def test_a_start_that_reaches_a_later_life_runs_nothing_twice():
    async def scenario(cell):
        made = await cell.lead()
        await celltest.until(lambda: made.loaded)
        await asyncio.sleep(1)
        first, second = cell.workers.values()
        cell.list_worker(second, interfaces.WorkerState.DRAINING)
        await asyncio.sleep(0.5)
        first.lose_starts = 1
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: first.late_starts)
        first.crash(reborn=True)
        cell.list_worker(second)
        made.cell.links['w2'].moved(second.entry())
        made.cell.links['w1'].moved(first.entry())
        first.take_start(first.late_starts[0])
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        starts = celltest.runs_of(cell, 'j')
        assert [(name, run) for name, _, run in starts] == [('w1', 1)]

    celltest.play(scenario)


def test_a_worker_that_left_is_dropped_and_taken_up_again():
    async def scenario(cell):
        made = await cell.lead()
        await celltest.until(lambda: len(made.cell.links) == 2)
        first, second = cell.workers.values()
        first.crash(reborn=True)
        cell.list_worker(first)
        await asyncio.sleep(2)
        before = first.token
        first.refuse = True
        cell.unlist(first)
        await celltest.until(lambda: 'w1' not in made.cell.links, 60)
        first.refuse = False
        second.refuse = True
        cell.list_worker(first)
        cell.submit(fakecell.job('j'))
        await celltest.until(lambda: celltest.shown(made, 'j') == 'completed')
        assert first.token == before
        assert not made.cell.ended.done()

    celltest.play(scenario)


def test_a_worker_without_an_entry_that_answers_is_kept():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecell.job('j', jobspec.Step(2, DEMAND, 60.0)))
        await celltest.until(lambda: len(celltest.runs_of(cell, 'j')) == 2)
        for worker in cell.workers.values():
            cell.unlist(worker)
        await asyncio.sleep(45)
        assert len(made.cell.links) == 2

    workers = [fakecell.Worker(name, seconds=60) for name in ('w1', 'w2')]
    celltest.play(scenario, *workers)
