"""The records of a shard, as a state machine driven by journal entries.

A record is a non-idempotent request, a job or a service that is kept running.
It consists of tasks. A task has at most one open intent at a time and ends
once.
"""

from __future__ import annotations

import attrs
import cattrs
from cattrs import strategies  # noqa: WPS458

from jujubebend import intent

REQUEST = 'request'
JOB = 'job'
SERVICE = 'service'


@attrs.frozen
class Accepted:
    """A record was accepted; ``at`` is in seconds since the Unix epoch.

    ``spec`` is the request or job as JSON text. ``digest`` is the digest of
    the request, to compare with that of a later request with the same key.
    """

    id: str
    sort: str
    tasks: list[str]
    spec: str
    digest: str
    at: float


@attrs.frozen
class Intended:
    """An attempt of a task is about to be started."""

    id: str
    task: str
    intent: intent.Intent


@attrs.frozen
class Ended:
    """An attempt ended; if ``final``, its task ended too."""

    id: str
    task: str
    attempt: str
    outcome: dict[str, str]
    final: bool
    at: float


@attrs.frozen
class Cancelled:
    """A record was withdrawn by a caller or by the configuration."""

    id: str
    at: float


@attrs.frozen
class Scaled:
    """The tasks of a service changed."""

    id: str
    tasks: list[str]
    spec: str


@attrs.frozen
class Claimed:
    """Another holder took over the shard."""

    holder: str


Entry = Accepted | Intended | Ended | Cancelled | Scaled | Claimed


@attrs.define
class Task:
    """One task: its attempt count, open intent and outcome."""

    attempts: int = 0
    intent: intent.Intent | None = None
    outcome: dict[str, str] | None = None


@attrs.define
class Record:
    """One record and its tasks by name.

    ``accepted_at`` and ``ended_at`` are in seconds since the Unix epoch;
    ``ended_at`` is zero until the record ends.
    """

    id: str
    sort: str
    spec: str
    digest: str
    accepted_at: float
    tasks: dict[str, Task] = attrs.field(factory=dict)
    cancelled: bool = False
    ended_at: float = 0

    def is_ended(self) -> bool:
        """Return whether the record has ended, with no attempt still open."""
        return self.ended_at > 0

    def open_tasks(self) -> list[str]:
        """Return the names of the tasks with an open intent."""
        return [
            name for name, task in self.tasks.items() if task.intent is not None
        ]

    def matches(self, spec: str) -> bool:
        """Return whether the record is not cancelled and has this spec."""
        return not self.cancelled and self.spec == spec

    def is_removable(self, cutoff: float) -> bool:
        """Return whether the record may be removed: it ended before ``cutoff``.

        A request whose attempt turned out not to have run stays open, so that
        its key can be retried. Its age counts from its acceptance.
        """
        if self.ended_at:
            return self.ended_at < cutoff
        is_idle = all(task.intent is None for task in self.tasks.values())
        return self.sort == REQUEST and is_idle and self.accepted_at < cutoff


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    strategies.configure_tagged_union(Entry, converter, tag_name='entry')
    return converter


_converter = _make_converter()


def encode(entry: Entry) -> dict:
    """Encode an entry as a JSON document for the journal."""
    return _converter.unstructure(entry, unstructure_as=Entry)


def decode(document: dict) -> Entry:
    """Decode an entry encoded by ``encode``."""
    return _converter.structure(document, Entry)


def encode_record(record: Record) -> dict:
    """Encode a record as a JSON document for a snapshot."""
    return _converter.unstructure(record)


def decode_record(document: dict) -> Record:
    """Decode a record encoded by ``encode_record``."""
    return _converter.structure(document, Record)


@attrs.define
class Records:
    """All records of a shard, changed by ``apply`` only.

    ``by_attempt`` maps the open attempts to (record id, task name).
    """

    by_id: dict[str, Record] = attrs.field(factory=dict)
    by_attempt: dict[str, tuple[str, str]] = attrs.field(factory=dict)

    def restore(self, record: Record) -> None:
        """Add a record from a snapshot."""
        self.by_id[record.id] = record
        for name, task in record.tasks.items():
            if task.intent is not None:
                self.by_attempt[task.intent.attempt] = (record.id, name)

    def apply(self, entry: Entry) -> None:
        """Apply one entry; duplicate and late entries have no effect."""
        match entry:
            case Accepted():
                self._add_record(entry)
            case Claimed():
                return
            case _:
                record = self.by_id.get(entry.id)
                if record is not None:
                    _update_record(record, entry)
                    self._update_attempt_index(record, entry)

    def open_intents(self) -> list[tuple[str, str, intent.Intent]]:
        """Return (record id, task name, intent) of every open attempt."""
        open_intents = []
        for record_id, name in self.by_attempt.values():
            open_intent = self.by_id[record_id].tasks[name].intent
            if open_intent is not None:
                open_intents.append((record_id, name, open_intent))
        return open_intents

    def remove_ended(self, cutoff: float) -> list[Record]:
        """Remove and return the records removable at a Unix time."""
        removable = [
            record
            for record in self.by_id.values()
            if record.is_removable(cutoff)
        ]
        for record in removable:
            self.by_id.pop(record.id)
        return removable

    def _update_attempt_index(self, record: Record, entry: Entry) -> None:
        if isinstance(entry, Ended):
            self.by_attempt.pop(entry.attempt, None)
        if isinstance(entry, Intended):
            task = record.tasks.get(entry.task)
            if task is not None and task.intent == entry.intent:
                location = (record.id, entry.task)
                self.by_attempt[entry.intent.attempt] = location

    def _add_record(self, entry: Accepted) -> None:
        if entry.id in self.by_id:
            return
        tasks = {name: Task() for name in entry.tasks}
        self.by_id[entry.id] = Record(
            entry.id,
            entry.sort,
            entry.spec,
            entry.digest,
            entry.at,
            tasks,
        )


def _update_record(record: Record, entry: Entry) -> None:
    match entry:
        case Intended():
            _open_intent(record, entry)
        case Ended():
            _end_attempt(record, entry)
        case Cancelled():
            record.cancelled = True
            _end_if_done(record, entry.at)
        case Scaled():
            _set_tasks(record, entry)


def _open_intent(record: Record, entry: Intended) -> None:
    task = record.tasks.get(entry.task)
    if task is None or task.outcome is not None or task.intent is not None:
        return
    task.attempts += 1
    task.intent = entry.intent


def _end_attempt(record: Record, entry: Ended) -> None:
    task = record.tasks.get(entry.task)
    if task is None or task.intent is None:
        return
    if task.intent.attempt != entry.attempt:
        return
    task.intent = None
    if entry.final:
        task.outcome = entry.outcome
    _end_if_done(record, entry.at)


def _end_if_done(record: Record, ended_at: float) -> None:
    if record.ended_at:
        return
    is_idle = all(task.intent is None for task in record.tasks.values())
    is_done = all(task.outcome is not None for task in record.tasks.values())
    if is_idle and (record.cancelled or is_done):
        record.ended_at = ended_at


def _set_tasks(record: Record, entry: Scaled) -> None:
    record.spec = entry.spec
    # Scaling a withdrawn service restores it.
    record.cancelled = False
    record.ended_at = 0
    task_names = set(entry.tasks)
    for name in entry.tasks:
        record.tasks.setdefault(name, Task())
    for name, task in list(record.tasks.items()):
        if name not in task_names and task.intent is None:
            record.tasks.pop(name)
