"""The fault-injecting TCP relay."""

from __future__ import annotations

import asyncio

from jujubebend_standin import relay

LOOPBACK = '127.0.0.1'
OPEN_DELAY_S = 0.3


async def _start_server(name, received, port=0):
    async def read_lines(reader, writer):
        async for line in reader:
            received.append((name, line))
        writer.close()

    return await asyncio.start_server(read_lines, LOOPBACK, port)


async def _wait_until_received(received, count):
    async with asyncio.timeout(10):
        while len(received) < count:
            await asyncio.sleep(0.01)


def test_a_connection_opened_late_reaches_the_process_that_serves_by_then():
    """Open connections are not delayed; the client may have closed its own."""

    async def main():
        received = []
        server = await _start_server('former', received)
        port = server.sockets[0].getsockname()[1]
        tcp_relay = relay.Relay(f'{LOOPBACK}:{port}')
        await tcp_relay.start()
        _, early = await asyncio.open_connection(LOOPBACK, tcp_relay.port)
        early.write(b'opens\n')
        await _wait_until_received(received, 1)
        tcp_relay.open_delay = OPEN_DELAY_S
        _, late = await asyncio.open_connection(LOOPBACK, tcp_relay.port)
        late.write(b'late\n')
        late.close()
        early.write(b'early\n')
        await _wait_until_received(received, 2)
        assert tcp_relay.opening_connections == 1
        tcp_relay.blackhole_connections()
        server.close()
        server = await _start_server('next', received, port)
        await _wait_until_received(received, 3)
        assert received == [
            ('former', b'opens\n'),
            ('former', b'early\n'),
            ('next', b'late\n'),
        ]
        assert not tcp_relay.opening_connections
        early.close()
        await tcp_relay.stop()
        server.close()

    asyncio.run(main())
