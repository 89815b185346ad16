"""Another writer overwrites a worker's entry; the field ``born`` is missing."""

from __future__ import annotations

import asyncio
import base64

import harness
import orjson

STEPS = [{'count': 4, 'cpu': 4000, 'estimate_ms': 6_000}]
HEARTBEAT_S = 1.5


async def overwrite_entry(case: harness.Case, emulated: object) -> None:
    """Write a worker's entry without ``born``, until its next heartbeat."""
    key = f'servers/{emulated.name}'
    entry = orjson.loads(base64.b64decode(case.cluster.store.items[key]['value']))
    del entry['born']
    case.record(f'another writer: {key} {entry}')
    case.cluster.store.put(key, entry)
    await asyncio.sleep(HEARTBEAT_S)
    case.record(f'{emulated.name} writes its entry')
    case.cluster.write_worker_entry(emulated)


async def play(case: harness.Case) -> list[str]:
    await case.start(hosts=8, workers=24, cpu=32_000)
    jobs = []
    for _ in range(24):
        job, is_accepted = await case.submit(STEPS, '4000 6')
        if is_accepted:
            jobs.append(job)
    await asyncio.sleep(1)
    if harness.HAS_TROUBLE:
        busy = next(emulated for emulated in case.workers if emulated.running)
        await overwrite_entry(case, busy)
    await asyncio.sleep(harness.FINISH_S)
    for job in jobs:
        await case.find_state(job)
    return case.overlapping_runs()


harness.run(__file__, play)
