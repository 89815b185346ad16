"""The only worker with a label is lost for good; another job has to wait."""

from __future__ import annotations

import asyncio
import json
import pathlib
import time

import standin

LABELLED_JOBS = 26
TASK_S = 8.0
STEPS = 3
CRASH_S = 1.0  # after the labelled jobs
OTHER_JOB_S = 9.0  # after them; what ran on the lost worker waits again
FINISH_S = 14.0
IDLE_S = 3.0
OTHER_JOB = f'{0xF1:016x}'


async def run(deployment: standin.Deployment, trouble: bool) -> list[str]:
    """Submit jobs for the worker with the label, crash it, submit another."""
    others = [{'labels': ('a', 'r1')}] * 7
    plans = standin.route('plans', slack_factor=4.0, target_latency_ms=3000)
    await deployment.start(
        standin.desired_state(1, plans), [*others, {'labels': ('b', 'r1')}]
    )
    submitted_at = time.monotonic()
    for number in range(LABELLED_JOBS):
        await submit(deployment, f'{number + 1:016x}', requirements='b')
    await asyncio.sleep(submitted_at + CRASH_S - time.monotonic())
    if trouble:
        deployment.workers[-1].crash()
    await asyncio.sleep(submitted_at + OTHER_JOB_S - time.monotonic())
    if trouble:
        # The worker has been silent for three heartbeats.
        deployment.store.delete(f'servers/{deployment.workers[-1].name}')
    await submit(deployment, OTHER_JOB)
    await asyncio.sleep(FINISH_S)
    return await find_idle_job(deployment)


async def submit(
    deployment: standin.Deployment, job: str, **fields: str
) -> None:
    """Submit a job of three steps, one after the other."""
    step = {
        'count': 1,
        'cpu': 2000,
        'mem_mb': 100,
        'estimate_ms': round(TASK_S * 1000),
        **fields,
    }
    steps = [
        {**step, 'after': [index - 1]} if index else step
        for index in range(STEPS)
    ]
    spec = json.dumps({'ms': TASK_S * 1000, 'cpu': 2000})
    document = {'spec': spec, 'steps': steps}
    if not await deployment.submit('/plans/', job, document):
        raise standin.CaseError('a job was not accepted')


async def find_idle_job(deployment: standin.Deployment) -> list[str]:
    """Return a breach if nothing of the job without a label runs for 3 s."""
    host = deployment.hosts[0]
    _, answer = await deployment.call(host, 'GET', f'/plans/{OTHER_JOB}')
    deadline = time.monotonic() + IDLE_S
    free = [worker for worker in deployment.workers if worker.is_up]
    while time.monotonic() < deadline:
        runs = [run for run in deployment.all_runs() if OTHER_JOB in run.task]
        if any(run.ended_at is None for run in runs):
            return []
        if sum(run.how == 'done' for run in runs) == STEPS:
            return []
        await asyncio.sleep(0.02)
    used = sum(run.cpu for worker in free for run in worker.running.values())
    return [
        f'job {OTHER_JOB} is {answer.get("state")}: {FINISH_S} s after the end '
        f'of the traffic nothing of it ran for {IDLE_S} s, while {used} of '
        f'{sum(worker.cpu for worker in free)} thousandths of a core are in use'
    ]


if __name__ == '__main__':
    standin.run_case(run, pathlib.Path(__file__).resolve().parent)
