"""The leader's view of workers: capacity, leases, failures and speed.

CPU is in thousandths of a core and memory in megabytes.
"""

from __future__ import annotations

import collections

import attrs

from jujubebend_cluster import interfaces, jobspec, jobtable, speeds

# Lowest rate of a worker's monotonic clock: it may run 2% slow.
SLOWEST_CLOCK_RATE = 0.98
# Covers the rounding of lease times and the network delay to a worker.
LEASE_MARGIN_S = 0.25
# Half-life of a failure in the failure score. A worker that fails its tasks
# does so for about this long.
FAILURE_HALF_LIFE_S = 6.0
# Failure score from which a worker is suspected: three failures in quick
# succession. On a healthy worker one run in 20 fails.
SUSPICION_THRESHOLD = 2.6
# A suspended worker is tried again after this time, which doubles with each
# suspension until a run succeeds.
FIRST_SUSPENSION_S = 4.0
LONGEST_SUSPENSION_S = 16.0
# Largest share of a service's workers that may be suspended at the same time.
MAX_SUSPENDED_SHARE = 0.34
NO_DEMAND = jobspec.Demand()


@attrs.define(eq=False)
class Worker:
    """A worker, in the incarnation that answered last.

    ``entry`` is its latest entry in the store, which may be of another
    ``incarnation``: the worker may have restarted since, or may be about to
    answer for the first time after a restart. Before its first answer the
    worker is taken to be of the incarnation of its first entry.

    ``used_cpu`` does not include fillers: ``filler_cpu`` is what they would
    use at full pace. ``sensitive_cpu`` is the part of ``used_cpu`` that
    latency-sensitive tasks use. Fillers run at ``pace`` percent, which was last
    changed at ``pace_changed_at``; ``is_pace_pending`` is set while a new pace
    is being sent.

    ``suspended_until`` is set after failed runs, ``no_placements_until`` after
    a refused start or while the worker may still run something unknown.

    ``clock`` is the worker's clock as read at ``clock_read_at`` (of our
    clock) by a request sent at ``clock_sent_at``; ``leased_until`` is on the
    worker's clock, all other times are on ours.
    """

    entry: interfaces.WorkerEntry
    name: str = attrs.field(init=False)
    incarnation: int = attrs.field(init=False)
    is_listed: bool = True
    unlisted_at: float = 0
    is_reachable: bool = False
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_accelerators: int = 0
    filler_cpu: int = 0
    sensitive_cpu: int = 0
    tasks: dict[jobspec.TaskName, jobtable.Task] = attrs.field(factory=dict)
    token: int = 0
    clock: float = 0
    clock_read_at: float | None = None
    clock_sent_at: float = 0
    leased_until: float = 0
    failure_score: float = 0
    failure_score_at: float = 0
    suspended_until: float = 0
    suspension_s: float = FIRST_SUSPENSION_S
    speed_estimate: speeds.SpeedEstimate = attrs.field(
        factory=speeds.SpeedEstimate
    )
    no_placements_until: float = 0
    unreached_since: float | None = None
    pace: int = 100
    pace_changed_at: float = 0
    is_pace_pending: bool = False
    is_cordoned: bool = False

    def __attrs_post_init__(self) -> None:
        """Store the worker's ID, which no later entry changes."""
        self.name = self.entry.worker
        self.incarnation = self.entry.born

    @property
    def speed(self) -> float:
        """Return the estimated speed, relative to the declared work."""
        return self.speed_estimate.speed

    @property
    def is_entry_current(self) -> bool:
        """Return whether the entry is of the present incarnation.

        Another incarnation may have other capacity and other labels.
        """
        return self.entry.born == self.incarnation

    def record_clock(
        self, clock: float, sent_at: float, received_at: float
    ) -> None:
        """Record a reading of the worker's clock, unless a newer one is known.

        The clock was read between ``sent_at`` and ``received_at`` on our
        clock.
        """
        if self.clock_read_at is None or received_at >= self.clock_read_at:
            self.clock = clock
            self.clock_sent_at = sent_at
            self.clock_read_at = received_at

    def extend_lease(self, now: float, seconds: float) -> float | None:
        """Return the end of a lease of ``seconds`` on the worker's clock.

        The lease counts as granted from now on. Return None where the
        worker's clock is not known.
        """
        if self.clock_read_at is None:
            return None
        until = self.clock + (now - self.clock_read_at) + seconds
        self.leased_until = max(self.leased_until, until)
        return until

    def is_lease_expired(self, now: float) -> bool:
        """Return whether every lease granted to the worker has expired."""
        expires_at = self.lease_expires_at()
        return expires_at is not None and now > expires_at

    def lease_expires_at(self) -> float | None:
        """Return when every lease granted to the worker has expired.

        The lowest clock rate and the margin are assumed, so a lease may have
        expired earlier, but not later. Return None where the worker's clock
        is not known.
        """
        if self.clock_read_at is None:
            return None
        seconds = self.leased_until + LEASE_MARGIN_S - self.clock
        return self.clock_read_at + seconds / SLOWEST_CLOCK_RATE

    def accepts_tasks(self, now: float) -> bool:
        """Return whether new tasks may be placed on the worker."""
        return (
            self.is_listed
            and self.is_entry_current
            and self.is_reachable
            and self.entry.state is interfaces.WorkerState.READY
            and now >= self.no_placements_until
            and now >= self.suspended_until
            and not self.is_cordoned
        )

    def has_label(self, label: str) -> bool:
        """Return whether the worker has a label; every worker has ``''``."""
        return not label or label in self.entry.labels

    def fits(self, demand: jobspec.Demand, *, filler: bool = False) -> bool:
        """Return whether one more task of this demand fits."""
        return self.count_fitting(demand, 1, filler=filler) > 0

    def count_when_empty(self, demand: jobspec.Demand) -> int:
        """Return how many tasks of this demand fit if nothing else runs."""
        return count_tasks(self.entry.capacity, demand)

    def count_fitting(
        self,
        demand: jobspec.Demand,
        limit: int,
        *,
        filler: bool = False,
        freed: jobspec.Demand = NO_DEMAND,
    ) -> int:
        """Return how many more tasks of this demand fit, up to ``limit``.

        A filler's CPU is counted against that of other fillers only.
        ``freed`` is capacity in use that is counted as free.
        """
        capacity = self.entry.capacity
        count = limit
        if demand.cpu_milli:
            used = self.filler_cpu if filler else self.used_cpu
            free = capacity.cpu_milli + freed.cpu_milli - used
            count = min(count, free // demand.cpu_milli)
        if demand.memory_mb:
            free = capacity.memory_mb + freed.memory_mb - self.used_memory_mb
            count = min(count, free // demand.memory_mb)
        if demand.accelerators:
            free = capacity.accelerators + freed.accelerators
            free -= self.used_accelerators
            count = min(count, free // demand.accelerators)
        return max(0, count)

    def allocate(self, task: jobtable.Task) -> None:
        """Count a task's demand as in use, once for each task."""
        if task.name not in self.tasks:
            self.tasks[task.name] = task
            self._add_demand(task, 1)

    def deallocate(self, task: jobtable.Task) -> None:
        """Release the capacity that a task has in use, if any."""
        if self.tasks.pop(task.name, None) is not None:
            self._add_demand(task, -1)

    def record_success(self) -> None:
        """Record a successful run, which clears earlier failures."""
        self.failure_score = 0
        self.suspension_s = FIRST_SUSPENSION_S

    def record_failure(self, now: float) -> bool:
        """Record a failed run; return whether the worker is now suspected."""
        decay = 0.5 ** ((now - self.failure_score_at) / FAILURE_HALF_LIFE_S)
        self.failure_score = self.failure_score * decay + 1
        self.failure_score_at = now
        return self.failure_score >= SUSPICION_THRESHOLD

    def suspend(self, now: float) -> None:
        """Stop placing tasks on the worker, for twice as long each time."""
        self.suspended_until = now + self.suspension_s
        self.suspension_s = min(LONGEST_SUSPENSION_S, self.suspension_s * 2)
        self.failure_score = 0

    def _add_demand(self, task: jobtable.Task, sign: int) -> None:
        demand = task.group.step.demand
        if task.is_latency_sensitive:
            self.sensitive_cpu += sign * demand.cpu_milli
        if task.group.step.filler:
            self.filler_cpu += sign * demand.cpu_milli
        else:
            self.used_cpu += sign * demand.cpu_milli
        self.used_memory_mb += sign * demand.memory_mb
        self.used_accelerators += sign * demand.accelerators


@attrs.define
class ServiceSize:
    """The number and the total capacity of a service's listed workers."""

    worker_count: int = 0
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def count_tasks(self, demand: jobspec.Demand) -> int:
        """Return how many tasks of a demand fit if nothing else runs.

        All workers are taken to have the mean capacity.

        >>> size = ServiceSize(worker_count=10, cpu_milli=320_000)
        >>> size.count_tasks(jobspec.Demand(cpu_milli=9_000))
        30
        """
        count = max(1, self.worker_count)
        mean_capacity = jobspec.Demand(
            self.cpu_milli // count,
            self.memory_mb // count,
            self.accelerators // count,
        )
        return count * count_tasks(mean_capacity, demand)


def longest_lease(seconds: float) -> float:
    """Return how long, on our clock, a lease of ``seconds`` lasts at most.

    It is measured on the worker's clock, which may be slow.
    """
    return seconds / SLOWEST_CLOCK_RATE + LEASE_MARGIN_S


def count_tasks(capacity: jobspec.Demand, demand: jobspec.Demand) -> int:
    """Return how many tasks of a demand fit into a capacity.

    A task that demands nothing counts as one.
    """
    counts = [
        available // demanded
        for available, demanded in (
            (capacity.cpu_milli, demand.cpu_milli),
            (capacity.memory_mb, demand.memory_mb),
            (capacity.accelerators, demand.accelerators),
        )
        if demanded
    ]
    return min(counts, default=1)


@attrs.define(eq=False)
class Fleet:
    """All workers known to the leader, by ID."""

    workers: dict[str, Worker] = attrs.field(factory=dict)

    def usable_workers(self, service: str, now: float) -> list[Worker]:
        """Return the workers of a service that accept new tasks."""
        return [
            worker
            for worker in self.workers.values()
            if worker.entry.service == service and worker.accepts_tasks(now)
        ]

    def listed_workers(self) -> list[Worker]:
        """Return the workers that the store lists."""
        return [worker for worker in self.workers.values() if worker.is_listed]

    def measure_services(self) -> dict[str, ServiceSize]:
        """Return the size of each service, by name."""
        sizes: dict[str, ServiceSize] = collections.defaultdict(ServiceSize)
        for worker in self.listed_workers():
            size = sizes[worker.entry.service]
            size.worker_count += 1
            size.cpu_milli += worker.entry.capacity.cpu_milli
            size.memory_mb += worker.entry.capacity.memory_mb
            size.accelerators += worker.entry.capacity.accelerators
        return dict(sizes)

    def may_suspend(self, worker: Worker, now: float) -> bool:
        """Return whether one more worker of its service may be suspended."""
        peers = [
            peer
            for peer in self.workers.values()
            if peer.entry.service == worker.entry.service and peer.is_listed
        ]
        suspended = sum(now < peer.suspended_until for peer in peers)
        return suspended + 1 <= MAX_SUSPENDED_SHARE * len(peers)
