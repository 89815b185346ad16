"""Interfaces through which the daemon uses the platform.

An adapter implements them for a real platform; tests use fakes. A call
raises ``errors.RefusedError`` if it had no effect, and
``errors.UnreachableError`` if it may have had one.
"""

from __future__ import annotations

import enum
from collections import abc
from typing import Protocol

import attrs

from jujubebend_cluster import jobspec


@attrs.frozen
class Item:
    """A key of the store; ``body`` is None if the key was deleted."""

    key: str
    body: bytes | None
    revision: int


@attrs.frozen
class Transaction:
    """Writes that are applied atomically if every expectation holds.

    ``expects`` maps a key to the revision it must have, zero if absent.
    """

    expects: dict[str, int] = attrs.field(factory=dict)
    puts: dict[str, bytes] = attrs.field(factory=dict)
    deletes: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Return the number of bytes of the written values."""
        return sum(len(body) for body in self.puts.values())


class Store(Protocol):
    """A key-value store with linearizable reads and writes."""

    async def get(self, key: str) -> Item | None:
        """Return the item, or None if the key does not exist."""
        ...

    async def scan(self, prefix: str) -> tuple[list[Item], int]:
        """Return the items under ``prefix`` and the first page's revision."""
        ...

    async def watch(
        self, prefix: str, after: int, wait: float
    ) -> tuple[list[Item], int]:
        """Return the changes after a revision, and the newest revision.

        Waits up to ``wait`` seconds for a change. Raises
        ``HistoryGoneError`` if the store no longer keeps these changes.
        """
        ...

    async def commit(
        self, transaction: Transaction, timeout: float | None = None
    ) -> int:
        """Apply a transaction and return its revision.

        ``timeout`` is in seconds. Raises ``ConflictError`` if an
        expectation does not hold.
        """
        ...


class WorkerState(enum.Enum):
    """Whether a worker accepts new tasks."""

    READY = 'ready'
    DRAINING = 'draining'


@attrs.frozen
class WorkerEntry:
    """A worker's entry in the store; ``born`` is its incarnation number."""

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
    """A run that a worker reports as active.

    ``usage`` covers the last half second: for a serving task, the tail of
    its response times in seconds; for any other task, the cores in use.
    """

    task: jobspec.TaskName
    run: int
    checkpoint: str
    percent: int
    usage: float


@attrs.frozen
class EndedRun:
    """A run that a worker reports as ended.

    ``number`` is the end's sequence number on that worker; the leader
    acknowledges ends by it.
    """

    number: int
    task: jobspec.TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class WorkerStatus:
    """A worker's answer to a lease renewal.

    ``clock`` is the worker's clock in seconds, and ``born`` its incarnation
    number. ``running`` is None if the answer omits the active runs. Without
    ``lists_all_ends`` there may be more ends, which are listed once some of
    these are acknowledged.
    """

    clock: float
    born: int
    running: tuple[ActiveRun, ...] | None = ()
    ended: tuple[EndedRun, ...] = ()
    lists_all_ends: bool = True


@attrs.frozen
class Renewal:
    """Renewal of a worker's leases, for one ``incarnation`` of it.

    ``token`` is the leader's fencing token. The leases last until the clock of
    the incarnation reaches ``until``, in seconds; None extends none. The worker
    discards the ends up to the number ``acknowledged``, and waits up to ``wait``
    seconds for a run to end. Without ``list_runs`` the status may omit the active
    runs. An ``incarnation`` of None asks for a status alone.
    """

    token: int
    incarnation: int | None
    acknowledged: int = 0
    until: float | None = None
    wait: float = 0
    list_runs: bool = True


class OrderResult(enum.Enum):
    """A worker's answer to an order.

    OTHER_WORKER: another worker answered at the address. RESTARTED: another
    incarnation of the worker answered, a later one if the order is meant for one
    that has answered before. Neither was sent the order.
    """

    ACCEPTED = 'accepted'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    TOO_LATE = 'too_late'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    INVALID = 'invalid'
    OTHER_WORKER = 'other_life'
    RESTARTED = 'restarted'


@attrs.frozen
class StartOrder:
    """Orders an ``incarnation`` of a worker to run a task under a lease.

    The lease expires when its clock reaches ``until``, in seconds. ``token`` is
    the leader's fencing token.
    """

    task: jobspec.TaskName
    run: int
    payload: str
    until: float
    token: int
    incarnation: int
    checkpoint: str = ''
    ticket: str = ''


class WorkerCalls(Protocol):
    """Calls to one worker; ``token`` is the leader's fencing token.

    A call reaches the ``incarnation`` of the worker that it is meant for, or
    none, however long it is delayed.
    """

    async def start(self, order: StartOrder) -> OrderResult:
        """Order the start of a run."""
        ...

    async def stop(
        self, task: jobspec.TaskName, run: int, token: int, incarnation: int
    ) -> OrderResult:
        """Order a run to stop; if it has not started yet, it never will."""
        ...

    async def pace(
        self,
        task: jobspec.TaskName,
        run: int,
        percent: int,
        token: int,
        incarnation: int,
    ) -> OrderResult:
        """Limit a run to a percentage of its full speed from now on."""
        ...

    async def renew_leases(
        self, renewal: Renewal
    ) -> WorkerStatus | OrderResult:
        """Extend leases, acknowledge ends, list runs.

        If another incarnation answers, the status is its own, and it got neither
        the leases nor the acknowledgement.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


class MachineState(enum.Enum):
    """State of a machine; only a machine that is up can be taken down."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'upkeep'
    DOWN = 'down'


@attrs.frozen
class Machine:
    """A machine; ``worker`` is the ID of its current incarnation."""

    name: str
    state: MachineState
    worker: str


class MaintenanceResult(enum.Enum):
    """The platform's answer to an order to begin maintenance.

    NOT_IN_WAVE: the machine is gone, or the wave does not name it.
    """

    BEGUN = 'begun'
    FENCED = 'fenced'
    BUSY = 'busy'
    NOT_IN_WAVE = 'not_its'


class Machines(Protocol):
    """Calls on the platform's machines.

    Orders from two leaders for one machine must be at least
    ``handover_gap`` seconds apart.
    """

    handover_gap: float

    async def list_machines(self) -> list[Machine]:
        """Return every machine."""
        ...

    async def begin_maintenance(
        self, machine: str, wave: int, host: str, token: int
    ) -> MaintenanceResult:
        """Take a machine down; all runs on it are lost at once."""
        ...

    def encode_wave_status(
        self, wave: int, *, completed: bool
    ) -> tuple[str, bytes]:
        """Return the key and body that report a wave's state to operators."""
        ...


class Advisor(Protocol):
    """The advice service, which knows which workers may run a step."""

    async def advise(
        self, step: str, workers: abc.Sequence[str], wait: float
    ) -> dict[str, str]:
        """Return a ticket for each named worker that may run the step.

        Waits up to ``wait`` seconds.
        """
        ...
