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


class RunOutcome(enum.Enum):
    """How a run of a task ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@attrs.frozen
class ActiveRun:
    """A run that a worker lists as present.

    ``usage`` is a figure of the last half second: for a serving task the
    tail of its response times, in seconds; for any other, cores in use.
    """

    task: jobspec.TaskName
    run: int
    checkpoint: str
    percent: int
    usage: float


@attrs.frozen
class EndedRun:
    """A run that a worker lists as ended; ``number`` counts its ends."""

    number: int
    task: jobspec.TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerStatus:
    """A worker's answer to a hold; ``clock`` is the worker's, in seconds.

    ``running`` is None where the caller asked for ends only.
    """

    clock: float
    born: int
    running: tuple[ActiveRun, ...] | None = ()
    ended: tuple[EndedRun, ...] = ()


class OrderResult(enum.Enum):
    """What a worker said to an order."""

    ACCEPTED = 'accepted'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    INVALID = 'invalid'
    OTHER_INCARNATION = 'other_life'


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

    async def start(self, order: StartOrder) -> OrderResult:
        """Order a start."""
        ...

    async def stop(
        self, task: jobspec.TaskName, run: int, token: int
    ) -> OrderResult:
        """Order a stop; also refuses that run for good if not there yet."""
        ...

    async def pace(
        self, task: jobspec.TaskName, run: int, percent: int, token: int
    ) -> OrderResult:
        """Let a run work at that share of its speed from now on."""
        ...

    async def renew_leases(
        self,
        token: int,
        seen: int,
        until: float | None,
        wait: float,
        *,
        list_runs: bool = True,
    ) -> WorkerStatus | OrderResult:
        """Extend leases, acknowledge ends up to ``seen``, list runs.

        Where not ``list_runs`` is asked for, what runs may be left out.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


class MachineState(enum.Enum):
    """What a machine does; only one that is up can be taken down."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'upkeep'
    DOWN = 'down'


@attrs.frozen
class Machine:
    """A machine; ``worker`` is the ID of its present life."""

    name: str
    state: MachineState
    worker: str


class MaintenanceResult(enum.Enum):
    """What the platform said to an order for upkeep.

    NOT_IN_WAVE: the machine is gone, or the wave does not name it.
    """

    BEGUN = 'begun'
    FENCED = 'fenced'
    BUSY = 'busy'
    NOT_IN_WAVE = 'not_its'


class Machines(Protocol):
    """The calls on machines; ``handover_gap`` in seconds.

    Orders of two leaders for one machine must lie ``handover_gap`` apart.
    """

    handover_gap: float

    async def list_machines(self) -> list[Machine]:
        """Return every machine."""
        ...

    async def begin_maintenance(
        self, machine: str, wave: int, host: str, fence: int
    ) -> MaintenanceResult:
        """Take a machine down; whatever runs on it is lost at once."""
        ...

    def status(self, wave: int, *, completed: bool) -> tuple[str, bytes]:
        """Return the key and the body that tell operators of a wave."""
        ...


class Advisor(Protocol):
    """The service that knows which workers may run a step."""

    async def advise(
        self, step: str, workers: abc.Sequence[str], wait: float
    ) -> dict[str, str]:
        """Return a ticket for each worker named that may run the step."""
        ...
