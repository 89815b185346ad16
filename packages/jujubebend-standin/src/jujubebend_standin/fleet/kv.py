"""The platform's store: keys, ranges, watches, transactions, faults."""

from __future__ import annotations

import asyncio
import base64
import http
import random
from urllib import parse

import attrs
import orjson

from jujubebend_http import httpmessage

MILLI = 1_000
SILENCE = 30.0  # seconds; longer than any caller waits
PAGE = 100  # items of one answer, few enough that listings take pages


@attrs.define(eq=False)
class KvFaults:
    """What is wrong with the store; ``lose`` is a share of the writes."""

    refuse: bool = False
    silent: bool = False
    delay: float = 0
    lose: float = 0


@attrs.define(eq=False)
class KvStore:
    """Keeps items in memory; revisions only rise."""

    chance: random.Random
    faults: KvFaults = attrs.field(factory=KvFaults)
    items: dict[str, dict] = attrs.field(factory=dict)
    history: list[dict] = attrs.field(factory=list)
    forgotten: int = 0
    revision: int = 1
    calls: int = 0
    _moved: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer one call."""
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(SILENCE)
        if self.faults.refuse:
            return _reply(http.HTTPStatus.SERVICE_UNAVAILABLE, {})
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        query = dict(parse.parse_qsl(req.target.partition('?')[2]))
        match req.path.rpartition('/')[2]:
            case 'kv-key':
                return self._key(query['key'])
            case 'kv-range':
                return self._range(query)
            case 'kv-watch':
                return await self._watch(query)
            case 'kv-txn':
                return await self._txn(orjson.loads(req.body))
        return _reply(http.HTTPStatus.NOT_FOUND, {})

    def put(self, key: str, plain: object) -> None:
        """Write a key as the platform itself does."""
        body = base64.b64encode(orjson.dumps(plain)).decode()
        self._apply([{'key': key, 'value': body}], [])

    def delete(self, key: str) -> None:
        """Delete a key as the platform itself does."""
        if key in self.items:
            self._apply([], [key])

    def forget_history(self) -> None:
        """Drop every change that was kept for watches."""
        self.forgotten = self.revision
        self.history.clear()

    def _key(self, key: str) -> httpmessage.Reply:
        if key not in self.items:
            return _reply(http.HTTPStatus.NOT_FOUND, {})
        return _reply(http.HTTPStatus.OK, self.items[key])

    def _range(self, query: dict) -> httpmessage.Reply:
        after = query.get('after', '')
        found = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > after
        )
        plain = {
            'items': [self.items[key] for key in found[:PAGE]],
            'more_pages': len(found) > PAGE,
            'store_revision': self.revision,
        }
        return _reply(http.HTTPStatus.OK, plain)

    async def _watch(self, query: dict) -> httpmessage.Reply:
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query['wait_ms']) / MILLI
        while True:
            if after < self.forgotten:
                return _reply(http.HTTPStatus.GONE, {})
            news = [
                one
                for one in self.history
                if one['revision'] > after
                and one['key'].startswith(query['prefix'])
            ]
            left = until - loop.time()
            if news or left <= 0:
                plain = {'events': news, 'store_revision': self.revision}
                return _reply(http.HTTPStatus.OK, plain)
            moved = self._moved
            await asyncio.wait(
                [asyncio.ensure_future(moved.wait())], timeout=left
            )

    async def _txn(self, plain: dict) -> httpmessage.Reply:
        for expected in plain['expected_rev']:
            if self._revision_of(expected['key']) != expected['revision']:
                status = http.HTTPStatus.PRECONDITION_FAILED
                return _reply(status, {'items': []})
        self._apply(plain['writes'], plain['deletes'])
        revision = self.revision
        if self.chance.random() < self.faults.lose:
            await asyncio.sleep(SILENCE)
        return _reply(http.HTTPStatus.OK, {'revision': revision})

    def _revision_of(self, key: str) -> int:
        item = self.items.get(key)
        return item['revision'] if item else 0

    def _apply(self, writes: list[dict], deletes: list[str]) -> None:
        self.revision += 1
        for write in writes:
            item = {
                'key': write['key'],
                'value': write['value'],
                'revision': self.revision,
            }
            self.items[write['key']] = item
            self.history.append(item)
        for key in deletes:
            self.items.pop(key, None)
            gone = {'key': key, 'revision': self.revision, 'deleted': True}
            self.history.append(gone)
        self._moved.set()
        self._moved = asyncio.Event()


def _reply(status: int, plain: dict) -> httpmessage.Reply:
    return httpmessage.json_reply(status, plain)
