"""What the platform says: the configuration and the list of hosts.

Both have a revision that only goes up, and travel by heartbeat as well: a
host that finds a peer ahead of it asks that peer for a copy. One host of a
zone watches the store; the others learn from it, and look for themselves
when they start and once in a while.
"""

from __future__ import annotations

import asyncio
from collections import abc

import attrs
import eliot
import orjson

from jujubebend import configuration, errors, membership
from jujubebend_platform import hostlist, store

CONFIG_KEY = 'config/text'
WATCH_WAIT = 20.0
CHECK_INTERVAL = 30.0
LIST_INTERVAL = 1.0
LIST_FOLLOW_INTERVAL = 10.0
RETRY_WAIT = 0.5


@attrs.define(eq=False)
class PlatformView:
    """The newest configuration and host list that this host knows.

    ``changed`` is called whenever either of them got newer.
    """

    store: store.Store
    hosts: hostlist.HostSource
    view: membership.View
    changed: abc.Callable[[], None] = lambda: None  # noqa: E731
    register: configuration.Register = attrs.field(
        factory=configuration.Register
    )
    listed: hostlist.HostList = attrs.field(factory=hostlist.HostList)
    listed_at: float = 0
    gone_since: dict[str, float] = attrs.field(factory=dict)

    def offer_config(self, number: int, text: str) -> None:
        """Take a revision of the configuration if it is newer."""
        try:
            taken = self.register.install_if_newer(number, text)
        except errors.InvalidInputError as exc:
            eliot.log_message('config:invalid', revision=number, error=str(exc))
            return
        if taken:
            eliot.log_message('config:in-force', revision=number)
            self.changed()

    def offer_hosts(self, listed: hostlist.HostList) -> None:
        """Take a host list if it is newer."""
        if listed.revision <= self.listed.revision:
            return
        now = asyncio.get_running_loop().time()
        gone = listed.gone_host_names()
        self.gone_since = {
            name: self.gone_since.get(name, now) for name in gone
        }
        self.listed = listed
        self.changed()

    def gone_for(self, name: str) -> float:
        """Return for how long the list has called a host gone, in seconds."""
        since = self.gone_since.get(name)
        if since is None:
            return 0
        return asyncio.get_running_loop().time() - since

    async def read_once(self) -> None:
        """Read both from the platform; raise if it cannot be reached."""
        found = await self.store.get(CONFIG_KEY)
        if found is not None:
            self.offer_config(found.revision, found.text)
        self.offer_hosts(await self.hosts.fetch())

    async def follow_config(self) -> None:
        """Follow the configuration in the store until cancelled."""
        while True:
            try:
                await self._follow_config_once()
            except errors.JujubebendError:
                await asyncio.sleep(RETRY_WAIT)

    async def follow_hosts(self) -> None:
        """Follow the host list until cancelled."""
        while True:
            try:
                self.offer_hosts(await self.hosts.fetch())
            except (errors.JujubebendError, orjson.JSONDecodeError):
                await asyncio.sleep(RETRY_WAIT)
            watching = self._is_watcher('hosts')
            wait = LIST_INTERVAL if watching else LIST_FOLLOW_INTERVAL
            await asyncio.sleep(wait)

    async def _follow_config_once(self) -> None:
        if self._is_watcher('config'):
            after = self.register.current.number
            changes = await self.store.watch(CONFIG_KEY, after, WATCH_WAIT)
            for found in changes.items:
                self.offer_config(found.revision, found.text)
            return
        found_item = await self.store.get(CONFIG_KEY)
        if found_item is not None:
            self.offer_config(found_item.revision, found_item.text)
        await self._wait_until_watcher()

    async def _wait_until_watcher(self) -> None:
        """Wait for the next check, or until this host is to watch."""
        loop = asyncio.get_running_loop()
        until = loop.time() + CHECK_INTERVAL
        while loop.time() < until and not self._is_watcher('config'):
            await asyncio.sleep(1)

    def _is_watcher(self, what: str) -> bool:
        own = self.view.own
        now = asyncio.get_running_loop().time()
        alive = self.view.alive(now, own.zone)
        names = [member.name for member in alive]
        return membership.choose_by_rendezvous(f'watch/{what}', names) in {
            own.name,
            '',
        }
