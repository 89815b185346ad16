"""The HTTP server: limits, bad input, slow and departing peers."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend_http import httpclient, httpmessage, httpserver

LIMITS = httpserver.Limits(
    body_bytes=1000, header_bytes=2000, request_seconds=0.2, idle_seconds=5
)


async def _echo(req):
    return httpmessage.Reply(200, req.body)


def _run(scenario, handler=_echo):
    async def main():
        server = httpserver.Server(handler, LIMITS)
        await server.start('127.0.0.1', 0)
        try:
            await asyncio.wait_for(scenario(server), 20)
        finally:
            await server.stop(1)

    asyncio.run(main())


async def _raw(server, sent):
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(sent)
    received = await reader.read()
    writer.close()
    return received


def test_a_connection_serves_many_requests():
    async def scenario(server):
        async with httpclient.opened(f'127.0.0.1:{server.port}', 1) as one:
            for number in range(5):
                body = str(number).encode()
                reply = await one.call('POST', '/', body, timeout=2)
                assert reply.body == body

    _run(scenario)


@pytest.mark.parametrize(
    ('sent', 'status'),
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
def test_bad_input_gets_an_answer_of_its_own(sent, status):
    async def scenario(server):
        received = await _raw(server, sent)
        assert received.startswith(b'HTTP/1.1 ' + status), received[:100]
        async with httpclient.opened(f'127.0.0.1:{server.port}', 1) as one:
            assert (await one.call('GET', '/', timeout=2)).status == 200

    _run(scenario)


def test_a_handler_learns_that_its_caller_has_gone():
    gone = asyncio.Event()

    async def wait(req):
        await req.disconnected.wait()
        gone.set()
        return httpmessage.Reply(200)

    async def scenario(server):
        _, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()
        await gone.wait()

    _run(scenario, wait)


def test_stop_lets_a_request_in_flight_finish():
    begun = asyncio.Event()
    go_on = asyncio.Event()

    async def wait(req):
        begun.set()
        await go_on.wait()
        return httpmessage.Reply(200, b'whole')

    async def scenario(server):
        async with httpclient.opened(f'127.0.0.1:{server.port}', 1) as one:
            calling = asyncio.create_task(one.call('GET', '/', timeout=5))
            await begun.wait()
            stopping = asyncio.create_task(server.stop(5))
            await asyncio.sleep(0)
            go_on.set()
            assert (await calling).body == b'whole'
            await stopping

    _run(scenario, wait)


def test_large_answers_are_whole():
    async def large(req):
        return httpmessage.Reply(200, b'x' * 5_000_000)

    async def scenario(server):
        async with httpclient.opened(f'127.0.0.1:{server.port}', 1) as one:
            reply = await one.call('GET', '/', timeout=10)
            assert len(reply.body) == 5_000_000

    _run(scenario, large)


def test_both_content_length_and_transfer_encoding_are_refused():
    async def scenario(server):
        sent = (
            b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'
            b'GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n'
        )
        received = await _raw(server, sent)
        assert received.startswith(b'HTTP/1.1 400')
        assert received.count(b'HTTP/1.1') == 1

    _run(scenario)
