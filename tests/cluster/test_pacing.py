"""Fillers beside serving tasks: where they go and how fast they run."""

from __future__ import annotations

import asyncio
import functools

import attrs

from jujubebend_cluster import fleet, jobspec, jobtable, pacing
from tests import fakecluster
from tests.cluster import harness

TARGET = 0.2
CORES = jobspec.Demand(4000, 100)
SERVING = jobspec.Step(1, CORES, 1.0, lasting=True, latency_target=TARGET)
FILLER = jobspec.Step(1, CORES, 20.0, filler=True)


def _pace_of(worker, name):
    paces = [
        percent
        for task, percent in worker.pace_orders.items()
        if task.job == name
    ]
    return paces[-1] if paces else 100


def _disturbed(worker):
    """Return a tail that only fillers at over a quarter push too high."""
    fills = any(task.job == 'fill' for task in worker.runs)
    return 0.05 + 0.01 * _pace_of(worker, 'fill') * fills


async def _begin(cell, *specs):
    await cell.start_term()
    for spec in specs:
        cell.submit(spec)
        await harness.wait_until(
            functools.partial(harness.find_starts, cell, spec.job)
        )


def _serving_and_filler():
    return fakecluster.job('serve', SERVING), fakecluster.job('fill', FILLER)


def test_a_filler_is_slowed_until_the_serving_task_meets_its_target():
    worker = fakecluster.Worker('w1', seconds=60, tail_latency_s=_disturbed)

    async def scenario(cell):
        await _begin(cell, *_serving_and_filler())
        await asyncio.sleep(3)
        assert _disturbed(worker) < TARGET
        # The pace rises again, and never so far that the target is missed
        # for as long as the users bear it.
        missed = 0
        for _ in range(200):
            await asyncio.sleep(0.1)
            missed = missed + 1 if _disturbed(worker) > TARGET else 0
            assert missed < 35

    harness.run_scenario(scenario, worker)


def test_a_filler_runs_whole_again_once_nothing_serves_beside_it():
    worker = fakecluster.Worker('w1', seconds=60, tail_latency_s=_disturbed)

    async def scenario(cell):
        await _begin(cell, *_serving_and_filler())
        await harness.wait_until(lambda: _pace_of(worker, 'fill') < 100)
        cell.cancel('serve')
        await harness.wait_until(lambda: _pace_of(worker, 'fill') == 100)

    harness.run_scenario(scenario, worker)


def test_a_pace_whose_answer_was_lost_is_ordered_again():
    worker = fakecluster.Worker(
        'w1', seconds=60, tail_latency_s=_disturbed, lose_paces=2
    )

    async def scenario(cell):
        await _begin(cell, *_serving_and_filler())
        await harness.wait_until(lambda: _disturbed(worker) < TARGET)

    harness.run_scenario(scenario, worker)


def test_a_later_leader_paces_what_it_finds():
    worker = fakecluster.Worker('w1', seconds=60, tail_latency_s=_disturbed)

    async def scenario(cell):
        await _begin(cell, *_serving_and_filler())
        await harness.wait_until(lambda: _disturbed(worker) < TARGET)
        await cell.kill()
        worker.pace_orders.clear()
        await cell.start_term(2)
        await harness.wait_until(lambda: _disturbed(worker) < TARGET)

    harness.run_scenario(scenario, worker)


def test_a_filler_prefers_a_worker_where_nothing_serves():
    workers = [fakecluster.Worker(f'w{at}', seconds=60) for at in range(3)]

    async def scenario(cell):
        await _begin(cell, *_serving_and_filler())
        (serving, *_), (filling, *_) = (
            harness.find_starts(cell, name)[0] for name in ('serve', 'fill')
        )
        assert serving != filling

    harness.run_scenario(scenario, *workers)


def test_a_filler_that_gets_nothing_is_not_taken_to_stand_still():
    worker = fakecluster.Worker('w1', seconds=60, is_stalled=True)

    async def scenario(cell):
        await _begin(cell, fakecluster.job('fill', FILLER))
        await asyncio.sleep(8)
        assert len(harness.find_starts(cell, 'fill')) == 1

    harness.run_scenario(scenario, worker)


def test_fillers_use_no_more_than_a_whole_worker():
    worker = fleet.Worker(fakecluster.Worker('w1', cpu_milli=8_000).entry())
    filler = attrs.evolve(FILLER, tasks=3)
    group = (
        jobtable.JobTable().add(fakecluster.job('fill', filler)).groups[0, 0]
    )
    worker.allocate(group.tasks[0])
    assert worker.used_cpu == 0
    assert worker.count_fitting(CORES, 3, filler=True) == 1
    assert worker.count_fitting(CORES, 3) == 2


def test_strain_is_that_of_the_worst_serving_task():
    steps = (SERVING, attrs.evolve(SERVING, latency_target=TARGET * 2), FILLER)
    groups = (
        jobtable.JobTable().add(fakecluster.job('j', *steps)).groups.values()
    )
    tasks = [group.tasks[0] for group in groups]
    assert pacing.strain(tasks[-1:]) is None
    for task in tasks:
        task.tail_latency_s = TARGET / 2
    assert round(pacing.strain(tasks) * 4) == 2
