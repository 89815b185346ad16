"""An HTTP server on h11, with limits on size, time and connections."""

from __future__ import annotations

import asyncio
import http
from collections import abc

import attrs
import h11

from jujubebend import resources
from jujubebend_http import httpmessage

Handler = abc.Callable[[httpmessage.Request], abc.Awaitable[httpmessage.Reply]]
CLOSE_GRACE = 0.2
BACKLOG = 512
SLICE_BYTES = 65_536


@attrs.frozen
class Limits:
    """Bounds on what one connection may ask for; times in seconds.

    ``idle_seconds`` bounds the wait for a request to begin,
    ``request_seconds`` the time it takes to arrive whole, and
    ``write_seconds`` the wait for the peer to take a slice of the reply.
    """

    body_bytes: int = 2 * resources.MIB
    header_bytes: int = 16_384
    connections: int = 2048
    idle_seconds: float = 60
    request_seconds: float = 10
    write_seconds: float = 30


class _RefusedError(Exception):
    """A request that is answered without being handled."""

    def __init__(self, reply: httpmessage.Reply) -> None:
        super().__init__(reply.status)
        self.reply = reply


@attrs.define(eq=False)
class Server:
    """Serves one handler; ``stop`` lets every request in flight finish.

    server = Server(handle, Limits())
    await server.start('127.0.0.1', 8000)
    """

    handler: Handler
    limits: Limits = attrs.field(factory=Limits)
    port: int = 0
    _listener: asyncio.Server | None = None
    _tasks: set[asyncio.Task] = attrs.field(factory=set)
    _busy: set[asyncio.Task] = attrs.field(factory=set)
    _stopping: bool = False

    async def start(self, host: str, port: int) -> None:
        """Listen; port zero takes a free one, found in ``port`` after."""
        self._listener = await asyncio.start_server(
            self._serve, host, port, backlog=BACKLOG
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def begin_stop(self) -> None:
        """Ask clients to close: serve on, but keep no connection open."""
        self._stopping = True

    async def stop(self, grace: float) -> None:
        """Stop listening, finish requests within ``grace`` seconds, close."""
        self._stopping = True
        if self._listener is not None:
            self._listener.close()
        for task in self._tasks - self._busy:
            task.cancel()
        if self._busy:
            await asyncio.wait(self._busy, timeout=grace)
        for task in set(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await _Session(self, reader, writer, task).run()
        except (OSError, TimeoutError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._forget(task)
            writer.close()

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        self._busy.discard(task)


class _Session:
    """One connection: its requests, one after the other."""

    def __init__(
        self,
        server: Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        task: asyncio.Task,
    ) -> None:
        self._server = server
        self._task = task
        self._writer = writer
        self._conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._receiver = httpmessage.Receiver(reader, self._conn)

    async def run(self) -> None:
        if len(self._server._tasks) > self._server.limits.connections:
            return
        while await self._serve_one():
            self._conn.start_next_cycle()

    async def _serve_one(self) -> bool:
        req = await self._receive()
        if req is None:
            return False
        self._server._busy.add(self._task)
        reply = await self._handle(req)
        await self._send(reply)
        self._server._busy.discard(self._task)
        if self._server._stopping:
            return False
        done = (self._conn.our_state, self._conn.their_state)
        return done == (h11.DONE, h11.DONE)

    async def _receive(self) -> httpmessage.Request | None:
        limits = self._server.limits
        try:
            async with asyncio.timeout(limits.idle_seconds) as limit:
                return await self._read_request(limit)
        except _RefusedError as exc:
            await self._refuse(exc.reply)
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint or http.HTTPStatus.BAD_REQUEST
            title = f'not a proper HTTP request: {exc}'
            await self._refuse(httpmessage.problem(status, title))
        except TimeoutError:
            if self._conn.their_state is h11.IDLE and not self._has_begun():
                return None
            title = f'not whole after {limits.request_seconds} s; send faster'
            await self._refuse(
                httpmessage.problem(http.HTTPStatus.REQUEST_TIMEOUT, title)
            )
        return None

    def _has_begun(self) -> bool:
        return bool(self._conn.trailing_data[0])

    async def _read_request(
        self, limit: asyncio.Timeout
    ) -> httpmessage.Request | None:
        event = await self._receiver.next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request)
        limits = self._server.limits
        now = asyncio.get_running_loop().time()
        limit.reschedule(now + limits.request_seconds)
        fields = {
            name.decode(): text.decode('latin-1')
            for name, text in event.headers
        }
        if 'transfer-encoding' in fields and 'content-length' in fields:
            # RFC 9112, 6.1: a sign of request smuggling.
            title = 'both Content-Length and Transfer-Encoding; send one'
            raise _RefusedError(
                httpmessage.problem(http.HTTPStatus.BAD_REQUEST, title)
            )
        if self._conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._conn.send(go_on))
        body = await self._read_body()
        return httpmessage.Request(
            event.method.decode(), event.target.decode(), fields, body
        )

    async def _read_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._receiver.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise ConnectionError('closed before the whole request')
            size += len(event.data)
            if size > self._server.limits.body_bytes:
                most = self._server.limits.body_bytes
                title = f'body larger than {most} bytes; send less'
                raise _RefusedError(
                    httpmessage.problem(
                        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, title
                    )
                )
            parts.append(bytes(event.data))

    async def _handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        watcher = asyncio.create_task(self._watch(req))
        try:
            return await self._server.handler(req)
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)

    async def _watch(self, req: httpmessage.Request) -> None:
        await self._receiver.wait_gone()
        req.disconnected.set()

    async def _refuse(self, reply: httpmessage.Reply) -> None:
        """Answer and close, after letting the peer read the answer."""
        if self._conn.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send(reply, close=True)
            self._writer.write_eof()
            await asyncio.sleep(CLOSE_GRACE)

    async def _send(
        self, reply: httpmessage.Reply, *, close: bool = False
    ) -> None:
        fields = {
            'content-type': reply.content_type,
            'content-length': str(len(reply.body)),
            **reply.headers,
        }
        if close or self._server._stopping:
            fields['connection'] = 'close'
        head = h11.Response(
            status_code=reply.status, headers=list(fields.items())
        )
        self._writer.write(self._conn.send(head))
        for at in range(0, len(reply.body), SLICE_BYTES):
            part = reply.body[at : at + SLICE_BYTES]
            self._writer.write(self._conn.send(h11.Data(data=part)))
            await self._flush()
        self._writer.write(self._conn.send(h11.EndOfMessage()))
        await self._flush()

    async def _flush(self) -> None:
        async with asyncio.timeout(self._server.limits.write_seconds):
            await self._writer.drain()
