"""Who is alive, and who of them should hold what.

Entry hosts hear one another's heartbeats. Rendezvous hashing over the hosts
alive then names one of them for each worker or shard. Two hosts may disagree
for a while; leases and the journal make that a matter of time, not safety.
"""

from __future__ import annotations

import hashlib
from collections import abc

import attrs

BEAT_INTERVAL = 1.0
ALIVE_FOR = 3.5
UNHEARD_AFTER = 1.5


@attrs.define
class Member:
    """An entry host as it was last heard of; ``heard`` is in seconds."""

    name: str
    zone: str
    address: str
    boot: str = ''
    heard: float = 0
    leaving: bool = False


@attrs.define
class View:
    """The entry hosts that one host knows of.

    ``own`` is always alive to itself, unless it is leaving.
    """

    own: Member
    members: dict[str, Member] = attrs.field(factory=dict)

    def heard(self, member: Member) -> bool:
        """Take in a heartbeat and say whether it changed who is alive."""
        before = self.members.get(member.name)
        if before is not None and before.heard > member.heard:
            return False
        self.members[member.name] = member
        if before is None:
            return True
        lapsed = member.heard - before.heard > ALIVE_FOR
        return lapsed or before.leaving != member.leaving

    def alive(self, now: float, zone: str = '') -> list[Member]:
        """Return the live hosts that stay, of one zone or of all."""
        found = [
            member
            for member in (self.own, *self.members.values())
            if self._is_alive(member, now)
        ]
        if zone:
            found = [member for member in found if member.zone == zone]
        return sorted(found, key=lambda member: member.name)

    def candidates(
        self, zone: str, gone: abc.Set[str], now: float
    ) -> list[Member]:
        """Return who may hold what belongs to ``zone``.

        The zone's own live hosts come first. Another zone's hosts stand in
        only when the host list says that every host of the zone is gone, as
        named in ``gone``.
        """
        found = self.alive(now, zone)
        if found or zone not in gone:
            return found
        return self.alive(now)

    def _is_alive(self, member: Member, now: float) -> bool:
        if member.leaving:
            return False
        return member is self.own or now - member.heard < ALIVE_FOR


def weigh(key: str, name: str) -> int:
    """Return the rendezvous weight of ``name`` for ``key``."""
    digest = hashlib.blake2b(f'{key}|{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def choose(key: str, names: abc.Iterable[str]) -> str:
    """Return the name of highest rendezvous weight, or '' for none."""
    return max(names, key=lambda name: weigh(key, name), default='')


def beat_targets(view: View, now: float) -> list[Member]:
    """Return whom to send heartbeats to.

    All hosts known of the own zone, and of each other zone the one that
    rendezvous hashing names. The cost grows with the zone, not the fleet.
    """
    own = view.own
    others = [
        member for member in view.members.values() if member.name != own.name
    ]
    chosen = [member for member in others if member.zone == own.zone]
    for zone in sorted({member.zone for member in others} - {own.zone}):
        there = {one.name: one for one in others if one.zone == zone}
        alive = [
            name for name, one in there.items() if now - one.heard < ALIVE_FOR
        ]
        chosen.append(there[choose(own.name, alive or there)])
    return chosen


def due_targets(view: View, now: float) -> list[Member]:
    """Return whom to send the regular heartbeat to.

    The answer to a heartbeat tells as much as one, so of two hosts that hear
    each other only one sends. A host that was not heard of for a while gets
    heartbeats from both sides.
    """
    return [
        target
        for target in beat_targets(view, now)
        if _sends_first(view.own.name, target.name)
        or now - target.heard > UNHEARD_AFTER
    ]


def _sends_first(name: str, other: str) -> bool:
    """Say which of two hosts sends, evenly over all pairs."""
    first, second = sorted((name, other))
    is_even = weigh(first, second) % 2 == 0
    sender = first if is_even else second
    return name == sender
