"""What operators are shown of the leader's workers and of what waits."""

from __future__ import annotations

import asyncio
import types

from jujubebend_cluster import jobspec, statepage
from tests import fakecluster
from tests.cluster import harness

DEMAND = jobspec.Demand(20_000, 100)


def _page(made):
    record = types.SimpleNamespace(host='h1', epoch=1)
    followers = types.SimpleNamespace(addresses_by_cores=list)
    return statepage.StatePage(
        'h1',
        'z',
        types.SimpleNamespace(record=record),
        types.SimpleNamespace(current=lambda: made, followers=followers),
        types.SimpleNamespace(text=None, reaches_store=lambda: True),
    )


def test_the_leader_tells_who_waits_and_why():
    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecluster.job('j', jobspec.Step(3, DEMAND, 5.0)))
        cell.submit(
            fakecluster.job('g', jobspec.Step(3, DEMAND, 5.0, gang=True))
        )
        await harness.until(lambda: len(harness.runs_of(cell, 'j')) == 2)
        await asyncio.sleep(0.5)
        told = _page(made).describe(ready=True)
        held = [row['held']['slots'] for row in told['workers'].values()]
        assert [round(slots) for slots in held] == [20, 20]
        assert {row['team'] for row in told['waiting']} == {'j', 'g'}
        assert all('room' in row['why'] for row in told['waiting'])
        assert (told['leader'], told['leads']) == ('h1', True)

    harness.play(scenario)


def test_a_host_that_does_not_lead_tells_no_workers():
    told = _page(None).describe(ready=False)
    assert not told['workers']
    assert not told['leads']
