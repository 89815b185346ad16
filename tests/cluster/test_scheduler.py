"""The scheduling loop: how long groups wait for a pass."""

from __future__ import annotations

import asyncio
from unittest import mock

import attrs

from jujubebend_cluster import jobspec, planner
from tests import fakecluster
from tests.cluster import harness

URGENT = attrs.evolve(harness.QUEUE, name='urgent', slack_factor=1.5)
TOLERANT = attrs.evolve(harness.QUEUE, name='tolerant', slack_factor=4.0)
# Of a pass over many waiting groups, on a leader with a third of a core.
LONG_PASS_S = 0.15
# Urgent work has this long beyond its work, of which a start and the report of
# its end take a third.
LONGEST_WAIT_S = 0.25


def _job(name, queue):
    spec = fakecluster.job(name, jobspec.Step(1, jobspec.Demand(1_000, 1)))
    return attrs.evolve(spec, queue=queue.name)


async def _measure_wait(cluster, name):
    submitted_at = asyncio.get_running_loop().time()
    cluster.submit_job(_job(name, URGENT))
    await harness.wait_until(lambda: harness.find_starts(cluster, name))
    return asyncio.get_running_loop().time() - submitted_at


def test_long_passes_do_not_hold_up_urgent_work():
    """Many waiting groups of other queues make each full pass long."""
    plan = planner.plan

    def plan_slowly(requests, *args, **kwargs):
        requests = list(requests)
        if any(request.queue == TOLERANT for request in requests):
            asyncio.get_running_loop().clock.now += LONG_PASS_S
        return plan(requests, *args, **kwargs)

    async def scenario(cluster):
        cluster.config = attrs.evolve(cluster.config, queues=(URGENT, TOLERANT))
        term = await cluster.start_term()
        await harness.wait_until(lambda: term.is_loaded)
        await asyncio.sleep(1)
        waits = []
        with mock.patch.object(planner, 'plan', plan_slowly):
            # It waits for more capacity than there is, in every pass.
            demand = jobspec.Demand(64_000, 1)
            spec = fakecluster.job('large', jobspec.Step(1, demand))
            cluster.submit_job(attrs.evolve(spec, queue=TOLERANT.name))
            await asyncio.sleep(1)
            for number in range(10):
                waits.append(await _measure_wait(cluster, f'u{number}'))
        assert max(waits) <= LONGEST_WAIT_S

    harness.run_scenario(scenario)
