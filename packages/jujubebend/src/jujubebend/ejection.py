"""Ejection of workers that fail what they start.

Each worker has two counts, of all ends and of failures, that decay with
time. A worker is ejected when it has enough samples, fails most of them and
fails far more than the other workers do, since work that fails everywhere
says nothing of a worker. One bad sample ejects nobody. No more than a set
share of the workers is ejected at once, and an ejected worker gets single
probes to come back.
"""

from __future__ import annotations

import attrs

HALF_LIFE = 30.0
LEAST_SAMPLES = 4.0
FAILING = 0.6
LARGEST_SHARE = 0.34
TIMES_OTHERS = 2.0
FIRST_PROBE = 2.0
LONGEST_PROBE = 120.0
ROUNDING = 0.05


@attrs.define
class Record:
    """The decayed counts of one worker; times are in seconds."""

    ends: float = 0
    failures: float = 0
    updated: float = 0
    ejected: bool = False
    probe_wait: float = FIRST_PROBE
    next_probe: float = 0
    probing: bool = False


@attrs.define
class Ejector:
    """Judges workers by how their work ended.

    ``workers`` is how many there are for the same work, those of other
    owners included; a sole worker is never ejected.

    ejector = Ejector()
    ejector.ended('worker-1', failed=True, now=0)
    ejector.admits('worker-1', now=0)
    """

    records: dict[str, Record] = attrs.field(factory=dict)
    workers: int = 0

    def ended(self, worker: str, *, failed: bool, now: float) -> None:
        """Count the end of a piece of work on ``worker``."""
        record = self.records.setdefault(worker, Record(updated=now))
        if record.ejected:
            self._judge_probe(record, failed=failed, now=now)
            return
        self._decay(record, now)
        record.ends += 1
        record.failures += failed
        if self._is_failing(record) and self._may_eject(record):
            record.ejected = True
            record.probe_wait = FIRST_PROBE
            record.next_probe = now + FIRST_PROBE

    def admits(self, worker: str, now: float) -> bool:
        """Say whether ``worker`` may get work now, if only a probe."""
        record = self.records.get(worker)
        if record is None or not record.ejected:
            return True
        return not record.probing and now >= record.next_probe

    def started(self, worker: str) -> None:
        """Note that work was given to ``worker``: a probe if ejected."""
        record = self.records.get(worker)
        if record is not None and record.ejected:
            record.probing = True

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that has left or restarted."""
        self.records.pop(worker, None)

    def abandoned(self, worker: str) -> None:
        """Note that a probe was withdrawn before it told anything."""
        record = self.records.get(worker)
        if record is not None:
            record.probing = False

    def ejected(self) -> list[str]:
        """Return the names of the ejected workers."""
        return [name for name, record in self.records.items() if record.ejected]

    def _judge_probe(self, record: Record, *, failed: bool, now: float) -> None:
        if not record.probing:
            return
        record.probing = False
        if failed:
            record.probe_wait = min(LONGEST_PROBE, record.probe_wait * 2)
            record.next_probe = now + record.probe_wait
            return
        record.ejected = False
        record.ends = 0
        record.failures = 0
        record.updated = now

    def _decay(self, record: Record, now: float) -> None:
        kept = 0.5 ** ((now - record.updated) / HALF_LIFE)
        record.ends *= kept
        record.failures *= kept
        record.updated = now

    def _is_failing(self, record: Record) -> bool:
        if record.ends < LEAST_SAMPLES - ROUNDING:
            return False
        return record.failures >= FAILING * record.ends

    def _may_eject(self, record: Record) -> bool:
        others = [one for one in self.records.values() if one is not record]
        ejected = sum(one.ejected for one in others)
        workers = max(self.workers, len(self.records))
        if ejected + 1 > max(1, LARGEST_SHARE * workers) or workers < 2:
            return False
        ends = sum(one.ends for one in others)
        failures = sum(one.failures for one in others if not one.ejected)
        if ends < LEAST_SAMPLES:
            return True
        rate = record.failures / record.ends
        return rate >= TIMES_OTHERS * failures / ends
