"""A stand-in of the platform's key-value store."""

from __future__ import annotations

import asyncio
import http
import time
from urllib import parse

import attrs

from jujubebend_http import httpmessage

LARGEST_VALUE_BYTES = 1_000_000
MILLI = 1000
LONGEST_WATCH = 30.0


@attrs.frozen
class _Item:
    key: str
    value: str
    revision: int


@attrs.define(eq=False)
class StoreFake:
    """Keeps items in memory and counts every call.

    ``history`` has each write in order, for checks after a scenario.
    """

    items: dict[str, _Item] = attrs.field(factory=dict)
    revision: int = 0
    reads: int = 0
    writes: int = 0
    by_second: dict[int, list[int]] = attrs.field(factory=dict)
    history: list[tuple[int, str]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one call."""
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
            self._count(0)
            return await self._read(req.path, query)
        self.writes += 1
        self._count(1)
        body = httpmessage.Reply(0, req.body).json()
        if req.method == 'PUT':
            return self._put(body)
        if req.method == 'DELETE':
            return self._delete(body)
        return httpmessage.problem_reply(
            http.HTTPStatus.METHOD_NOT_ALLOWED, 'use GET, PUT or DELETE'
        )

    def _count(self, sort: int) -> None:
        """Count a call of this second: reads are sort zero, writes one."""
        counts = self.by_second.setdefault(int(time.time()), [0, 0])
        counts[sort] += 1

    async def _read(
        self, path: str, query: dict[str, str]
    ) -> httpmessage.Reply:
        match path:
            case '/v1/kv':
                found = self.items.get(query['key'])
                if found is None:
                    return httpmessage.problem_reply(
                        http.HTTPStatus.NOT_FOUND, 'no such key'
                    )
                return httpmessage.json_reply(
                    http.HTTPStatus.OK, attrs.asdict(found)
                )
            case '/v1/range':
                return self._range(query['prefix'], 0)
            case '/v1/watch':
                return await self._watch(query)
        return httpmessage.problem_reply(
            http.HTTPStatus.NOT_FOUND, 'no such path'
        )

    def _range(self, prefix: str, after: int) -> httpmessage.Reply:
        found = [
            attrs.asdict(entry)
            for entry in self.items.values()
            if entry.key.startswith(prefix) and entry.revision > after
        ]
        plain = {'items': found, 'revision': self.revision}
        return httpmessage.json_reply(http.HTTPStatus.OK, plain)

    async def _watch(self, query: dict[str, str]) -> httpmessage.Reply:
        prefix = query['prefix']
        after = int(query['after'])
        wait = min(LONGEST_WATCH, int(query['wait_ms']) / MILLI)
        deadline = asyncio.get_running_loop().time() + wait
        while not self._has_changed(prefix, after):
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return self._range(prefix, after)

    def _has_changed(self, prefix: str, after: int) -> bool:
        return any(
            entry.revision > after and entry.key.startswith(prefix)
            for entry in self.items.values()
        )

    def _put(self, body: dict) -> httpmessage.Reply:
        conflict = self._conflict(body)
        if conflict is not None:
            return conflict
        if len(body['value'].encode()) > LARGEST_VALUE_BYTES:
            return httpmessage.problem_reply(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'value over 1 MB'
            )
        self.revision += 1
        key = body['key']
        self.items[key] = _Item(key, body['value'], self.revision)
        self._note(key)
        return httpmessage.json_reply(
            http.HTTPStatus.OK, {'revision': self.revision}
        )

    def _delete(self, body: dict) -> httpmessage.Reply:
        conflict = self._conflict(body)
        if conflict is not None:
            return conflict
        self.revision += 1
        self.items.pop(body['key'], None)
        self._note(body['key'])
        return httpmessage.json_reply(
            http.HTTPStatus.OK, {'revision': self.revision}
        )

    def _conflict(self, body: dict) -> httpmessage.Reply | None:
        found = self.items.get(body['key'])
        current = found.revision if found else 0
        if current == body['expect']:
            return None
        plain = {'revision': current}
        return httpmessage.json_reply(http.HTTPStatus.CONFLICT, plain)

    def _note(self, key: str) -> None:
        self.history.append((self.revision, key))
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
