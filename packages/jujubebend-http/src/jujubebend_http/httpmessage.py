"""HTTP requests and replies as plain values, shared by both sides."""

from __future__ import annotations

import asyncio
import collections

import attrs
import h11
import orjson

READ_BYTES = 65_536
JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'


@attrs.frozen
class Request:
    """A whole request; header names are in lower case.

    ``disconnected`` is set once the sender has gone, so that work nobody
    waits for can be withdrawn.
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
    """A whole reply."""

    status: int
    body: bytes = b''
    content_type: str = JSON_TYPE
    headers: dict[str, str] = attrs.field(factory=dict)

    def json(self) -> dict:
        """Return the body read as JSON."""
        return orjson.loads(self.body)


def json_reply(status: int, plain: object) -> Reply:
    """Return a reply with ``plain`` as its JSON body."""
    return Reply(status, orjson.dumps(plain))


def problem(status: int, title: str, **extra: object) -> Reply:
    """Return an RFC 9457 problem.

    ``retry_after`` in seconds, where given, also becomes the header.
    """
    plain = {'type': 'about:blank', 'title': title, 'status': status, **extra}
    headers = {}
    if extra.get('retry_after'):
        headers['retry-after'] = str(max(1, round(extra['retry_after'])))
    return Reply(status, orjson.dumps(plain), PROBLEM_TYPE, headers)


class Receiver:
    """Reads h11 events from a stream, and notices when the peer goes."""

    def __init__(
        self, reader: asyncio.StreamReader, conn: h11.Connection
    ) -> None:
        """Read what ``reader`` gives into ``conn``."""
        self._reader = reader
        self._conn = conn
        self._early: collections.deque[bytes] = collections.deque()

    async def next_event(self) -> object:
        """Return the next event, waiting for bytes as needed."""
        while True:
            event = self._conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self._receive()
            self._conn.receive_data(received)

    async def wait_gone(self) -> None:
        """Return once the peer has closed; keep what it sends before."""
        while True:
            received = await self._reader.read(READ_BYTES)
            self._early.append(received)
            if not received:
                return
            if len(self._early) > 1:
                # A peer that pipelines waits; nothing more is read for it.
                await asyncio.Event().wait()

    async def _receive(self) -> bytes:
        if self._early:
            return self._early.popleft()
        return await self._reader.read(READ_BYTES)
