"""This host's copy of the operator configuration and the host list.

Both have a revision that only increases and that heartbeats carry. A host
that finds a peer at a higher revision fetches a copy from that peer. One host
of each zone, the watcher, watches the store and polls the host list often.
The others get changes from it, and also read both themselves when they start
and at longer intervals.
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
WATCH_WAIT_SECONDS = 20.0
CONFIG_POLL_SECONDS = 30.0
HOST_LIST_POLL_SECONDS = 1.0
HOST_LIST_FOLLOWER_POLL_SECONDS = 10.0
RETRY_WAIT_SECONDS = 0.5


@attrs.define(eq=False)
class PlatformView:
    """The newest configuration and host list that this host knows.

    ``on_change`` is called whenever a newer revision of either is installed.
    ``gone_since`` holds when the list first marked each host gone, in seconds
    on the clock of this process.
    """

    store: store.Store
    host_source: hostlist.HostSource
    view: membership.View
    on_change: abc.Callable[[], None] = lambda: None  # noqa: E731
    config_register: configuration.Register = attrs.field(
        factory=configuration.Register
    )
    host_list: hostlist.HostList = attrs.field(factory=hostlist.HostList)
    listed_at: float = 0
    gone_since: dict[str, float] = attrs.field(factory=dict)

    def update_config(self, number: int, text: str) -> None:
        """Install a revision of the configuration if it is newer.

        An invalid configuration is logged and ignored.
        """
        try:
            is_installed = self.config_register.install_if_newer(number, text)
        except errors.InvalidInputError as exc:
            eliot.log_message('config:invalid', revision=number, error=str(exc))
            return
        if is_installed:
            eliot.log_message('config:in-force', revision=number)
            self.on_change()

    def update_hosts(self, host_list: hostlist.HostList) -> None:
        """Install a host list if it is newer."""
        if host_list.revision <= self.host_list.revision:
            return
        now = asyncio.get_running_loop().time()
        gone_names = host_list.gone_host_names()
        self.gone_since = {
            name: self.gone_since.get(name, now) for name in gone_names
        }
        self.host_list = host_list
        self.on_change()

    def seconds_gone(self, name: str) -> float:
        """Return the seconds since the list first marked a host gone, or 0."""
        since = self.gone_since.get(name)
        if since is None:
            return 0
        return asyncio.get_running_loop().time() - since

    async def read_config_and_hosts(self) -> None:
        """Read the configuration and the host list from the platform once.

        Raises ``errors.JujubebendError`` if one of them cannot be read.
        """
        item = await self.store.get(CONFIG_KEY)
        if item is not None:
            self.update_config(item.revision, item.text)
        self.update_hosts(await self.host_source.fetch())

    async def follow_config(self) -> None:
        """Keep the configuration up to date until cancelled."""
        while True:
            try:
                await self._follow_config_once()
            except errors.JujubebendError:
                await asyncio.sleep(RETRY_WAIT_SECONDS)

    async def follow_hosts(self) -> None:
        """Keep the host list up to date until cancelled."""
        while True:
            try:
                self.update_hosts(await self.host_source.fetch())
            except (errors.JujubebendError, orjson.JSONDecodeError):
                await asyncio.sleep(RETRY_WAIT_SECONDS)
            is_watcher = self._is_watcher('hosts')
            wait = (
                HOST_LIST_POLL_SECONDS
                if is_watcher
                else HOST_LIST_FOLLOWER_POLL_SECONDS
            )
            await asyncio.sleep(wait)

    async def _follow_config_once(self) -> None:
        if self._is_watcher('config'):
            revision = self.config_register.current.number
            changes = await self.store.watch(
                CONFIG_KEY, revision, WATCH_WAIT_SECONDS
            )
            for item in changes.items:
                self.update_config(item.revision, item.text)
            return
        item = await self.store.get(CONFIG_KEY)
        if item is not None:
            self.update_config(item.revision, item.text)
        await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        """Wait for the next poll, or until this host becomes the watcher."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIG_POLL_SECONDS
        while loop.time() < deadline and not self._is_watcher('config'):
            await asyncio.sleep(1)

    def _is_watcher(self, resource: str) -> bool:
        own = self.view.own
        now = asyncio.get_running_loop().time()
        live_members = self.view.live_hosts(now, own.zone)
        live_names = [member.name for member in live_members]
        return membership.choose_by_rendezvous(
            f'watch/{resource}', live_names
        ) in {
            own.name,
            '',  # no live host is known in the zone
        }
