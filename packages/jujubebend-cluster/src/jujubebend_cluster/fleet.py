"""The workers as the leader knows them: room, leases, trust and speed."""

from __future__ import annotations

import attrs

from jujubebend_cluster import interfaces, jobspec, jobtable

SLOWEST_CLOCK = 0.98  # a worker's steady clock may be 2% slow
LEASE_MARGIN = 0.25  # seconds; covers the rounding and the path to a worker
TRUST_HALF_LIFE = 6.0  # seconds; a bad spell of a worker lasts about as long
SUSPECT_FAILURES = 2.6  # three failures at once; one in 20 is usual
FIRST_SUSPENSION = 4.0  # seconds until a suspected worker is tried again
LONGEST_SUSPENSION = 16.0  # seconds
SPEED_WEIGHT = 0.25  # of the newest run in a worker's mean speed
FASTEST = 4.0  # times the declared pace; bounds what one run can teach
SLOWEST = 0.1  # times the declared pace
LARGEST_SUSPENDED_SHARE = 0.34  # of a service's workers at once
NOTHING = jobspec.Demand()


@attrs.define(eq=False)
class Worker:
    """One life of a worker.

    ``filled_cpu`` is what its fillers would use, beside ``used_cpu``; they
    run at ``pace`` percent, which was last changed at ``paced_at``.
    """

    entry: interfaces.WorkerEntry
    name: str = attrs.field(init=False)
    listed: bool = True
    unlisted_at: float = 0
    is_reachable: bool = False
    used_cpu: int = 0
    used_memory: int = 0
    used_accelerators: int = 0
    filled_cpu: int = 0
    tasks: dict[jobspec.TaskName, jobtable.Task] = attrs.field(factory=dict)
    token: int = 0
    clock: float = 0
    clock_read_at: float | None = None
    clock_sent: float = 0
    leased_until: float = 0
    failures: float = 0
    failures_at: float = 0
    suspended_until: float = 0
    suspension: float = FIRST_SUSPENSION
    speed: float = 1
    refused_until: float = 0
    unreached_since: float | None = None
    pace: int = 100
    paced_at: float = 0
    pacing: bool = False
    cordoned: bool = False

    def __attrs_post_init__(self) -> None:
        """Keep the worker's ID at hand: no later entry changes it."""
        self.name = self.entry.worker

    def record_clock(self, clock: float, sent: float, received: float) -> None:
        """Take the worker's clock as read between two of our moments."""
        if self.clock_read_at is None or received >= self.clock_read_at:
            self.clock = clock
            self.clock_sent = sent
            self.clock_read_at = received

    def extend_lease(self, now: float, seconds: float) -> float | None:
        """Return the worker's clock time at which a lease would end."""
        if self.clock_read_at is None:
            return None
        until = self.clock + (now - self.clock_read_at) + seconds
        self.leased_until = max(self.leased_until, until)
        return until

    def is_lease_expired(self, now: float) -> bool:
        """Say whether every lease that we gave has surely ended."""
        if self.clock_read_at is None:
            return False
        elapsed = (now - self.clock_read_at) * SLOWEST_CLOCK
        return self.clock + elapsed > self.leased_until + LEASE_MARGIN

    def takes(self, now: float) -> bool:
        """Say whether new tasks may be placed here."""
        return (
            self.listed
            and self.is_reachable
            and self.entry.state is interfaces.WorkerState.READY
            and now >= self.refused_until
            and now >= self.suspended_until
            and not self.cordoned
        )

    def has_label(self, label: str) -> bool:
        """Say whether the worker has a label; the empty one is on all."""
        return not label or label in self.entry.labels

    def fits(self, demand: jobspec.Demand, *, filler: bool = False) -> bool:
        """Say whether one more task of that size has room."""
        return self.count_fitting(demand, 1, filler=filler) > 0

    def count_fitting(
        self,
        demand: jobspec.Demand,
        most: int,
        *,
        filler: bool = False,
        freed: jobspec.Demand = NOTHING,
        kept_cpu: int = 0,
    ) -> int:
        """Return how many more tasks of that size have room, up to ``most``.

        A filler's processors are counted against those of other fillers
        only. ``freed`` is counted as if it were free, ``kept_cpu`` is not.
        """
        room = self.entry.capacity
        count = most
        if demand.cpu_milli:
            used = self.filled_cpu if filler else self.used_cpu
            free = room.cpu_milli + freed.cpu_milli - used - kept_cpu
            count = min(count, free // demand.cpu_milli)
        if demand.memory_mb:
            free = room.memory_mb + freed.memory_mb - self.used_memory
            count = min(count, free // demand.memory_mb)
        if demand.accelerators:
            free = room.accelerators + freed.accelerators
            free -= self.used_accelerators
            count = min(count, free // demand.accelerators)
        return max(0, count)

    def allocate(self, task: jobtable.Task) -> None:
        """Count a task's demand against the room."""
        if task.name not in self.tasks:
            self.tasks[task.name] = task
            self._count(task, 1)

    def deallocate(self, task: jobtable.Task) -> None:
        """Give back a task's room."""
        if self.tasks.pop(task.name, None) is not None:
            self._count(task, -1)

    def record_success(self) -> None:
        """Note that a run ended well here."""
        self.failures = 0
        self.suspension = FIRST_SUSPENSION

    def record_failure(self, now: float) -> bool:
        """Note a failed run; say whether the worker is now suspect."""
        kept = 0.5 ** ((now - self.failures_at) / TRUST_HALF_LIFE)
        self.failures = self.failures * kept + 1
        self.failures_at = now
        return self.failures >= SUSPECT_FAILURES

    def suspend(self, now: float) -> None:
        """Place nothing here for a while, longer each time."""
        self.suspended_until = now + self.suspension
        self.suspension = min(LONGEST_SUSPENSION, self.suspension * 2)
        self.failures = 0

    def update_speed(self, estimate: float, seconds: float) -> None:
        """Learn the worker's speed from a run that was done."""
        if estimate > 0 and seconds > 0:
            seen = min(FASTEST, max(SLOWEST, estimate / seconds))
            self.speed += SPEED_WEIGHT * (seen - self.speed)

    def _count(self, task: jobtable.Task, sign: int) -> None:
        demand = task.group.step.demand
        if task.group.step.filler:
            self.filled_cpu += sign * demand.cpu_milli
        else:
            self.used_cpu += sign * demand.cpu_milli
        self.used_memory += sign * demand.memory_mb
        self.used_accelerators += sign * demand.accelerators


@attrs.define(eq=False)
class Fleet:
    """Every worker, by its ID."""

    workers: dict[str, Worker] = attrs.field(factory=dict)

    def usable_workers(self, service: str, now: float) -> list[Worker]:
        """Return the workers of a service that take new tasks."""
        return [
            worker
            for worker in self.workers.values()
            if worker.entry.service == service and worker.takes(now)
        ]

    def listed(self) -> list[Worker]:
        """Return the workers that the store lists now."""
        return [one for one in self.workers.values() if one.listed]

    def may_suspend(self, worker: Worker, now: float) -> bool:
        """Say whether one more worker of the service may be left out."""
        peers = [
            one
            for one in self.workers.values()
            if one.entry.service == worker.entry.service and one.listed
        ]
        out = sum(now < one.suspended_until for one in peers)
        return out + 1 <= LARGEST_SUSPENDED_SHARE * len(peers)
