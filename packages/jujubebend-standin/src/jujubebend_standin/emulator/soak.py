"""Randomized fault soak of real daemons, reproducible by seed."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
from collections import abc

import attrs

from jujubebend_standin import relay
from jujubebend_standin.emulator import (
    checks,
    kv,
    loadgenerator,
    localcluster,
    worker,
)

HOSTS = 3
WORKERS = 5
WORKER_CPU = 8_000
# A leader on the second or third host calls workers through relays.
SMALL_HOST_CORES = 0.05
HOST_LIMITS = (
    localcluster.HostLimits(cores=1, link_mbps=100),
    localcluster.HostLimits(SMALL_HOST_CORES, link_mbps=5),
    localcluster.HostLimits(SMALL_HOST_CORES, link_mbps=5),
)
JOB_INTERVAL_SECONDS = (0.05, 0.3)
# Shorter than many faults last, so that some faults overlap.
FAULT_INTERVAL_SECONDS = (0.2, 2.5)
RELAY_DELAY_SECONDS = (0.02, 0.3)
OPEN_DELAY_SECONDS = (0.8, 2.5)
CUT_AFTER_RESTART_SECONDS = (0.1, 0.6)
HOST_POLL_SECONDS = 0.1  # between checks for a host without a fault
END_LIMIT_SECONDS = 60.0  # for every accepted job to end after the faults


@attrs.define(eq=False)
class Soak:
    """A soak; the same seed draws the same faults in the same order.

    ``faults`` is the number of faults to inject. ``injected`` holds the names
    of those injected so far. ``hosts`` and ``workers`` are the numbers of each.
    """

    folder: pathlib.Path
    seed: int
    faults: int
    hosts: int = HOSTS
    workers: int = WORKERS
    cluster: localcluster.LocalCluster = attrs.field(init=False)
    load: loadgenerator.LoadGenerator = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    injected: list[str] = attrs.field(factory=list)
    is_load_stopped: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the cluster and the load generator from the seed."""
        self.rng = random.Random(self.seed)  # noqa: S311
        self.cluster = localcluster.LocalCluster(
            self.folder, self.seed, HOST_LIMITS
        )
        self.load = loadgenerator.LoadGenerator(
            self.cluster,
            random.Random(self.seed),  # noqa: S311
        )

    async def run(self) -> list[str]:
        """Run the soak; return the violated invariants."""
        try:
            await self.cluster.start(self.hosts, self.workers, WORKER_CPU)
            submission = asyncio.create_task(self._submit_jobs())
            await self._inject_faults()
            # Submissions in flight are awaited: if one were cancelled, it would
            # not be known whether its job was accepted.
            self.is_load_stopped = True
            await submission
            return await self._find_violations()
        finally:
            await self.load.close_connections()
            await self.cluster.stop()

    async def _find_violations(self) -> list[str]:
        try:
            async with asyncio.timeout(END_LIMIT_SECONDS):
                await self.load.wait_until_ended()
        except TimeoutError:
            unended = [
                job.job_id
                for job in self.load.jobs.values()
                if job.is_accepted and job.state not in loadgenerator.END_STATES
            ]
            return [
                f'{job_id}: was accepted, but did not end' for job_id in unended
            ]
        return checks.find_violations(self.cluster, self.load)

    async def _submit_jobs(self) -> None:
        async with asyncio.TaskGroup() as group:
            while not self.is_load_stopped:
                group.create_task(
                    self.load.submit_job(
                        self.rng.randint(1, 4),
                        self.rng.choice((500, 1_000, 3_000)),
                        self.rng.choice((0.2, 0.8, 2.0)),
                    )
                )
                await asyncio.sleep(self.rng.uniform(*JOB_INTERVAL_SECONDS))

    async def _inject_faults(self) -> None:
        """Inject faults at random intervals; they may overlap."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.faults):
                group.create_task(self._inject_fault())
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_SECONDS))

    async def _inject_fault(self) -> None:
        fault = self.rng.choice((
            self._kill,
            self._freeze,
            self._roll,
            self._store_away,
            self._store_loses,
            self._history_dropped,
            self._worker_silent,
            self._worker_reborn,
            self._worker_reborn_and_cut,
            self._starts_lost,
            self._path_slow,
            self._path_cut,
            self._path_reset,
            self._path_silent,
            self._connections_late,
        ))
        self.injected.append(fault.__name__.strip('_'))
        await fault()

    @contextlib.asynccontextmanager
    async def _reserve_host(self):  # noqa: ANN202
        """Wait for a host without a fault, reserve it and yield it."""
        while True:
            hosts = [host for host in self.cluster.hosts if not host.has_fault]
            if hosts:
                break
            await asyncio.sleep(HOST_POLL_SECONDS)
        host = self.rng.choice(hosts)
        host.has_fault = True
        try:
            yield host
        finally:
            host.has_fault = False

    def _choose_relay(self) -> relay.Relay:
        return self.rng.choice(self.cluster.relays)

    def _choose_worker(self) -> worker.EmulatedWorker:
        return self.rng.choice(self.cluster.workers)

    async def _kill(self) -> None:
        async with self._reserve_host() as host:
            await host.stop()
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            await host.start()

    async def _freeze(self) -> None:
        async with self._reserve_host() as host:
            host.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.5, 4))
            host.send_signal(signal.SIGCONT)

    async def _roll(self) -> None:
        async with self._reserve_host() as host:
            await host.stop(signal.SIGTERM)
            await host.start()

    async def _store_away(self) -> None:
        fault_name = self.rng.choice(('refuse', 'silent'))
        setattr(self.cluster.store.faults, fault_name, True)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        self.cluster.store.faults = kv.KvFaults()

    async def _store_loses(self) -> None:
        self.cluster.store.faults.lost_answer_share = 0.3
        await asyncio.sleep(self.rng.uniform(1, 3))
        self.cluster.store.faults = kv.KvFaults()

    async def _history_dropped(self) -> None:
        self.cluster.store.compact_history()

    async def _worker_silent(self) -> None:
        await self._inject_worker_fault('silent', 0.5, 9)

    async def _starts_lost(self) -> None:
        await self._inject_worker_fault('lose_starts', 0.5, 2)

    async def _inject_worker_fault(
        self, fault_name: str, shortest: float, longest: float
    ) -> None:
        emulated_worker = self._choose_worker()
        setattr(emulated_worker.faults, fault_name, True)
        await asyncio.sleep(self.rng.uniform(shortest, longest))
        emulated_worker.faults = worker.WorkerFaults()

    async def _path_slow(self) -> None:
        tcp_relay = self._choose_relay()
        tcp_relay.delay = self.rng.uniform(*RELAY_DELAY_SECONDS)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        tcp_relay.delay = 0

    async def _path_cut(self) -> None:
        tcp_relay = self._choose_relay()
        directions = self.rng.choice((
            (relay.Direction.FORWARD,),
            (relay.Direction.BACKWARD,),
            tuple(relay.Direction),
        ))
        tcp_relay.pause(*directions)
        await asyncio.sleep(self.rng.uniform(0.5, 9))
        tcp_relay.resume(*directions)

    async def _path_reset(self) -> None:
        self._choose_relay().reset_connections()

    async def _path_silent(self) -> None:
        self._choose_relay().blackhole_connections()

    async def _connections_late(self) -> None:
        tcp_relay = self.cluster.get_worker_relay(self._choose_worker())
        tcp_relay.open_delay = self.rng.uniform(*OPEN_DELAY_SECONDS)
        await asyncio.sleep(self.rng.uniform(1, 4))
        tcp_relay.open_delay = 0

    async def _worker_reborn(self) -> None:
        await self._restart_worker(self._choose_worker())

    async def _worker_reborn_and_cut(self) -> None:
        emulated_worker = self._choose_worker()
        await self._restart_worker(emulated_worker)
        await asyncio.sleep(self.rng.uniform(*CUT_AFTER_RESTART_SECONDS))
        tcp_relay = self.cluster.get_worker_relay(emulated_worker)
        tcp_relay.pause(*relay.Direction)
        await asyncio.sleep(self.rng.uniform(2, 9))
        tcp_relay.resume(*relay.Direction)

    async def _restart_worker(
        self, emulated_worker: worker.EmulatedWorker
    ) -> None:
        await self.cluster.crash_worker(emulated_worker)
        self.cluster.write_worker_entry(emulated_worker)


def run_soak(
    folder: pathlib.Path,
    seed: int,
    faults: int,
    hosts: int = HOSTS,
    workers: int = WORKERS,
) -> list[str]:
    """Run a soak; return the violated invariants.

    ``hosts`` and ``workers`` are the numbers of daemons and of workers.
    """
    soak = Soak(folder, seed, faults, hosts, workers)
    return asyncio.run(soak.run())


def run_soaks(
    folder: pathlib.Path, seeds: abc.Iterable[int], faults: int
) -> dict[int, list[str]]:
    """Run a soak for each seed in its own folder; return violations by seed."""
    violations = {}
    for seed in seeds:
        soak_folder = folder / str(seed)
        soak_folder.mkdir(parents=True, exist_ok=True)
        violations[seed] = run_soak(soak_folder, seed, faults)
    return violations
