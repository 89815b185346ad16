"""Follows the operators' text; versions only go up."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import feed, jobspec, logs, ports


@attrs.define(eq=False)
class TextFeed:
    """Keeps the text in force at hand; ``text`` is None before the first."""

    store: ports.Store
    key: str
    prefix: str
    parse: abc.Callable[[bytes], jobspec.Text]
    text: jobspec.Text | None = None
    _feed: feed.Feed = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the whole prefix: it is small."""
        self._feed = feed.Feed(self.store, self.prefix, self._take)

    async def run(self) -> None:
        """Follow the text until cancelled."""
        await self._feed.run()

    def reaches_store(self) -> bool:
        """Say whether the store answered the last question."""
        return self._feed.healthy_since is not None

    def _take(self, key: str, item: ports.Item | None) -> None:
        if key != self.key or item is None or item.body is None:
            return
        try:
            text = self.parse(item.body)
        except (ValueError, KeyError, TypeError) as exc:
            logs.lifecycle('error', what=f'{key}: {exc!r}')
            return
        if self.text is None or text.version > self.text.version:
            self.text = text
            logs.belief('text', version=text.version, queues=len(text.queues))
