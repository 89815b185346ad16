"""A whole site on loopback: the platform in this process, daemons beside."""

from __future__ import annotations

import asyncio
import http
import os
import pathlib
import random
import signal
import sys

import attrs

from jujubebend import errors
from jujubebend_http import httpclient, httpserver
from jujubebend_standin import ports, relay
from jujubebend_standin.fleet import kv, machines, worker

LOOPBACK = '127.0.0.1'
PORTS_PER_HOST = 6
READY_PAUSE = 0.05  # seconds between questions whether a host is ready
QUEUE = {
    'name': 'q',
    'hostname': 'callers.example',
    'prefix': '/q/',
    'route_type': 'non_idempotent',
    'timeout_ms': 3000,
    'target_latency_ms': 500,
    'priority': 0,
    'service': 'svc',
    'attempts': 5,
    'slack_factor': 2.0,
}
TEXT = {
    'config_version': 1,
    'routes': [QUEUE],
    'services': [{'name': 'svc'}],
    'limits': {},
}
SETTINGS = """
node_name = "{name}"
zone = "z"
ip = "{ip}"
port_range = [{peer},{last}]
heartbeat_ms = 1000
advice = ""
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
grace_s = 6
hold_max_ms = 6000
status_s = 120
lease_ms = 1000
[platform]
address = "{store}"
[cloud]
address = "{cloud}"
"""


@attrs.define(eq=False)
class Host:
    """One daemon; its addresses stay the same over its lives.

    ``observed`` is where it shows operators its state and metrics.
    """

    name: str
    front: str
    ready: str
    settings: pathlib.Path
    log: pathlib.Path
    observed: str = ''
    process: asyncio.subprocess.Process | None = None
    is_harmed: bool = False

    async def begin(self) -> None:
        """Start the daemon."""
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'jujubebend_cluster',
                stdout=log,
                stderr=log,
                env={**os.environ, 'JUJUBEBEND_CONFIG': str(self.settings)},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this host started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """End the daemon and wait until it is gone."""
        if self.process is None:
            return
        self.send(number)
        await self.process.wait()
        self.process = None


@attrs.define(eq=False)
class Site:
    """Store, workers and daemons; ``folder`` keeps settings and logs.

    Each host has a path of its own to the store, and all share one to each
    worker; ``paths`` are the relays on them.
    """

    folder: pathlib.Path
    seed: int = 1
    store: kv.KvStore = attrs.field(init=False)
    cloud: machines.MachineService = attrs.field(init=False)
    workers: list[worker.FleetWorker] = attrs.field(factory=list)
    hosts: list[Host] = attrs.field(factory=list)
    paths: list[relay.Relay] = attrs.field(factory=list)
    _addresses: dict[str, str] = attrs.field(factory=dict)
    _cloud_address: str = ''
    _servers: list[httpserver.Server] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Seed the store's chance."""
        self.store = kv.KvStore(random.Random(self.seed))  # noqa: S311
        self.cloud = machines.MachineService(self._retire, self._replace)

    async def begin(self, hosts: int, workers: int, cpu: int) -> None:
        """Start everything and wait until one host is ready."""
        address = await self._serve(self.store.handle)
        for _ in range(workers):
            self.cloud.add(await self._add_worker(cpu))
        self._cloud_address = await self._serve(self.cloud.handle)
        self.store.put('op/config', TEXT)
        for number in range(hosts):
            path = await self._lead_to(address)
            host = self._make_host(f'host-{number}', path)
            self.hosts.append(host)
            await host.begin()
        await asyncio.gather(*(wait_until_ready(host) for host in self.hosts))

    async def _add_worker(self, cpu: int) -> worker.FleetWorker:
        made = worker.FleetWorker(f'i-{len(self.workers):08x}', cpu)
        self.workers.append(made)
        address = await self._serve(made.handle)
        self._addresses[made.name] = await self._lead_to(address)
        self.list_worker(made)
        return made

    def _retire(self, former: worker.FleetWorker) -> None:
        self.store.delete(f'servers/{former.name}')

    async def _replace(self, former: worker.FleetWorker) -> worker.FleetWorker:
        return await self._add_worker(former.cpu)

    def list_worker(
        self, made: worker.FleetWorker, state: str = 'ready'
    ) -> None:
        """Write a worker's entry."""
        entry = {
            'service': 'svc',
            'address': self._addresses[made.name],
            'zone': 'z',
            'state': state,
            'capacity': {'cpu': made.cpu, 'mem_mb': 1_000_000, 'gpu': 0},
            'labels': ['a', 'r1'],
            'born': made.born,
            'sequence': 1,
        }
        self.store.put(f'servers/{made.name}', entry)

    async def close(self) -> None:
        """End the daemons, then the platform."""
        for host in self.hosts:
            await host.end()
        for path in self.paths:
            await path.stop()
        for server in self._servers:
            await server.stop(0)

    async def _lead_to(self, address: str) -> str:
        """Return an address that leads there on a path that can be harmed."""
        made = relay.Relay(address)
        self.paths.append(made)
        await made.start()
        return f'{LOOPBACK}:{made.port}'

    async def _serve(self, handler: httpserver.Handler) -> str:
        server = httpserver.Server(handler)
        await server.start(LOOPBACK, 0)
        self._servers.append(server)
        return f'{LOOPBACK}:{server.port}'

    def _make_host(self, name: str, store: str) -> Host:
        first = ports.choose_row(PORTS_PER_HOST)
        settings = self.folder / f'{name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=LOOPBACK,
                front=first,
                ready=first + 1,
                peer=first + 2,
                last=first + PORTS_PER_HOST - 1,
                store=store,
                cloud=self._cloud_address,
            )
        )
        return Host(
            name,
            f'{LOOPBACK}:{first}',
            f'{LOOPBACK}:{first + 1}',
            settings,
            self.folder / f'{name}.log',
            f'{LOOPBACK}:{first + 3}',
        )


async def wait_until_ready(host: Host) -> None:
    """Wait until a host's daemon says that it is ready."""
    async with httpclient.open_client(host.ready, 1) as client:
        while True:
            try:
                reply = await client.call('GET', '/jujubebend/ready', timeout=1)
            except errors.JujubebendError:
                await asyncio.sleep(READY_PAUSE)
                continue
            if reply.status == http.HTTPStatus.OK:
                return
            await asyncio.sleep(READY_PAUSE)
