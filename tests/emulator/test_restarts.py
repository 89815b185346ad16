"""Real daemons, and workers that restart under their IDs."""

from __future__ import annotations

import asyncio
import random

import pytest

from jujubebend_standin.emulator import checks, loadgenerator, localcluster

EARLIER_TASKS = 4
TASKS = 2
TASK_S = 0.3
TIME_LIMIT_S = 30


async def _wait_until_started(emulated_worker, count):
    while len(emulated_worker.runs) < count:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('cores', [1, 0.01])
def test_ends_of_a_restarted_worker_are_read_before_they_are_acknowledged(
    tmp_path, cores
):
    """Guards against acknowledging them by numbers of the incarnation before.

    A worker restarts while a lease renewal waits for its answer, and carries
    out a repeated start before the renewal times out. It must not discard the
    ends unread, or the tasks run again. A leader with little processor time
    calls the worker through a relay. Seen in review/7.
    """

    async def main():
        limits = localcluster.HostLimits(cores)
        cluster = localcluster.LocalCluster(tmp_path, host_limits=(limits,))
        load = loadgenerator.LoadGenerator(cluster, random.Random(1))
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await cluster.start(2, 1, 8_000)
                await load.submit_job(EARLIER_TASKS, 1_000, 0.1)
                await load.wait_until_ended()
                worker = cluster.workers[0]
                cluster.crash_worker(worker)
                await load.submit_job(TASKS, 1_000, TASK_S)
                await _wait_until_started(worker, EARLIER_TASKS + TASKS)
                cluster.write_worker_entry(worker)
                await load.wait_until_ended()
            assert len(worker.runs) == EARLIER_TASKS + TASKS
            assert not checks.find_violations(cluster, load)
        finally:
            await load.close_connections()
            await cluster.stop()

    asyncio.run(main())
