"""Calls to workers through relays, with lost exchanges and restarts."""

from __future__ import annotations

import asyncio
import collections
import statistics
from unittest import mock

import attrs
import orjson
import pytest

from jujubebend import errors
from jujubebend_cluster import (
    jobspec,
    keys,
    peers,
    relay,
    relaycodec,
    relayserver,
)
from tests import fakecluster, virtualtime
from tests.cluster import harness

DEMAND = jobspec.Demand(4_000, 100)
MAX_WAIT_S = 0.05  # of a start and its answer, on average
COMMIT_S = 0.015  # from a placement until it is stored


@attrs.define(eq=False)
class InMemoryRelays:
    """Relays in memory; those in ``unresponsive`` do not answer.

    Those in ``former`` are of a former build, which cannot decode the calls.

    ``lose_answers`` is the number of answers to lose, and ``delay`` the time
    in seconds by which an exchange and its answer are late.
    """

    cluster: harness.Cluster
    relays: dict = attrs.field(factory=dict)
    unresponsive: set = attrs.field(factory=set)
    former: set = attrs.field(factory=set)
    exchanges: int = 0
    lose_answers: int = 0
    delay: float = 0

    def __attrs_post_init__(self):
        for address in ('d1', 'd2', 'd3'):
            self.restart(address)

    def restart(self, address):
        self.relays[address] = relayserver.RelayServer(self.connect_worker)

    def connect_worker(self, name, address):
        return self.cluster.workers[name]

    async def exchange(self, address, document, timeout):
        self.exchanges += 1
        await asyncio.sleep(0.003)
        if self.delay:
            await _wait_at_most(self.delay, timeout, address)
        if address in self.unresponsive:
            await asyncio.sleep(timeout)
            raise errors.UnreachableError(f'{address} is silent')
        # Hosts exchange documents as JSON, which must lose nothing.
        received_document = orjson.loads(orjson.dumps(document))
        if address in self.former:
            return _exchange_with_former_build(received_document)
        reply = await self.relays[address].exchange(received_document)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.UnreachableError('the answer was lost')
        return orjson.loads(orjson.dumps(reply))


def _exchange_with_former_build(document):
    if peers.RELAY_CALL != 'relay':
        raise errors.UnreachableError('unknown peer call')
    answers = [[row[0], ['lost', 'malformed']] for row in document['calls']]
    return {'fresh': False, 'answers': answers}


async def _wait_at_most(seconds, timeout, address):
    await asyncio.sleep(min(seconds, timeout))
    if seconds > timeout:
        raise errors.UnreachableError(f'{address} is slow')


async def _start_term_with_relays(cluster, epoch=1, cores=0.01):
    leader_term = await cluster.start_term(epoch)
    relay_network = InMemoryRelays(cluster)
    router = relay.Router(
        relay_network.connect_worker,
        relay_network.exchange,
        lambda: list(relay_network.relays),
        leader_term.leader.spawn,
        cores,
    )
    leader_term.leader.connect_worker = router.connect_worker
    return leader_term, relay_network, router


def _run_scenario(scenario, count=4):
    workers = [fakecluster.Worker(f'w{number}') for number in range(count)]
    harness.run_scenario(scenario, *workers)


def _submit_jobs(cluster, count):
    names = [f'j{number}' for number in range(count)]
    for name in names:
        cluster.submit_job(fakecluster.job(name, jobspec.Step(3, DEMAND, 1.0)))
    return names


async def _wait_completed(leader_term, names):
    await harness.wait_until(
        lambda: all(
            harness.find_job_state(leader_term, name) == 'completed'
            for name in names
        )
    )


def test_tasks_run_once_through_relays():
    async def scenario(cluster):
        leader_term, relay_network, router = await _start_term_with_relays(
            cluster
        )
        names = _submit_jobs(cluster, 5)
        await _wait_completed(leader_term, names)
        assert all(
            len(harness.find_starts(cluster, name)) == 3 for name in names
        )
        assert relay_network.exchanges
        assert len({id(router.route_to(name)) for name in cluster.workers}) == 1

    _run_scenario(scenario)


def test_a_start_and_its_answer_cross_a_relay_without_waiting_long():
    """Both ways take a tenth of the 0.25 s that urgent work has beyond its own.

    An order waits for the next exchange, and its answer for the one after.
    """
    waits = []

    async def scenario(cluster):
        leader_term, _, _ = await _start_term_with_relays(cluster, cores=1)
        # A core is enough for the exchanges, but not for all the workers.
        await harness.wait_until(lambda: leader_term.is_loaded)
        await asyncio.sleep(1)
        for number in range(40):
            cluster.submit_job(
                fakecluster.job(f'j{number}', jobspec.Step(1, DEMAND, 0.2))
            )
            await asyncio.sleep(0.11)
        await asyncio.sleep(1)
        for job in leader_term.leader.job_table.jobs.values():
            waits.extend(
                task.answered_at - task.placed_at
                for task in job.groups[0, 0].tasks
            )

    with mock.patch.object(relay, 'WORKERS_PER_CORE', 1):
        _run_scenario(scenario)
    assert statistics.mean(waits) - COMMIT_S < MAX_WAIT_S


