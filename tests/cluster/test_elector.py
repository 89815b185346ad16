"""Leader election: one leader, takeover, resignation, order by cores."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, committer, elector, peers
from tests import fakecluster, virtualtime


@attrs.define(eq=False)
class _PeerClient:
    """Heartbeats of one host; ``hosts`` has all hosts by address."""

    host: str
    address: str
    hosts: dict

    async def send_heartbeat(self, address):
        await asyncio.sleep(fakecluster.CALL_LATENCY_S)
        peer = self.hosts[address]
        if peer.is_down:
            raise errors.RefusedConnectionError(address)
        if peer.is_frozen:
            await asyncio.sleep(0.5)
            raise errors.UnreachableError(address)
        epoch = peer.term_committer.record.epoch if peer.term_committer else 0
        return peers.HeartbeatReply(epoch, peer.term_committer is not None)


@attrs.define(eq=False)
class _Host:
    name: str
    store: fakecluster.Store
    hosts: dict
    term_committer: committer.Committer | None = None
    is_down: bool = False
    is_frozen: bool = False
    cores: float = 1
    elector: elector.Elector = attrs.field(init=False)
    running: asyncio.Task = attrs.field(init=False)
    terms: list = attrs.field(factory=list)

    def start(self):
        peer_client = _PeerClient(self.name, f'{self.name}:1', self.hosts)
        self.elector = elector.Elector(
            self.store, peer_client, self._run_term, self.cores
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


def _run_scenario(scenario, cores=(1, 1, 1, 1)):
    async def main():
        store = fakecluster.Store()
        hosts = {}
        for number, host_cores in enumerate(cores):
            host = _Host(f'h{number}', store, hosts, cores=host_cores)
            hosts[f'h{number}:1'] = host
        for host in hosts.values():
            host.start()
        await asyncio.sleep(3)
        try:
            await scenario(store, list(hosts.values()))
        finally:
            for host in hosts.values():
                host.running.cancel()

    virtualtime.run(main)


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

    _run_scenario(scenario, cores=(0.4, 1, 2, 0.4))
