"""What a caller asks for: jobs of steps, each step a number of tasks.

Everything here is immutable and says nothing of progress; ``job_table`` keeps
that. Durations are in seconds, processors in thousandths of a core.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Demand:
    """What one task occupies on a worker."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class Step:
    """Tasks of one kind, started once the steps in ``after`` are done.

    ``slowdown_elsewhere`` tasks run on any rack, but slower off
    ``data_rack``. A ``filler`` takes only the processor time that others
    leave, so its ``demand.cpu_milli`` is not counted.
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
    """One job as it was accepted.

    ``occurrences`` of zero means that the steps run once, now. Otherwise
    occurrence K is due at ``first_due + K * interval``, in Unix seconds.
    """

    job: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float
    occurrences: int = 0
    first_due: float = 0
    interval: float = 0

    def chain(self) -> float:
        """Return the longest chain of estimated work, in seconds."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[at] for at in step.after), default=0)
            ends.append(begin + step.estimate)
        return max(ends, default=0)


@attrs.frozen
class TaskName:
    """Names one task of a job for as long as the job is known."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def label(self) -> str:
        """Return the name within the job, for logs."""
        return f'{self.occurrence}.{self.step}.{self.index}'


@attrs.frozen
class AdvicePolicy:
    """What a queue's placement advice costs and how long it holds."""

    base_cost_s: float
    cost_per_worker_s: float
    validity_s: float


@attrs.frozen
class Queue:
    """One queue of the operators' text; rank zero is the most urgent."""

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
        """Return the seconds within which the job earns its full worth."""
        chain = spec.chain()
        if self.advice is not None:
            steps = len(spec.steps)
            chain += steps * (
                self.advice.base_cost_s
                + ADVISED_WORKERS * self.advice.cost_per_worker_s
            )
        return chain * self.slack_factor + self.latency_target


ADVISED_WORKERS = 30  # the users' objective counts one call on 30 workers


@attrs.frozen
class OperatorConfig:
    """The operators' text in force, with its version."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: frozenset[str] = frozenset()

    def route(self, hostname: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix that fits, if any."""
        fitting = [
            queue
            for queue in self.queues
            if queue.hostname == hostname and path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)

    def queue(self, name: str) -> Queue | None:
        """Return the queue of that name, if the text still has it."""
        return next((one for one in self.queues if one.name == name), None)
