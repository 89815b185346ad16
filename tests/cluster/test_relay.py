"""Calls to workers through deputies: what is lost on the way, and whose."""

from __future__ import annotations

import asyncio

import attrs
import orjson

from jujubebend import errors
from jujubebend_cluster import jobspec, keys, relay, relaycodec, relayserver
from tests import fakecluster, virtualtime
from tests.cluster import harness

DEMAND = jobspec.Demand(4_000, 100)


@attrs.define(eq=False)
class Peers:
    """Deputies in memory; ``cut`` ones do not answer."""

    cell: harness.Cell
    deputies: dict = attrs.field(factory=dict)
    cut: set = attrs.field(factory=set)
    exchanges: int = 0
    lose: int = 0

    def __attrs_post_init__(self):
        for address in ('d1', 'd2', 'd3'):
            self.restart(address)

    def restart(self, address):
        self.deputies[address] = relayserver.RelayServer(self.connect)

    def connect(self, name, address):
        return self.cell.workers[name]

    async def exchange(self, address, plain, timeout):
        self.exchanges += 1
        await asyncio.sleep(0.003)
        if address in self.cut:
            await asyncio.sleep(timeout)
            raise errors.UnreachableError(f'{address} is silent')
        # What passes between hosts must survive being written as JSON.
        sent = orjson.loads(orjson.dumps(plain))
        told = await self.deputies[address].exchange(sent)
        if self.lose:
            self.lose -= 1
            raise errors.UnreachableError('the answer was lost')
        return orjson.loads(orjson.dumps(told))


async def _lead(cell, epoch=1, cores=0.01):
    made = await cell.lead(epoch)
    peers = Peers(cell)
    relays = relay.Router(
        peers.connect,
        peers.exchange,
        lambda: list(peers.deputies),
        made.cell.spawn,
        cores,
    )
    made.cell.connect = relays.connect_worker
    return made, peers, relays


def _play(scenario, count=4):
    workers = [fakecluster.Worker(f'w{at}') for at in range(count)]
    harness.play(scenario, *workers)


def _submit(cell, count):
    names = [f'j{at}' for at in range(count)]
    for name in names:
        cell.submit(fakecluster.job(name, jobspec.Step(3, DEMAND, 1.0)))
    return names


async def _completed(made, names):
    await harness.until(
        lambda: all(harness.shown(made, name) == 'completed' for name in names)
    )


def test_jobs_run_once_through_deputies():
    async def scenario(cell):
        made, peers, relays = await _lead(cell)
        names = _submit(cell, 5)
        await _completed(made, names)
        assert all(len(harness.runs_of(cell, name)) == 3 for name in names)
        assert peers.exchanges
        assert len({id(relays.route(name)) for name in cell.workers}) == 1

    _play(scenario)


def test_a_leader_with_processor_to_spare_calls_workers_itself():
    async def scenario(cell):
        made, peers, _ = await _lead(cell, cores=1)
        await _completed(made, _submit(cell, 2))
        assert not peers.exchanges

    _play(scenario)


def test_a_deputy_that_goes_silent_is_replaced_and_nothing_runs_twice():
    async def scenario(cell):
        made, peers, relays = await _lead(cell)
        names = _submit(cell, 2)
        await harness.until(lambda: harness.runs_of(cell, 'j0'))
        lost = relays.route('w0').address
        peers.cut.add(lost)
        await _completed(made, names)
        assert all(len(harness.runs_of(cell, name)) == 3 for name in names)
        assert relays.route('w0').address != lost

    _play(scenario)


def test_a_deputy_that_begins_anew_leaves_its_calls_unanswered():
    async def scenario(cell):
        made, peers, relays = await _lead(cell)
        names = _submit(cell, 2)
        await harness.until(lambda: harness.runs_of(cell, 'j0'))
        peers.restart(relays.route('w0').address)
        await _completed(made, names)
        assert all(len(harness.runs_of(cell, name)) == 3 for name in names)

    _play(scenario)


def test_without_a_peer_workers_are_called_directly():
    async def scenario(cell):
        made, peers, _ = await _lead(cell)
        peers.deputies.clear()
        await _completed(made, _submit(cell, 2))
        assert not peers.exchanges

    _play(scenario)


def test_a_deputy_of_a_former_leader_is_refused_by_workers():
    async def scenario(cell):
        _, peers, _ = await _lead(cell)
        await harness.until(lambda: cell.workers['w0'].token)
        former = cell.workers['w0'].token
        await cell.kill()
        await _lead(cell, 2)
        await harness.until(lambda: cell.workers['w0'].token > former)
        row = [7, relaycodec.HOLD, 'w0', 'w0', former, 0, None, 0, True]
        one = next(iter(peers.deputies.values()))
        await one.exchange({'session': 's', 'calls': [row], 'taken': 0})
        await asyncio.sleep(0.1)
        told = await one.exchange({'session': 's', 'calls': [], 'taken': 0})
        assert told['answers'] == [[7, ['verdict', 'fenced']]]

    _play(scenario)


@attrs.define(eq=False)
class _Endless:
    closed: list

    async def close(self):
        self.closed.append(self)

    async def renew_leases(self, *args, **more):
        await asyncio.sleep(100)


def test_idle_sessions_are_dropped():
    async def main():
        closed = []

        made = relayserver.RelayServer(lambda name, address: _Endless(closed))
        row = [1, relaycodec.HOLD, 'w', 'a', 1, 0, None, 0, True]
        first = await made.exchange({
            'session': 'a',
            'calls': [row],
            'taken': 0,
        })
        again = await made.exchange({'session': 'a', 'calls': [], 'taken': 0})
        assert (first['fresh'], again['fresh']) == (True, False)
        await asyncio.sleep(relayserver.SESSION_IDLE + 1)
        await made.exchange({'session': 'b', 'calls': [], 'taken': 0})
        assert len(closed) == 1

    virtualtime.run(main)


def test_progress_is_stored_as_without_deputies():
    async def scenario(cell):
        made, _, _ = await _lead(cell)
        await _completed(made, _submit(cell, 1))
        assert keys.progress('j0') in cell.store.data

    _play(scenario)


def test_an_exchange_whose_answer_was_lost_is_repeated():
    async def scenario(cell):
        made, peers, relays = await _lead(cell)
        names = _submit(cell, 2)
        await harness.until(lambda: harness.runs_of(cell, 'j0'))
        used = relays.route('w0')
        peers.lose = 1
        await _completed(made, names)
        assert relays.route('w0') is used
        assert all(len(harness.runs_of(cell, name)) == 3 for name in names)

    _play(scenario)
