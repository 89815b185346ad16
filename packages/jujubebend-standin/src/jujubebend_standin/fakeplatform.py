"""In-process fake platform on loopback ports: store, host list, workers."""

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
ORPHAN_CHECK_INTERVAL_SECONDS = 0.5
MAX_BODY_BYTES = resources.GIB // 10
MAX_CONNECTIONS = 4096
WORKER_CONNECTIONS = 64
WORKER_MEMORY_GIB = 64
CAPACITY = resources.from_json({
    'slots': 8,
    'connections': WORKER_CONNECTIONS,
    'cpus': 32,
    'memory_bytes': WORKER_MEMORY_GIB * resources.GIB,
})


@attrs.frozen
class WorkerPlan:
    """Configuration of a worker to start.

    ``speed`` divides the duration of tasks. Port zero takes a free port.
    """

    name: str
    zone: str
    rack: str
    speed: float = 1.0
    capacity: resources.Resources = CAPACITY
    port: int = 0


@attrs.define(eq=False)
class ServedFake:
    """A fake with its fault injector and its HTTP server."""

    fake: object
    injector: faults.FaultInjector
    server: httpserver.Server

    @property
    def address(self) -> str:
        """Return the host and port of the server."""
        return f'{LOOPBACK}:{self.server.port}'


async def serve_fake(fake, port: int = 0) -> ServedFake:  # noqa: ANN001
    """Serve a fake on a loopback port; port zero takes a free port."""
    on_set = getattr(fake, 'set_faults', lambda _: None)
    injector = faults.FaultInjector(fake.handle, on_set)
    limits = httpserver.Limits(
        body_bytes=MAX_BODY_BYTES, connections=MAX_CONNECTIONS
    )
    server = httpserver.Server(injector.handle, limits)
    await server.start(LOOPBACK, port)
    return ServedFake(fake, injector, server)


@attrs.define(eq=False)
class FakePlatform:
    """A running fake platform; ``workers`` are by name."""

    store: ServedFake
    hosts: ServedFake
    workers: dict[str, ServedFake]
    _orphan_stopper: asyncio.Task | None = None

    async def stop(self) -> None:
        """Cancel all tasks and stop every server."""
        if self._orphan_stopper is not None:
            self._orphan_stopper.cancel()
        for served in self.workers.values():
            served.fake.cancel_tasks()
        served_fakes = [self.store, self.hosts, *self.workers.values()]
        await asyncio.gather(
            *(served.server.stop(0) for served in served_fakes)
        )


async def stop_orphans_periodically(
    fakes: list[worker_fake.FakeWorker],
) -> None:
    """Make workers stop tasks without an owner, until cancelled."""
    while True:
        await asyncio.sleep(ORPHAN_CHECK_INTERVAL_SECONDS)
        for fake in fakes:
            fake.stop_orphans()


async def start(
    plans: list[WorkerPlan], entries: list[hostlist.Host]
) -> FakePlatform:
    """Start a fake platform.

    Its host list holds the entry hosts ``entries`` and a worker for each of
    ``plans``.
    """
    fakes = [
        worker_fake.FakeWorker(plan.name, plan.capacity, plan.speed)
        for plan in plans
    ]
    served_workers = [
        await serve_fake(fake, plan.port)
        for fake, plan in zip(fakes, plans, strict=True)
    ]
    hosts = [
        hostlist.Host(
            plan.name, hostlist.WORKER, plan.zone, plan.rack, served.address
        )
        for plan, served in zip(plans, served_workers, strict=True)
    ]
    host_list = hostlist.HostList(1, [*entries, *hosts])
    return FakePlatform(
        await serve_fake(store_fake.FakeStore()),
        await serve_fake(hostlist_fake.FakeHostList(host_list)),
        {
            plan.name: served
            for plan, served in zip(plans, served_workers, strict=True)
        },
        asyncio.create_task(stop_orphans_periodically(fakes)),
    )
