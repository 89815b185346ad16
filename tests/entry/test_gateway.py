"""The callers' interface of one host, with no peer and no worker."""

from __future__ import annotations

import asyncio
import http

import orjson
import pytest

from jujubebend import resources
from jujubebend_ctl import demo
from jujubebend_entry import app, heartbeat, settings
from jujubebend_http import httpmessage

GOOD = {
    'service': 'quotes',
    'team': 'sales',
    'class': 'urgent',
    'deadline_ms': 50,
    'resources': {'slots': 1},
    'idempotent': True,
    'payload': {},
}


def _ask(body, headers=None, sizes=(), path='/v1/requests'):
    async def ask():
        cfg = settings.Settings(
            name='host',
            zone='a',
            zones=['a'],
            store='127.0.0.1:1',
            host_list='127.0.0.1:1',
        )
        made = app.build(cfg)
        made.platform.register.install_if_newer(1, demo.sample_text())
        made.gateway.ready = True
        if sizes:
            member = made.view.own
            made.view.members['peer'] = type(member)(
                'peer', 'a', '', heard=asyncio.get_running_loop().time()
            )
            digest = heartbeat.Digest(resources.NOTHING, 0, frozenset(sizes))
            made.heartbeats.digests['peer'] = digest
        sent = body if isinstance(body, bytes) else orjson.dumps(body)
        req = httpmessage.Request('POST', path, headers or {}, sent)
        reply = await made.gateway.handle(req)
        await made.dispatcher.close()
        await made.grpc.stop(0)
        return reply

    return asyncio.run(ask())


@pytest.mark.parametrize(
    ('change', 'place'),
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
def test_bad_input_names_its_place(change, place):
    reply = _ask({**GOOD, **change})
    assert reply.status == http.HTTPStatus.UNPROCESSABLE_ENTITY
    plain = reply.json()
    assert plain['outcome'] == 'not_run'
    assert place in [fault['place'] for fault in plain['faults']]
    assert all(fault['remedy'] for fault in plain['faults'])


@pytest.mark.parametrize('body', [b'', b'[]', b'{', b'\xff', b'1e999'])
def test_what_is_no_request_is_refused(body):
    assert _ask(body).status == http.HTTPStatus.UNPROCESSABLE_ENTITY


def test_work_with_no_room_in_time_was_not_run():
    reply = _ask(GOOD)
    assert reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    assert reply.json()['outcome'] == 'not_run'
    assert 'retry-after' in reply.headers


def test_a_size_that_only_a_peer_holds_is_not_refused():
    small = resources.Resources(1, 8, 8000, resources.GIB)
    large = resources.Resources(8, 64, 8000, resources.GIB)
    body = {**GOOD, 'resources': {'slots': 4}}
    status = http.HTTPStatus.UNPROCESSABLE_ENTITY
    assert _ask(body, sizes=[small]).status == status
    assert _ask(body, sizes=[small, large]).status != status


def test_keys_are_refused_as_not_run_while_the_store_is_down():
    body = {**GOOD, 'idempotent': False}
    reply = _ask(body, {'idempotency-key': 'k'})
    assert reply.json()['outcome'] == 'not_run'
