"""Jobs are accepted truthfully, whatever the store does."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import clock, jobwriter, keys
from tests import fakecluster, virtualtime

STORED = jobwriter.Outcome.STORED
REFUSED = jobwriter.Outcome.REFUSED
UNKNOWN = jobwriter.Outcome.UNKNOWN


@attrs.define(eq=False)
class _Election:
    leader: str = ''


@attrs.define(eq=False)
class _Network:
    address: str = 'me:1'
    elsewhere: fakecluster.Store | None = None

    async def store(self, address, job, body):
        if self.elsewhere is None:
            raise errors.RefusedError(address)
        return await jobwriter.create_job(self.elsewhere, job, body)


def _play(scenario):
    async def main():
        store = fakecluster.Store()
        network = _Network()
        made = jobwriter.JobWriter(store, network, _Election())
        await scenario(store, network, made)

    virtualtime.run(main)


def _create(made, seconds=3.0):
    return made.create('j', b'first', clock.now() + seconds)


def test_a_job_is_accepted_once_it_is_stored():
    async def scenario(store, network, made):
        assert await _create(made) is STORED
        assert store.data[keys.job('j')].body == b'first'

    _play(scenario)


def test_the_same_job_again_is_one_job():
    async def scenario(store, network, made):
        await _create(made)
        again = made.create('j', b'second', clock.now() + 3)
        assert await again is STORED
        assert store.data[keys.job('j')].body == b'first'

    _play(scenario)


def test_a_store_that_refuses_gives_a_refusal_at_once():
    async def scenario(store, network, made):
        store.refuse = True
        began = clock.now()
        assert await _create(made) is REFUSED
        assert round(clock.now() - began, 1) <= 0
        assert not store.data

    _play(scenario)


def test_a_lost_answer_is_settled():
    async def scenario(store, network, made):
        store.lose = 1
        assert await _create(made) is STORED

    _play(scenario)


def test_a_silent_store_leaves_the_outcome_unknown():
    async def scenario(store, network, made):
        store.mute = True
        began = clock.now()
        assert await _create(made) is UNKNOWN
        assert round(clock.now() - began) <= 3

    _play(scenario)


def test_a_store_known_to_be_silent_gives_a_refusal_at_once():
    async def scenario(store, network, made):
        store.mute = True
        first = asyncio.create_task(_create(made))
        await asyncio.sleep(0.65)
        began = clock.now()
        refused = 0
        for number in range(20):
            key = f'k{number}'
            outcome = await made.create(key, b'x', began + 0.1)
            refused += outcome is REFUSED
        assert refused >= 18
        store.mute = False
        await asyncio.sleep(jobwriter.PROBE_PAUSE)
        assert await made.create('l', b'x', clock.now() + 1) is (STORED)
        assert await first is STORED

    _play(scenario)


def test_no_answer_comes_after_the_caller_has_gone():
    async def scenario(store, network, made):
        store.mute = True
        made.election.leader = 'leader:1'
        network.elsewhere = store
        for wait in (0.05, 0.4, 1.3):
            began = clock.now()
            await _create(made, wait)
            assert round(clock.now() - began - wait, 1) <= 0

    _play(scenario)


def test_a_refusal_after_an_unanswered_attempt_stays_unknown():
    async def scenario(store, network, made):
        store.hold_back = True
        waiting = asyncio.create_task(_create(made))
        await asyncio.sleep(0.5)
        store.refuse = True
        assert await waiting is UNKNOWN

    _play(scenario)


def test_a_host_that_the_store_turns_away_stores_through_the_leader():
    async def scenario(store, network, made):
        store.refuse = True
        network.elsewhere = fakecluster.Store()
        made.election.leader = 'leader:1'
        assert await _create(made) is STORED
        assert keys.job('j') in network.elsewhere.data

    _play(scenario)


def test_a_cancel_is_stored_for_a_known_job_only():
    async def scenario(store, network, made):
        missing = jobwriter.Outcome.NO_SUCH_JOB
        assert await made.cancel('j', clock.now() + 3) is missing
        await _create(made)
        assert await made.cancel('j', clock.now() + 3) is STORED
        assert keys.cancel('j') in store.data

    _play(scenario)


@pytest.mark.parametrize(
    ('fault', 'outcome'), [('refuse', REFUSED), ('mute', UNKNOWN)]
)
def test_a_cancel_tells_the_truth_when_the_store_is_away(fault, outcome):
    async def scenario(store, network, made):
        await _create(made)
        setattr(store, fault, True)
        assert await made.cancel('j', clock.now() + 1) is outcome

    _play(scenario)
