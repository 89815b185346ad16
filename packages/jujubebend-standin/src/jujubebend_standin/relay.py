"""Relays of TCP connections that a scenario can cut.

Hosts of one zone reach another zone, or the platform, through a relay of
their own. A relay that is cut ends its connections and accepts no more
bytes; one that is stalled keeps connections open and passes nothing on.
"""

from __future__ import annotations

import asyncio
import enum

import attrs

READ_BYTES = 65_536


class State(enum.Enum):
    """What a relay does with bytes."""

    PASS = 'pass'
    CUT = 'cut'
    STALL = 'stall'


@attrs.define(eq=False)
class Relay:
    """Passes connections on to ``target``, a host and port."""

    target: str
    port: int = 0
    state: State = State.PASS
    _listener: asyncio.Server | None = None
    _tasks: set[asyncio.Task] = attrs.field(factory=set)
    _flowing: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self, port: int = 0) -> None:
        """Listen; port zero takes a free one."""
        self._flowing.set()
        self._listener = await asyncio.start_server(
            self._accept, '127.0.0.1', port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def set_state(self, state: State) -> None:
        """Pass, cut or stall from now on."""
        self.state = state
        if state is State.STALL:
            self._flowing.clear()
        else:
            self._flowing.set()
        if state is State.CUT:
            for task in self._tasks:
                task.cancel()

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        if self._listener is not None:
            self._listener.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.state is State.CUT:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        there, back = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, back))
                group.create_task(self._copy(there, writer))
        except* OSError:
            writer.transport.abort()
        finally:
            back.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while received := await reader.read(READ_BYTES):
            await self._flowing.wait()
            writer.write(received)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
