"""Machines, waves and paces as the platform spells them."""

from __future__ import annotations

import asyncio
import contextlib

import orjson
import pytest

from jujubebend import errors
from jujubebend_adapter import machines, workers
from jujubebend_cluster import interfaces, jobspec, waves
from jujubebend_http import httpmessage, httpserver

WAVE = {'wave': 3, 'machines': ['m-1', 'm-2'], 'within_s': 20, 'max_count': 1}
ROWS = [
    {'machine': 'm-1', 'state': 'up', 'id': 'i-1'},
    {'machine': 'm-2', 'state': 'upkeep', 'id': None},
]


@contextlib.asynccontextmanager
async def _answering(*replies):
    """Serve the replies in turn; give the address and what was asked."""
    asked = []
    left = list(replies)

    async def handle(req):
        asked.append(req)
        status, plain = left.pop(0)
        return httpmessage.json_reply(status, plain)

    server = httpserver.Server(handle)
    await server.start('127.0.0.1', 0)
    try:
        yield f'127.0.0.1:{server.port}', asked
    finally:
        await server.stop(0)


def test_a_wave_is_read_and_other_keys_are_none():
    body = orjson.dumps(WAVE)
    made = machines.parse_wave('op/wave/3', body)
    assert made == waves.Wave(3, ('m-1', 'm-2'), 20, 1)
    assert machines.parse_wave('op/other', body) is None
    with pytest.raises(KeyError):
        machines.parse_wave('op/wave/3', b'{}')


def test_the_list_of_machines_is_read_page_by_page():
    async def main():
        pages = (
            (200, {'machines': ROWS[:1], 'next_token': 'a b'}),
            (200, {'machines': ROWS[1:], 'next_token': None}),
            (429, {}),
        )
        async with _answering(*pages) as (address, asked):
            calls = machines.Machines(address, 3)
            assert await calls.list_machines() == [
                interfaces.Machine('m-1', interfaces.MachineState.UP, 'i-1'),
                interfaces.Machine(
                    'm-2', interfaces.MachineState.MAINTENANCE, ''
                ),
            ]
            assert asked[1].target.endswith('?page_token=a+b')
            with pytest.raises(errors.RefusedError):
                await calls.list_machines()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('status', 'plain', 'verdict'),
    [
        (200, {}, interfaces.MaintenanceResult.BEGUN),
        (400, {}, interfaces.MaintenanceResult.NOT_IN_WAVE),
        (409, {'reason': 'fence'}, interfaces.MaintenanceResult.FENCED),
        (409, {'reason': 'busy'}, interfaces.MaintenanceResult.BUSY),
        (409, {'reason': 'wave'}, interfaces.MaintenanceResult.NOT_IN_WAVE),
    ],
)
def test_an_order_for_upkeep_names_its_holder_and_fence(status, plain, verdict):
    async def main():
        async with _answering((status, plain)) as (address, asked):
            calls = machines.Machines(address, 3)
            assert (
                await calls.begin_maintenance('m-1', 3, 'host-a', 7) is verdict
            )
            assert asked[0].headers['x-lease-holder'] == 'host-a'
            assert asked[0].headers['x-fencing-token'] == '7'
            sent = orjson.loads(asked[0].body)
            assert sent == {'machine': 'm-1', 'wave': 3}

    asyncio.run(main())


def test_a_pace_is_ordered_and_a_look_tells_the_tail():
    async def main():
        row = ['j1.0.0.0', 2, '', 100, 180]
        look = {'clock_ms': 1500, 'born': 5, 'running_count': [row]}
        replies = ((200, {'clock_ms': 1}), (200, look), (200, look))
        async with _answering(*replies) as (address, asked):
            one = workers.Worker('i-1', address)
            task = jobspec.TaskName('j1', 0, 0, 0)
            assert (
                await one.pace(task, 2, 40, 9)
                is interfaces.OrderResult.ACCEPTED
            )
            assert orjson.loads(asked[0].body) == {
                'task': 'j1.0.0.0',
                'run': 2,
                'percent': 40,
                'fencing_token': 9,
            }
            found = await one.renew_leases(9, 0, None, 0)
            assert found.running[0].usage == pytest.approx(180 / 1_000)
            short = await one.renew_leases(9, 0, None, 0, list_runs=False)
            assert short.running is None
            await one.close()

    asyncio.run(main())
