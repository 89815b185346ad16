"""HTTP server with limits on message size, time and connections."""

from __future__ import annotations

import asyncio
import http
from collections import abc

import attrs
import h11

from jujubebend import resources
from jujubebend_http import httpmessage

Handler = abc.Callable[[httpmessage.Request], abc.Awaitable[httpmessage.Reply]]
# Returns the reply to a request whose handler raised an unexpected exception.
ErrorHandler = abc.Callable[[httpmessage.Request, Exception], httpmessage.Reply]
# Time for a client to read the reply to a rejected request before the
# connection is closed.
CLOSE_GRACE_SECONDS = 0.2
LISTEN_BACKLOG = 512
WRITE_CHUNK_BYTES = 65_536


@attrs.frozen
class Limits:
    """Limits on connections and on the requests and replies they carry.

    ``idle_seconds`` limits the wait for a request's headers,
    ``request_seconds`` the wait for its body after them, and
    ``write_seconds`` the wait for the client to accept a chunk of the reply.
    """

    body_bytes: int = 2 * resources.MIB
    header_bytes: int = 16_384
    connections: int = 2048
    idle_seconds: float = 60
    request_seconds: float = 10
    write_seconds: float = 30


class _RejectedRequestError(Exception):
    """Raised for a request that must not reach the handler."""

    def __init__(self, reply: httpmessage.Reply) -> None:
        super().__init__(reply.status)
        self.reply = reply


def reply_to_error(
    req: httpmessage.Request, exc: Exception
) -> httpmessage.Reply:
    """Return the usual reply to a request whose handler failed."""
    title = f'{req.method} {req.path} failed: {type(exc).__name__}'
    return httpmessage.problem_reply(
        http.HTTPStatus.INTERNAL_SERVER_ERROR, title
    )


