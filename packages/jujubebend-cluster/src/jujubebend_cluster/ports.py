"""What the daemon needs of its surroundings, as interfaces.

An adapter implements them over a real platform, tests over fakes. Calls
raise ``errors.RefusedError`` where nothing was done, and
``errors.UnreachableError`` where it may have been.
"""

from __future__ import annotations

import enum
from collections import abc
from typing import Protocol

import attrs

from jujubebend_cluster import jobspec


@attrs.frozen
class Item:
    """A key of the store; ``body`` is None where the key was deleted."""

    key: str
    body: bytes | None
    revision: int


@attrs.frozen
class Transaction:
    """Writes that happen together, if every expectation holds.

    ``expects`` maps a key to the revision it must have, zero for absent.
    """

    expects: dict[str, int] = attrs.field(factory=dict)
    puts: dict[str, bytes] = attrs.field(factory=dict)
    deletes: tuple[str, ...] = ()


class Store(Protocol):
    """The key-value store; answers are linearizable."""

    async def get(self, key: str) -> Item | None:
        """Return the item, or None where the key does not exist."""
        ...

    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return every item under ``prefix`` and the first page's revision."""
        ...

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> tuple[list[Item], int]:
        """Return changes past a revision; raises ``HistoryGoneError``."""
        ...

    async def commit(
        self, wanted: Transaction, timeout: float | None = None
    ) -> int:
        """Apply a transaction; raises ``ConflictError`` if it does not hold."""
        ...


class WorkerState(enum.Enum):
    """Whether a worker takes new tasks."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class WorkerEntry:
    """What a worker says of itself; ``born`` tells its lives apart."""

    worker: str
    born: int
    service: str
    address: str
    zone: str
    state: WorkerState
    capacity: jobspec.Demand
    labels: tuple[str, ...]
    rack: str


class Ending(enum.Enum):
    """How a run of a task ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@attrs.frozen
class Running:
    """A run that a worker lists as present."""

    task: jobspec.TaskName
    run: int
    checkpoint: str
    percent: int
    usage: float


@attrs.frozen
class Ended:
    """A run that a worker lists as ended; ``number`` counts its ends."""

    number: int
    task: jobspec.TaskName
    run: int
    ending: Ending
    checkpoint: str


@attrs.frozen
class Look:
    """A worker's answer to a hold; ``clock`` is the worker's, in seconds."""

    clock: float
    born: int
    running: tuple[Running, ...] = ()
    ended: tuple[Ended, ...] = ()


class Verdict(enum.Enum):
    """What a worker said to an order."""

    ACCEPTED = 'accepted'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    INVALID = 'invalid'
    OTHER_LIFE = 'other_life'


@attrs.frozen
class StartOrder:
    """Tells a worker to run a task until its clock reaches ``until``."""

    task: jobspec.TaskName
    run: int
    payload: str
    until: float
    token: int
    checkpoint: str = ''
    ticket: str = ''


class WorkerCalls(Protocol):
    """The calls to one worker."""

    async def start(self, order: StartOrder) -> Verdict:
        """Order a start."""
        ...

    async def stop(
        self, task: jobspec.TaskName, run: int, token: int
    ) -> Verdict:
        """Order a stop; also refuses that run for good if not there yet."""
        ...

    async def hold(
        self, token: int, seen: int, until: float | None, wait: float
    ) -> Look | Verdict:
        """Extend leases, acknowledge ends up to ``seen``, list runs."""
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


class Advisor(Protocol):
    """The service that knows which workers may run a step."""

    async def advise(
        self, step: str, workers: abc.Sequence[str], wait: float
    ) -> dict[str, str]:
        """Return a ticket for each worker named that may run the step."""
        ...
