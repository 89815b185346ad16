"""Metrics of the daemon in the Prometheus text format."""

from __future__ import annotations

import asyncio
import collections

import aioprometheus
import attrs
from aioprometheus.formats import text

from jujubebend_cluster import logs

BUCKETS_S = (0.005, 0.02, 0.1, 0.5, 2.0, 5.0, 15.0)
LAG_INTERVAL_S = 0.5  # between measurements of the event loop's lag
LAG_WEIGHT = 0.4  # of the newest measurement in the moving average
BYTE_COUNTERS = frozenset(('commit_bytes', 'exchange_bytes'))


@attrs.define(eq=False)
class Summary:
    """Number, sum and maximum of the values observed in an interval."""

    count: int = 0
    total: float = 0
    maximum: float = 0

    def add(self, amount: float) -> None:
        """Add one value."""
        self.count += 1
        self.total += amount
        self.maximum = max(self.maximum, amount)

    @property
    def mean(self) -> float:
        """Return the mean value, zero if there was none."""
        return self.total / self.count if self.count else 0


@attrs.define(eq=False)
class Metrics:
    """Counters and histograms of one process.

    ``lag`` is the moving average, in seconds, of how late the event loop
    wakes. ``interval`` summarizes what was observed since the last call of
    ``start_interval``.

    Names follow Prometheus: counters end in ``_total``, times in
    ``_seconds``.

        metrics = Metrics()
        metrics.count('starts', outcome='accepted')
        metrics.observe('commit', 0.006)
    """

    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    lag: float = 0
    interval: collections.defaultdict[str, Summary] = attrs.field(
        factory=lambda: collections.defaultdict(Summary)
    )
    _counters: dict[str, aioprometheus.Counter] = attrs.field(factory=dict)
    _histograms: dict[str, aioprometheus.Histogram] = attrs.field(factory=dict)
    _gauges: dict[str, aioprometheus.Gauge] = attrs.field(factory=dict)

    def count(self, name: str, **labels: str) -> None:
        """Count one event, such as an answer or a start, by its labels."""
        self._counter(name).inc(labels)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram and to the current interval."""
        self.interval[name].add(seconds)
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = aioprometheus.Histogram(
                f'jujubebend_{name}_seconds',
                HISTOGRAM_HELP[name],
                registry=self.registry,
                buckets=list(BUCKETS_S),
            )
            self._histograms[name] = histogram
        histogram.observe(labels, seconds)

    def count_bytes(self, name: str, size: int) -> None:
        """Add the size of one message in bytes to a counter."""
        self.interval[name].add(size)
        self._counter(name).add({}, size)

    def start_interval(self) -> dict[str, Summary]:
        """Return the summaries of the interval that ends, and begin another."""
        summaries = self.interval
        self.interval = collections.defaultdict(Summary)
        return summaries

    def record_answer(self, method: str, status: int, seconds: float) -> None:
        """Count an answer to a caller and its duration in seconds."""
        self.count('answers', method=method, status=str(int(status)))
        self.observe('answer', seconds, method=method)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        gauge_metric = self._gauges.get(name)
        if gauge_metric is None:
            gauge_metric = aioprometheus.Gauge(
                f'jujubebend_{name}', GAUGE_HELP[name], registry=self.registry
            )
            self._gauges[name] = gauge_metric
        gauge_metric.set({}, value)

    def _counter(self, name: str) -> aioprometheus.Counter:
        counter = self._counters.get(name)
        if counter is None:
            counter = aioprometheus.Counter(
                f'jujubebend_{name}_total',
                COUNTER_HELP[name],
                registry=self.registry,
            )
            self._counters[name] = counter
        return counter

    async def measure_lag(self) -> None:
        """Measure how late the event loop wakes, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            lateness = max(0, loop.time() - due)
            self.lag += LAG_WEIGHT * (lateness - self.lag)
            self.observe('loop_lag', lateness)

    def render(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        self.set_gauge('log_lines_left_out', logs.SINK.dropped_total)
        return text.TextFormatter().marshall(self.registry)


COUNTER_HELP = {
    'answers': 'Answers to callers, by method and status.',
    'starts': 'Starts of tasks ordered by this leader, by outcome.',
    'ends': 'Ends of runs heard by this leader, by how they ended.',
    'commits': 'Commits to the store by this leader, by outcome.',
    'advice_calls': 'Calls for advice by this leader, by outcome.',
    'holds': 'Holds of workers by this leader, by outcome.',
    'faults': 'Unexpected errors, by the address or the part they met.',
    'commit_bytes': 'Bytes of records that this leader committed.',
    'exchange_bytes': 'Bytes exchanged with relays by this leader.',
}
HISTOGRAM_HELP = {
    'answer': 'Seconds from a whole request to its answer, by method.',
    'commit': 'Seconds that a commit to the store took.',
    'start_wait': 'Seconds from when a step was ready to each start of it.',
    'advice': 'Seconds that a call for advice took.',
    'pass': 'Seconds that a planning pass took.',
    'order': 'Seconds from a start order to its answer.',
    'exchange': 'Seconds that an exchange with a relay took.',
    'lease_margin': 'Seconds left of a lease when it was renewed.',
    'loop_lag': 'Seconds that the event loop woke late.',
}
GAUGE_HELP = {
    'leader': 'One where this host leads.',
    'live_jobs': 'Jobs that have not ended, as this leader knows.',
    'start_limit': 'Starts that this leader has under way at the most.',
    'log_lines_left_out': 'Log lines left out to bound their volume.',
}
