"""Emulated key-value store: range reads, watches, transactions, faults."""

from __future__ import annotations

import asyncio
import base64
import http
import random
from urllib import parse

import attrs
import orjson

from jujubebend_http import httpmessage

MS_PER_SECOND = 1_000
HANG_SECONDS = 30.0  # longer than the time-out of any caller
PAGE_ITEMS = 100  # few enough that listings take several pages


@attrs.define(eq=False)
class KvFaults:
    """Faults of the store.

    ``refuse`` answers 503, ``silent`` leaves requests unanswered, ``delay``
    is in seconds, and ``lost_answer_share`` is the share of transactions
    that are applied but not answered.
    """

    refuse: bool = False
    silent: bool = False
    delay: float = 0
    lost_answer_share: float = 0


@attrs.define(eq=False)
class KvStore:
    """Keeps items in memory; revisions only increase.

    ``history`` holds the changes after ``compacted_revision`` for watches.
    """

    rng: random.Random
    faults: KvFaults = attrs.field(factory=KvFaults)
    items: dict[str, dict] = attrs.field(factory=dict)
    history: list[dict] = attrs.field(factory=list)
    compacted_revision: int = 0
    revision: int = 1
    calls: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request."""
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(HANG_SECONDS)
        if self.faults.refuse:
            return _build_reply(http.HTTPStatus.SERVICE_UNAVAILABLE, {})
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        query = dict(parse.parse_qsl(req.target.partition('?')[2]))
        match req.path.rpartition('/')[2]:
            case 'kv-key':
                return self._read_key(query['key'])
            case 'kv-range':
                return self._read_range(query)
            case 'kv-watch':
                return await self._watch_prefix(query)
            case 'kv-txn':
                return await self._commit_transaction(orjson.loads(req.body))
        return _build_reply(http.HTTPStatus.NOT_FOUND, {})

    def put(self, key: str, document: object) -> None:
        """Write a key on behalf of the platform."""
        self.put_bytes(key, orjson.dumps(document))

    def put_bytes(self, key: str, body: bytes) -> None:
        """Write a key on behalf of a writer that may write anything."""
        encoded_value = base64.b64encode(body).decode()
        self._apply_changes([{'key': key, 'value': encoded_value}], [])

    def delete(self, key: str) -> None:
        """Delete a key on behalf of the platform."""
        if key in self.items:
            self._apply_changes([], [key])

    def compact_history(self) -> None:
        """Drop the change history, so that older watches get status 410."""
        self.compacted_revision = self.revision
        self.history.clear()

    def _read_key(self, key: str) -> httpmessage.Reply:
        if key not in self.items:
            return _build_reply(http.HTTPStatus.NOT_FOUND, {})
        return _build_reply(http.HTTPStatus.OK, self.items[key])

    def _read_range(self, query: dict) -> httpmessage.Reply:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > after
        )
        document = {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'more_pages': len(keys) > PAGE_ITEMS,
            'store_revision': self.revision,
        }
        return _build_reply(http.HTTPStatus.OK, document)

    async def _watch_prefix(self, query: dict) -> httpmessage.Reply:
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query['wait_ms']) / MS_PER_SECOND
        while True:
            if after < self.compacted_revision:
                return _build_reply(http.HTTPStatus.GONE, {})
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            remaining = deadline - loop.time()
            if events or remaining <= 0:
                document = {'events': events, 'store_revision': self.revision}
                return _build_reply(http.HTTPStatus.OK, document)
            changed = self._changed
            await asyncio.wait(
                [asyncio.ensure_future(changed.wait())], timeout=remaining
            )

    async def _commit_transaction(self, document: dict) -> httpmessage.Reply:
        for expected in document['expected_rev']:
            if self._find_revision(expected['key']) != expected['revision']:
                status = http.HTTPStatus.PRECONDITION_FAILED
                return _build_reply(status, {'items': []})
        self._apply_changes(document['writes'], document['deletes'])
        revision = self.revision
        if self.rng.random() < self.faults.lost_answer_share:
            await asyncio.sleep(HANG_SECONDS)
        return _build_reply(http.HTTPStatus.OK, {'revision': revision})

    def _find_revision(self, key: str) -> int:
        item = self.items.get(key)
        return item['revision'] if item else 0

    def _apply_changes(self, writes: list[dict], deletes: list[str]) -> None:
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
            deletion = {'key': key, 'revision': self.revision, 'deleted': True}
            self.history.append(deletion)
        self._changed.set()
        self._changed = asyncio.Event()


def _build_reply(status: int, document: dict) -> httpmessage.Reply:
    return httpmessage.json_reply(status, document)
