"""Tests of the HTTP client's timeouts and of requests that cannot be sent."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend import errors
from jujubebend_http import httpclient

TIMEOUT_SECONDS = 0.4
CHUNK_COUNT = 8


async def _reply_slowly(reader, writer):
    """Send a reply in chunks that together take twice the timeout."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n')
    try:
        for _ in range(CHUNK_COUNT):
            await asyncio.sleep(TIMEOUT_SECONDS * 2 / CHUNK_COUNT)
            writer.write(b'x')
            await writer.drain()
    finally:
        writer.close()


@pytest.mark.parametrize('is_idle_timeout', [True, False])
def test_each_chunk_of_a_reply_restarts_an_idle_timeout(is_idle_timeout):
    """A large reply that keeps arriving must not run into the timeout.

    Without ``is_idle_timeout`` the timeout covers the whole call.
    """

    async def main():
        server = await asyncio.start_server(_reply_slowly, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with httpclient.open_client(f'127.0.0.1:{port}', 1) as client:
            call = client.call(
                'GET',
                '/',
                timeout=TIMEOUT_SECONDS,
                is_idle_timeout=is_idle_timeout,
            )
            if is_idle_timeout:
                assert (await call).body == b'x' * CHUNK_COUNT
            else:
                with pytest.raises(errors.UnreachableError):
                    await call
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ('address', 'headers'),
    [
        ('127.0.0.1:70000', {}),
        ('127.0.0.1:-1', {}),
        ('127.0.0.1:eighty', {}),
        ('127.0.0.1', {}),
        ('a..b:80', {}),
        ('\0:80', {}),
        ('127.0.0.1:{port}', {'x-name': 'i-\xe9\u2603'}),
        ('127.0.0.1:{port}', {'x-name': 'i\r\nx: y'}),
    ],
)
def test_a_request_that_cannot_be_sent_raises_the_error_of_the_client(
    address, headers
):
    """Guards against errors of the standard library that no caller expects.

    An address or a header may come from another process. Such an error ended
    each term of the leader in review/1.
    """

    async def main():
        server = await asyncio.start_server(_reply_slowly, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = httpclient.Client(address.format(port=port))
        with pytest.raises(errors.NotSentError):
            await client.call('GET', '/', timeout=1, headers=headers)
        server.close()

    asyncio.run(main())


def test_a_request_that_cannot_follow_its_question_is_not_sent():
    """Guards against an error that leaves open whether a request was sent.

    A server may close each connection after one answer, also the one on which
    the recipient of the request has answered.
    """
    requests = []

    async def answer_once(reader, writer):
        requests.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(
            b'HTTP/1.1 200 OK\r\nconnection: close\r\n'
            b'content-length: 1\r\n\r\n1'
        )
        await writer.drain()
        writer.close()

    async def main():
        server = await asyncio.start_server(answer_once, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = httpclient.Client(f'127.0.0.1:{port}')
        recipient = httpclient.Recipient(
            1, '/who', b'', lambda reply: int(reply.body)
        )
        with pytest.raises(errors.NotSentError):
            await client.call(
                'POST', '/do', b'x', timeout=1, recipient=recipient
            )
        assert len(requests) == 1
        server.close()

    asyncio.run(main())
