"""The platform's key-value store: compare-and-swap, leases, watches.

``Store`` is the interface that the rest of the project uses; ``HttpStore``
is the one module that knows the wire form.
"""

from __future__ import annotations

import http
import typing
from collections import abc
from urllib import parse

import attrs

from jujubebend import errors
from jujubebend_http import httpclient, httpmessage

CALL_TIMEOUT = 2.0
CONNECTIONS = 8
MAX_VALUE_BYTES = 1_000_000
_KNOWN_STATUSES = frozenset((
    http.HTTPStatus.OK,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.CONFLICT,
))


@attrs.frozen
class Item:
    """A key with its value and the revision of its last write."""

    key: str
    text: str
    revision: int


@attrs.frozen
class Changes:
    """Items changed since a revision, and the store's own revision."""

    items: list[Item]
    revision: int


class ConflictError(errors.JujubebendError):
    """The key has another revision than was expected."""

    def __init__(self, key: str, revision: int) -> None:
        """Keep the key and the revision that it has."""
        self.key = key
        self.revision = revision
        super().__init__(f'{key} is at revision {revision}; read it again')


class Store(typing.Protocol):
    """What the project asks of the platform's store.

    Every call raises ``errors.UnreachableError`` when no answer came. A
    write may then have taken effect. A value over ``MAX_VALUE_BYTES``
    raises ``errors.RefusedError``.
    """

    async def get(self, key: str) -> Item | None:
        """Return the item under a key."""

    async def put(self, key: str, text: str, expect: int) -> int:
        """Write if the key is at revision ``expect``; zero means absent.

        Returns the new revision or raises ``ConflictError``.
        """

    async def delete(self, key: str, expect: int) -> None:
        """Delete if the key is at revision ``expect``."""

    async def range(self, prefix: str) -> Changes:
        """Return all items whose keys begin with ``prefix``."""

    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Return what changed after a revision, waiting up to ``wait`` s."""

    async def close(self) -> None:
        """Let go of the connections."""


@attrs.define(eq=False)
class HttpStore:
    """The store over HTTP and JSON; ``calls`` counts by kind of call."""

    address: str
    calls: dict[str, int] = attrs.field(factory=dict)
    _client: httpclient.Client = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the pool."""
        self._client = httpclient.Client(self.address, CONNECTIONS)

    async def get(self, key: str) -> Item | None:
        """Return the item under a key."""
        reply = await self._call('GET', '/v1/kv', {'key': key})
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _to_item(reply.json())

    async def put(self, key: str, text: str, expect: int) -> int:
        """Write if the key is at the expected revision."""
        body = {'key': key, 'value': text, 'expect': expect}
        reply = await self._call('PUT', '/v1/kv', body=body)
        plain = reply.json()
        if reply.status == http.HTTPStatus.CONFLICT:
            raise ConflictError(key, plain['revision'])
        return plain['revision']

    async def delete(self, key: str, expect: int) -> None:
        """Delete if the key is at the expected revision."""
        body = {'key': key, 'expect': expect}
        reply = await self._call('DELETE', '/v1/kv', body=body)
        if reply.status == http.HTTPStatus.CONFLICT:
            raise ConflictError(key, reply.json()['revision'])

    async def range(self, prefix: str) -> Changes:
        """Return all items under a prefix."""
        reply = await self._call('GET', '/v1/range', {'prefix': prefix})
        return _to_changes(reply.json())

    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Return what changed, waiting for it."""
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(round(wait * 1000)),
        }
        reply = await self._call('GET', '/v1/watch', query, wait=wait)
        return _to_changes(reply.json())

    async def close(self) -> None:
        """Close the pool."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: abc.Mapping[str, str] | None = None,
        body: object = None,
        wait: float = 0,
    ) -> httpmessage.Reply:
        name = f'{method} {path}'
        self.calls[name] = self.calls.get(name, 0) + 1
        target = path
        if query:
            target = f'{path}?{parse.urlencode(query)}'
        reply = await self._client.call_json(
            method, target, body, timeout=CALL_TIMEOUT + wait
        )
        if reply.status == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise errors.RefusedError(f'{name}: the value is too large')
        if reply.status not in _KNOWN_STATUSES:
            raise errors.UnreachableError(
                f'{name}: the store answered {reply.status}',
            )
        return reply


def _to_item(plain: dict) -> Item:
    return Item(plain['key'], plain['value'], plain['revision'])


def _to_changes(plain: dict) -> Changes:
    items = [_to_item(entry) for entry in plain['items']]
    return Changes(items, plain['revision'])
