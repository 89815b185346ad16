"""A worker is cut off while over 500 of its tasks end."""

from __future__ import annotations

import asyncio
import json
import pathlib
import time

import standin

JOBS = 10
TASKS = 60  # the widest step of the site
TASK_S = 7.0
CUT_BEFORE_FIRST_END_S = 0.3
LONGEST_CUT_S = 5.5


async def run(deployment: standin.Deployment, trouble: bool) -> list[str]:
    """Run all tasks on one worker of six, by its label."""
    others = [{'labels': ('a', 'r1')}] * 5
    config = standin.desired_state(1, standin.route('plans'))
    await deployment.start(config, [*others, {'labels': ('b', 'r1')}])
    worker = deployment.workers[-1]
    step = {
        'count': TASKS,
        'cpu': 40,
        'mem_mb': 20,
        'estimate_ms': round(TASK_S * 1000),
        'requirements': 'b',
    }
    spec = json.dumps({'ms': TASK_S * 1000, 'cpu': 40})
    for number in range(JOBS):
        job = {'spec': spec, 'steps': [step]}
        if not await deployment.submit('/plans/', f'{number + 1:016x}', job):
            raise standin.CaseError('a job was not accepted')
        await asyncio.sleep(0.1)
    await deployment.wait_for(
        lambda: len(worker.runs) == JOBS * TASKS, TASK_S - 2, 'the starts'
    )
    first_end = worker.runs[0].started_at + TASK_S
    await asyncio.sleep(first_end - CUT_BEFORE_FIRST_END_S - time.monotonic())
    if trouble:
        await cut_until_all_ended(deployment, worker)
    await asyncio.sleep(TASK_S + 8)
    await deployment.call(deployment.hosts[0], 'GET', f'/plans/{1:016x}')
    return standin.find_doubled_tasks(deployment.all_runs())


async def cut_until_all_ended(
    deployment: standin.Deployment, worker: standin.Worker
) -> None:
    """Cut the worker off from all hosts; it runs on."""
    cut_at = time.monotonic()
    worker.link.cut()
    deployment.record.write(f'{worker.name} is cut off')
    await deployment.wait_for(
        lambda: not worker.running, LONGEST_CUT_S - 0.3, 'the ends'
    )
    await asyncio.sleep(0.2)
    worker.link.heal()
    deployment.record.write(
        f'{worker.name} is reached again after '
        f'{time.monotonic() - cut_at:.2f} s, with {len(worker.ends)} ends'
    )


if __name__ == '__main__':
    standin.run_case(run, pathlib.Path(__file__).resolve().parent)
