"""A loopback proxy that harms the connections that lead through it."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

LOOPBACK = '127.0.0.1'
CHUNK = 65_536  # bytes
LOOK_EVERY = 0.05  # seconds between looks whether a direction flows again


@attrs.define(eq=False)
class ProxyFaults:
    """What is wrong with a path; ``delay`` in seconds.

    Bytes of a direction that is cut are held back, as by a partition, and
    flow again after it.
    """

    delay: float = 0
    cut_there: bool = False
    cut_back: bool = False


@attrs.define(eq=False)
class _Pipe:
    """One connection; a silenced one never moves a byte again."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


@attrs.define(eq=False)
class Proxy:
    """Leads from a port of its own to ``target``, given as ``host:port``."""

    target: str
    faults: ProxyFaults = attrs.field(factory=ProxyFaults)
    address: str = ''
    _server: asyncio.Server | None = None
    _pipes: set[_Pipe] = attrs.field(factory=set)

    async def start(self) -> str:
        """Listen; return the address that leads to the target."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'
        return self.address

    def reset(self) -> None:
        """Reset every open connection."""
        for pipe in list(self._pipes):
            pipe.abort()

    def silence(self) -> None:
        """Let open connections go silent for good; new ones work."""
        for pipe in self._pipes:
            pipe.is_silent = True

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        while self._pipes:
            await asyncio.sleep(LOOK_EVERY)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            back, there = await asyncio.open_connection(host, int(port))
        except OSError:
            # Whoever connects sees what it would see without the proxy.
            writer.transport.abort()
            return
        pipe = _Pipe((writer, there))
        self._pipes.add(pipe)
        try:
            await asyncio.gather(
                self._pump(pipe, reader, there, 'cut_there'),
                self._pump(pipe, back, writer, 'cut_back'),
            )
        finally:
            self._pipes.discard(pipe)
            pipe.abort()

    async def _pump(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: str,
    ) -> None:
        with contextlib.suppress(OSError):
            chunk = await reader.read(CHUNK)
            while chunk and await self._flows(pipe, writer, cut):
                writer.write(chunk)
                await writer.drain()
                chunk = await reader.read(CHUNK)
            if await self._flows(pipe, writer, cut):
                writer.close()

    async def _flows(
        self, pipe: _Pipe, writer: asyncio.StreamWriter, cut: str
    ) -> bool:
        """Wait until bytes may pass; False if the connection ends first."""
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        while pipe.is_silent or getattr(self.faults, cut):
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(LOOK_EVERY)
        return not writer.transport.is_closing()
