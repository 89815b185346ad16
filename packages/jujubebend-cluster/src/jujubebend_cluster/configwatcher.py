"""Follows what operators write: the text, whose version rises, and waves."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import interfaces, jobspec, logs, watcher, waves


@attrs.define(eq=False)
class TextFeed:
    """Keeps the text in force at hand; ``text`` is None before the first."""

    store: interfaces.Store
    key: str
    prefix: str
    parse: abc.Callable[[bytes], jobspec.OperatorConfig]
    parse_wave: abc.Callable[[str, bytes], waves.Wave | None]
    text: jobspec.OperatorConfig | None = None
    waves: dict[str, waves.Wave] = attrs.field(factory=dict)
    _feed: watcher.Feed = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the whole prefix: it is small."""
        self._feed = watcher.Feed(self.store, self.prefix, self._take)

    async def run(self) -> None:
        """Follow the text until cancelled."""
        await self._feed.run()

    def reaches_store(self) -> bool:
        """Say whether the store answered the last question."""
        return self._feed.healthy_since is not None

    def _take(self, key: str, item: interfaces.Item | None) -> None:
        body = item.body if item else None
        try:
            if key == self.key:
                self._take_text(body)
            else:
                self._take_wave(key, body)
        except (ValueError, KeyError, TypeError) as exc:
            logs.lifecycle('error', what=f'{key}: {exc!r}')

    def _take_wave(self, key: str, body: bytes | None) -> None:
        wave = self.parse_wave(key, body) if body else None
        if wave is None:
            self.waves.pop(key, None)
        else:
            self.waves[key] = wave

    def _take_text(self, body: bytes | None) -> None:
        if body is None:
            return
        text = self.parse(body)
        if self.text is None or text.version > self.text.version:
            self.text = text
            logs.belief('text', version=text.version, queues=len(text.queues))
