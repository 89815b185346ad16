"""Liveness of the entry hosts, and assignment by rendezvous hashing.

Entry hosts exchange heartbeats. Rendezvous hashing over the live hosts then
assigns each worker and shard to one of them. Two hosts may have different
views for a while. This can delay work but not break exclusive ownership,
which leases and the journal enforce.
"""

from __future__ import annotations

import hashlib
from collections import abc

import attrs

HEARTBEAT_INTERVAL_SECONDS = 1.0
LIVENESS_TIMEOUT_SECONDS = 3.5
SILENCE_THRESHOLD_SECONDS = 1.5


@attrs.define
class Member:
    """An entry host as of its latest heartbeat.

    ``heard`` is the time of that heartbeat, in seconds on the clock of this
    process.
    """

    name: str
    zone: str
    address: str
    boot: str = ''
    heard: float = 0
    leaving: bool = False


@attrs.define
class View:
    """One host's view of the entry hosts.

    ``own`` is the host itself. It is always alive, unless it is leaving.
    """

    own: Member
    members: dict[str, Member] = attrs.field(factory=dict)

    def heard(self, member: Member) -> bool:
        """Record a heartbeat; return whether it changed the live hosts.

        A heartbeat older than the latest one of its host is ignored.
        """
        previous = self.members.get(member.name)
        if previous is not None and previous.heard > member.heard:
            return False
        self.members[member.name] = member
        if previous is None:
            return True
        was_dead = member.heard - previous.heard > LIVENESS_TIMEOUT_SECONDS
        return was_dead or previous.leaving != member.leaving

    def live_hosts(self, now: float, zone: str = '') -> list[Member]:
        """Return the live hosts that are not leaving, by name.

        With ``zone``, only the hosts of that zone.
        """
        live_hosts = [
            member
            for member in (self.own, *self.members.values())
            if self._is_alive(member, now)
        ]
        if zone:
            live_hosts = [
                member for member in live_hosts if member.zone == zone
            ]
        return sorted(live_hosts, key=lambda member: member.name)

    def eligible_owners(
        self, zone: str, gone_zones: abc.Set[str], now: float
    ) -> list[Member]:
        """Return the hosts that may own the workers and shards of ``zone``.

        These are the live hosts of the zone. If there are none, the live
        hosts of other zones take over, but only if the zone is in
        ``gone_zones``: the zones of which the host list says that every host is
        gone.
        """
        zone_hosts = self.live_hosts(now, zone)
        if zone_hosts or zone not in gone_zones:
            return zone_hosts
        return self.live_hosts(now)

    def _is_alive(self, member: Member, now: float) -> bool:
        if member.leaving:
            return False
        return (
            member is self.own or now - member.heard < LIVENESS_TIMEOUT_SECONDS
        )


def rendezvous_weight(key: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``key``."""
    digest = hashlib.blake2b(f'{key}|{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def choose_by_rendezvous(key: str, names: abc.Iterable[str]) -> str:
    """Return the name with the highest rendezvous weight, or '' if none."""
    return max(names, key=lambda name: rendezvous_weight(key, name), default='')


def heartbeat_targets(view: View, now: float) -> list[Member]:
    """Return the hosts with which heartbeats are exchanged.

    These are all known hosts of the own zone, and one host of each other
    zone, chosen by rendezvous hashing. The cost thus grows with the size of
    the zone and not with that of the cluster.
    """
    own = view.own
    others = [
        member for member in view.members.values() if member.name != own.name
    ]
    chosen = [member for member in others if member.zone == own.zone]
    for zone in sorted({member.zone for member in others} - {own.zone}):
        zone_members = {
            member.name: member for member in others if member.zone == zone
        }
        alive_names = [
            name
            for name, member in zone_members.items()
            if now - member.heard < LIVENESS_TIMEOUT_SECONDS
        ]
        chosen.append(
            zone_members[
                choose_by_rendezvous(own.name, alive_names or zone_members)
            ]
        )
    return chosen


def due_heartbeat_targets(view: View, now: float) -> list[Member]:
    """Return the hosts to which the next periodic heartbeat is sent.

    The answer to a heartbeat carries the same information, so only one of
    two hosts that hear each other sends. Both send after
    ``SILENCE_THRESHOLD_SECONDS`` without a heartbeat.
    """
    return [
        target
        for target in heartbeat_targets(view, now)
        if _sends_first(view.own.name, target.name)
        or now - target.heard > SILENCE_THRESHOLD_SECONDS
    ]


def _sends_first(name: str, other: str) -> bool:
    """Return whether ``name``, rather than ``other``, sends the heartbeat.

    The hash spreads the sending evenly over all pairs.
    """
    first, second = sorted((name, other))
    is_even = rendezvous_weight(first, second) % 2 == 0
    sender = first if is_even else second
    return name == sender
