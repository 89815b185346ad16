"""Load reports of a leader: durations and bytes of each interval."""

from __future__ import annotations

import asyncio
from unittest import mock

from jujubebend_cluster import loadreport, logs
from tests.cluster import harness


def test_each_report_covers_one_interval():
    reports = []

    async def scenario(cluster):
        leader_term = await cluster.start_term()
        leader = leader_term.leader
        reporter = asyncio.create_task(loadreport.LoadReporter(leader).run())
        await asyncio.sleep(0.1)
        leader.metrics.observe('commit', 0.01)
        leader.metrics.observe('commit', 0.03)
        leader.metrics.count_bytes('exchange_bytes', 700)
        await asyncio.sleep(2 * loadreport.REPORT_INTERVAL_S)
        reporter.cancel()

    with mock.patch.object(
        logs, 'load_report', lambda **fields: reports.append(fields)
    ):
        harness.run_scenario(scenario)
    first, second = reports
    assert first['exchange_bytes'] == 700
    count, _, longest = first['commit']
    assert count >= 2
    assert round(1000 * longest) == 30
    assert 'exchange_bytes' not in second
    assert first['live_jobs'] == 0
