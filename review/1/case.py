"""A worker entry of another writer, whose address cannot be used, is listed."""

from __future__ import annotations

import asyncio

import harness

FOREIGN_ENTRY = {
    'service': 'printing',
    'address': '127.0.0.1:70000',
    'zone': 'z',
    'state': 'ready',
    'capacity': {'cpu': 4000, 'mem_mb': 1000, 'gpu': 0},
    'labels': ['a', 'r9'],
    'born': 1,
    'sequence': 1,
}
STEPS = [{'count': 2, 'cpu': 1000, 'estimate_ms': 500}]


async def play(case: harness.Case) -> list[str]:
    await case.start(hosts=8, workers=24, cpu=32_000)
    jobs = []
    for number in range(60):
        if number == 20 and harness.HAS_TROUBLE:
            case.record(f'another writer: servers/printer-1 {FOREIGN_ENTRY}')
            case.cluster.store.put('servers/printer-1', FOREIGN_ENTRY)
        job, is_accepted = await case.submit(STEPS, '1000 0.5')
        if is_accepted:
            jobs.append(job)
        await asyncio.sleep(0.25)
    case.record(f'end of the traffic, {len(jobs)} jobs accepted')
    await asyncio.sleep(harness.FINISH_S)
    violations = []
    for job in jobs:
        state = await case.find_state(job)
        ran = len({run.task for _, run in case.runs_of(job)})
        if state != 'completed':
            violations.append(
                f'LOST: job {job} was accepted; {harness.FINISH_S} s after '
                f'the traffic its state is {state}, {ran} of 2 tasks started, '
                'and nearly all workers are idle'
            )
    return violations


harness.run(__file__, play)
