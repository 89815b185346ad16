"""A worker restarts while cut off from the store; then the leader is killed."""

from __future__ import annotations

import asyncio
import signal

import harness

LONG = [{'count': 4, 'cpu': 8000, 'estimate_ms': 14_000}]
SHORT = [{'count': 4, 'cpu': 8000, 'estimate_ms': 2_000}]
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S  # of the entry of a worker that is silent


def find_worker(case: harness.Case, jobs: list[str]) -> object:
    """Return a worker all of whose runs are of the long jobs.

    The last one by name: of empty workers the scheduler takes the first.
    """
    for emulated in reversed(case.workers):
        runs = list(emulated.running)
        if len(runs) == 4 and all(run.split('.')[0] in jobs for run in runs):
            return emulated
    raise LookupError('no worker runs four long tasks')


async def cut_off(case: harness.Case, emulated: object) -> None:
    """Cut a worker off from the store for 5 s; it restarts meanwhile."""
    case.record(f'{emulated.name} is cut off from the store')
    await asyncio.sleep(0.5)
    emulated.crash()
    await asyncio.sleep(EXPIRY_S - 0.5)
    case.cluster.store.delete(f'servers/{emulated.name}')
    case.record(f'the store drops the entry of {emulated.name}')
    await asyncio.sleep(0.5)
    case.cluster.write_worker_entry(emulated)
    case.record(f'the cut ends; {emulated.name} is listed again')


async def play(case: harness.Case) -> list[str]:
    await case.start(hosts=8, workers=24, cpu=32_000)
    long_jobs, short_jobs = [], []
    for _ in range(12):
        job, is_accepted = await case.submit(LONG, '8000 14')
        if is_accepted:
            long_jobs.append(job)
        job, is_accepted = await case.submit(SHORT, '8000 2')
        if is_accepted:
            short_jobs.append(job)
    await asyncio.sleep(0.3)
    if harness.HAS_TROUBLE:
        emulated = find_worker(case, long_jobs)
        cut = asyncio.create_task(cut_off(case, emulated))
        await asyncio.sleep(2.0)
        leader = case.leader()
        case.record(f'SIGKILL to {leader.name}, the leader')
        await leader.stop(signal.SIGKILL)
        await asyncio.sleep(1)
        await leader.start()
        case.record(f'{leader.name} is started again')
        await cut
    await asyncio.sleep(30)
    for job in long_jobs + short_jobs:
        await case.find_state(job)
    return case.overlapping_runs()


harness.run(__file__, play)
