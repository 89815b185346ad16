"""Watches a key prefix of the store: lists it once, then follows changes."""

from __future__ import annotations

import asyncio
import random
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, interfaces, logs

MIN_RETRY_DELAY_S = 0.12
MAX_RETRY_DELAY_S = 0.4  # also bounds how late a store's return is noticed


@attrs.define(eq=False)
class PrefixWatcher:
    """Reports every change under a prefix to ``on_change``.

    ``on_change(key, item)`` gets None as the item of a deleted key.
    ``revisions`` holds the latest revision seen of each key. ``wait_s`` is the
    long-poll timeout. ``listed`` is set once the prefix has been listed.
    ``healthy_since`` is when the store was last reached again, None while it
    is unreachable.
    """

    store: interfaces.Store
    prefix: str
    on_change: abc.Callable[[str, interfaces.Item | None], None]
    wait_s: float = 1.0
    revisions: dict[str, int] = attrs.field(factory=dict)
    revision: int = 0
    listed: asyncio.Event = attrs.field(factory=asyncio.Event)
    healthy_since: float | None = None

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        while True:
            try:
                await self._watch_prefix()
            except errors.HistoryGoneError:
                logs.belief('history_gone', prefix=self.prefix)
                self.revision = 0
            except (errors.RefusedError, errors.UnreachableError) as exc:
                self._update_health(healthy=False, why=str(exc))
                await asyncio.sleep(
                    random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
                )

    async def _watch_prefix(self) -> None:
        if not self.revision:
            await self._list_prefix()
        while True:
            changes, revision = await self.store.watch(
                self.prefix, self.revision, self.wait_s
            )
            self._update_health(healthy=True)
            for item in changes:
                self._apply_change(item)
            self.revision = max(self.revision, revision)

    async def _list_prefix(self) -> None:
        items, revision = await self.store.scan(self.prefix)
        self._update_health(healthy=True)
        listed_keys = {item.key for item in items}
        for item in items:
            if self.revisions.get(item.key, 0) < item.revision:
                self._apply_change(item)
        for key in set(self.revisions) - listed_keys:
            self._apply_change(interfaces.Item(key, None, revision))
        self.revision = revision
        self.listed.set()

    def _apply_change(self, item: interfaces.Item) -> None:
        if item.body is None:
            if self.revisions.pop(item.key, None) is not None:
                self.on_change(item.key, None)
            return
        self.revisions[item.key] = item.revision
        self.on_change(item.key, item)

    def _update_health(self, *, healthy: bool, why: str = '') -> None:
        if healthy and self.healthy_since is None:
            self.healthy_since = clock.now()
            logs.dependency(f'store:{self.prefix}', lost=False)
        elif not healthy and self.healthy_since is not None:
            self.healthy_since = None
            logs.dependency(f'store:{self.prefix}', lost=True, why=why)
