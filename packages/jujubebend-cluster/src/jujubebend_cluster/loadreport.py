"""Periodic log line on the load of a leader."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import leaderstate, logs, metrics

REPORT_INTERVAL_S = 1.0
DECIMAL_PLACES = 4  # of seconds: a tenth of a millisecond


@attrs.define(eq=False)
class LoadReporter:
    """Logs what delayed a leader's work, once an interval.

    The line ``leader_load`` gives the number, mean and maximum of the
    durations that ``metrics.Metrics`` observed, and the bytes written to the
    store and exchanged with relays. From it one can tell a narrow link (long
    commits and exchanges) from a lack of processor time (event loop lag, long
    passes).
    """

    leader: leaderstate.LeaderState

    async def run(self) -> None:
        """Report until cancelled."""
        leader_metrics = self.leader.metrics
        leader_metrics.start_interval()
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            logs.load_report(
                live_jobs=len(self.leader.job_table.live_jobs),
                **_summarize(leader_metrics.start_interval()),
            )


def _summarize(summaries: dict[str, metrics.Summary]) -> dict[str, object]:
    return {
        name: summary.total
        if name in metrics.BYTE_COUNTERS
        else [
            summary.count,
            round(summary.mean, DECIMAL_PLACES),
            round(summary.maximum, DECIMAL_PLACES),
        ]
        for name, summary in sorted(summaries.items())
    }
