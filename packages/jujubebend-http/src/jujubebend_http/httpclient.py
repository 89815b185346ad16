"""HTTP client: pooled keep-alive connections and a timeout for each call."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import abc

import attrs
import h11
import orjson

from jujubebend import errors, resources
from jujubebend_http import httpmessage

MAX_REPLY_BYTES = resources.GIB // 10
MAX_IDLE_SECONDS = 30.0


@attrs.frozen
class PinnedBody:
    """A body for one connection of a client, by the number in a reply.

    A connection ends with the process that serves it, so a request on the
    connection of a reply reaches the process that sent the reply, or none. A new
    connection may reach a later process at the same address.

        reply = await client.call('GET', '/', timeout=1)
        pinned_body = PinnedBody(reply.connection, b'for that process')
        await client.call(
            'POST', '/', b'for any', timeout=1, pinned_body=pinned_body
        )
    """

    connection: int
    body: bytes


@attrs.define(eq=False)
class _Connection:
    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    last_used_at: float = 0
    deadline: asyncio.Timeout | None = None
    timeout_seconds: float = 0

    def extend_deadline(self) -> None:
        if self.deadline is not None:
            now = asyncio.get_running_loop().time()
            self.deadline.reschedule(now + self.timeout_seconds)

    def close(self) -> None:
        self.writer.close()


@attrs.define(eq=False)
class Client:
    """A client of one server at ``host:port``.

        client = Client('127.0.0.1:8000')
        reply = await client.call('GET', '/healthz', timeout=1)

    At most ``max_connections`` calls are in progress at a time, each on a
    connection of its own; further calls wait.

    A call without a complete reply raises ``errors.UnreachableError``. The
    server may have processed the request, unless the error is an
    ``errors.NotSentError``.
    """

    address: str
    max_connections: int = 8
    _idle_connections: list[_Connection] = attrs.field(factory=list)
    _connection_numbers: abc.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _call_slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the semaphore that bounds the number of connections."""
        self._call_slots = asyncio.Semaphore(self.max_connections)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        timeout: float,
        headers: dict[str, str] | None = None,
        is_idle_timeout: bool = False,
        pinned_body: PinnedBody | None = None,
    ) -> httpmessage.Reply:
        """Send a request and return the complete reply.

        ``timeout`` is in seconds and covers the whole call, including the
        wait for a connection. If ``is_idle_timeout`` is set, it starts anew
        with each part of the reply that arrives. ``pinned_body`` takes the
        place of ``body`` if the request is sent on its connection.
        """
        conn: _Connection | None = None
        head = self._build_head(method, target, body, headers)
        try:
            async with asyncio.timeout(timeout) as deadline, self._call_slots:
                conn = await self._acquire_connection()
                conn.deadline = deadline if is_idle_timeout else None
                conn.timeout_seconds = timeout
                if pinned_body and pinned_body.connection == conn.number:
                    body = pinned_body.body
                    head = self._build_head(method, target, body, headers)
                return await self._exchange_messages(conn, head, body)
        except (TimeoutError, OSError, h11.ProtocolError) as exc:
            cause = f'{type(exc).__name__} {exc}'.strip()
            if isinstance(exc, TimeoutError):
                # A network path that went silent affects all connections
                # to the server, so none of the pooled ones is reused.
                await self.close()
        message = f'{method} {self.address}{target}: {cause}'
        if conn is None:
            raise errors.NotSentError(message)
        raise errors.UnreachableError(message)

    async def call_json(
        self, method: str, target: str, document: object, *, timeout: float
    ) -> httpmessage.Reply:
        """Send ``document`` as JSON and return the complete reply.

        The body is empty if ``document`` is None.
        """
        body = b'' if document is None else orjson.dumps(document)
        return await self.call(method, target, body, timeout=timeout)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _exchange_messages(
        self,
        conn: _Connection,
        head: h11.Request,
        body: bytes,
    ) -> httpmessage.Reply:
        is_reusable = False
        try:
            await _send_request(conn, head, body)
            reply = await _receive_reply(conn)
            is_reusable = conn.protocol.our_state is h11.DONE
            is_reusable = is_reusable and conn.protocol.their_state is h11.DONE
        finally:
            if is_reusable:
                conn.protocol.start_next_cycle()
                conn.last_used_at = asyncio.get_running_loop().time()
                self._idle_connections.append(conn)
            else:
                conn.close()
        return reply

    async def _acquire_connection(self) -> _Connection:
        now = asyncio.get_running_loop().time()
        while self._idle_connections:
            conn = self._idle_connections.pop()
            is_fresh = now - conn.last_used_at < MAX_IDLE_SECONDS
            if is_fresh and not conn.reader.at_eof():
                return conn
            conn.close()
        host, _, port = self.address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError as exc:
            raise errors.RefusedConnectionError(
                f'{self.address}: {exc}'
            ) from exc
        except (OSError, ValueError, OverflowError) as exc:
            # An address may come from another process: a port out of range
            # and a host that is no name are reported by these other errors.
            raise errors.NotSentError(f'{self.address}: {exc}') from exc
        return _Connection(
            next(self._connection_numbers),
            reader,
            writer,
            h11.Connection(h11.CLIENT),
        )

    def _build_head(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> h11.Request:
        all_headers = {
            'host': self.address,
            'content-length': str(len(body)),
            **(headers or {}),
        }
        try:
            return h11.Request(
                method=method, target=target, headers=list(all_headers.items())
            )
        except (ValueError, h11.LocalProtocolError) as exc:
            raise errors.NotSentError(
                f'{method} {self.address}{target}: {exc}'
            ) from exc


async def _send_request(
    conn: _Connection, head: h11.Request, body: bytes
) -> None:
    encoded = conn.protocol.send(head)
    if body:
        encoded += conn.protocol.send(h11.Data(data=body))
    encoded += conn.protocol.send(h11.EndOfMessage())
    conn.writer.write(encoded)
    await conn.writer.drain()


async def _receive_reply(conn: _Connection) -> httpmessage.Reply:
    event_reader = httpmessage.EventReader(conn.reader, conn.protocol)
    status = 0
    headers: dict[str, str] = {}
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await event_reader.next_event()
        conn.extend_deadline()
        match event:
            case h11.Response():
                status = event.status_code
                headers = {
                    name.decode(): raw_value.decode('latin-1')
                    for name, raw_value in event.headers
                }
            case h11.Data():
                chunks.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_REPLY_BYTES:
                    raise ConnectionError(
                        f'the reply exceeds {MAX_REPLY_BYTES} bytes',
                    )
            case h11.EndOfMessage():
                content_type = headers.get('content-type', '')
                body = b''.join(chunks)
                return httpmessage.Reply(
                    status, body, content_type, headers, conn.number
                )
            case h11.ConnectionClosed():
                raise ConnectionError(
                    'connection closed before the reply was complete',
                )


@contextlib.asynccontextmanager
async def open_client(address: str, max_connections: int = 8):  # noqa: ANN201
    """Yield a client that is closed at the end of the ``async with`` block."""
    client = Client(address, max_connections)
    try:
        yield client
    finally:
        await client.close()
