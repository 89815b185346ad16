"""Heartbeats between entry hosts, and what travels on them."""

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
class Digest:
    """What a peer said of its workers.

    ``capacities`` are the distinct sizes of the workers it owns.
    """

    room: resources.Resources
    waiting: int = 0
    capacities: frozenset[resources.Resources] = frozenset()


@attrs.define(eq=False)
class Heartbeats:
    """Exchanges a heartbeat with each target once a second.

    ``describe`` gives the digest of this host, ``changed`` is called when
    who is alive may have changed.
    """

    view: membership.View
    platform: platformview.PlatformView
    peers: peers.Peers
    describe: abc.Callable[[], Digest]
    changed: abc.Callable[[], None] = lambda: None  # noqa: E731
    fixed_addresses: dict[str, str] = attrs.field(factory=dict)
    digests: dict[str, Digest] = attrs.field(factory=dict)
    _due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _fetching: bool = False
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        await self.beat()
        while True:
            try:
                await asyncio.wait_for(
                    self._due.wait(), membership.HEARTBEAT_INTERVAL_SECONDS
                )
            except TimeoutError:
                targets = membership.due_heartbeat_targets(self.view, _now())
                await self._beat_all(targets)
            else:
                self._due.clear()
                await self.beat()

    async def close(self) -> None:
        """Stop fetching."""
        await self._group.close()

    def hurry(self) -> None:
        """Send the next heartbeats now: something has changed."""
        self._due.set()

    async def beat(self) -> None:
        """Tell every target now, and take in the answers."""
        await self._beat_all(membership.heartbeat_targets(self.view, _now()))

    async def _beat_all(self, targets: list[membership.Member]) -> None:
        zones = {target.zone for target in targets}
        messages = {zone: self.message(zone) for zone in zones}
        calls = (
            self._beat_one(target, messages[target.zone]) for target in targets
        )
        await asyncio.gather(*calls)

    def message(self, to_zone: str) -> entry_pb2.Heartbeat:
        """Return the heartbeat of this host as of now.

        Hosts of the own zone hear one another; only another zone is told
        who is alive here.
        """
        now = _now()
        own = self.view.own
        digest = self.describe()
        members = []
        if to_zone != own.zone:
            members = [
                self._info(member, now)
                for member in self.view.alive(now, own.zone)
                if member is not own
            ]
        return entry_pb2.Heartbeat(
            sender=self._info(own, own.heard or now),
            zone_members=members,
            config_revision=self.platform.register.current.number,
            host_list_revision=self.platform.listed.revision,
            largest_room=peers.to_amounts(digest.room),
            waiting=digest.waiting,
            capacities=map(peers.to_amounts, digest.capacities),
        )

    def heard(self, message: entry_pb2.Heartbeat) -> None:
        """Take in a heartbeat or the answer to one."""
        now = _now()
        changed = self._heard_member(message.sender, now)
        for info in message.zone_members:
            if info.name != self.view.own.name:
                changed |= self._heard_member(info, now - info.age_seconds)
        self.digests[message.sender.name] = Digest(
            peers.from_amounts(message.largest_room),
            message.waiting,
            frozenset(map(peers.from_amounts, message.capacities)),
        )
        if self._is_behind(message) and not self._fetching:
            self._fetching = True
            self._group.spawn(self._fetch(message.sender))
        if changed:
            self.changed()

    def _heard_member(self, info: entry_pb2.MemberInfo, heard: float) -> bool:
        address = self.fixed_addresses.get(info.name, info.address)
        return self.view.heard(
            membership.Member(
                info.name, info.zone, address, info.boot, heard, info.leaving
            )
        )

    def _is_behind(self, message: entry_pb2.Heartbeat) -> bool:
        own = self.platform
        return (
            message.config_revision > own.register.current.number
            or message.host_list_revision > own.listed.revision
        )

    async def _fetch(self, sender: entry_pb2.MemberInfo) -> None:
        query = entry_pb2.PlatformQuery(
            config_revision=self.platform.register.current.number,
            host_list_revision=self.platform.listed.revision,
        )
        address = self.fixed_addresses.get(sender.name, sender.address)
        try:
            copy = await self.peers.call(
                address, 'FetchPlatform', query, peers.CALL_TIMEOUT
            )
        except errors.UnreachableError:
            return
        finally:
            self._fetching = False
        if copy.config_text:
            self.platform.offer_config(copy.config_revision, copy.config_text)
        if copy.host_list_json:
            plain = orjson.loads(copy.host_list_json)
            self.platform.offer_hosts(hostlist.from_json(plain))

    async def _beat_one(
        self, target: membership.Member, message: entry_pb2.Heartbeat
    ) -> None:
        try:
            answer = await self.peers.call(
                target.address, 'Beat', message, peers.BEAT_TIMEOUT
            )
        except errors.UnreachableError:
            return
        self.heard(answer)

    def _info(
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
