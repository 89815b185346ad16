"""Bounds on the leases of silent workers, across changes of leader."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from jujubebend_cluster import clock, committer, fleet, jobspec, keys, leases
from tests import fakecluster
from tests.cluster import harness

STEP = jobspec.Step(1, jobspec.Demand(1_000, 10), lasting=True)
LEASE_S = 6.0  # of the harness
# A lease on a slow clock, a record once a second, and a look twice a second.
LATEST_RESTART_S = LEASE_S / fleet.SLOWEST_CLOCK_RATE + fleet.LEASE_MARGIN_S + 3


async def _start_lasting_job(cluster):
    """Start one lasting task; return its worker and the other one."""
    term = await cluster.start_term(1)
    cluster.submit_job(fakecluster.job('j', STEP))
    await harness.wait_until(lambda: harness.find_starts(cluster, 'j'))
    await asyncio.sleep(1)
    name = harness.find_starts(cluster, 'j')[0][0]
    holder = cluster.workers[name]
    other = next(
        worker for worker in cluster.workers.values() if worker is not holder
    )
    return term, holder, other


def _run(scenario):
    harness.run_scenario(
        scenario,
        fakecluster.Worker('w1', seconds=1_000),
        fakecluster.Worker('w2', seconds=1_000),
    )


@pytest.mark.parametrize(
    ('is_listed', 'term_seconds', 'seconds_between'),
    [(False, (4,), 1), (False, (2.5, 2.5), 0), (True, (4,), 0)],
)
def test_new_leaders_do_not_wait_for_leases_that_ended_before_their_terms(
    is_listed, term_seconds, seconds_between
):
    """A worker leaves, and leaders die before the worker's lease expired.

    Seen on the grown vane deployment, mix 230982805905: lasting tasks started
    again 30 s after their workers had left.
    """

    async def scenario(cluster):
        _, holder, other = await _start_lasting_job(cluster)
        left_at = clock.now()
        holder.mute = True
        if not is_listed:
            cluster.unlist_worker(holder)
        for epoch, seconds in enumerate(term_seconds, start=2):
            await asyncio.sleep(seconds)
            await cluster.kill_leader()
            await asyncio.sleep(seconds_between)
            await cluster.start_term(epoch)
        await harness.wait_until(lambda: other.started, 30)
        assert clock.now() - left_at < LATEST_RESTART_S

    _run(scenario)


def test_nothing_starts_elsewhere_while_the_lease_of_a_silent_worker_lasts():
    """The worker runs on, cut off from each leader, and then unlisted."""

    async def scenario(cluster):
        _, holder, other = await _start_lasting_job(cluster)
        holder.mute = True
        cluster.unlist_worker(holder)
        for epoch in (2, 3):
            await asyncio.sleep(2.2)
            await cluster.kill_leader()
            await cluster.start_term(epoch)
        await harness.wait_until(lambda: other.started, 30)
        (_, _, started_at) = other.start_times[0]
        assert started_at > holder.started_at + holder.leased_until

    _run(scenario)


def test_a_recorded_worker_gets_no_lease_before_its_record_is_removed():
    """A successor that reads the record counts on its bound."""

    async def scenario(cluster):
        term, holder, _ = await _start_lasting_job(cluster)
        holder.mute = True
        await asyncio.sleep(3.5)
        assert holder.name in _read_record(cluster)
        lease_end = holder.leased_until
        cluster.store.mute = True
        holder.mute = False
        await asyncio.sleep(1)
        assert term.leader.workers.workers[holder.name].is_reachable
        assert holder.leased_until == lease_end
        cluster.store.mute = False
        await asyncio.sleep(1.5)
        assert holder.leased_until > lease_end
        assert holder.name not in _read_record(cluster)
        assert holder.runs

    _run(scenario)


def test_a_worker_that_answers_a_new_leader_once_keeps_its_runs():
    """It falls silent again before that leader could extend its lease."""

    async def scenario(cluster):
        _, holder, other = await _start_lasting_job(cluster)
        holder.mute = True
        await asyncio.sleep(2.2)
        await cluster.kill_leader()
        term = await cluster.start_term(2)
        await harness.wait_until(lambda: term.is_loaded)
        cluster.store.mute = True
        holder.mute = False
        worker = term.leader.workers.workers
        await harness.wait_until(
            lambda: holder.name in worker and worker[holder.name].is_reachable
        )
        holder.mute = True
        cluster.store.mute = False
        await harness.wait_until(lambda: other.started, 30)
        (_, _, started_at) = other.start_times[0]
        assert started_at > holder.started_at + holder.leased_until

    _run(scenario)


def _load(epoch, workers):
    """Load a record into the bounds of a leader with epoch 5."""
    bounds = leases.LeaseBounds(_NoCommits())
    bounds.load(orjson.dumps({'epoch': epoch, 'workers': workers}))
    return bounds


def test_the_bound_of_an_earlier_incarnation_says_nothing():
    bounds = _load(4, {'w1': (1, 3.0)})
    assert bounds.find('w1', 1) is not None
    assert bounds.find('w1', 2) is None


def test_the_record_of_a_leader_before_the_last_one_says_nothing():
    """A leader of a former build neither reads nor writes such records."""
    bounds = _load(3, {'w1': (1, 3.0)})
    assert bounds.find('w1', 1) is None


@pytest.mark.parametrize(
    'body',
    [
        b'{',
        b'[]',
        b'{}',
        b'{"epoch": 4}',
        b'{"epoch": "4", "workers": {}}',
        b'{"epoch": 4, "workers": {"w1": 5}}',
        b'{"epoch": 4, "workers": {"w1": [1, "x"]}}',
        b'{"epoch": 4, "workers": {"w1": [1, NaN]}}',
        b'{"epoch": 4, "workers": [1]}',
    ],
)
def test_a_damaged_record_gives_no_bounds(body):
    bounds = leases.LeaseBounds(_NoCommits())
    bounds.load(body)
    assert bounds.find('w1', 1) is None
    assert bounds.may_extend('w1')


def test_workers_that_answer_cost_no_commits():
    async def scenario(cluster):
        await _start_lasting_job(cluster)
        await asyncio.sleep(5)
        assert keys.LEASES not in cluster.store.data

    _run(scenario)


class _NoCommits(committer.Committer):
    def __init__(self):
        """Skip the committer's own state but its record."""
        self.record = committer.LeaderRecord('h', 'h:1', epoch=5, serial=0)

    def put(self, key, entry):
        """Drop the entry."""


def _read_record(cluster):
    return orjson.loads(cluster.store.data[keys.LEASES].body)['workers']
