"""Real daemons, and workers that restart or fall silent."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend import errors
from jujubebend_adapter import workers
from jujubebend_cluster import interfaces
from jujubebend_standin.emulator import checks, localcluster, worker
from tests.emulator import harness

TIME_LIMIT_S = 40
EARLIER_TASKS = 4
TASKS = 2
TASK_S = 0.3
LARGE_JOBS = 6
LARGE_JOB_TASKS = 100
LONG_TASK_S = 3.0
SILENCE_S = 3.5  # shorter than a lease


def test_a_request_to_a_crashed_worker_does_not_reach_its_next_incarnation(
    tmp_path, monkeypatch
):
    """Guards against emulated crashes that leave requests to be carried out.

    A process loses what it has received. An acknowledgement that the emulator
    kept made the soak find a task that ran twice, with seed 703.
    """
    monkeypatch.setattr(worker, 'HANG_SECONDS', 0.3)

    async def main():
        cluster = localcluster.LocalCluster(tmp_path)
        emulated_worker = await cluster._add_worker(8_000)
        emulated_worker.faults.silent = True
        client = workers.Worker(
            emulated_worker.name, cluster._addresses[emulated_worker.name]
        )
        renewal = interfaces.Renewal(7, emulated_worker.incarnation)
        call = asyncio.create_task(client.renew_leases(renewal))
        await asyncio.sleep(0.1)
        await cluster.crash_worker(emulated_worker)
        emulated_worker.faults = worker.WorkerFaults()
        await asyncio.sleep(0.5)
        assert not emulated_worker.fencing_token
        with pytest.raises(errors.UnreachableError):
            await call
        await cluster.stop()

    asyncio.run(main())


async def _wait_until_started(emulated_worker, count):
    while len(emulated_worker.runs) < count:
        await asyncio.sleep(0.01)


async def _restart_hosts(cluster):
    for host in cluster.hosts:
        await host.stop()
        await host.start()


@pytest.mark.parametrize('cores', [1, 0.01])
def test_ends_of_a_restarted_worker_are_read_before_they_are_acknowledged(
    tmp_path, cores
):
    """Guards against acknowledging them by numbers of the incarnation before.

    A worker restarts while a lease renewal waits for its answer, and runs further
    tasks. It must not discard the ends unread, or the tasks run again. A leader
    with little processor time calls the worker through a relay. Seen in review/7.
    """

    async def main():
        async with (
            asyncio.timeout(TIME_LIMIT_S),
            harness.run_cluster(tmp_path, 2, 1, cores) as (cluster, load),
        ):
            await load.submit_job(EARLIER_TASKS, 1_000, 0.1)
            await load.wait_until_ended()
            emulated_worker = cluster.workers[0]
            await cluster.crash_worker(emulated_worker)
            cluster.write_worker_entry(emulated_worker)
            await load.submit_job(TASKS, 1_000, TASK_S)
            await _wait_until_started(emulated_worker, EARLIER_TASKS + TASKS)
            await load.wait_until_ended()
            assert len(emulated_worker.runs) == EARLIER_TASKS + TASKS
            assert not checks.find_violations(cluster, load)

    asyncio.run(main())


@pytest.mark.parametrize('is_leader_replaced', [False, True])
def test_tasks_whose_ends_do_not_fit_into_one_answer_do_not_run_twice(
    tmp_path, is_leader_replaced
):
    """Guards against taking a run for over whose end an answer leaves out.

    A worker is silent while more of its tasks end than one answer lists. The
    answer that follows is for this leader or for the next. Seen in review/6.
    """

    async def main():
        async with (
            asyncio.timeout(TIME_LIMIT_S),
            harness.run_cluster(tmp_path, 2, 1) as (cluster, load),
        ):
            for _ in range(LARGE_JOBS):
                await load.submit_job(LARGE_JOB_TASKS, 10, LONG_TASK_S)
            emulated_worker = cluster.workers[0]
            count = LARGE_JOBS * LARGE_JOB_TASKS
            await _wait_until_started(emulated_worker, count)
            assert len(emulated_worker.running) > worker.MAX_LISTED_ENDS
            emulated_worker.faults.silent = True
            if is_leader_replaced:
                await _restart_hosts(cluster)
            await asyncio.sleep(SILENCE_S)
            emulated_worker.faults = worker.WorkerFaults()
            await load.wait_until_ended()
            assert len(emulated_worker.runs) == count
            assert not checks.find_violations(cluster, load)

    asyncio.run(main())
