"""Tests of calls to the machine service and to workers over HTTP."""

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
NO_ENDS = interfaces.Acknowledgement()
ROWS = [
    {'machine': 'm-1', 'state': 'up', 'id': 'i-1'},
    {'machine': 'm-2', 'state': 'upkeep', 'id': None},
]


@contextlib.asynccontextmanager
async def _serve_replies(*replies):
    """Serve ``replies`` in order; yield the address and the requests."""
    requests = []
    pending_replies = list(replies)

    async def handle(req):
        requests.append(req)
        status, document = pending_replies.pop(0)
        return httpmessage.json_reply(status, document)

    server = httpserver.Server(handle)
    await server.start('127.0.0.1', 0)
    try:
        yield f'127.0.0.1:{server.port}', requests
    finally:
        await server.stop(0)


def test_wave_is_parsed_and_other_keys_are_ignored():
    body = orjson.dumps(WAVE)
    wave = machines.parse_wave('op/wave/3', body)
    assert wave == waves.Wave(3, ('m-1', 'm-2'), 20, 1)
    assert machines.parse_wave('op/other', body) is None
    with pytest.raises(KeyError):
        machines.parse_wave('op/wave/3', b'{}')


def test_machine_list_is_read_page_by_page():
    """All pages belong to the list; an error reply must not end it early."""

    async def main():
        pages = (
            (200, {'machines': ROWS[:1], 'next_token': 'a b'}),
            (200, {'machines': ROWS[1:], 'next_token': None}),
            (429, {}),
        )
        async with _serve_replies(*pages) as (address, requests):
            client = machines.Machines(address, 3)
            assert await client.list_machines() == [
                interfaces.Machine('m-1', interfaces.MachineState.UP, 'i-1'),
                interfaces.Machine(
                    'm-2', interfaces.MachineState.MAINTENANCE, ''
                ),
            ]
            assert requests[1].target.endswith('?page_token=a+b')
            with pytest.raises(errors.RefusedError):
                await client.list_machines()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('status', 'document', 'expected_result'),
    [
        (200, {}, interfaces.MaintenanceResult.BEGUN),
        (400, {}, interfaces.MaintenanceResult.NOT_IN_WAVE),
        (409, {'reason': 'fence'}, interfaces.MaintenanceResult.FENCED),
        (409, {'reason': 'busy'}, interfaces.MaintenanceResult.BUSY),
        (409, {'reason': 'wave'}, interfaces.MaintenanceResult.NOT_IN_WAVE),
    ],
)
def test_maintenance_order_carries_holder_and_fencing_token(
    status, document, expected_result
):
    """The reply's status and reason must give the matching result.

    The machine service fences off an old leader by these two headers.
    """

    async def main():
        async with _serve_replies((status, document)) as (address, requests):
            client = machines.Machines(address, 3)
            assert (
                await client.begin_maintenance('m-1', 3, 'host-a', 7)
                is expected_result
            )
            assert requests[0].headers['x-lease-holder'] == 'host-a'
            assert requests[0].headers['x-fencing-token'] == '7'
            order_document = orjson.loads(requests[0].body)
            assert order_document == {'machine': 'm-1', 'wave': 3}

    asyncio.run(main())


def test_pace_is_ordered_and_status_has_the_usage():
    """Usage is sent in thousandths; active runs are parsed only on request."""

    async def main():
        row = ['j1.0.0.0', 2, '', 100, 180]
        status = {'clock_ms': 1500, 'born': 5, 'running_count': [row]}
        replies = ((200, {'clock_ms': 1}), (200, status), (200, status))
        async with _serve_replies(*replies) as (address, requests):
            client = workers.Worker('i-1', address)
            task = jobspec.TaskName('j1', 0, 0, 0)
            assert (
                await client.pace(task, 2, 40, 9)
                is interfaces.OrderResult.ACCEPTED
            )
            assert orjson.loads(requests[0].body) == {
                'task': 'j1.0.0.0',
                'run': 2,
                'percent': 40,
                'fencing_token': 9,
            }
            full_status = await client.renew_leases(9, NO_ENDS, None, 0)
            assert full_status.running[0].usage == pytest.approx(180 / 1_000)
            brief_status = await client.renew_leases(
                9, NO_ENDS, None, 0, list_runs=False
            )
            assert brief_status.running is None
            await client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('acknowledged_born', 'is_reconnected', 'expected'),
    [(5, False, 7), (6, False, 0), (5, True, 0)],
)
def test_ends_are_acknowledged_where_their_incarnation_answered(
    acknowledged_born, is_reconnected, expected
):
    """Guards against an acknowledgement that a later incarnation receives."""

    async def main():
        reply = (200, {'clock_ms': 1500, 'born': 5})
        async with _serve_replies(reply, reply) as (address, requests):
            client = workers.Worker('i-1', address)
            await client.renew_leases(9, NO_ENDS, None, 0)
            if is_reconnected:
                await client.close()
            acknowledged = interfaces.Acknowledgement(acknowledged_born, 7)
            await client.renew_leases(9, acknowledged, None, 0)
            await client.close()
            numbers = [orjson.loads(req.body)['last_seen'] for req in requests]
            assert numbers == [0, expected]

    asyncio.run(main())
