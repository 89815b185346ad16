"""Job specifications and the operators' queue configuration.

A job has steps, and each step a number of tasks. Everything here is
immutable; progress is kept in ``jobtable``. Durations are in seconds, CPU is
in thousandths of a core.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Demand:
    """Resources that one task needs on a worker."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class Step:
    """Tasks of one kind, started once the steps in ``after`` are done.

    Tasks may run on any rack, but are slower off ``data_rack``. A ``filler``
    uses only CPU that other tasks leave idle, so its ``demand.cpu_milli`` is
    counted against other fillers only. ``lasting`` tasks run until they are
    stopped; no more than ``may_be_away`` of them may be down at once for
    maintenance, where zero means no limit. ``latency_target`` is set for
    serving tasks.
    """

    tasks: int
    demand: Demand
    estimate: float = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    per_worker_limit: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ''
    latency_target: float = 0
    filler: bool = False
    may_be_away: int = 0


@attrs.frozen
class JobSpec:
    """One accepted job.

    ``occurrences`` of zero means that the steps run once, now. Otherwise
    occurrence ``k`` is due at ``first_due + k * interval``, in Unix seconds.
    """

    job: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    occurrences: int = 0
    first_due: float = 0
    interval: float = 0

    def critical_path(self) -> float:
        """Return the estimated work on the critical path, in seconds."""
        ends: list[float] = []
        for step in self.steps:
            start = max((ends[index] for index in step.after), default=0)
            ends.append(start + step.estimate)
        return max(ends, default=0)


@attrs.frozen
class TaskName:
    """The identity of one task, stable across its runs."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def label(self) -> str:
        """Return the task's name within its job.

        It is used in logs and as a key in progress records.
        """
        return f'{self.occurrence}.{self.step}.{self.index}'


@attrs.frozen
class AdvicePolicy:
    """The cost of a call for placement advice and the validity of tickets."""

    base_cost_s: float
    cost_per_worker_s: float
    validity_s: float

    def call_duration(self, worker_count: int) -> float:
        """Return how long a call on that many workers takes, in seconds."""
        return self.base_cost_s + self.cost_per_worker_s * worker_count


@attrs.frozen
class Queue:
    """One queue of the operator configuration; rank 0 is the most urgent."""

    name: str
    hostname: str
    prefix: str
    service: str
    rank: int = 0
    attempts: int = 1
    slack_factor: float = 1
    latency_target: float = 0
    advice: AdvicePolicy | None = None

    def objective(self, spec: JobSpec) -> float:
        """Return the seconds within which a job earns its full value."""
        seconds = spec.critical_path()
        if self.advice is not None:
            step_count = len(spec.steps)
            seconds += step_count * self.advice.call_duration(ADVISED_WORKERS)
        return seconds * self.slack_factor + self.latency_target


# The objective of a job includes one advice call on 30 workers for each step.
ADVISED_WORKERS = 30


@attrs.frozen
class OperatorConfig:
    """The operator configuration in force, with its version."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: frozenset[str] = frozenset()

    def match_queue(self, hostname: str, path: str) -> Queue | None:
        """Return the queue of a request: the longest matching prefix wins.

        Return None if no queue matches.
        """
        matching = [
            queue
            for queue in self.queues
            if queue.hostname == hostname and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue of that name, None if it is not configured."""
        return next(
            (queue for queue in self.queues if queue.name == name), None
        )
