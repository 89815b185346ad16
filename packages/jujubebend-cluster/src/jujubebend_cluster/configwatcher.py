"""Follows the operator configuration and the maintenance waves in the store."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend import decoding
from jujubebend_cluster import interfaces, jobspec, logs, watcher, waves


@attrs.define(eq=False)
class ConfigWatcher:
    """Keeps the operator configuration in force and the waves requested.

    ``config`` is None until a configuration has been read. Only one with a
    higher version replaces it. ``waves`` maps a wave's key to the wave.
    """

    store: interfaces.Store
    config_key: str
    prefix: str
    parse_config: abc.Callable[[bytes], jobspec.OperatorConfig]
    parse_wave: abc.Callable[[str, bytes], waves.Wave | None]
    config: jobspec.OperatorConfig | None = None
    waves: dict[str, waves.Wave] = attrs.field(factory=dict)
    _watcher: watcher.PrefixWatcher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Watch the whole prefix; it holds few keys."""
        self._watcher = watcher.PrefixWatcher(
            self.store, self.prefix, self._apply_change
        )

    async def run(self) -> None:
        """Follow the configuration and the waves until cancelled."""
        await self._watcher.run()

    def reaches_store(self) -> bool:
        """Return whether the store answered the last request."""
        return self._watcher.healthy_since is not None

    def _apply_change(self, key: str, item: interfaces.Item | None) -> None:
        body = item.body if item else None
        try:
            if key == self.config_key:
                self._apply_config(body)
            else:
                self._apply_wave(key, body)
        except decoding.DECODE_ERRORS as exc:
            logs.lifecycle('error', what=f'{key}: {exc!r}')

    def _apply_wave(self, key: str, body: bytes | None) -> None:
        wave = self.parse_wave(key, body) if body else None
        if wave is None:
            self.waves.pop(key, None)
        else:
            self.waves[key] = wave

    def _apply_config(self, body: bytes | None) -> None:
        if body is None:
            return
        config = self.parse_config(body)
        if self.config is None or config.version > self.config.version:
            self.config = config
            logs.belief(
                'text', version=config.version, queues=len(config.queues)
            )