def test_a_leader_with_spare_cores_calls_workers_directly():
    async def scenario(cluster):
        leader_term, relay_network, _ = await _start_term_with_relays(
            cluster, cores=1
        )
        await _wait_completed(leader_term, _submit_jobs(cluster, 2))
        assert not relay_network.exchanges

    _run_scenario(scenario)


def test_an_unresponsive_relay_is_replaced_and_no_task_runs_twice():
    async def scenario(cluster):
        leader_term, relay_network, router = await _start_term_with_relays(
            cluster
        )
        names = _submit_jobs(cluster, 2)
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j0'))
        unresponsive_address = router.route_to('w0').address
        relay_network.unresponsive.add(unresponsive_address)
        await _wait_completed(leader_term, names)
        assert all(
            len(harness.find_starts(cluster, name)) == 3 for name in names
        )
        assert router.route_to('w0').address != unresponsive_address

    _run_scenario(scenario)


@pytest.mark.parametrize('former', [('d1',), ('d1', 'd2', 'd3')])
def test_relays_of_a_former_build_do_not_keep_workers_from_the_leader(former):
    """Guards against relays that lose each call, but no exchange."""

    async def scenario(cluster):
        leader_term, relay_network, _ = await _start_term_with_relays(cluster)
        relay_network.former.update(former)
        await _wait_completed(leader_term, _submit_jobs(cluster, 2))

    _run_scenario(scenario)


def test_no_task_runs_twice_when_a_relay_restarts():
    async def scenario(cluster):
        leader_term, relay_network, router = await _start_term_with_relays(
            cluster
        )
        names = _submit_jobs(cluster, 2)
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j0'))
        relay_network.restart(router.route_to('w0').address)
        await _wait_completed(leader_term, names)
        assert all(
            len(harness.find_starts(cluster, name)) == 3 for name in names
        )

    _run_scenario(scenario)


@pytest.mark.parametrize('delay', [0.3, 0.7, 2.0])
def test_work_goes_on_where_it_is_while_all_relays_are_slow(delay):
    """The leases last for seconds, so a slow relay is no reason to give up."""

    async def scenario(cluster):
        leader_term, relay_network, _ = await _start_term_with_relays(cluster)
        cluster.submit_job(fakecluster.job('j', jobspec.Step(4, DEMAND, 12.0)))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 4
        )
        relay_network.delay = delay
        await asyncio.sleep(4)
        relay_network.delay = 0
        await _wait_completed(leader_term, ['j'])
        assert len(harness.find_starts(cluster, 'j')) == 4

    workers = [
        fakecluster.Worker(f'w{number}', seconds=12) for number in range(4)
    ]
    harness.run_scenario(scenario, *workers)


def test_a_start_from_a_relay_that_was_paused_runs_nothing_twice():
    """The relay stops for 12 s with the order in hand, and then sends it."""
    held = []
    execute_call = relaycodec.execute_call

    async def execute_late(calls, call_name, row, payloads):
        if call_name == relaycodec.START and not held:
            held.append(row)
            await asyncio.sleep(12)
        return await execute_call(calls, call_name, row, payloads)

    async def scenario(cluster):
        leader_term, _, _ = await _start_term_with_relays(cluster)
        names = _submit_jobs(cluster, 2)
        await _wait_completed(leader_term, names)
        await asyncio.sleep(15)
        assert held
        assert all(
            len(harness.find_starts(cluster, name)) == 3 for name in names
        )

    with mock.patch.object(relaycodec, 'execute_call', execute_late):
        _run_scenario(scenario)


def _count_workers_by_relay(router, workers):
    return collections.Counter(
        router.route_to(name).address for name in workers
    )


