"""Tests of the HTTP client's timeouts."""

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
    for _ in range(CHUNK_COUNT):
        await asyncio.sleep(TIMEOUT_SECONDS * 2 / CHUNK_COUNT)
        writer.write(b'x')
        await writer.drain()
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
