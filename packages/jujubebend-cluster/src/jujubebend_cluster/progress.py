"""How far a job has come, as the store keeps it for the next leader."""

from __future__ import annotations

import enum
import typing

import attrs
import orjson


class JobState(enum.Enum):
    """What callers are told of a job."""

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
    """Where a task stands; PLACED covers all from the order to its end."""

    WAITING = 'waiting'
    PLACED = 'placed'
    DONE = 'done'


class TaskProgress(typing.NamedTuple):
    """What is kept of a task that was placed and is not done."""

    state: TaskState
    run: int
    worker: str
    incarnation: int
    failures: int
    checkpoint: str


@attrs.frozen
class Progress:
    """A job's record.

    ``tasks`` is by ``OCCURRENCE.STEP.INDEX``; ``gangs``, failures of whole
    gangs, and ``done``, the indices of tasks that are, by
    ``OCCURRENCE.STEP``. Once a job is over, only its state is kept.
    """

    state: JobState
    tasks: dict[str, TaskProgress] = attrs.field(factory=dict)
    gangs: dict[str, int] = attrs.field(factory=dict)
    done: dict[str, list[int]] = attrs.field(factory=dict)

    def is_over(self) -> bool:
        """Say whether the job has ended and nothing of it runs any more."""
        runs = any(row.state is TaskState.PLACED for row in self.tasks.values())
        return self.state in ENDED_STATES and not runs

    def occurrences(self) -> list[int]:
        """Return the occurrences of which a task was ever placed."""
        keys = (*self.tasks, *self.done)
        return sorted({int(key.partition('.')[0]) for key in keys})

    def encode(self) -> bytes:
        """Return the record as the store keeps it."""
        tasks = {
            key: (row.state.value, *row[1:]) for key, row in self.tasks.items()
        }
        plain = {
            'state': self.state.value,
            'tasks': tasks,
            'gangs': self.gangs,
            'done': self.done,
        }
        return orjson.dumps({key: kept for key, kept in plain.items() if kept})


def parse(body: bytes) -> Progress:
    """Read what ``Progress.encode`` wrote."""
    plain = orjson.loads(body)
    tasks = plain.get('tasks', {})
    return Progress(
        JobState(plain['state']),
        {
            key: TaskProgress(TaskState(row[0]), *row[1:])
            for key, row in tasks.items()
        },
        plain.get('gangs', {}),
        plain.get('done', {}),
    )
