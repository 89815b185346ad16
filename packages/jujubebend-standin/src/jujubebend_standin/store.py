"""Fake of the platform's key-value store, in memory."""

from __future__ import annotations

import asyncio
import http
import time
from urllib import parse

import attrs

from jujubebend_http import httpmessage

MAX_VALUE_BYTES = 1_000_000
MS_PER_SECOND = 1000
MAX_WATCH_SECONDS = 30.0


@attrs.frozen
class _Item:
    key: str
    value: str
    revision: int


@attrs.define(eq=False)
class FakeStore:
    """Keeps items in memory and counts reads and writes.

    ``by_second`` maps each second of wall time to its reads and writes.
    ``history`` lists the revision and key of every write and delete in order.
    """

    items: dict[str, _Item] = attrs.field(factory=dict)
    revision: int = 0
    reads: int = 0
    writes: int = 0
    by_second: dict[int, list[int]] = attrs.field(factory=dict)
    history: list[tuple[int, str]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request."""
        if req.path == '/v1/counts':
            counts = {
                'reads': self.reads,
                'writes': self.writes,
                'by_second': list(self.by_second.values()),
            }
            return httpmessage.json_reply(http.HTTPStatus.OK, counts)
        query = dict(parse.parse_qsl(req.target.partition('?')[2]))
        if req.method == 'GET':
            self.reads += 1
            self._count_call(0)
            return await self._serve_read(req.path, query)
        self.writes += 1
        self._count_call(1)
        body = httpmessage.Reply(0, req.body).json()
        if req.method == 'PUT':
            return self._put_item(body)
        if req.method == 'DELETE':
            return self._delete_item(body)
        return httpmessage.problem_reply(
            http.HTTPStatus.METHOD_NOT_ALLOWED,
            'unsupported method: expected GET, PUT or DELETE',
        )

    def _count_call(self, index: int) -> None:
        """Count a call in the current second: index 0 is reads, 1 writes."""
        counts = self.by_second.setdefault(int(time.time()), [0, 0])
        counts[index] += 1

    async def _serve_read(
        self, path: str, query: dict[str, str]
    ) -> httpmessage.Reply:
        match path:
            case '/v1/kv':
                item = self.items.get(query['key'])
                if item is None:
                    return httpmessage.problem_reply(
                        http.HTTPStatus.NOT_FOUND, 'key not found'
                    )
                return httpmessage.json_reply(
                    http.HTTPStatus.OK, attrs.asdict(item)
                )
            case '/v1/range':
                return self._list_range(query['prefix'], 0)
            case '/v1/watch':
                return await self._watch_prefix(query)
        return httpmessage.problem_reply(
            http.HTTPStatus.NOT_FOUND, 'path not found'
        )

    def _list_range(self, prefix: str, after: int) -> httpmessage.Reply:
        matching = [
            attrs.asdict(item)
            for item in self.items.values()
            if item.key.startswith(prefix) and item.revision > after
        ]
        document = {'items': matching, 'revision': self.revision}
        return httpmessage.json_reply(http.HTTPStatus.OK, document)

    async def _watch_prefix(self, query: dict[str, str]) -> httpmessage.Reply:
        prefix = query['prefix']
        after = int(query['after'])
        wait_seconds = min(
            MAX_WATCH_SECONDS, int(query['wait_ms']) / MS_PER_SECOND
        )
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while not self._has_changed(prefix, after):
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                break
        return self._list_range(prefix, after)

    def _has_changed(self, prefix: str, after: int) -> bool:
        return any(
            item.revision > after and item.key.startswith(prefix)
            for item in self.items.values()
        )

    def _put_item(self, body: dict) -> httpmessage.Reply:
        conflict = self._find_conflict(body)
        if conflict is not None:
            return conflict
        if len(body['value'].encode()) > MAX_VALUE_BYTES:
            return httpmessage.problem_reply(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'value exceeds the limit of 1000000 bytes',
            )
        self.revision += 1
        key = body['key']
        self.items[key] = _Item(key, body['value'], self.revision)
        self._record_change(key)
        return httpmessage.json_reply(
            http.HTTPStatus.OK, {'revision': self.revision}
        )

    def _delete_item(self, body: dict) -> httpmessage.Reply:
        conflict = self._find_conflict(body)
        if conflict is not None:
            return conflict
        self.revision += 1
        self.items.pop(body['key'], None)
        self._record_change(body['key'])
        return httpmessage.json_reply(
            http.HTTPStatus.OK, {'revision': self.revision}
        )

    def _find_conflict(self, body: dict) -> httpmessage.Reply | None:
        item = self.items.get(body['key'])
        current = item.revision if item else 0
        if current == body['expect']:
            return None
        document = {'revision': current}
        return httpmessage.json_reply(http.HTTPStatus.CONFLICT, document)

    def _record_change(self, key: str) -> None:
        self.history.append((self.revision, key))
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
