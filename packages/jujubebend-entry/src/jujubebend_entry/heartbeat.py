"""Heartbeats between entry hosts, and the state that they carry."""

from __future__ import annotations

import asyncio
from collections import abc

import attrs
import orjson

from jujubebend import errors, membership, resources
from jujubebend_entry import background, peers, platformview
from jujubebend_platform import hostlist
from jujubebend_wire import entry_pb2


@attrs.frozen
class WorkerSummary:
    """Summary of the workers of a host, as carried by its heartbeats.

    ``free_capacity`` is the largest free amount on any worker, by dimension.
    ``waiting`` is the number of waiting tickets. ``capacities`` are the
    distinct capacities of the workers that the host owns.
    """

    free_capacity: resources.Resources
    waiting: int = 0
    capacities: frozenset[resources.Resources] = frozenset()


@attrs.define(eq=False)
class Heartbeats:
    """Exchanges a heartbeat with each target once a second.

    ``summarize`` returns the summary of this host. ``on_change`` is called
    when the set of live hosts may have changed. ``fixed_addresses`` override
    the addresses that hosts announce, by host name.
    """

    view: membership.View
    platform: platformview.PlatformView
    peers: peers.Peers
    summarize: abc.Callable[[], WorkerSummary]
    on_change: abc.Callable[[], None] = lambda: None  # noqa: E731
    fixed_addresses: dict[str, str] = attrs.field(factory=dict)
    worker_summaries: dict[str, WorkerSummary] = attrs.field(factory=dict)
    _send_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _is_fetching: bool = False
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        await self.send_heartbeats()
        while True:
            try:
                await asyncio.wait_for(
                    self._send_requested.wait(),
                    membership.HEARTBEAT_INTERVAL_SECONDS,
                )
            except TimeoutError:
                targets = membership.due_heartbeat_targets(self.view, _now())
                await self._send_to_all(targets)
            else:
                self._send_requested.clear()
                await self.send_heartbeats()

    async def close(self) -> None:
        """Cancel the background tasks."""
        await self._group.close()

    def send_soon(self) -> None:
        """Request heartbeats without delay, because the state has changed."""
        self._send_requested.set()

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to every target now and process the replies."""
        await self._send_to_all(membership.heartbeat_targets(self.view, _now()))

    async def _send_to_all(self, targets: list[membership.Member]) -> None:
        zones = {target.zone for target in targets}
        messages = {zone: self.make_message(zone) for zone in zones}
        calls = (
            self._send_to(target, messages[target.zone]) for target in targets
        )
        await asyncio.gather(*calls)

    def make_message(self, to_zone: str) -> entry_pb2.Heartbeat:
        """Return the current heartbeat of this host.

        Only heartbeats to another zone list the live hosts of this zone; the
        hosts of one zone receive heartbeats from each other.
        """
        now = _now()
        own = self.view.own
        summary = self.summarize()
        members = []
        if to_zone != own.zone:
            members = [
                self._encode_member(member, now)
                for member in self.view.live_hosts(now, own.zone)
                if member is not own
            ]
        return entry_pb2.Heartbeat(
            sender=self._encode_member(own, own.heard or now),
            zone_members=members,
            config_revision=self.platform.config_register.current.number,
            host_list_revision=self.platform.host_list.revision,
            largest_room=peers.encode_amounts(summary.free_capacity),
            waiting=summary.waiting,
            capacities=map(peers.encode_amounts, summary.capacities),
        )

    def handle_heartbeat(self, message: entry_pb2.Heartbeat) -> None:
        """Process a heartbeat or the reply to one."""
        now = _now()
        changed = self._record_member(message.sender, now)
        for info in message.zone_members:
            if info.name != self.view.own.name:
                changed |= self._record_member(info, now - info.age_seconds)
        self.worker_summaries[message.sender.name] = WorkerSummary(
            peers.decode_amounts(message.largest_room),
            message.waiting,
            frozenset(map(peers.decode_amounts, message.capacities)),
        )
        if self._is_behind(message) and not self._is_fetching:
            self._is_fetching = True
            self._group.spawn(self._fetch_platform(message.sender))
        if changed:
            self.on_change()

    def _record_member(
        self, info: entry_pb2.MemberInfo, heard_at: float
    ) -> bool:
        address = self.fixed_addresses.get(info.name, info.address)
        return self.view.heard(
            membership.Member(
                info.name, info.zone, address, info.boot, heard_at, info.leaving
            )
        )

    def _is_behind(self, message: entry_pb2.Heartbeat) -> bool:
        platform = self.platform
        return (
            message.config_revision > platform.config_register.current.number
            or message.host_list_revision > platform.host_list.revision
        )

    async def _fetch_platform(self, sender: entry_pb2.MemberInfo) -> None:
        query = entry_pb2.PlatformQuery(
            config_revision=self.platform.config_register.current.number,
            host_list_revision=self.platform.host_list.revision,
        )
        address = self.fixed_addresses.get(sender.name, sender.address)
        try:
            platform_copy = await self.peers.call(
                address, 'FetchPlatform', query, peers.CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        finally:
            self._is_fetching = False
        if platform_copy.config_text:
            self.platform.update_config(
                platform_copy.config_revision, platform_copy.config_text
            )
        if platform_copy.host_list_json:
            document = orjson.loads(platform_copy.host_list_json)
            self.platform.update_hosts(hostlist.from_json(document))

    async def _send_to(
        self, target: membership.Member, message: entry_pb2.Heartbeat
    ) -> None:
        try:
            reply = await self.peers.call(
                target.address, 'Beat', message, peers.HEARTBEAT_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        self.handle_heartbeat(reply)

    def _encode_member(
        self, member: membership.Member, now: float
    ) -> entry_pb2.MemberInfo:
        return entry_pb2.MemberInfo(
            name=member.name,
            zone=member.zone,
            address=member.address,
            boot=member.boot,
            age_seconds=max(0, now - member.heard) if member.heard else 0,
            leaving=member.leaving,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
