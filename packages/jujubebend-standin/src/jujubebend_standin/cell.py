"""Stand-ins of a whole platform inside one process, on loopback ports."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend import resources
from jujubebend_http import httpserver
from jujubebend_platform import hostlist
from jujubebend_standin import faults
from jujubebend_standin import hostlist as hostlist_fake
from jujubebend_standin import store as store_fake
from jujubebend_standin import worker as worker_fake

LOOPBACK = '127.0.0.1'
SWEEP_INTERVAL = 0.5
LARGEST_BODY_BYTES = resources.GIB // 10
LARGEST_CONNECTIONS = 4096
CONNECTIONS = 64
MEMORY_GIB = 64
CAPACITY = resources.from_json({
    'slots': 8,
    'connections': CONNECTIONS,
    'cpus': 32,
    'memory_bytes': MEMORY_GIB * resources.GIB,
})


@attrs.frozen
class WorkerPlan:
    """A worker that a cell is to have."""

    name: str
    zone: str
    rack: str
    speed: float = 1.0
    capacity: resources.Resources = CAPACITY
    port: int = 0


@attrs.define(eq=False)
class Served:
    """A stand-in behind a server, with its faults."""

    fake: object
    faulty: faults.Faulty
    server: httpserver.Server

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f'{LOOPBACK}:{self.server.port}'


async def serve(fake, port: int = 0) -> Served:  # noqa: ANN001
    """Serve a stand-in on a loopback port; zero takes a free one."""
    on_set = getattr(fake, 'set_faults', lambda _: None)
    faulty = faults.Faulty(fake.handle, on_set)
    limits = httpserver.Limits(
        body_bytes=LARGEST_BODY_BYTES, connections=LARGEST_CONNECTIONS
    )
    server = httpserver.Server(faulty.handle, limits)
    await server.start(LOOPBACK, port)
    return Served(fake, faulty, server)


@attrs.define(eq=False)
class Cell:
    """A store, a host list and workers."""

    store: Served
    hosts: Served
    workers: dict[str, Served]
    _sweeper: asyncio.Task | None = None

    async def stop(self) -> None:
        """Stop every stand-in."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for served in self.workers.values():
            served.fake.close()
        every = [self.store, self.hosts, *self.workers.values()]
        await asyncio.gather(*(served.server.stop(0) for served in every))


async def sweep(fakes: list[worker_fake.WorkerFake]) -> None:
    """Let workers stop tasks without an owner, until cancelled."""
    while True:
        await asyncio.sleep(SWEEP_INTERVAL)
        for fake in fakes:
            fake.sweep()


async def start(plans: list[WorkerPlan], entries: list[hostlist.Host]) -> Cell:
    """Start the stand-ins of a platform with these hosts."""
    fakes = [
        worker_fake.WorkerFake(plan.name, plan.capacity, plan.speed)
        for plan in plans
    ]
    served = [
        await serve(fake, plan.port)
        for fake, plan in zip(fakes, plans, strict=True)
    ]
    hosts = [
        hostlist.Host(
            plan.name, hostlist.WORKER, plan.zone, plan.rack, one.address
        )
        for plan, one in zip(plans, served, strict=True)
    ]
    listed = hostlist.HostList(1, [*entries, *hosts])
    return Cell(
        await serve(store_fake.StoreFake()),
        await serve(hostlist_fake.HostListFake(listed)),
        {plan.name: one for plan, one in zip(plans, served, strict=True)},
        asyncio.create_task(sweep(fakes)),
    )
