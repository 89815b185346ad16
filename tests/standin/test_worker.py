"""Calls to a worker reach the incarnation that they are meant for, or none.

A call that the network delays may arrive after a restart of the worker. The
lease epochs of the next incarnation start anew, so the epoch alone does not
reveal that the call was meant for the former one.
"""

from __future__ import annotations

import asyncio
import http

import attrs
import orjson
import pytest

from jujubebend import resources
from jujubebend_http import httpmessage
from jujubebend_platform import worker
from jujubebend_standin import worker as worker_fake

CAPACITY = resources.Resources(2, 8)
SLOT = resources.Resources(1, 1)
TTL_MS = 10_000
TASK = worker.TaskStart('a', 's', SLOT, {'forever': True})


@attrs.define(eq=False)
class _Caller:
    """Calls an incarnation of a worker under the lease held there."""

    fake: worker_fake.FakeWorker
    lease: dict

    async def call(self, path, **fields):
        body = {'epoch': self.lease['epoch'], 'boot': self.lease['boot']}
        return await _post(self.fake, path, body | fields)


async def _post(fake, path, body):
    req = httpmessage.Request('POST', path, {}, orjson.dumps(body))
    return await fake.handle(req)


async def _acquire(holder):
    """Return a caller that holds the first lease of a new incarnation."""
    fake = worker_fake.FakeWorker('w', CAPACITY)
    body = {'holder': holder, 'ttl_ms': TTL_MS}
    reply = await _post(fake, '/v1/lease', body)
    return _Caller(fake, reply.json())


@pytest.mark.parametrize(
    ('path', 'fields'),
    [
        ('/v1/sync', {'ttl_ms': TTL_MS, 'acks': ['a'], 'wait_ms': 0}),
        ('/v1/start', {'task': worker.converter.unstructure(TASK)}),
        ('/v1/settle', {'attempt': 'a'}),
        ('/v1/stop', {'attempt': 'a', 'checkpoint': False}),
        ('/v1/throttle', {'attempt': 'a', 'share': 0.5}),
        ('/v1/release', {}),
    ],
)
def test_call_meant_for_former_incarnation_is_rejected(path, fields):
    async def scenario():
        former = await _acquire('one')
        current = await _acquire('two')
        assert former.lease['epoch'] == current.lease['epoch']
        delayed = _Caller(current.fake, former.lease)
        reply = await delayed.call(path, **fields)
        assert reply.status == http.HTTPStatus.CONFLICT
        renewal = await current.call(
            '/v1/sync', ttl_ms=TTL_MS, acks=[], wait_ms=0
        )
        assert renewal.status == http.HTTPStatus.OK

    asyncio.run(scenario())
