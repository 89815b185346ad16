"""Prometheus metrics of the daemon."""

from __future__ import annotations

import aioprometheus
import attrs
from aioprometheus.formats import text

LATENCY_BUCKETS_SECONDS = (0.005, 0.02, 0.1, 0.5, 2.4, 10.0, 60.0)


@attrs.define(eq=False)
class Metrics:
    """Counters, gauges and histograms of one process."""

    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    _responses: aioprometheus.Counter = attrs.field(init=False)
    _outcomes: aioprometheus.Counter = attrs.field(init=False)
    _latency_seconds: aioprometheus.Histogram = attrs.field(init=False)
    _gauges: dict[str, aioprometheus.Gauge] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register the counters and the histogram."""
        self._responses = aioprometheus.Counter(
            'http_answers_total',
            'HTTP answers by method and status.',
            registry=self.registry,
        )
        self._outcomes = aioprometheus.Counter(
            'request_outcomes_total',
            'Requests served here, by kind and outcome.',
            registry=self.registry,
        )
        self._latency_seconds = aioprometheus.Histogram(
            'request_seconds',
            'Seconds from arrival to answer, by kind.',
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_SECONDS),
        )

    def count_response(self, method: str, status: int) -> None:
        """Count an HTTP response."""
        self._responses.inc({'method': method, 'status': str(int(status))})

    def record_request(self, kind: str, tag: str, seconds: float) -> None:
        """Record the outcome and latency of a request served by this host."""
        self._outcomes.inc({'kind': kind, 'outcome': tag})
        self._latency_seconds.observe({'kind': kind}, seconds)

    def set_gauge(self, name: str, description: str, new_value: float) -> None:
        """Set a gauge; register it on its first use."""
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                name, description, registry=self.registry
            )
        self._gauges[name].set({}, new_value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)
