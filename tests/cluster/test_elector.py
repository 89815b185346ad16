"""Who leads, and when another host may take over."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, committer, elector, peers
from tests import fakecell, virtualtime


@attrs.define(eq=False)
class _Network:
    """The peers of one host; ``hosts`` are all hosts by address."""

    host: str
    address: str
    hosts: dict

    async def send_heartbeat(self, address):
        await asyncio.sleep(fakecell.LINK)
        other = self.hosts[address]
        if other.down:
            raise errors.RefusedConnectionError(address)
        if other.frozen:
            await asyncio.sleep(0.5)
            raise errors.UnreachableError(address)
        epoch = other.commits.record.epoch if other.commits else 0
        return peers.HeartbeatReply(epoch, other.commits is not None)


@attrs.define(eq=False)
class _Host:
    name: str
    store: fakecell.Store
    hosts: dict
    commits: committer.Committer | None = None
    down: bool = False
    frozen: bool = False
    cores: float = 1
    election: elector.Elector = attrs.field(init=False)
    running: asyncio.Task = attrs.field(init=False)
    led: list = attrs.field(factory=list)

    def begin(self):
        network = _Network(self.name, f'{self.name}:1', self.hosts)
        self.election = elector.Elector(
            self.store, network, self._lead, self.cores
        )
        self.running = asyncio.create_task(self.election.run())

    async def _lead(self, commits):
        self.commits = commits
        self.led.append((clock.now(), commits.record.epoch))
        try:
            await commits.run()
        except committer.DeposedError:
            self.commits = None

    def kill(self):
        self.down = True
        self.commits = None
        self.running.cancel()


LIMIT = 2.5  # seconds from the last commit to another leader


def _play(scenario, cores=(1, 1, 1, 1)):
    async def main():
        store = fakecell.Store()
        hosts = {}
        for number, size in enumerate(cores):
            host = _Host(f'h{number}', store, hosts, cores=size)
            hosts[f'h{number}:1'] = host
        for host in hosts.values():
            host.begin()
        await asyncio.sleep(3)
        try:
            await scenario(store, list(hosts.values()))
        finally:
            for host in hosts.values():
                host.running.cancel()

    virtualtime.run(main)


@attrs.define(eq=False)
class _Stuck:
    """A store whose commits leave only after a freeze."""

    store: fakecell.Store
    seconds = 30

    async def commit(self, wanted, timeout=None):
        await asyncio.sleep(self.seconds)
        return await self.store.commit(wanted, timeout)

    async def get(self, key):
        return await self.store.get(key)


def _leaders(hosts):
    return [host for host in hosts if host.commits is not None]


def test_one_host_leads():
    async def scenario(store, hosts):
        assert len(_leaders(hosts)) == 1

    _play(scenario)


def test_a_killed_leader_is_replaced_at_once():
    async def scenario(store, hosts):
        leader = _leaders(hosts)[0]
        leader.kill()
        began = clock.now()
        while not _leaders(hosts):
            await asyncio.sleep(0.02)
        assert round(clock.now() - began) <= 1

    _play(scenario)


def test_a_frozen_leader_is_replaced_and_deposed_when_it_wakes():
    async def scenario(store, hosts):
        leader = _leaders(hosts)[0]
        leader.frozen = True
        leader.commits.store = _Stuck(store)
        began = clock.now()
        while len(_leaders(hosts)) < 2:
            await asyncio.sleep(0.02)
        assert round(clock.now() - began, 1) <= LIMIT
        leader.frozen = False
        await asyncio.sleep(2 * _Stuck.seconds)
        assert len(_leaders(hosts)) == 1

    _play(scenario)


def test_a_store_outage_makes_nobody_claim():
    async def scenario(store, hosts):
        store.refuse = True
        await asyncio.sleep(6)
        store.refuse = False
        await asyncio.sleep(4)
        assert sum(len(host.led) for host in hosts) == 1

    _play(scenario)


def test_a_leader_that_stops_hands_over():
    async def scenario(store, hosts):
        leader = _leaders(hosts)[0]
        leader.election.stopping = True
        leader.commits.deposed = True
        await asyncio.sleep(0)
        record = attrs.evolve(leader.commits.record, host='', serial=10**6)
        store.put(committer.LEADER_KEY, record.encode())
        leader.kill()
        await asyncio.sleep(2)
        assert _leaders(hosts)[0] is not leader

    _play(scenario)


def test_the_largest_host_leads():
    async def scenario(store, hosts):
        assert _leaders(hosts)[0].name == 'h2'
        _leaders(hosts)[0].kill()
        await asyncio.sleep(3)
        assert _leaders(hosts)[0].name == 'h1'

    _play(scenario, cores=(0.4, 1, 2, 0.4))
