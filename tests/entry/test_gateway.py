"""HTTP API of one host without peers or workers.

Guards against invalid input that is accepted or rejected without naming
the field, and against replies that misstate whether the work was run.
"""

from __future__ import annotations

import asyncio
import http

import orjson
import pytest

from jujubebend import resources
from jujubebend_ctl import demo
from jujubebend_entry import app, heartbeat, settings
from jujubebend_http import httpmessage

VALID_REQUEST = {
    'service': 'quotes',
    'team': 'sales',
    'class': 'urgent',
    'deadline_ms': 50,
    'resources': {'slots': 1},
    'idempotent': True,
    'payload': {},
}


def _post_request(body, headers=None, peer_capacities=(), path='/v1/requests'):
    async def post():
        cfg = settings.Settings(
            name='host',
            zone='a',
            zones=['a'],
            store='127.0.0.1:1',
            host_list='127.0.0.1:1',
        )
        entry_app = app.build(cfg)
        entry_app.platform.config_register.install_if_newer(
            1, demo.sample_config()
        )
        entry_app.gateway.is_ready = True
        if peer_capacities:
            member = entry_app.view.own
            entry_app.view.members['peer'] = type(member)(
                'peer', 'a', '', heard=asyncio.get_running_loop().time()
            )
            summary = heartbeat.WorkerSummary(
                resources.NOTHING, 0, frozenset(peer_capacities)
            )
            entry_app.heartbeats.worker_summaries['peer'] = summary
        encoded_body = body if isinstance(body, bytes) else orjson.dumps(body)
        req = httpmessage.Request('POST', path, headers or {}, encoded_body)
        reply = await entry_app.gateway.handle_request(req)
        await entry_app.dispatcher.close()
        await entry_app.grpc.stop(0)
        return reply

    return asyncio.run(post())


@pytest.mark.parametrize(
    ('change', 'expected_place'),
    [
        ({'service': 'none'}, '$.service'),
        ({'team': 'none'}, '$.team'),
        ({'deadline_ms': 'soon'}, '$.deadline_ms'),
        ({'deadline_ms': True}, '$.deadline_ms'),
        ({'resources': {'slots': -1}}, '$.resources'),
        ({'resources': {'seats': 1}}, '$.resources'),
        ({'resources': {'slots': 9}}, '$.resources.slots'),
        ({'service': 'cuts', 'team': 'quarry'}, '$.class'),
        ({'idempotent': False}, 'Idempotency-Key'),
        ({'extra': 1}, '$'),
    ],
)
def test_invalid_input_is_rejected_with_its_place(change, expected_place):
    reply = _post_request({**VALID_REQUEST, **change})
    assert reply.status == http.HTTPStatus.UNPROCESSABLE_ENTITY
    document = reply.json()
    assert document['outcome'] == 'not_run'
    assert expected_place in [fault['place'] for fault in document['faults']]
    assert all(fault['remedy'] for fault in document['faults'])


@pytest.mark.parametrize('body', [b'', b'[]', b'{', b'\xff', b'1e999'])
def test_body_that_is_not_a_request_is_rejected(body):
    assert _post_request(body).status == http.HTTPStatus.UNPROCESSABLE_ENTITY


def test_work_without_capacity_before_its_deadline_is_not_run():
    reply = _post_request(VALID_REQUEST)
    assert reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert reply.json()['outcome'] == 'not_run'
    assert 'retry-after' in reply.headers


def test_demand_that_only_a_peer_can_fit_is_not_rejected():
    small_capacity = resources.Resources(1, 8, 8000, resources.GIB)
    large_capacity = resources.Resources(8, 64, 8000, resources.GIB)
    body = {**VALID_REQUEST, 'resources': {'slots': 4}}
    unprocessable = http.HTTPStatus.UNPROCESSABLE_ENTITY
    assert (
        _post_request(body, peer_capacities=[small_capacity]).status
        == unprocessable
    )
    assert (
        _post_request(
            body, peer_capacities=[small_capacity, large_capacity]
        ).status
        != unprocessable
    )


def test_keyed_request_is_not_run_while_the_store_is_down():
    body = {**VALID_REQUEST, 'idempotent': False}
    reply = _post_request(body, {'idempotency-key': 'k'})
    assert reply.json()['outcome'] == 'not_run'
