"""Tests of the HTTP server: limits, bad input, slow and closed clients."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend_http import httpclient, httpmessage, httpserver

LIMITS = httpserver.Limits(
    body_bytes=1000, header_bytes=2000, request_seconds=0.2, idle_seconds=5
)


async def _echo_body(req):
    return httpmessage.Reply(200, req.body)


def _run_with_server(scenario, handler=_echo_body):
    async def main():
        server = httpserver.Server(handler, LIMITS)
        await server.start('127.0.0.1', 0)
        try:
            await asyncio.wait_for(scenario(server), 20)
        finally:
            await server.stop(1)

    asyncio.run(main())


async def _exchange_bytes(server, request_bytes):
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(request_bytes)
    reply_bytes = await reader.read()
    writer.close()
    return reply_bytes


def test_consecutive_requests_each_get_their_own_reply():
    """Replies on one keep-alive connection must not be mixed up."""

    async def scenario(server):
        async with httpclient.open_client(
            f'127.0.0.1:{server.port}', 1
        ) as client:
            for number in range(5):
                body = str(number).encode()
                reply = await client.call('POST', '/', body, timeout=2)
                assert reply.body == body

    _run_with_server(scenario)


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\nhost: x\r\nx: ' + b'y' * 4000, b'431'),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n'
            + b'z' * 5000,
            b'413',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\nz',
            b'408',
        ),
    ],
)
def test_bad_request_is_rejected_with_its_own_status(request_bytes, status):
    """The server must answer bad requests and go on serving others."""

    async def scenario(server):
        reply_bytes = await _exchange_bytes(server, request_bytes)
        assert reply_bytes.startswith(b'HTTP/1.1 ' + status), reply_bytes[:100]
        async with httpclient.open_client(
            f'127.0.0.1:{server.port}', 1
        ) as client:
            assert (await client.call('GET', '/', timeout=2)).status == 200

    _run_with_server(scenario)


def test_client_disconnect_is_signalled_to_the_handler():
    """A handler must be able to cancel work that no client waits for."""
    disconnect_signalled = asyncio.Event()

    async def wait_disconnected(req):
        await req.disconnected.wait()
        disconnect_signalled.set()
        return httpmessage.Reply(200)

    async def scenario(server):
        _, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()
        await disconnect_signalled.wait()

    _run_with_server(scenario, wait_disconnected)


def test_stop_waits_for_a_request_in_progress():
    """A graceful shutdown must not cut off a reply."""
    handler_started = asyncio.Event()
    may_reply = asyncio.Event()

    async def reply_later(req):
        handler_started.set()
        await may_reply.wait()
        return httpmessage.Reply(200, b'complete')

    async def scenario(server):
        async with httpclient.open_client(
            f'127.0.0.1:{server.port}', 1
        ) as client:
            call = asyncio.create_task(client.call('GET', '/', timeout=5))
            await handler_started.wait()
            stop = asyncio.create_task(server.stop(5))
            await asyncio.sleep(0)
            may_reply.set()
            assert (await call).body == b'complete'
            await stop

    _run_with_server(scenario, reply_later)


def test_large_reply_arrives_complete():
    """A reply sent in many chunks must not lose any of them."""

    async def reply_large(req):
        return httpmessage.Reply(200, b'x' * 5_000_000)

    async def scenario(server):
        async with httpclient.open_client(
            f'127.0.0.1:{server.port}', 1
        ) as client:
            reply = await client.call('GET', '/', timeout=10)
            assert len(reply.body) == 5_000_000

    _run_with_server(scenario, reply_large)


def test_content_length_with_transfer_encoding_is_rejected():
    """The server must not read a smuggled second request.

    Servers disagree about which of the two headers ends such a request
    (RFC 9112, 6.1).
    """

    async def scenario(server):
        request_bytes = (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
            b'GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n'
        )
        reply_bytes = await _exchange_bytes(server, request_bytes)
        assert reply_bytes.startswith(b'HTTP/1.1 400')
        assert reply_bytes.count(b'HTTP/1.1') == 1

    _run_with_server(scenario)
