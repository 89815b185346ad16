"""Follows a prefix of the store: a listing, then every change after it."""

from __future__ import annotations

import asyncio
import random
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, interfaces, logs

RETRY_FIRST = 0.12  # seconds
RETRY_MOST = 0.4  # seconds; a store that is back is noticed this soon


@attrs.define(eq=False)
class Feed:
    """Keeps a copy of a prefix current; ``changed`` hears of each key.

    ``changed(key, item)`` gets None where the key is gone. ``healthy_since``
    is when the store was last reached again, None while it is not.
    """

    store: interfaces.Store
    prefix: str
    changed: abc.Callable[[str, interfaces.Item | None], None]
    wait: float = 1.0
    items: dict[str, int] = attrs.field(factory=dict)
    revision: int = 0
    listed: asyncio.Event = attrs.field(factory=asyncio.Event)
    healthy_since: float | None = None

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                await self._follow()
            except errors.HistoryGoneError:
                logs.belief('history_gone', prefix=self.prefix)
                self.revision = 0
            except (errors.RefusedError, errors.UnreachableError) as exc:
                self._note(healthy=False, why=str(exc))
                await asyncio.sleep(random.uniform(RETRY_FIRST, RETRY_MOST))

    async def _follow(self) -> None:
        if not self.revision:
            await self._list()
        while True:
            events, revision = await self.store.watch(
                self.prefix, self.revision, self.wait
            )
            self._note(healthy=True)
            for item in events:
                self._take(item)
            self.revision = max(self.revision, revision)

    async def _list(self) -> None:
        items, revision = await self.store.scan(self.prefix)
        self._note(healthy=True)
        found = {item.key for item in items}
        for item in items:
            if self.items.get(item.key, 0) < item.revision:
                self._take(item)
        for key in set(self.items) - found:
            self._take(interfaces.Item(key, None, revision))
        self.revision = revision
        self.listed.set()

    def _take(self, item: interfaces.Item) -> None:
        if item.body is None:
            if self.items.pop(item.key, None) is not None:
                self.changed(item.key, None)
            return
        self.items[item.key] = item.revision
        self.changed(item.key, item)

    def _note(self, *, healthy: bool, why: str = '') -> None:
        if healthy and self.healthy_since is None:
            self.healthy_since = clock.now()
            logs.dependency(f'store:{self.prefix}', lost=False)
        elif not healthy and self.healthy_since is not None:
            self.healthy_since = None
            logs.dependency(f'store:{self.prefix}', lost=True, why=why)
