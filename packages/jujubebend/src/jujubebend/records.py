"""The recorded work of a shard: a state machine that the journal feeds.

A record is a non-idempotent request, a job, or a service kept running. It
has tasks; each task has at most one open intent at a time and ends once.
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
    """A record was accepted; ``at`` is in seconds since the epoch.

    ``spec`` is the request or job as JSON text, ``digest`` that of the
    request that a repeated key is compared with.
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
    """An attempt came to an end; ``final`` ends the task as well."""

    id: str
    task: str
    attempt: str
    outcome: dict[str, str]
    final: bool
    at: float


@attrs.frozen
class Cancelled:
    """A caller or the operators' text withdrew a record."""

    id: str
    at: float


@attrs.frozen
class Scaled:
    """A service has other tasks from now on."""

    id: str
    tasks: list[str]
    spec: str


@attrs.frozen
class Claimed:
    """Another holder took the shard over."""

    holder: str


Entry = Accepted | Intended | Ended | Cancelled | Scaled | Claimed


@attrs.define
class Task:
    """One task: its open intent, how often it was tried, how it ended."""

    attempts: int = 0
    intent: intent.Intent | None = None
    outcome: dict[str, str] | None = None


@attrs.define
class Record:
    """One record with its tasks by name."""

    id: str
    sort: str
    spec: str
    digest: str
    accepted_at: float
    tasks: dict[str, Task] = attrs.field(factory=dict)
    cancelled: bool = False
    ended_at: float = 0

    def is_ended(self) -> bool:
        """Say whether every task has ended and none still runs."""
        return self.ended_at > 0

    def open_tasks(self) -> list[str]:
        """Return the tasks that have an intent without an end."""
        return [
            name for name, task in self.tasks.items() if task.intent is not None
        ]

    def matches(self, spec: str) -> bool:
        """Say whether the record stands and has this spec."""
        return not self.cancelled and self.spec == spec

    def is_forgettable(self, before: float) -> bool:
        """Say whether the record ended before a time.

        A request that was found not to have run stays open for a retry of
        its key, and is as old as its acceptance.
        """
        if self.ended_at:
            return self.ended_at < before
        idle = all(task.intent is None for task in self.tasks.values())
        return self.sort == REQUEST and idle and self.accepted_at < before


def _make_converter() -> cattrs.Converter:
    made = cattrs.Converter()
    strategies.configure_tagged_union(Entry, made, tag_name='entry')
    return made


_converter = _make_converter()


def encode(entry: Entry) -> dict:
    """Return an entry as plain data for the journal."""
    return _converter.unstructure(entry, unstructure_as=Entry)


def decode(plain: dict) -> Entry:
    """Return the entry that ``encode`` wrote."""
    return _converter.structure(plain, Entry)


def encode_record(record: Record) -> dict:
    """Return a record as plain data for a snapshot."""
    return _converter.unstructure(record)


def decode_record(plain: dict) -> Record:
    """Return the record that ``encode_record`` wrote."""
    return _converter.structure(plain, Record)


@attrs.define
class Records:
    """All records of a shard; ``apply`` is the only way to change them."""

    by_id: dict[str, Record] = attrs.field(factory=dict)
    by_attempt: dict[str, tuple[str, str]] = attrs.field(factory=dict)

    def restore(self, record: Record) -> None:
        """Take in a whole record from a snapshot."""
        self.by_id[record.id] = record
        for name, task in record.tasks.items():
            if task.intent is not None:
                self.by_attempt[task.intent.attempt] = (record.id, name)

    def apply(self, entry: Entry) -> None:
        """Take in one entry; what repeats or comes too late is ignored."""
        match entry:
            case Accepted():
                self._accept(entry)
            case Claimed():
                return
            case _:
                record = self.by_id.get(entry.id)
                if record is not None:
                    _change(record, entry)
                    self._index(record, entry)

    def open_intents(self) -> list[tuple[str, str, intent.Intent]]:
        """Return (record, task, intent) of every attempt without an end."""
        found = []
        for record_id, name in self.by_attempt.values():
            opened = self.by_id[record_id].tasks[name].intent
            if opened is not None:
                found.append((record_id, name, opened))
        return found

    def forget(self, before: float) -> list[Record]:
        """Drop records that ended before a time and return them."""
        old = [
            record
            for record in self.by_id.values()
            if record.is_forgettable(before)
        ]
        for record in old:
            self.by_id.pop(record.id)
        return old

    def _index(self, record: Record, entry: Entry) -> None:
        if isinstance(entry, Ended):
            self.by_attempt.pop(entry.attempt, None)
        if isinstance(entry, Intended):
            task = record.tasks.get(entry.task)
            if task is not None and task.intent == entry.intent:
                where = (record.id, entry.task)
                self.by_attempt[entry.intent.attempt] = where

    def _accept(self, entry: Accepted) -> None:
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


def _change(record: Record, entry: Entry) -> None:
    match entry:
        case Intended():
            _intend(record, entry)
        case Ended():
            _end(record, entry)
        case Cancelled():
            record.cancelled = True
            _note_end(record, entry.at)
        case Scaled():
            _scale(record, entry)


def _intend(record: Record, entry: Intended) -> None:
    task = record.tasks.get(entry.task)
    if task is None or task.outcome is not None or task.intent is not None:
        return
    task.attempts += 1
    task.intent = entry.intent


def _end(record: Record, entry: Ended) -> None:
    task = record.tasks.get(entry.task)
    if task is None or task.intent is None:
        return
    if task.intent.attempt != entry.attempt:
        return
    task.intent = None
    if entry.final:
        task.outcome = entry.outcome
    _note_end(record, entry.at)


def _note_end(record: Record, at: float) -> None:
    if record.ended_at:
        return
    idle = all(task.intent is None for task in record.tasks.values())
    done = all(task.outcome is not None for task in record.tasks.values())
    if idle and (record.cancelled or done):
        record.ended_at = at


def _scale(record: Record, entry: Scaled) -> None:
    record.spec = entry.spec
    # A service that was withdrawn is wanted again.
    record.cancelled = False
    record.ended_at = 0
    wanted = set(entry.tasks)
    for name in entry.tasks:
        record.tasks.setdefault(name, Task())
    for name, task in list(record.tasks.items()):
        if name not in wanted and task.intent is None:
            record.tasks.pop(name)
