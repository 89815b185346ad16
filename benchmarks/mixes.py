"""Job mixes of clusters of several sizes, for ``benchmarks.policies``.

A mix says which jobs arrive, on how many workers they run and through how many
hosts advice on placement can be requested.
"""

from __future__ import annotations

import attrs

from jujubebend_cluster import jobspec

SERVICE = 'svc'
# Seconds for which a ticket is valid.
TICKET_VALIDITY_S = 2.5


@attrs.frozen
class JobKind:
    """A kind of job: means and probabilities of its distributions.

    ``mean_tasks`` and ``max_tasks`` count the tasks of a step, and
    ``mean_seconds`` is the work of a task. ``approval_probability`` is the
    probability that the advice service approves a worker.
    """

    queue: jobspec.Queue
    arrivals_per_second: float
    mean_value: float
    mean_steps: float
    mean_tasks: float
    max_tasks: float
    mean_cpu_milli: float
    mean_memory_mb: float
    mean_seconds: float
    gang_probability: float
    checkpoint_probability: float
    approval_probability: float


@attrs.frozen
class Mix:
    """A cluster and its load.

    ``speeds`` are assigned to the workers in turn. ``stop_delay`` is the time
    in seconds from the decision to stop a task until its capacity is free.
    """

    kinds: tuple[JobKind, ...]
    worker_count: int
    host_count: int
    speeds: tuple[float, ...]
    memory_mb: int
    stop_delay: float

    def load(self, factor: float) -> Mix:
        """Return the mix with that many times the jobs a second."""
        kinds = tuple(
            attrs.evolve(
                kind, arrivals_per_second=kind.arrivals_per_second * factor
            )
            for kind in self.kinds
        )
        return attrs.evolve(self, kinds=kinds)

    def scale(self, factor: float) -> Mix:
        """Return the mix with that many times the workers, hosts and jobs.

        >>> MIXES['large'].scale(2).worker_count
        540
        """
        return attrs.evolve(
            self.load(factor),
            worker_count=round(self.worker_count * factor),
            host_count=round(self.host_count * factor),
        )


def _create_queue(
    name: str, rank: int, slack: float, latency: float, advice: tuple
) -> jobspec.Queue:
    policy = jobspec.AdvicePolicy(*advice, TICKET_VALIDITY_S)
    return jobspec.Queue(
        name, 'h', f'/{name}/', SERVICE, rank, 3, slack, latency, policy
    )


_SMALL_KINDS = (
    JobKind(
        queue=_create_queue('design', 1, 2.2, 1.0, (0.507, 0.0073)),
        arrivals_per_second=0.904,
        mean_value=8.55,
        mean_steps=1.2,
        mean_tasks=6,
        max_tasks=36,
        mean_cpu_milli=9_000,
        mean_memory_mb=19_000,
        mean_seconds=5,
        gang_probability=1,
        checkpoint_probability=0.5,
        approval_probability=0.35,
    ),
    JobKind(
        queue=_create_queue('plan', 2, 4.0, 3.0, (0.182, 0.0026)),
        arrivals_per_second=2.17,
        mean_value=2.22,
        mean_steps=1.5,
        mean_tasks=10,
        max_tasks=60,
        mean_cpu_milli=2_000,
        mean_memory_mb=8_000,
        mean_seconds=3.4,
        gang_probability=0,
        checkpoint_probability=0.8,
        approval_probability=0.45,
    ),
    JobKind(
        queue=_create_queue('check', 0, 1.5, 0.25, (0.0169, 0.000234)),
        arrivals_per_second=15.4,
        mean_value=0.44,
        mean_steps=1,
        mean_tasks=2.1,
        max_tasks=13,
        mean_cpu_milli=2_800,
        mean_memory_mb=6_000,
        mean_seconds=1,
        gang_probability=0.3,
        checkpoint_probability=0,
        approval_probability=0.7,
    ),
)
_GROWN_KINDS = (
    JobKind(
        queue=_create_queue('design', 1, 2.2, 1.0, (0.559, 0.008)),
        arrivals_per_second=2.37,
        mean_value=8.52,
        mean_steps=1.2,
        mean_tasks=16,
        max_tasks=80,
        mean_cpu_milli=9_000,
        mean_memory_mb=9_000,
        mean_seconds=6.2,
        gang_probability=1,
        checkpoint_probability=0.5,
        approval_probability=0.35,
    ),
    JobKind(
        queue=_create_queue('plan', 2, 4.0, 3.0, (0.156, 0.0023)),
        arrivals_per_second=3.94,
        mean_value=3.21,
        mean_steps=1.5,
        mean_tasks=25,
        max_tasks=150,
        mean_cpu_milli=3_500,
        mean_memory_mb=6_400,
        mean_seconds=3.4,
        gang_probability=0,
        checkpoint_probability=0.8,
        approval_probability=0.45,
    ),
    JobKind(
        queue=_create_queue('check', 0, 1.5, 0.3, (0.0143, 0.0002)),
        arrivals_per_second=44.1,
        mean_value=0.402,
        mean_steps=1,
        mean_tasks=3.2,
        max_tasks=19,
        mean_cpu_milli=5_000,
        mean_memory_mb=7_100,
        mean_seconds=1,
        gang_probability=0.3,
        checkpoint_probability=0,
        approval_probability=0.7,
    ),
)
_LARGE_KINDS = (
    JobKind(
        queue=_create_queue('design', 1, 2.2, 1.0, (0.507, 0.00728)),
        arrivals_per_second=4.58,
        mean_value=6.93,
        mean_steps=1.2,
        mean_tasks=20,
        max_tasks=120,
        mean_cpu_milli=9_000,
        mean_memory_mb=19_000,
        mean_seconds=4,
        gang_probability=1,
        checkpoint_probability=0.5,
        approval_probability=0.35,
    ),
    JobKind(
        queue=_create_queue('plan', 2, 4.0, 3.0, (0.182, 0.0026)),
        arrivals_per_second=6.1,
        mean_value=3.25,
        mean_steps=1.5,
        mean_tasks=24,
        max_tasks=150,
        mean_cpu_milli=5_500,
        mean_memory_mb=20_000,
        mean_seconds=2.2,
        gang_probability=0,
        checkpoint_probability=0.8,
        approval_probability=0.45,
    ),
    JobKind(
        queue=_create_queue('check', 0, 1.5, 0.25, (0.0169, 0.000234)),
        arrivals_per_second=67.6,
        mean_value=0.411,
        mean_steps=1,
        mean_tasks=3.1,
        max_tasks=19,
        mean_cpu_milli=7_900,
        mean_memory_mb=16_000,
        mean_seconds=0.64,
        gang_probability=0.3,
        checkpoint_probability=0,
        approval_probability=0.7,
    ),
)
MIXES = {
    'small': Mix(
        _SMALL_KINDS,
        worker_count=24,
        host_count=8,
        speeds=(1 / 0.7, 1 / 0.7, 1 / 1.7),
        memory_mb=131_072,
        stop_delay=0.9,
    ),
    'grown': Mix(
        _GROWN_KINDS,
        worker_count=176,
        host_count=39,
        speeds=(1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2),
        memory_mb=65_536,
        stop_delay=0.3,
    ),
    'large': Mix(
        _LARGE_KINDS,
        worker_count=270,
        host_count=97,
        speeds=(1 / 0.7, 1 / 0.7, 1 / 1.7),
        memory_mb=131_072,
        stop_delay=0.2,
    ),
}
MIXES['1000 workers'] = MIXES['large'].scale(1000 / 270)
