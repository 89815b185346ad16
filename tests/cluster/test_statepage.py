"""State page of a host: workers and waiting groups on the leader."""

from __future__ import annotations

import asyncio
import types

from jujubebend_cluster import jobspec, statepage
from tests import fakecluster
from tests.cluster import harness

DEMAND = jobspec.Demand(20_000, 100)


def _build_page(leader_term):
    record = types.SimpleNamespace(host='h1', epoch=1)
    followers = types.SimpleNamespace(addresses_by_capacity=list)
    return statepage.StatePage(
        'h1',
        'z',
        types.SimpleNamespace(record=record),
        types.SimpleNamespace(
            current_term=lambda: leader_term, followers=followers
        ),
        types.SimpleNamespace(config=None, reaches_store=lambda: True),
    )


def test_the_leader_reports_waiting_groups_and_the_reason():
    async def scenario(cluster):
        leader_term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('j', jobspec.Step(3, DEMAND, 5.0)))
        cluster.submit_job(
            fakecluster.job('g', jobspec.Step(3, DEMAND, 5.0, gang=True))
        )
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'j')) == 2
        )
        await asyncio.sleep(0.5)
        document = _build_page(leader_term).describe(ready=True)
        used_slots = [
            row['held']['slots'] for row in document['workers'].values()
        ]
        assert [round(slots) for slots in used_slots] == [20, 20]
        assert {row['team'] for row in document['waiting']} == {'j', 'g'}
        assert all('room' in row['why'] for row in document['waiting'])
        assert (document['leader'], document['leads']) == ('h1', True)

    harness.run_scenario(scenario)


def test_a_host_that_does_not_lead_reports_no_workers():
    document = _build_page(None).describe(ready=False)
    assert not document['workers']
    assert not document['leads']
