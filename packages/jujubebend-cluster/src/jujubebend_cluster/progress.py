"""Progress records of jobs, which the store keeps for the next leader."""

from __future__ import annotations

import enum
import typing

import attrs
import orjson

from jujubebend import decoding
from jujubebend_cluster import compression


class JobState(enum.Enum):
    """The state of a job, as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_STATES = frozenset((
    JobState.COMPLETED,
    JobState.FAILED,
    JobState.CANCELLED,
))


class TaskState(enum.Enum):
    """The state of a task.

    PLACED lasts from the decision to start a run until its end is known.
    """

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class TaskProgress(typing.NamedTuple):
    """The record of a task that was placed at least once and is not done."""

    state: TaskState
    run: int
    worker: str
    incarnation: int
    failures: int
    checkpoint: str


class GangProgress(typing.NamedTuple):
    """The record of a gang that has failed: how often, and in which run last."""

    failures: int
    failed_run: int


@attrs.frozen
class Progress:
    """A job's progress record.

    ``tasks`` is keyed by ``OCCURRENCE.STEP.INDEX``. ``gangs`` holds the
    failures of each gang, ``done`` the indices of the tasks that
    are done; both are keyed by ``OCCURRENCE.STEP``. Once a job is over, its
    record holds only the state.
    """

    state: JobState
    tasks: dict[str, TaskProgress] = attrs.field(factory=dict)
    gangs: dict[str, GangProgress] = attrs.field(factory=dict)
    done: dict[str, list[int]] = attrs.field(factory=dict)

    def is_over(self) -> bool:
        """Return whether the job has ended and none of its tasks runs."""
        has_runs = any(
            row.state is TaskState.PLACED for row in self.tasks.values()
        )
        return self.state in ENDED_STATES and not has_runs

    def occurrences(self) -> list[int]:
        """Return the occurrences with at least one task that was placed."""
        keys = (*self.tasks, *self.done)
        return sorted({int(key.partition('.')[0]) for key in keys})

    def encode(self) -> bytes:
        """Return the record as it is stored, without empty fields."""
        tasks = {
            key: (row.state.value, *row[1:]) for key, row in self.tasks.items()
        }
        document = {
            'state': self.state.value,
            'tasks': tasks,
            'gangs': {key: tuple(row) for key, row in self.gangs.items()},
            'done': self.done,
        }
        body = orjson.dumps({
            key: field for key, field in document.items() if field
        })
        return compression.compress(body)


def decode_progress(body: bytes) -> Progress:
    """Decode a record written by ``Progress.encode``.

    Raises ``InvalidInputError`` if it is damaged.
    """
    try:
        return _decode_progress(body)
    except decoding.DECODE_ERRORS as exc:
        raise decoding.damaged_record('progress', exc) from exc


def _decode_progress(body: bytes) -> Progress:
    document = orjson.loads(compression.decompress(body))
    return Progress(
        JobState(document['state']),
        {
            _check_key(key): _decode_task(row)
            for key, row in document.get('tasks', {}).items()
        },
        {
            _check_key(key): _decode_gang(row)
            for key, row in document.get('gangs', {}).items()
        },
        {
            _check_key(key): [decoding.to_count(index) for index in indices]
            for key, indices in document.get('done', {}).items()
        },
    )


def _check_key(key: str) -> str:
    """Return a key of numbers joined by dots; raises ``ValueError``."""
    for number in key.split('.'):
        int(number)
    return key


def _decode_gang(row: list | int) -> GangProgress:
    """Decode a gang's row; earlier builds recorded the number alone."""
    failures, failed_run = row if isinstance(row, list) else (row, 0)
    return GangProgress(
        decoding.to_count(failures), decoding.to_count(failed_run)
    )


def _decode_task(row: list) -> TaskProgress:
    state, run, worker, *rest = row
    incarnation, failures, checkpoint = rest
    return TaskProgress(
        TaskState(state),
        decoding.to_count(run),
        decoding.to_text(worker),
        decoding.to_count(incarnation),
        decoding.to_count(failures),
        decoding.to_text(checkpoint),
    )
