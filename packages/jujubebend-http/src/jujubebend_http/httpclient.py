"""An HTTP client on h11: keep-alive, a bounded pool, one time limit a call."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import h11
import orjson

from jujubebend import errors, resources
from jujubebend_http import httpmessage

LARGEST_REPLY_BYTES = resources.GIB // 10
IDLE_LIMIT = 30.0


@attrs.define(eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection
    used_at: float = 0
    limit: asyncio.Timeout | None = None
    seconds: float = 0

    def renew(self) -> None:
        if self.limit is not None:
            now = asyncio.get_running_loop().time()
            self.limit.reschedule(now + self.seconds)

    def close(self) -> None:
        self.writer.close()


@attrs.define(eq=False)
class Client:
    """Calls one server at ``host:port`` over at most ``limit`` connections.

        client = Client('127.0.0.1:8000')
        reply = await client.call('GET', '/healthz', timeout=1)

    Raises ``errors.UnreachableError`` when no whole reply came: what was
    asked may have been done, unless the error is ``errors.NotSentError``.
    """

    address: str
    limit: int = 8
    _idle: list[_Connection] = attrs.field(factory=list)
    _room: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Bound the connections."""
        self._room = asyncio.Semaphore(self.limit)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        *,
        timeout: float,
        headers: dict[str, str] | None = None,
        is_long: bool = False,
    ) -> httpmessage.Reply:
        """Send a request and return the whole reply.

        Each part of a reply that ``is_long`` renews the time limit.
        """
        conn: _Connection | None = None
        try:
            async with asyncio.timeout(timeout) as limit, self._room:
                conn = await self._connect()
                conn.limit = limit if is_long else None
                conn.seconds = timeout
                return await self._exchange(conn, method, target, body, headers)
        except (TimeoutError, OSError, h11.ProtocolError) as exc:
            cause = f'{type(exc).__name__} {exc}'.strip()
            if isinstance(exc, TimeoutError):
                # A path that went silent takes every connection with it.
                await self.close()
        where = f'{method} {self.address}{target}: {cause}'
        if conn is None:
            raise errors.NotSentError(where)
        raise errors.UnreachableError(where)

    async def call_json(
        self, method: str, target: str, plain: object, *, timeout: float
    ) -> httpmessage.Reply:
        """Send ``plain`` as JSON and return the whole reply."""
        body = b'' if plain is None else orjson.dumps(plain)
        return await self.call(method, target, body, timeout=timeout)

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _exchange(
        self,
        conn: _Connection,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> httpmessage.Reply:
        reusable = False
        try:
            await self._send(conn, method, target, body, headers)
            reply = await _receive(conn)
            reusable = conn.http.our_state is h11.DONE
            reusable = reusable and conn.http.their_state is h11.DONE
        finally:
            if reusable:
                conn.http.start_next_cycle()
                conn.used_at = asyncio.get_running_loop().time()
                self._idle.append(conn)
            else:
                conn.close()
        return reply

    async def _connect(self) -> _Connection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            fresh = now - conn.used_at < IDLE_LIMIT
            if fresh and not conn.reader.at_eof():
                return conn
            conn.close()
        host, _, port = self.address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError as exc:
            raise errors.RefusedConnectionError(
                f'{self.address}: {exc}'
            ) from exc
        except OSError as exc:
            raise errors.NotSentError(f'{self.address}: {exc}') from exc
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _send(
        self,
        conn: _Connection,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> None:
        fields = {
            'host': self.address,
            'content-length': str(len(body)),
            **(headers or {}),
        }
        head = h11.Request(
            method=method, target=target, headers=list(fields.items())
        )
        sent = conn.http.send(head)
        if body:
            sent += conn.http.send(h11.Data(data=body))
        sent += conn.http.send(h11.EndOfMessage())
        conn.writer.write(sent)
        await conn.writer.drain()


async def _receive(conn: _Connection) -> httpmessage.Reply:
    receiver = httpmessage.Receiver(conn.reader, conn.http)
    status = 0
    fields: dict[str, str] = {}
    parts: list[bytes] = []
    size = 0
    while True:
        event = await receiver.next_event()
        conn.renew()
        match event:
            case h11.Response():
                status = event.status_code
                fields = {
                    name.decode(): text.decode('latin-1')
                    for name, text in event.headers
                }
            case h11.Data():
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > LARGEST_REPLY_BYTES:
                    raise ConnectionError('the reply is too large')
            case h11.EndOfMessage():
                content_type = fields.get('content-type', '')
                whole = b''.join(parts)
                return httpmessage.Reply(status, whole, content_type, fields)
            case h11.ConnectionClosed():
                raise ConnectionError('closed before the whole reply')


@contextlib.asynccontextmanager
async def opened(address: str, limit: int = 8):  # noqa: ANN201
    """Give a client that is closed at the end of the block."""
    client = Client(address, limit)
    try:
        yield client
    finally:
        await client.close()
