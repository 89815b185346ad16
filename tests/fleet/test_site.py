"""Real daemons beside the stand-in: waves of upkeep, what operators see."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import random
import sys

import orjson

from jujubebend_standin.fleet import checks, load, site

WAVE = {'wave': 1, 'within_s': 12, 'max_count': 1}
LIMIT = 60  # seconds


@contextlib.asynccontextmanager
async def _opened(folder, hosts, workers):
    place = site.Site(folder)
    callers = load.Load(place, random.Random(1))
    try:
        await place.begin(hosts, workers, 8_000)
        yield place, callers
    finally:
        await callers.close()
        await place.close()


async def _status(place):
    item = place.store.items.get('status/wave/1')
    return orjson.loads(base64.b64decode(item['value'])) if item else {}


async def _until_completed(place):
    async with asyncio.timeout(LIMIT):
        while (await _status(place)).get('state') != 'completed':
            await asyncio.sleep(0.1)


def test_a_wave_takes_every_machine_down_once_and_loses_no_job(tmp_path):
    async def main():
        async with _opened(tmp_path, 2, 3) as (place, callers):
            names = list(place.cloud.machines)
            place.store.put('op/wave/1', {**WAVE, 'machines': names})
            async with asyncio.TaskGroup() as group:
                for _ in range(20):
                    group.create_task(callers.submit(2, 1_000, 0.3))
                    await asyncio.sleep(0.1)
            await _until_completed(place)
            await callers.settle()
            machines = place.cloud.machines.values()
            assert all(one.waves == {1} for one in machines)
            assert place.cloud.most_down == 1
            assert len(place.cloud.fences) == len(names)
            assert not checks.broken(place, callers)

    asyncio.run(main())


async def _ctl(*words):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'jujubebend_ctl.main',
        *words,
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    assert process.returncode == 0
    return printed.decode()


def test_operators_see_hosts_and_workers_of_a_daemon(tmp_path):
    async def main():
        async with _opened(tmp_path, 1, 2) as (place, callers):
            told = await callers.submit(1, 1_000, 0.1)
            await callers.settle()
            assert told.state == 'completed'
            address = place.hosts[0].observed
            shown = await _ctl('status', '--host', address)
            assert 'host-0' in shown
            assert place.workers[0].name in shown
            state = orjson.loads(await _ctl('state', address))
            assert state['config_revision'] == 1

    asyncio.run(main())
