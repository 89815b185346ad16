"""The HTTP client: how long a reply may take."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend import errors
from jujubebend_http import httpclient

LIMIT = 0.4
PARTS = 8


async def _trickle(reader, writer):
    """Answer in parts that together take twice the limit."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n')
    for _ in range(PARTS):
        await asyncio.sleep(LIMIT * 2 / PARTS)
        writer.write(b'x')
        await writer.drain()
    writer.close()


@pytest.mark.parametrize('is_long', [True, False])
def test_each_part_of_a_long_reply_renews_the_limit(is_long):
    async def main():
        server = await asyncio.start_server(_trickle, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with httpclient.opened(f'127.0.0.1:{port}', 1) as one:
            call = one.call('GET', '/', timeout=LIMIT, is_long=is_long)
            if is_long:
                assert (await call).body == b'x' * PARTS
            else:
                with pytest.raises(errors.UnreachableError):
                    await call
        server.close()

    asyncio.run(main())