@attrs.define(eq=False)
class Server:
    """A server that passes every request to one handler.

        server = Server(handle, Limits())
        await server.start('127.0.0.1', 8000)

    ``stop`` lets the requests in progress finish. ``handle_error`` replies to
    a request whose handler raised an unexpected exception; the connection and
    its other requests go on.
    """

    handler: Handler
    limits: Limits = attrs.field(factory=Limits)
    handle_error: ErrorHandler = reply_to_error
    port: int = 0
    _listener: asyncio.Server | None = None
    _connection_tasks: set[asyncio.Task] = attrs.field(factory=set)
    _busy_tasks: set[asyncio.Task] = attrs.field(factory=set)
    _is_draining: bool = False

    async def start(self, host: str, port: int) -> None:
        """Listen on an address.

        If ``port`` is zero, the system chooses a free port. The port in use
        is stored in the attribute ``port``.
        """
        self._listener = await asyncio.start_server(
            self._serve_connection, host, port, backlog=LISTEN_BACKLOG
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def begin_drain(self) -> None:
        """Continue to serve, but close each connection after its reply."""
        self._is_draining = True

    async def stop(self, grace_seconds: float) -> None:
        """Stop listening and close all connections.

        Requests in progress get ``grace_seconds`` to finish and are then
        cancelled.
        """
        self._is_draining = True
        if self._listener is not None:
            self._listener.close()
        for task in self._connection_tasks - self._busy_tasks:
            task.cancel()
        if self._busy_tasks:
            await asyncio.wait(self._busy_tasks, timeout=grace_seconds)
        for task in set(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        try:
            await _ConnectionHandler(self, reader, writer, task).run()
        except (OSError, TimeoutError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._discard_task(task)
            writer.close()

    def _discard_task(self, task: asyncio.Task) -> None:
        self._connection_tasks.discard(task)
        self._busy_tasks.discard(task)


class _ConnectionHandler:
    """Serves the requests of one connection, one after the other."""

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
        self._event_reader = httpmessage.EventReader(reader, self._conn)

    async def run(self) -> None:
        if (
            len(self._server._connection_tasks)
            > self._server.limits.connections
        ):
            # ``_serve_connection`` closes the connection, without a reply.
            return
        while await self._serve_request():
            self._conn.start_next_cycle()

    async def _serve_request(self) -> bool:
        req = await self._receive_request()
        if req is None:
            return False
        self._server._busy_tasks.add(self._task)
        reply = await self._call_handler(req)
        await self._send_reply(reply)
        self._server._busy_tasks.discard(self._task)
        if self._server._is_draining:
            return False
        states = (self._conn.our_state, self._conn.their_state)
        return states == (h11.DONE, h11.DONE)

    async def _receive_request(self) -> httpmessage.Request | None:
        limits = self._server.limits
        try:
            async with asyncio.timeout(limits.idle_seconds) as deadline:
                return await self._read_request(deadline)
        except _RejectedRequestError as exc:
            await self._reject(exc.reply)
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint or http.HTTPStatus.BAD_REQUEST
            title = f'malformed HTTP request: {exc}'
            await self._reject(httpmessage.problem_reply(status, title))
        except TimeoutError:
            if (
                self._conn.their_state is h11.IDLE
                and not self._has_partial_request()
            ):
                # An idle keep-alive connection: no request to reply to.
                return None
            title = f'request not complete after {limits.request_seconds} s'
            await self._reject(
                httpmessage.problem_reply(
                    http.HTTPStatus.REQUEST_TIMEOUT, title
                )
            )
        return None

    def _has_partial_request(self) -> bool:
        return bool(self._conn.trailing_data[0])

    async def _read_request(
        self, deadline: asyncio.Timeout
    ) -> httpmessage.Request | None:
        event = await self._event_reader.next_event()
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request)
        limits = self._server.limits
        now = asyncio.get_running_loop().time()
        deadline.reschedule(now + limits.request_seconds)
        headers = {
            name.decode(): raw_value.decode('latin-1')
            for name, raw_value in event.headers
        }
        if 'transfer-encoding' in headers and 'content-length' in headers:
            # RFC 9112, 6.1: such a message may be request smuggling.
            title = 'both Content-Length and Transfer-Encoding; send only one'
            raise _RejectedRequestError(
                httpmessage.problem_reply(http.HTTPStatus.BAD_REQUEST, title)
            )
        if self._conn.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._conn.send(interim))
        body = await self._read_body()
        return httpmessage.Request(
            event.method.decode(), event.target.decode(), headers, body
        )

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._event_reader.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(chunks)
            if not isinstance(event, h11.Data):
                raise ConnectionError(
                    'connection closed before the request was complete',
                )
            size += len(event.data)
            if size > self._server.limits.body_bytes:
                max_bytes = self._server.limits.body_bytes
                title = f'request body exceeds {max_bytes} bytes; send less'
                raise _RejectedRequestError(
                    httpmessage.problem_reply(
                        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, title
                    )
                )
            chunks.append(bytes(event.data))

    async def _call_handler(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        watcher = asyncio.create_task(self._watch_disconnect(req))
        try:
            return await self._server.handler(req)
        except (OSError, TimeoutError):
            raise
        except Exception as exc:
            return self._server.handle_error(req, exc)
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)

    async def _watch_disconnect(self, req: httpmessage.Request) -> None:
        await self._event_reader.wait_disconnected()
        req.disconnected.set()

    async def _reject(self, reply: httpmessage.Reply) -> None:
        """Send a reply and let the client read it before closing."""
        if self._conn.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_reply(reply, close=True)
            self._writer.write_eof()
            await asyncio.sleep(CLOSE_GRACE_SECONDS)

    async def _send_reply(
        self, reply: httpmessage.Reply, *, close: bool = False
    ) -> None:
        headers = {
            'content-type': reply.content_type,
            'content-length': str(len(reply.body)),
            **reply.headers,
        }
        if close or self._server._is_draining:
            headers['connection'] = 'close'
        head = h11.Response(
            status_code=reply.status, headers=list(headers.items())
        )
        self._writer.write(self._conn.send(head))
        for offset in range(0, len(reply.body), WRITE_CHUNK_BYTES):
            chunk = reply.body[offset : offset + WRITE_CHUNK_BYTES]
            self._writer.write(self._conn.send(h11.Data(data=chunk)))
            await self._drain_writer()
        self._writer.write(self._conn.send(h11.EndOfMessage()))
        await self._drain_writer()

    async def _drain_writer(self) -> None:
        async with asyncio.timeout(self._server.limits.write_seconds):
            await self._writer.drain()