def test_a_new_leader_does_not_keep_all_workers_on_its_first_follower():
    async def main():
        relays = ['d1']
        router = relay.Router(
            None, None, lambda: relays, lambda coro: coro.close(), 0.01
        )
        names = [f'w{number}' for number in range(3 * relay.WORKERS_PER_RELAY)]
        for name in names:
            router.connect_worker(name, name)
        assert _count_workers_by_relay(router, names) == {'d1': len(names)}
        relays.extend(('d2', 'd3', 'd4'))
        await asyncio.sleep(2 * relay.ASSIGNMENT_INTERVAL_S)
        assert _count_workers_by_relay(router, names) == {
            'd1': relay.WORKERS_PER_RELAY,
            'd2': relay.WORKERS_PER_RELAY,
            'd3': relay.WORKERS_PER_RELAY,
        }
        before = {name: router.route_to(name) for name in names}
        await asyncio.sleep(2 * relay.ASSIGNMENT_INTERVAL_S)
        assert before == {name: router.route_to(name) for name in names}

    virtualtime.run(main)


def test_without_a_relay_workers_are_called_directly():
    async def scenario(cluster):
        leader_term, relay_network, _ = await _start_term_with_relays(cluster)
        relay_network.relays.clear()
        await _wait_completed(leader_term, _submit_jobs(cluster, 2))
        assert not relay_network.exchanges

    _run_scenario(scenario)


def test_workers_refuse_relayed_calls_of_a_former_leader():
    async def scenario(cluster):
        _, relay_network, _ = await _start_term_with_relays(cluster)
        await harness.wait_until(lambda: cluster.workers['w0'].token)
        old_token = cluster.workers['w0'].token
        await cluster.kill_leader()
        await _start_term_with_relays(cluster, 2)
        await harness.wait_until(
            lambda: cluster.workers['w0'].token > old_token
        )
        row = [
            7,
            relaycodec.RENEW,
            'w0',
            'w0',
            old_token,
            1,
            0,
            None,
            0,
            True,
        ]
        relay_server = next(iter(relay_network.relays.values()))
        await relay_server.exchange({
            'session': 's',
            'calls': [row],
            'taken': 0,
        })
        await asyncio.sleep(0.1)
        reply = await relay_server.exchange({
            'session': 's',
            'calls': [],
            'taken': 0,
        })
        assert reply['answers'] == [[7, ['verdict', 'fenced']]]

    _run_scenario(scenario)


@attrs.define(eq=False)
class _HangingWorker:
    closed: list

    async def close(self):
        self.closed.append(self)

    async def renew_leases(self, *args, **options):
        await asyncio.sleep(100)


def test_idle_sessions_are_dropped():
    async def main():
        closed = []

        server = relayserver.RelayServer(
            lambda name, address: _HangingWorker(closed)
        )
        row = [1, relaycodec.RENEW, 'w', 'a', 1, 1, 0, None, 0, True]
        first = await server.exchange({
            'session': 'a',
            'calls': [row],
            'taken': 0,
        })
        again = await server.exchange({'session': 'a', 'calls': [], 'taken': 0})
        assert (first['fresh'], again['fresh']) == (True, False)
        await asyncio.sleep(relayserver.SESSION_TIMEOUT_S + 1)
        await server.exchange({'session': 'b', 'calls': [], 'taken': 0})
        assert len(closed) == 1

    virtualtime.run(main)


def test_progress_is_stored_through_relays():
    async def scenario(cluster):
        leader_term, _, _ = await _start_term_with_relays(cluster)
        await _wait_completed(leader_term, _submit_jobs(cluster, 1))
        assert keys.progress('j0') in cluster.store.data

    _run_scenario(scenario)


def test_an_exchange_whose_answer_was_lost_is_repeated():
    async def scenario(cluster):
        leader_term, relay_network, router = await _start_term_with_relays(
            cluster
        )
        names = _submit_jobs(cluster, 2)
        await harness.wait_until(lambda: harness.find_starts(cluster, 'j0'))
        route_before = router.route_to('w0')
        relay_network.lose_answers = 1
        await _wait_completed(leader_term, names)
        assert router.route_to('w0') is route_before
        assert all(
            len(harness.find_starts(cluster, name)) == 3 for name in names
        )

    _run_scenario(scenario)


def test_an_end_that_a_relayed_status_leaves_out_restarts_no_task():
    """Guards against a relay that passes a part of the ends on as all of them.

    More tasks end while the workers are silent than one status lists.
    """

    async def scenario(cluster):
        leader_term, relay_network, _ = await _start_term_with_relays(cluster)
        names = _submit_jobs(cluster, 4)
        await harness.wait_until(
            lambda: all(
                len(harness.find_starts(cluster, name)) == 3 for name in names
            )
        )
        for worker in cluster.workers.values():
            worker.mute = True
        await asyncio.sleep(2)
        for worker in cluster.workers.values():
            worker.mute = False
        await _wait_completed(leader_term, names)
        assert all(
            len(harness.find_starts(cluster, name)) == 3 for name in names
        )
        assert relay_network.exchanges

    with mock.patch.object(fakecluster, 'MAX_LISTED_ENDS', 1):
        _run_scenario(scenario)
