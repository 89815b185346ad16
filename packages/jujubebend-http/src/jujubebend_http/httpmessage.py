"""HTTP message types and event reader, shared by client and server."""

from __future__ import annotations

import asyncio
import collections

import attrs
import h11
import orjson

READ_CHUNK_BYTES = 65_536
JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'


@attrs.frozen
class Request:
    """A complete request; header names are in lower case.

    ``disconnected`` is set once the client has closed the connection, so
    that a handler can cancel work whose result nobody will receive.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''
    disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@attrs.frozen
class Reply:
    """A complete reply; header names are in lower case."""

    status: int
    body: bytes = b''
    content_type: str = JSON_TYPE
    headers: dict[str, str] = attrs.field(factory=dict)

    def json(self) -> dict:
        """Return the body decoded as JSON."""
        return orjson.loads(self.body)


def json_reply(status: int, document: object) -> Reply:
    """Return a reply with ``document`` as its JSON body."""
    return Reply(status, orjson.dumps(document))


def problem_reply(status: int, title: str, **extensions: object) -> Reply:
    """Return a problem details reply (RFC 9457).

    ``extensions`` are added to the JSON body. ``retry_after``, in seconds,
    is also sent as the ``Retry-After`` header, as at least one second.
    """
    document = {
        'type': 'about:blank',
        'title': title,
        'status': status,
        **extensions,
    }
    headers = {}
    if extensions.get('retry_after'):
        headers['retry-after'] = str(max(1, round(extensions['retry_after'])))
    return Reply(status, orjson.dumps(document), PROBLEM_TYPE, headers)


class EventReader:
    """Reads h11 events from a stream and detects that the peer closed it."""

    def __init__(
        self, reader: asyncio.StreamReader, conn: h11.Connection
    ) -> None:
        """Read bytes from ``reader`` and parse them with ``conn``."""
        self._reader = reader
        self._conn = conn
        self._buffered_chunks: collections.deque[bytes] = collections.deque()

    async def next_event(self) -> object:
        """Return the next event, reading from the stream as needed."""
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            chunk = await self._read_chunk()
            self._conn.receive_data(chunk)

    async def wait_disconnected(self) -> None:
        """Return once the peer has closed the connection.

        Bytes that arrive before that are kept for ``next_event``.
        """
        while True:
            chunk = await self._reader.read(READ_CHUNK_BYTES)
            self._buffered_chunks.append(chunk)
            if not chunk:
                return
            if len(self._buffered_chunks) > 1:
                # Bound the bytes read ahead from a peer that pipelines
                # requests: read no more until this call is cancelled.
                await asyncio.Event().wait()

    async def _read_chunk(self) -> bytes:
        if self._buffered_chunks:
            return self._buffered_chunks.popleft()
        return await self._reader.read(READ_CHUNK_BYTES)
