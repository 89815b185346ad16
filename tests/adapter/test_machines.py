"""Tests of calls to the machine service and to workers over HTTP."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import orjson
import pytest

from jujubebend import errors
from jujubebend_adapter import machines, workers
from jujubebend_cluster import interfaces, jobspec, waves
from jujubebend_http import httpmessage, httpserver

WAVE = {'wave': 3, 'machines': ['m-1', 'm-2'], 'within_s': 20, 'max_count': 1}
BORN = 5
STATUS = (200, {'clock_ms': 1500, 'born': BORN})
TASK = jobspec.TaskName('j1', 0, 0, 0)
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
        status = (200, {**STATUS[1], 'running_count': [row]})
        replies = (status, (200, {'clock_ms': 1}), status, status, status)
        async with _serve_replies(*replies) as (address, requests):
            client = workers.Worker('i-1', address)
            assert (
                await client.pace(TASK, 2, 40, 9, BORN)
                is interfaces.OrderResult.ACCEPTED
            )
            assert orjson.loads(requests[1].body) == {
                'task': 'j1.0.0.0',
                'run': 2,
                'percent': 40,
                'fencing_token': 9,
            }
            renewal = interfaces.Renewal(9, BORN)
            full_status = await client.renew_leases(renewal)
            assert full_status.running[0].usage == pytest.approx(180 / 1_000)
            brief_status = await client.renew_leases(
                attrs.evolve(renewal, list_runs=False)
            )
            assert brief_status.running is None
            await client.close()

    asyncio.run(main())


def _make_start(client, incarnation):
    order = interfaces.StartOrder(TASK, 1, 'text', 60.0, 9, incarnation)
    return client.start(order)


CALLS = (
    _make_start,
    lambda client, incarnation: client.stop(TASK, 1, 9, incarnation),
    lambda client, incarnation: client.pace(TASK, 1, 40, 9, incarnation),
    lambda client, incarnation: client.renew_leases(
        interfaces.Renewal(9, incarnation, 7, 60.0, 1)
    ),
)
QUESTION = {'fencing_token': 9, 'last_seen': 0}


@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize('is_reconnected', [True, False])
def test_a_call_is_sent_only_where_its_incarnation_has_answered(
    call, is_reconnected
):
    """Guards against calls that a later incarnation takes for its own."""

    async def main():
        async with _serve_replies(STATUS, STATUS, STATUS, STATUS) as (
            address,
            requests,
        ):
            client = workers.Worker('i-1', address)
            await call(client, BORN)
            assert orjson.loads(requests[0].body) == QUESTION
            assert orjson.loads(requests[1].body) != QUESTION
            if is_reconnected:
                await client.close()
            await call(client, BORN)
            bodies = [orjson.loads(req.body) for req in requests[2:]]
            assert (bodies[0] == QUESTION) is is_reconnected
            assert bodies[-1] == orjson.loads(requests[1].body)
            await client.close()

    asyncio.run(main())


@pytest.mark.parametrize('call', CALLS)
def test_another_incarnation_gets_no_call_and_its_status_is_told(call):
    """Guards against calls to an incarnation that is gone or not yet known."""

    async def main():
        async with _serve_replies(STATUS, STATUS) as (address, requests):
            client = workers.Worker('i-1', address)
            for incarnation in (BORN - 1, BORN + 1):
                answer = await call(client, incarnation)
                if isinstance(answer, interfaces.WorkerStatus):
                    assert answer.born == BORN
                else:
                    assert answer is interfaces.OrderResult.RESTARTED
            bodies = [orjson.loads(req.body) for req in requests]
            assert bodies == [QUESTION, QUESTION]
            await client.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('status', 'document', 'expected'),
    [
        (409, {'reason': 'fence'}, interfaces.OrderResult.FENCED),
        (421, {}, interfaces.OrderResult.OTHER_WORKER),
        (503, {}, interfaces.OrderResult.UNHEALTHY),
    ],
)
@pytest.mark.parametrize('call', CALLS)
def test_a_refused_status_call_refuses_the_call(
    call, status, document, expected
):
    async def main():
        async with _serve_replies((status, document)) as (address, requests):
            client = workers.Worker('i-1', address)
            assert await call(client, BORN) is expected
            assert len(requests) == 1
            await client.close()

    asyncio.run(main())


@pytest.mark.parametrize('call', CALLS)
def test_a_status_that_names_no_incarnation_is_no_answer(call):
    async def main():
        reply = (200, {'clock_ms': 1500})
        async with _serve_replies(reply) as (address, requests):
            client = workers.Worker('i-1', address)
            with pytest.raises(errors.MalformedReplyError):
                await call(client, BORN)
            assert len(requests) == 1
            await client.close()

    asyncio.run(main())
