"""Leader election: one leader, takeover, resignation, order by cores."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    committer,
    elector,
    followers,
    hostcapacity,
    peers,
)
from tests import fakecluster, virtualtime


@attrs.define(eq=False)
class _PeerClient:
    """Heartbeats of one host; ``hosts`` has all hosts by address."""

    host: str
    address: str
    hosts: dict
    capacity: hostcapacity.HostCapacity

    async def send_heartbeat(self, address):
        await asyncio.sleep(fakecluster.CALL_LATENCY_S)
        peer = self.hosts[address]
        if peer.is_down:
            raise errors.RefusedConnectionError(address)
        if peer.is_frozen:
            await asyncio.sleep(0.5)
            raise errors.UnreachableError(address)
        if peer.term_committer is None:
            return peers.HeartbeatReply(0, speaks=False)
        interval = peer.followers.record_heartbeat(self.address, self.capacity)
        peer.followers.remove_silent()
        return peers.HeartbeatReply(
            peer.term_committer.record.epoch,
            speaks=True,
            silence=clock.now() - peer.term_committer.committed_at,
            pause=interval,
            successor=peer.followers.is_best_successor(self.address),
        )


@attrs.define(eq=False)
class _Host:
    name: str
    store: fakecluster.Store
    hosts: dict
    term_committer: committer.Committer | None = None
    is_down: bool = False
    is_frozen: bool = False
    capacity: hostcapacity.HostCapacity = hostcapacity.HostCapacity()
    followers: followers.Followers = attrs.field(factory=followers.Followers)
    elector: elector.Elector = attrs.field(init=False)
    running: asyncio.Task = attrs.field(init=False)
    terms: list = attrs.field(factory=list)

    def start(self):
        peer_client = _PeerClient(
            self.name, f'{self.name}:1', self.hosts, self.capacity
        )
        self.elector = elector.Elector(
            self.store, peer_client, self._run_term, self.capacity
        )
        self.running = asyncio.create_task(self.elector.run())

    async def _run_term(self, term_committer):
        self.term_committer = term_committer
        self.terms.append((clock.now(), term_committer.record.epoch))
        try:
            await term_committer.run()
        except committer.DeposedError:
            self.term_committer = None

    def kill(self):
        self.is_down = True
        self.term_committer = None
        self.running.cancel()


MAX_TAKEOVER_S = 2.5  # from the last commit to another leader


def _capacities(*cores):
    return tuple(map(hostcapacity.HostCapacity, cores))


FOUR_CAPACITIES = _capacities(1, 1, 1, 1)


def _run_scenario(scenario, capacities=FOUR_CAPACITIES, seed=1):
    async def main():
        store = fakecluster.Store()
        hosts = {}
        for number, capacity in enumerate(capacities):
            host = _Host(f'h{number}', store, hosts, capacity=capacity)
            hosts[f'h{number}:1'] = host
        for host in hosts.values():
            host.start()
        await asyncio.sleep(3)
        try:
            await scenario(store, list(hosts.values()))
        finally:
            for host in hosts.values():
                host.running.cancel()

    virtualtime.run(main, seed=seed)


@attrs.define(eq=False)
class _DelayedStore:
    """A store whose commits are sent only after ``delay_s`` seconds."""

    store: fakecluster.Store
    delay_s = 30

    async def commit(self, transaction, timeout=None):
        await asyncio.sleep(self.delay_s)
        return await self.store.commit(transaction, timeout)

    async def get(self, key):
        return await self.store.get(key)


def _find_leaders(hosts):
    return [host for host in hosts if host.term_committer is not None]


def test_exactly_one_host_leads():
    async def scenario(store, hosts):
        assert len(_find_leaders(hosts)) == 1

    _run_scenario(scenario)


def test_a_killed_leader_is_replaced_promptly():
    """A refused heartbeat shows that the leader is gone.

    The hosts do not wait until its record has timed out.
    """

    async def scenario(store, hosts):
        leader = _find_leaders(hosts)[0]
        leader.kill()
        started_at = clock.now()
        while not _find_leaders(hosts):
            await asyncio.sleep(0.02)
        assert round(clock.now() - started_at) <= 1

    _run_scenario(scenario)


def test_a_frozen_leader_is_replaced_and_deposed_when_it_resumes():
    """Its commit, delayed by the freeze, arrives after the takeover.

    The store must reject it.
    """

    async def scenario(store, hosts):
        leader = _find_leaders(hosts)[0]
        leader.is_frozen = True
        leader.term_committer.store = _DelayedStore(store)
        started_at = clock.now()
        while len(_find_leaders(hosts)) < 2:
            await asyncio.sleep(0.02)
        assert round(clock.now() - started_at, 1) <= MAX_TAKEOVER_S
        leader.is_frozen = False
        await asyncio.sleep(2 * _DelayedStore.delay_s)
        assert len(_find_leaders(hosts)) == 1

    _run_scenario(scenario)


def test_no_host_claims_during_a_store_outage():
    """The leader record cannot change while the store refuses.

    That must not look like a dead leader.
    """

    async def scenario(store, hosts):
        store.refuse = True
        await asyncio.sleep(6)
        store.refuse = False
        await asyncio.sleep(4)
        assert sum(len(host.terms) for host in hosts) == 1

    _run_scenario(scenario)


def test_a_resigned_leader_is_replaced():
    async def scenario(store, hosts):
        leader = _find_leaders(hosts)[0]
        leader.elector.is_stopping = True
        leader.term_committer.is_deposed = True
        await asyncio.sleep(0)
        record = attrs.evolve(
            leader.term_committer.record, host='', serial=10**6
        )
        store.put(committer.LEADER_KEY, record.encode())
        leader.kill()
        await asyncio.sleep(2)
        assert _find_leaders(hosts)[0] is not leader

    _run_scenario(scenario)


def test_the_host_with_most_cores_leads():
    async def scenario(store, hosts):
        assert _find_leaders(hosts)[0].name == 'h2'
        _find_leaders(hosts)[0].kill()
        await asyncio.sleep(3)
        assert _find_leaders(hosts)[0].name == 'h1'

    _run_scenario(scenario, _capacities(0.4, 1, 2, 0.4))


WIDE = hostcapacity.HostCapacity(cores=2.15, link_mbps=100)
NARROW = hostcapacity.HostCapacity(cores=1.29, link_mbps=5)
SMALL = hostcapacity.HostCapacity(cores=0.387, link_mbps=5)
# The hosts of a grown deployment. All claim at the start and all but one fail,
# so the hosts of the first size send their first heartbeats last.
GROWN = (WIDE,) * 8 + (NARROW,) * 8 + (SMALL,) * 23


def _find_successors(end_leader, seed):
    """Return the capacities of the leaders that follow the first three."""
    capacities = []

    async def scenario(store, hosts):
        for _ in range(3):
            leader = _find_leaders(hosts)[0]
            end_leader(leader)
            hosts.remove(leader)
            await asyncio.sleep(2 * MAX_TAKEOVER_S)
            capacities.append(_find_leaders(hosts)[0].capacity)

    _run_scenario(scenario, GROWN, seed)
    return capacities


def _silence(host):
    host.is_frozen = True
    host.term_committer.store = _DelayedStore(host.store)


@pytest.mark.parametrize('seed', range(1, 21))
@pytest.mark.parametrize('end_leader', (_Host.kill, _silence))
def test_a_leader_is_not_followed_by_a_host_with_a_narrow_link(
    end_leader, seed
):
    assert set(_find_successors(end_leader, seed)) == {WIDE}
