"""Workers crash, one after the other, and start again under their IDs."""

from __future__ import annotations

import asyncio
import json
import pathlib

import standin

WORKERS = 8
JOBS = 520
JOB_INTERVAL_S = 0.05
TASK_MS = 400
DOWN_S = 0.3
CRASH_INTERVAL_S = 2.8
FIRST_CRASH_S = 3.0


async def run(deployment: standin.Deployment, trouble: bool) -> list[str]:
    """Submit short jobs while the workers crash in turn."""
    checks = standin.route(
        'checks', priority=0, target_latency_ms=250, slack_factor=1.5
    )
    await deployment.start(standin.desired_state(1, checks), [{}] * WORKERS)
    crashes = asyncio.create_task(
        crash_in_turn(deployment) if trouble else asyncio.sleep(0)
    )
    submissions = []
    for number in range(JOBS):
        submissions.append(asyncio.create_task(submit(deployment, number)))
        await asyncio.sleep(JOB_INTERVAL_S)
    await asyncio.gather(crashes, *submissions)
    await asyncio.sleep(8)
    return standin.find_doubled_tasks(deployment.all_runs())


async def submit(deployment: standin.Deployment, number: int) -> None:
    """Submit one job of two tasks."""
    step = {
        'count': 2,
        'cpu': 2800,
        'mem_mb': 100,
        'estimate_ms': TASK_MS,
    }
    spec = json.dumps({'ms': TASK_MS, 'cpu': 2800})
    job = {'spec': spec, 'steps': [step]}
    if not await deployment.submit('/checks/', f'{number + 1:016x}', job):
        raise standin.CaseError('a job was not accepted')


async def crash_in_turn(deployment: standin.Deployment) -> None:
    """Crash each worker once; one is down at a time."""
    await asyncio.sleep(FIRST_CRASH_S)
    for worker in deployment.workers:
        worker.crash()
        await asyncio.sleep(DOWN_S)
        worker.boot()
        worker.link.restore_power()
        await asyncio.sleep(CRASH_INTERVAL_S - DOWN_S)


if __name__ == '__main__':
    standin.run_case(run, pathlib.Path(__file__).resolve().parent)
