"""TCP relays that inject network faults, for scenarios and the fault soak.

The hosts of a zone reach another zone, or the platform, through a relay of
their own. A cut relay aborts its connections and every new one. A stalled
relay keeps connections open and forwards nothing. A relay can also delay
bytes, pause one direction, reset open connections, or stop forwarding on
open connections for good while new ones work. It can also open new connections
late: what the client sent meanwhile reaches the process that serves the target
by then.
"""

from __future__ import annotations

import asyncio
import enum
import weakref

import attrs

READ_BYTES = 65_536


class State(enum.Enum):
    """How a relay treats connections."""

    PASS = 'pass'
    CUT = 'cut'
    STALL = 'stall'


class Direction(enum.Enum):
    """From the client to the target (``FORWARD``) or back (``BACKWARD``)."""

    FORWARD = 'there'
    BACKWARD = 'back'


@attrs.define(eq=False)
class Relay:
    """Forwards connections to ``target``, an address of host and port.

    ``delay`` is added to each chunk of bytes, in seconds. A connection that is
    accepted is opened to the target after ``open_delay`` seconds.
    """

    target: str
    port: int = 0
    state: State = State.PASS
    delay: float = 0
    open_delay: float = 0
    _listener: asyncio.Server | None = None
    _tasks: set[asyncio.Task] = attrs.field(factory=set)
    _opening: set[asyncio.Task] = attrs.field(factory=set)
    _blackholed: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)
    _is_forwarding: dict[Direction, asyncio.Event] = attrs.field(
        factory=lambda: {direction: asyncio.Event() for direction in Direction}
    )

    @property
    def opening_connections(self) -> int:
        """Number of accepted connections that wait for ``open_delay``."""
        return len(self._opening)

    async def start(self, port: int = 0) -> None:
        """Listen on a port; port zero takes a free port."""
        self.resume(*Direction)
        self._listener = await asyncio.start_server(
            self._handle_connection, '127.0.0.1', port
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def set_state(self, state: State) -> None:
        """Pass, cut or stall connections from now on."""
        self.state = state
        if state is State.STALL:
            self.pause(*Direction)
        else:
            self.resume(*Direction)
        if state is State.CUT:
            self.reset_connections()

    def pause(self, *directions: Direction) -> None:
        """Pause directions, as a one-way or full partition does."""
        for direction in directions:
            self._is_forwarding[direction].clear()

    def resume(self, *directions: Direction) -> None:
        """Forward the bytes held back in directions, and those that follow."""
        for direction in directions:
            self._is_forwarding[direction].set()

    def reset_connections(self) -> None:
        """Abort every open connection."""
        for task in self._tasks:
            task.cancel()

    def blackhole_connections(self) -> None:
        """Stop forwarding on open connections for good; new ones work."""
        self._blackholed.update(self._tasks - self._opening)

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        if self._listener is not None:
            self._listener.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._forward(task, reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _forward(
        self,
        task: asyncio.Task,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.state is State.CUT:
            writer.transport.abort()
            return
        target_reader, target_writer = await self._open_target(task)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy_bytes(
                        task, Direction.FORWARD, reader, target_writer
                    )
                )
                group.create_task(
                    self._copy_bytes(
                        task, Direction.BACKWARD, target_reader, writer
                    )
                )
        except* OSError:
            writer.transport.abort()
        finally:
            target_writer.close()

    async def _open_target(
        self, task: asyncio.Task
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.open_delay:
            self._opening.add(task)
            try:
                await asyncio.sleep(self.open_delay)
            finally:
                self._opening.discard(task)
        host, _, port = self.target.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def _read_bytes(
        self, task: asyncio.Task, reader: asyncio.StreamReader
    ) -> bytes:
        """Read bytes; a silent connection does not tell that one side ended."""
        try:
            received = await reader.read(READ_BYTES)
        except OSError:
            if task not in self._blackholed:
                raise
            received = b''
        if task in self._blackholed:
            await _wait_for_reset()
        return received

    async def _copy_bytes(
        self,
        task: asyncio.Task,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while received := await self._read_bytes(task, reader):
            if self.delay:
                await asyncio.sleep(self.delay)
            await self._is_forwarding[direction].wait()
            if task in self._blackholed:
                await _wait_for_reset()
            writer.write(received)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


async def _wait_for_reset() -> None:
    """Wait until the connection is reset or the relay stops."""
    await asyncio.Event().wait()
