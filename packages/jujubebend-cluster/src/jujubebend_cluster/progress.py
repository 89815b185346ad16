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
    """What is kept of one task that was ever placed."""

    state: TaskState
    run: int
    worker: str
    life: int
    failures: int
    checkpoint: str


@attrs.frozen
class Progress:
    """A job's record; keys name a task or a gang within the job."""

    state: JobState
    tasks: dict[str, TaskProgress] = attrs.field(factory=dict)
    gangs: dict[str, int] = attrs.field(factory=dict)

    def is_over(self) -> bool:
        """Say whether the job has ended and nothing of it runs any more."""
        runs = any(row.state is TaskState.PLACED for row in self.tasks.values())
        return self.state in ENDED_STATES and not runs

    def occurrences(self) -> list[int]:
        """Return the occurrences of which a task was ever placed."""
        return sorted({int(key.partition('.')[0]) for key in self.tasks})

    def encode(self) -> bytes:
        """Return the record as the store keeps it."""
        plain = {
            'state': self.state.value,
            'tasks': {
                key: (row.state.value, *row[1:])
                for key, row in self.tasks.items()
            },
            'gangs': self.gangs,
        }
        return orjson.dumps(plain)


def parse(body: bytes) -> Progress:
    """Read what ``Progress.encode`` wrote."""
    plain = orjson.loads(body)
    return Progress(
        JobState(plain['state']),
        {
            key: TaskProgress(TaskState(row[0]), *row[1:])
            for key, row in plain['tasks'].items()
        },
        plain['gangs'],
    )
