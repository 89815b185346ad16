"""What a daemon counts, in the text form of Prometheus."""

from __future__ import annotations

import aioprometheus
import attrs
from aioprometheus.formats import text

from jujubebend_cluster import logs, term

BUCKETS = (0.005, 0.02, 0.1, 0.5, 2.0, 5.0)  # seconds


@attrs.define(eq=False)
class Measures:
    """Counters and histograms of one process."""

    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    _answers: aioprometheus.Counter = attrs.field(init=False)
    _seconds: aioprometheus.Histogram = attrs.field(init=False)
    _gauges: dict[str, aioprometheus.Gauge] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register what is counted."""
        self._answers = aioprometheus.Counter(
            'jujubebend_answers_total',
            'Answers to callers by method and status.',
            registry=self.registry,
        )
        self._seconds = aioprometheus.Histogram(
            'jujubebend_answer_seconds',
            'Seconds from a whole request to its answer, by method.',
            registry=self.registry,
            buckets=list(BUCKETS),
        )

    def answered(self, method: str, status: int, seconds: float) -> None:
        """Count an answer to a caller."""
        self._answers.inc({'method': method, 'status': str(int(status))})
        self._seconds.observe({'method': method}, seconds)

    def observe_term(self, current: term.Term | None) -> None:
        """Take the leader's figures; zero where another host leads."""
        leads = current is not None
        self._set('jujubebend_leader', 'One where this host leads.', leads)
        self._set(
            'jujubebend_log_lines_left_out',
            'Log lines left out to bound their volume.',
            logs.SINK.left_out_total,
        )
        if current is None:
            return
        book = current.cell.book
        self._set('jujubebend_live_jobs', 'Jobs not ended.', len(book.live))
        self._set(
            'jujubebend_starts',
            'Starts ordered in this term.',
            current.orders.starts,
        )
        self._set(
            'jujubebend_commits',
            'Commits to the store in this term.',
            current.cell.commits.commits,
        )
        self._set(
            'jujubebend_advice_calls',
            'Calls for advice made by this process.',
            current.cell.desk.asked,
        )

    def render(self) -> bytes:
        """Return every metric as text."""
        return text.TextFormatter().marshall(self.registry)

    def _set(self, name: str, doc: str, amount: float) -> None:
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                name, doc, registry=self.registry
            )
        self._gauges[name].set({}, amount)
