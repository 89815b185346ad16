"""Requests that are meant for one process, while the server restarts often.

Guards against the cause of issue 40 in the HTTP client: a request that reaches
a later process than it is meant for, at the same address, and one that reaches
a process although the client reports that it was not sent.
"""

from __future__ import annotations

import asyncio
import functools
import random

import attrs
import pytest

from jujubebend import errors
from jujubebend_http import httpclient, httpmessage, httpserver

CALL_COUNT = 400
CANCEL_RATE = 0.2
RESTART_RATE = 0.03
MAX_CONNECTIONS = 3
ANSWER_DELAYS_S = (0, 0, 0.002, 0.02, 0.08)
CALL_DELAYS_S = (0, 0.01, 0.03)
CALL_PAUSES_S = (0, 0.002, 0.01)
TIMEOUTS_S = (0.03, 0.2, 1)


@attrs.define(eq=False)
class _RestartingServer:
    """A server that gets a new identity with each restart, but keeps its port.

    ``received`` lists the bodies of all requests, which begin with the identity
    that each is meant for; ``misled`` lists those that reached another one.
    """

    rng: random.Random
    identity: int = 0
    port: int = 0
    received: list = attrs.field(factory=list)
    misled: list = attrs.field(factory=list)
    _server: httpserver.Server | None = None

    async def restart(self):
        await self.stop()
        self.identity += 1
        self._server = httpserver.Server(
            functools.partial(self._answer, self.identity)
        )
        await self._server.start('127.0.0.1', self.port)
        self.port = self._server.port

    async def stop(self):
        if self._server is not None:
            await self._server.stop(0)

    async def _answer(self, identity, req):
        await asyncio.sleep(self.rng.choice(ANSWER_DELAYS_S))
        if req.target == '/who':
            return httpmessage.Reply(200, str(identity).encode())
        self.received.append(req.body)
        if int(req.body.split(b',')[0]) != identity:
            self.misled.append((req.body, identity))
        return httpmessage.Reply(200, req.body)


@attrs.define(eq=False)
class _Caller:
    """Sends requests to the present process, and some to the one before.

    ``unsent`` lists the bodies of those that the client reports as not sent,
    and ``answered`` those with an answer.
    """

    rng: random.Random
    server: _RestartingServer
    client: httpclient.Client
    unsent: list = attrs.field(factory=list)
    answered: list = attrs.field(factory=list)

    async def call(self, number):
        identity = self.server.identity - self.rng.choice((0, 0, 0, 1))
        body = f'{identity},{number}'.encode()
        await asyncio.sleep(self.rng.choice(CALL_DELAYS_S))
        try:
            reply = await self.client.call(
                'POST',
                '/do',
                body,
                timeout=self.rng.choice(TIMEOUTS_S),
                recipient=_build_recipient(identity),
            )
        except errors.NotSentError:
            self.unsent.append(body)
        except errors.UnreachableError:
            return  # It may have been received.
        else:
            assert reply.body == body
            self.answered.append(body)

    async def call_amid_restarts(self):
        """Start all calls, cancel some, and restart the server in between."""
        loop = asyncio.get_running_loop()
        calls = []
        for number in range(CALL_COUNT):
            calls.append(asyncio.create_task(self.call(number)))
            if self.rng.random() < CANCEL_RATE:
                loop.call_later(self.rng.uniform(0, 0.1), calls[-1].cancel)
            if self.rng.random() < RESTART_RATE:
                await self.server.restart()
            await asyncio.sleep(self.rng.choice(CALL_PAUSES_S))
        for outcome in await asyncio.gather(*calls, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError | None):
                raise outcome


def _build_recipient(identity):
    return httpclient.Recipient(
        identity, '/who', b'', lambda reply: int(reply.body)
    )


def _assert_connections_are_usable(client):
    idle_connections = client._idle_connections
    assert all(conn.is_reusable for conn in idle_connections)
    assert len(idle_connections) <= MAX_CONNECTIONS


@pytest.mark.parametrize('seed', range(6))
def test_bound_requests_reach_their_recipient_or_none(seed):
    """Holds under time-outs, cancellation, and restarts at the same port.

    A request that the client reports as not sent reaches no process.
    """

    async def main():
        rng = random.Random(seed)
        server = _RestartingServer(rng)
        await server.restart()
        address = f'127.0.0.1:{server.port}'
        async with httpclient.open_client(address, MAX_CONNECTIONS) as client:
            caller = _Caller(rng, server, client)
            try:
                await caller.call_amid_restarts()
                _assert_connections_are_usable(client)
            finally:
                await server.stop()
        assert not server.misled
        assert not set(caller.unsent) & set(server.received)
        assert caller.answered
        assert caller.unsent

    asyncio.run(main())


def test_a_restarting_server_notes_requests_that_are_meant_for_another():
    """Guards against a test that passes whatever the client sends where."""

    async def main():
        server = _RestartingServer(random.Random(1))
        await server.restart()
        await server.restart()
        async with httpclient.open_client(f'127.0.0.1:{server.port}') as client:
            for body in (b'1,0', b'2,1'):
                await client.call('POST', '/do', body, timeout=5)
        await server.stop()
        assert server.received == [b'1,0', b'2,1']
        assert server.misled == [(b'1,0', 2)]

    asyncio.run(main())
