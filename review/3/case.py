"""One job that can never be done, of a queue that comes first."""

from __future__ import annotations

import asyncio

import harness
from jujubebend_standin.emulator import localcluster

URGENT = {**localcluster.QUEUE, 'name': 'urgent', 'prefix': '/urgent/'}
USUAL = {**localcluster.QUEUE, 'priority': 1, 'slack_factor': 4.0}
CONFIG = {
    **localcluster.CONFIG,
    'config_version': 5,
    'routes': [USUAL, URGENT],
}
HOPELESS = [{'count': 2, 'cpu': 64_000, 'estimate_ms': 6000, 'gang': True}]
USUAL_STEPS = [{'count': 2, 'cpu': 4000, 'estimate_ms': 1000}]
CONFIG_APPLY_S = 2.0
JOBS = 40
LONGER_S = 40


async def play(case: harness.Case) -> list[str]:
    await case.start(hosts=8, workers=24, cpu=32_000)
    case.cluster.store.put('op/config', CONFIG)
    case.record('operator: version 5, routes urgent (0) and q (1)')
    await asyncio.sleep(CONFIG_APPLY_S)
    if harness.HAS_TROUBLE:
        case.record('a gang of two tasks on 64 cores each; workers have 32')
        await case.submit(HOPELESS, '64000 6', '/urgent/')
    jobs = []
    for _ in range(JOBS):
        job, is_accepted = await case.submit(USUAL_STEPS, '4000 1')
        if is_accepted:
            jobs.append(job)
        await asyncio.sleep(0.5)
    case.record(f'end of the traffic, {len(jobs)} jobs accepted')
    await asyncio.sleep(harness.FINISH_S)
    violations = []
    for job in jobs:
        state = await case.find_state(job)
        if state != 'completed' and not case.runs_of(job):
            violations.append(
                f'LOST: job {job} was accepted; {harness.FINISH_S} s after '
                f'the traffic its state is {state}, no task has started, and '
                'all workers are idle'
            )
    if violations:
        await asyncio.sleep(LONGER_S)
        unstarted = sum(not case.runs_of(job) for job in jobs)
        case.record(f'{LONGER_S} s later {unstarted} of these have not started')
    return violations


harness.run(__file__, play)
