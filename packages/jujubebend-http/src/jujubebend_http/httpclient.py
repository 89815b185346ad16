"""HTTP client: pooled keep-alive connections and a timeout for each call."""

from __future__ import annotations

import asyncio
import contextlib
from collections import abc

import attrs
import h11
import orjson

from jujubebend import errors, resources
from jujubebend_http import httpmessage

MAX_REPLY_BYTES = resources.GIB // 10
MAX_IDLE_SECONDS = 30.0


@attrs.frozen
class Recipient:
    """The process that a request is meant for, among those at one address.

    A connection ends with the process that serves it, so a request on a
    connection reaches the process that has answered on it before, or none. A
    new connection may be served by a later process, however soon the request
    follows. The request is therefore sent only on a connection on which
    ``identity`` has answered. Any other connection carries the request
    ``question`` to ``target`` first, and ``read_identity`` returns who answered:

        recipient = Recipient(
            'boot-7', '/whoami', b'', lambda reply: reply.json()['boot']
        )
        await client.call('POST', '/stop', timeout=1, recipient=recipient)

    The question must be harmless to whichever process it reaches. An ``identity``
    of None stands for no process: the question is asked, nothing else is sent.
    """

    identity: abc.Hashable
    target: str
    question: bytes
    read_identity: abc.Callable[[httpmessage.Reply], abc.Hashable]

    def has_answered_on(self, conn: _Connection) -> bool:
        """Return whether the recipient serves a connection."""
        return conn.identity is not None and conn.identity == self.identity

    def may_serve(self, conn: _Connection) -> bool:
        """Return whether a connection is worth asking.

        It is not if another process has answered on it. Without an identity
        any process may answer.
        """
        return self.identity is None or conn.identity in {None, self.identity}


class OtherProcessError(errors.NotSentError):
    """Another process than the recipient answered the question: ``reply``."""

    def __init__(self, message: str, reply: httpmessage.Reply) -> None:
        """Store the reply to the question."""
        self.reply = reply
        super().__init__(message)


@attrs.define(eq=False)
class _Connection:
    """A connection; ``identity`` is the process that has answered on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    identity: abc.Hashable = None
    last_used_at: float = 0
    deadline: asyncio.Timeout | None = None
    timeout_seconds: float = 0

    def extend_deadline(self) -> None:
        if self.deadline is not None:
            now = asyncio.get_running_loop().time()
            self.deadline.reschedule(now + self.timeout_seconds)

    @property
    def is_reusable(self) -> bool:
        return (
            self.protocol.our_state is h11.IDLE
            and self.protocol.their_state is h11.IDLE
        )

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
        recipient: Recipient | None = None,
    ) -> httpmessage.Reply:
        """Send a request and return the complete reply.

        ``timeout`` is in seconds and covers the whole call, including the
        wait for a connection. If ``is_idle_timeout`` is set, it starts anew
        with each part of the reply that arrives. With a ``recipient`` the
        request is sent to that process or to none, and ``OtherProcessError``
        is raised if another one answers.
        """
        conn: _Connection | None = None
        is_sent = False
        head = self._build_head(method, target, body, headers)
        try:
            async with asyncio.timeout(timeout) as deadline, self._call_slots:
                conn = await self._acquire_connection(recipient)
                conn.deadline = deadline if is_idle_timeout else None
                conn.timeout_seconds = timeout
                await self._find_recipient(conn, recipient, headers)
                is_sent = True
                return await _exchange_messages(conn, head, body)
        except (TimeoutError, OSError, h11.ProtocolError) as exc:
            cause = f'{type(exc).__name__} {exc}'.strip()
            if isinstance(exc, TimeoutError):
                # A network path that went silent affects all connections
                # to the server, so none of the pooled ones is reused.
                await self.close()
        finally:
            if conn is not None:
                self._release_connection(conn)
        message = f'{method} {self.address}{target}: {cause}'
        if not is_sent:
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

    async def _find_recipient(
        self,
        conn: _Connection,
        recipient: Recipient | None,
        headers: dict[str, str] | None,
    ) -> None:
        """Make sure that the recipient serves the connection."""
        if recipient is None or recipient.has_answered_on(conn):
            return
        head = self._build_head(
            'POST', recipient.target, recipient.question, headers
        )
        reply = await _exchange_messages(conn, head, recipient.question)
        conn.identity = recipient.read_identity(reply)
        if not recipient.has_answered_on(conn):
            raise OtherProcessError(
                f'{self.address}: {conn.identity} answered, '
                f'not {recipient.identity}',
                reply,
            )
        if not conn.is_reusable:
            raise errors.NotSentError(
                f'{self.address} closes the connection after one request'
            )

    def _release_connection(self, conn: _Connection) -> None:
        """Keep a connection for further calls, or close it."""
        if conn.is_reusable:
            conn.last_used_at = asyncio.get_running_loop().time()
            self._idle_connections.append(conn)
        else:
            conn.close()

    async def _acquire_connection(
        self, recipient: Recipient | None
    ) -> _Connection:
        now = asyncio.get_running_loop().time()
        while self._idle_connections:
            conn = self._idle_connections.pop()
            is_fresh = now - conn.last_used_at < MAX_IDLE_SECONDS
            is_fresh = is_fresh and not conn.reader.at_eof()
            if is_fresh and (recipient is None or recipient.may_serve(conn)):
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
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

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


async def _exchange_messages(
    conn: _Connection, head: h11.Request, body: bytes
) -> httpmessage.Reply:
    await _send_request(conn, head, body)
    reply = await _receive_reply(conn)
    is_finished = conn.protocol.our_state is h11.DONE
    if is_finished and conn.protocol.their_state is h11.DONE:
        conn.protocol.start_next_cycle()
    return reply


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
                return httpmessage.Reply(status, body, content_type, headers)
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
