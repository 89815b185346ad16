"""What a daemon counts, in the text form of Prometheus."""

from __future__ import annotations

import aioprometheus
import attrs
from aioprometheus.formats import text

BUCKETS = (0.005, 0.02, 0.1, 0.5, 2.4, 10.0, 60.0)


@attrs.define(eq=False)
class Metrics:
    """Counters and histograms of one process."""

    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    _answers: aioprometheus.Counter = attrs.field(init=False)
    _outcomes: aioprometheus.Counter = attrs.field(init=False)
    _seconds: aioprometheus.Histogram = attrs.field(init=False)
    _gauges: dict[str, aioprometheus.Gauge] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register what is counted."""
        self._answers = aioprometheus.Counter(
            'http_answers_total',
            'HTTP answers by method and status.',
            registry=self.registry,
        )
        self._outcomes = aioprometheus.Counter(
            'request_outcomes_total',
            'Requests served here, by kind and outcome.',
            registry=self.registry,
        )
        self._seconds = aioprometheus.Histogram(
            'request_seconds',
            'Seconds from arrival to answer, by kind.',
            registry=self.registry,
            buckets=list(BUCKETS),
        )

    def answered(self, method: str, status: int) -> None:
        """Count an HTTP answer."""
        self._answers.inc({'method': method, 'status': str(int(status))})

    def served(self, kind: str, tag: str, seconds: float) -> None:
        """Count a request served here."""
        self._outcomes.inc({'kind': kind, 'outcome': tag})
        self._seconds.observe({'kind': kind}, seconds)

    def gauge(self, name: str, doc: str, amount: float) -> None:
        """Set a gauge, making it when first set."""
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                name, doc, registry=self.registry
            )
        self._gauges[name].set({}, amount)

    def render(self) -> bytes:
        """Return every metric as text."""
        return text.TextFormatter().marshall(self.registry)
