"""Workers are dark for about a second and start again under their IDs."""

from __future__ import annotations

import asyncio
import time

import harness
from jujubebend_standin import relay

STEPS = [{'count': 4, 'cpu': 4000, 'estimate_ms': 2000}]
SLOTS = 8  # tasks that fit on a worker
JOBS_PER_SECOND = 20
BEFORE_S = 6
ROUNDS = 3
ROUND_S = 6
DARK_S = 1.2
DARK_WORKERS = 3  # of 24
REGISTRATION_S = 0.1  # from a worker's start to its entry in the store


async def go_dark(case: harness.Case, index: int) -> None:
    """Lose one worker without a sign; it comes back as a new life."""
    emulated = case.workers[index]
    path = case.cluster.relays[index]
    path.set_state(relay.State.STALL)
    emulated.crash()
    await asyncio.sleep(DARK_S)
    path.reset_connections()
    await asyncio.sleep(0.02)
    emulated.booted_at = time.monotonic()
    emulated.incarnation = round(time.time() * 1000)
    path.set_state(relay.State.PASS)
    case.record(f'{emulated.name} is up again')
    await asyncio.sleep(REGISTRATION_S)
    case.cluster.write_worker_entry(emulated)
    case.record(f'{emulated.name} writes its entry')


async def send_traffic(case: harness.Case, seconds: float) -> None:
    """Submit jobs at a steady rate."""
    async with asyncio.TaskGroup() as clients:
        for _ in range(round(seconds * JOBS_PER_SECOND)):
            clients.create_task(case.submit(STEPS, '4000 2'))
            await asyncio.sleep(1 / JOBS_PER_SECOND)


def choose_workers(case: harness.Case) -> list[int]:
    """Return the workers with room that had the most starts of late."""
    since = time.monotonic() - 1
    starts = {
        index: sum(run.started_at > since for run in emulated.runs)
        for index, emulated in enumerate(case.workers)
        if len(emulated.running) < SLOTS - 2
    }
    return sorted(starts, key=lambda index: -starts[index])[:DARK_WORKERS]


async def play(case: harness.Case) -> list[str]:
    await case.start(hosts=8, workers=24, cpu=32_000)
    seconds = BEFORE_S + ROUNDS * ROUND_S
    traffic = asyncio.create_task(send_traffic(case, seconds))
    await asyncio.sleep(BEFORE_S)
    for _ in range(ROUNDS if harness.HAS_TROUBLE else 0):
        await asyncio.gather(
            *(go_dark(case, index) for index in choose_workers(case))
        )
        await asyncio.sleep(ROUND_S - DARK_S)
    await traffic
    await asyncio.sleep(6)
    return case.overlapping_runs()


harness.run(__file__, play)
