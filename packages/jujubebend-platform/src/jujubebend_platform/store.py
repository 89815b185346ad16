"""Client of the platform's key-value store: conditional writes and watches.

The rest of the project uses the interface ``Store``. ``HttpStore``
implements it; only this module knows the wire format.
"""

from __future__ import annotations

import http
import typing
from collections import abc
from urllib import parse

import attrs

from jujubebend import errors
from jujubebend_http import httpclient, httpmessage

CALL_TIMEOUT_SECONDS = 2.0
MAX_CONNECTIONS = 8
MAX_VALUE_BYTES = 1_000_000
_EXPECTED_STATUSES = frozenset((
    http.HTTPStatus.OK,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.CONFLICT,
))


@attrs.frozen
class Item:
    """A key, its value in ``text`` and the revision of its last write."""

    key: str
    text: str
    revision: int


@attrs.frozen
class ItemList:
    """Items of a prefix, and the store's revision when they were read."""

    items: list[Item]
    revision: int


class ConflictError(errors.JujubebendError):
    """The key is not at the expected revision; nothing was written."""

    def __init__(self, key: str, revision: int) -> None:
        """Keep the key and its current revision."""
        self.key = key
        self.revision = revision
        super().__init__(
            f'{key} is at revision {revision}; read it again before writing'
        )


class Store(typing.Protocol):
    """Interface to the key-value store.

    Every call raises ``errors.UnreachableError`` if there is no answer. A
    write may have taken effect nevertheless. Writing a value of more than
    ``MAX_VALUE_BYTES`` raises ``errors.RefusedError``.
    """

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key does not exist."""

    async def put(self, key: str, text: str, expect: int) -> int:
        """Write if the key is at revision ``expect``; zero means absent.

        Returns the new revision or raises ``ConflictError``.
        """

    async def delete(self, key: str, expect: int) -> None:
        """Delete the key if it is at revision ``expect``.

        Raises ``ConflictError`` if it is not.
        """

    async def scan(self, prefix: str) -> ItemList:
        """Return all items whose keys begin with ``prefix``."""

    async def watch(self, prefix: str, after: int, wait: float) -> ItemList:
        """Return the items changed after the revision ``after``.

        Waits up to ``wait`` seconds for a first change.
        """

    async def close(self) -> None:
        """Close the connections."""


@attrs.define(eq=False)
class HttpStore:
    """Store client over HTTP; ``calls`` counts calls by method and path."""

    address: str
    calls: dict[str, int] = attrs.field(factory=dict)
    _client: httpclient.Client = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; it connects on the first call."""
        self._client = httpclient.Client(self.address, MAX_CONNECTIONS)

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key does not exist."""
        reply = await self._call('GET', '/v1/kv', {'key': key})
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _to_item(reply.json())

    async def put(self, key: str, text: str, expect: int) -> int:
        """Write if the key is at the expected revision."""
        body = {'key': key, 'value': text, 'expect': expect}
        reply = await self._call('PUT', '/v1/kv', body=body)
        document = reply.json()
        if reply.status == http.HTTPStatus.CONFLICT:
            raise ConflictError(key, document['revision'])
        return document['revision']

    async def delete(self, key: str, expect: int) -> None:
        """Delete the key if it is at the expected revision."""
        body = {'key': key, 'expect': expect}
        reply = await self._call('DELETE', '/v1/kv', body=body)
        if reply.status == http.HTTPStatus.CONFLICT:
            raise ConflictError(key, reply.json()['revision'])

    async def scan(self, prefix: str) -> ItemList:
        """Return all items whose keys begin with ``prefix``."""
        reply = await self._call('GET', '/v1/range', {'prefix': prefix})
        return _to_item_list(reply.json())

    async def watch(self, prefix: str, after: int, wait: float) -> ItemList:
        """Return the items changed after the revision ``after`` (long poll)."""
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(round(wait * 1000)),
        }
        reply = await self._call('GET', '/v1/watch', query, wait=wait)
        return _to_item_list(reply.json())

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: abc.Mapping[str, str] | None = None,
        body: object = None,
        wait: float = 0,
    ) -> httpmessage.Reply:
        call_name = f'{method} {path}'
        self.calls[call_name] = self.calls.get(call_name, 0) + 1
        target = path
        if query:
            target = f'{path}?{parse.urlencode(query)}'
        reply = await self._client.call_json(
            method, target, body, timeout=CALL_TIMEOUT_SECONDS + wait
        )
        if reply.status == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            raise errors.RefusedError(
                f'{call_name}: the value exceeds the limit of the store'
            )
        if reply.status not in _EXPECTED_STATUSES:
            raise errors.UnreachableError(
                f'{call_name}: the store answered {reply.status}; '
                'the call may have taken effect',
            )
        return reply


def _to_item(document: dict) -> Item:
    return Item(document['key'], document['value'], document['revision'])


def _to_item_list(document: dict) -> ItemList:
    items = [_to_item(row) for row in document['items']]
    return ItemList(items, document['revision'])
