"""A randomized fault soak over real daemons, drawn from a seed."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
from collections import abc

import attrs

from jujubebend_standin import relay
from jujubebend_standin.fleet import checks, kv, load, site, worker

HOSTS = 3
WORKERS = 5
CPU = 8_000
BETWEEN_JOBS = (0.05, 0.3)  # seconds
BETWEEN_FAULTS = (0.2, 2.5)  # seconds; the last take longer, so some overlap
PATH_DELAY = (0.02, 0.3)  # seconds
HOST_PAUSE = 0.1  # seconds between looks for a host without a fault
SETTLE_LIMIT = 60.0  # seconds for every accepted job to end after the faults


@attrs.define(eq=False)
class Soak:
    """One soak; the same seed draws the same faults in the same order."""

    folder: pathlib.Path
    seed: int
    faults: int
    place: site.Site = attrs.field(init=False)
    callers: load.Load = attrs.field(init=False)
    chance: random.Random = attrs.field(init=False)
    done: list[str] = attrs.field(factory=list)
    stopped: bool = False

    def __attrs_post_init__(self) -> None:
        """Draw from the seed."""
        self.chance = random.Random(self.seed)  # noqa: S311
        self.place = site.Site(self.folder, self.seed)
        self.callers = load.Load(self.place, random.Random(self.seed))  # noqa: S311

    async def run(self) -> list[str]:
        """Play the soak; return what was broken."""
        try:
            await self.place.begin(HOSTS, WORKERS, CPU)
            feeding = asyncio.create_task(self._feed())
            await self._harm()
            # Callers whose answer is out are waited for: cancelled halfway,
            # they would not know whether their job was accepted.
            self.stopped = True
            await feeding
            return await self._verdict()
        finally:
            await self.callers.close()
            await self.place.close()

    async def _verdict(self) -> list[str]:
        try:
            async with asyncio.timeout(SETTLE_LIMIT):
                await self.callers.settle()
        except TimeoutError:
            late = [
                told.job
                for told in self.callers.jobs.values()
                if told.accepted and told.state not in load.ENDED
            ]
            return [f'{job}: accepted, and never ended' for job in late]
        return checks.broken(self.place, self.callers)

    async def _feed(self) -> None:
        async with asyncio.TaskGroup() as group:
            while not self.stopped:
                group.create_task(
                    self.callers.submit(
                        self.chance.randint(1, 4),
                        self.chance.choice((500, 1_000, 3_000)),
                        self.chance.choice((0.2, 0.8, 2.0)),
                    )
                )
                await asyncio.sleep(self.chance.uniform(*BETWEEN_JOBS))

    async def _harm(self) -> None:
        """Let faults come one after the other, the last ones overlapping."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.faults):
                group.create_task(self._one_fault())
                await asyncio.sleep(self.chance.uniform(*BETWEEN_FAULTS))

    async def _one_fault(self) -> None:
        fault = self.chance.choice((
            self._kill,
            self._freeze,
            self._roll,
            self._store_away,
            self._store_loses,
            self._history_dropped,
            self._worker_silent,
            self._worker_reborn,
            self._starts_lost,
            self._path_slow,
            self._path_cut,
            self._path_reset,
            self._path_silent,
        ))
        self.done.append(fault.__name__.strip('_'))
        await fault()

    @contextlib.asynccontextmanager
    async def _a_host(self):  # noqa: ANN202
        """Give a host that no other fault has hold of, once there is one."""
        while True:
            whole = [one for one in self.place.hosts if not one.is_harmed]
            if whole:
                break
            await asyncio.sleep(HOST_PAUSE)
        host = self.chance.choice(whole)
        host.is_harmed = True
        try:
            yield host
        finally:
            host.is_harmed = False

    def _path(self) -> relay.Relay:
        return self.chance.choice(self.place.paths)

    def _worker(self) -> worker.FleetWorker:
        return self.chance.choice(self.place.workers)

    async def _kill(self) -> None:
        async with self._a_host() as host:
            await host.end()
            await asyncio.sleep(self.chance.uniform(0.1, 1))
            await host.begin()

    async def _freeze(self) -> None:
        async with self._a_host() as host:
            host.send(signal.SIGSTOP)
            await asyncio.sleep(self.chance.uniform(0.5, 4))
            host.send(signal.SIGCONT)

    async def _roll(self) -> None:
        async with self._a_host() as host:
            await host.end(signal.SIGTERM)
            await host.begin()

    async def _store_away(self) -> None:
        which = self.chance.choice(('refuse', 'silent'))
        setattr(self.place.store.faults, which, True)
        await asyncio.sleep(self.chance.uniform(0.5, 4))
        self.place.store.faults = kv.KvFaults()

    async def _store_loses(self) -> None:
        self.place.store.faults.lose = 0.3
        await asyncio.sleep(self.chance.uniform(1, 3))
        self.place.store.faults = kv.KvFaults()

    async def _history_dropped(self) -> None:
        self.place.store.forget_history()

    async def _worker_silent(self) -> None:
        await self._with_worker_fault('silent', 0.5, 9)

    async def _starts_lost(self) -> None:
        await self._with_worker_fault('lose_starts', 0.5, 2)

    async def _with_worker_fault(
        self, name: str, least: float, most: float
    ) -> None:
        one = self._worker()
        setattr(one.faults, name, True)
        await asyncio.sleep(self.chance.uniform(least, most))
        one.faults = worker.WorkerFaults()

    async def _path_slow(self) -> None:
        path = self._path()
        path.delay = self.chance.uniform(*PATH_DELAY)
        await asyncio.sleep(self.chance.uniform(0.5, 4))
        path.delay = 0

    async def _path_cut(self) -> None:
        path = self._path()
        ways = self.chance.choice((
            (relay.Way.THERE,),
            (relay.Way.BACK,),
            tuple(relay.Way),
        ))
        path.hold(*ways)
        await asyncio.sleep(self.chance.uniform(0.5, 9))
        path.let_flow(*ways)

    async def _path_reset(self) -> None:
        self._path().reset()

    async def _path_silent(self) -> None:
        self._path().silence()

    async def _worker_reborn(self) -> None:
        one = self._worker()
        one.crash()
        self.place.list_worker(one)


def play(folder: pathlib.Path, seed: int, faults: int) -> list[str]:
    """Play one soak and return what was broken."""
    return asyncio.run(Soak(folder, seed, faults).run())


def play_all(
    folder: pathlib.Path, seeds: abc.Iterable[int], faults: int
) -> dict[int, list[str]]:
    """Play several soaks, each in a folder of its own."""
    found = {}
    for seed in seeds:
        where = folder / str(seed)
        where.mkdir(parents=True, exist_ok=True)
        found[seed] = play(where, seed, faults)
    return found
