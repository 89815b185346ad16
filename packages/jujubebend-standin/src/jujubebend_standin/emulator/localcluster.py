"""Cluster on loopback: emulated platform in-process, daemons as processes."""

from __future__ import annotations

import asyncio
import http
import os
import pathlib
import random
import signal
import sys
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_http import httpclient, httpserver
from jujubebend_standin import ports, relay
from jujubebend_standin.emulator import kv, machines, worker

LOOPBACK = '127.0.0.1'
PORTS_PER_HOST = 6
READY_POLL_SECONDS = 0.05
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
CONFIG = {
    'config_version': 1,
    'routes': [QUEUE],
    'services': [{'name': 'svc'}],
    'limits': {},
}
SETTINGS_TEMPLATE = """
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
[limits]
cpu_share = {cores}
link_mbps = {link_mbps}
"""


@attrs.frozen
class HostLimits:
    """The processor time and the link that a host's settings state.

    ``cores`` are of normal speed, ``link_mbps`` is zero if not stated. The
    daemon adapts to them; they are not enforced.
    """

    cores: float = 1
    link_mbps: float = 0


@attrs.define(eq=False)
class Host:
    """A scheduler daemon; it keeps its addresses across restarts.

    ``api_address`` serves callers, ``ready_address`` the readiness check and
    ``state_address`` the state page and metrics for operators. ``has_fault`` is
    true while a fault of the process is injected, which excludes another.
    """

    name: str
    api_address: str
    ready_address: str
    settings: pathlib.Path
    log_file: pathlib.Path
    state_address: str = ''
    process: asyncio.subprocess.Process | None = None
    has_fault: bool = False

    async def start(self) -> None:
        """Start the daemon."""
        with self.log_file.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'jujubebend_cluster',
                stdout=log,
                stderr=log,
                env={**os.environ, 'JUJUBEBEND_CONFIG': str(self.settings)},
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the daemon, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop(
        self, signal_number: signal.Signals = signal.SIGKILL
    ) -> None:
        """Send a signal to the daemon and wait until it exits."""
        if self.process is None:
            return
        self.send_signal(signal_number)
        await self.process.wait()
        self.process = None


@attrs.define(eq=False)
class LocalCluster:
    """Store, machine service, workers and daemons.

    ``folder`` holds settings and logs of the daemons. ``relays`` has one relay
    per host, between the host and the store, and one per worker, between all
    hosts and the worker. The hosts get the ``host_limits`` in turn.
    """

    folder: pathlib.Path
    seed: int = 1
    host_limits: abc.Sequence[HostLimits] = (HostLimits(),)
    store: kv.KvStore = attrs.field(init=False)
    machine_service: machines.MachineService = attrs.field(init=False)
    workers: list[worker.EmulatedWorker] = attrs.field(factory=list)
    hosts: list[Host] = attrs.field(factory=list)
    relays: list[relay.Relay] = attrs.field(factory=list)
    _addresses: dict[str, str] = attrs.field(factory=dict)
    _worker_relays: dict[str, relay.Relay] = attrs.field(factory=dict)
    _worker_servers: dict[str, httpserver.Server] = attrs.field(factory=dict)
    _machine_address: str = ''
    _servers: list[httpserver.Server] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the store and the machine service."""
        self.store = kv.KvStore(random.Random(self.seed))  # noqa: S311
        self.machine_service = machines.MachineService(
            self._delete_worker_entry, self._replace_worker
        )

    async def start(self, hosts: int, workers: int, cpu: int) -> None:
        """Start everything and wait until every host is ready.

        ``cpu`` is the capacity of each worker.
        """
        address = await self._start_server(self.store.handle)
        for _ in range(workers):
            self.machine_service.add_machine(await self._add_worker(cpu))
        self._machine_address = await self._start_server(
            self.machine_service.handle
        )
        self.store.put('op/config', CONFIG)
        for number in range(hosts):
            store_address = _relay_address(await self._start_relay(address))
            host = self._create_host(f'host-{number}', store_address)
            self.hosts.append(host)
            await host.start()
        await asyncio.gather(*(wait_until_ready(host) for host in self.hosts))

    async def _add_worker(self, cpu: int) -> worker.EmulatedWorker:
        emulated_worker = worker.EmulatedWorker(
            f'i-{len(self.workers):08x}', cpu
        )
        self.workers.append(emulated_worker)
        server = await self._serve(emulated_worker.handle)
        tcp_relay = await self._start_relay(f'{LOOPBACK}:{server.port}')
        self._worker_servers[emulated_worker.name] = server
        self._worker_relays[emulated_worker.name] = tcp_relay
        self._addresses[emulated_worker.name] = _relay_address(tcp_relay)
        self.write_worker_entry(emulated_worker)
        return emulated_worker

    def _delete_worker_entry(
        self, former_worker: worker.EmulatedWorker
    ) -> None:
        self.store.delete(f'servers/{former_worker.name}')

    async def _replace_worker(
        self, former_worker: worker.EmulatedWorker
    ) -> worker.EmulatedWorker:
        return await self._add_worker(former_worker.cpu)

    def write_worker_entry(
        self, emulated_worker: worker.EmulatedWorker, state: str = 'ready'
    ) -> None:
        """Write the entry of a worker to the store."""
        entry = {
            'service': 'svc',
            'address': self._addresses[emulated_worker.name],
            'zone': 'z',
            'state': state,
            'capacity': {
                'cpu': emulated_worker.cpu,
                'mem_mb': 1_000_000,
                'gpu': 0,
            },
            'labels': ['a', 'r1'],
            'born': emulated_worker.incarnation,
            'sequence': 1,
        }
        self.store.put(f'servers/{emulated_worker.name}', entry)

    def get_worker_relay(
        self, emulated_worker: worker.EmulatedWorker
    ) -> relay.Relay:
        """Return the relay between all hosts and a worker."""
        return self._worker_relays[emulated_worker.name]

    async def crash_worker(
        self, emulated_worker: worker.EmulatedWorker
    ) -> None:
        """Crash a worker, which starts again under its ID at once.

        Its connections go silent for good, and what was sent on them is lost.
        New ones, and those that its relay has yet to open, reach the new
        incarnation, whose entry is not written yet.
        """
        name = emulated_worker.name
        self._worker_relays[name].blackhole_connections()
        server = self._worker_servers[name]
        await server.stop(0)
        emulated_worker.crash()
        self._worker_servers[name] = await self._serve(
            emulated_worker.handle, server.port
        )

    async def stop(self) -> None:
        """Kill the daemons, then stop the platform."""
        for host in self.hosts:
            await host.stop()
        for tcp_relay in self.relays:
            await tcp_relay.stop()
        for server in self._servers:
            await server.stop(0)

    async def _start_relay(self, address: str) -> relay.Relay:
        """Start a relay to an address."""
        tcp_relay = relay.Relay(address)
        self.relays.append(tcp_relay)
        await tcp_relay.start()
        return tcp_relay

    async def _start_server(self, handler: httpserver.Handler) -> str:
        server = await self._serve(handler)
        return f'{LOOPBACK}:{server.port}'

    async def _serve(
        self, handler: httpserver.Handler, port: int = 0
    ) -> httpserver.Server:
        server = httpserver.Server(handler)
        await server.start(LOOPBACK, port)
        self._servers.append(server)
        return server

    def _create_host(self, name: str, store_address: str) -> Host:
        first = ports.find_free_port_range(PORTS_PER_HOST)
        limits = self.host_limits[len(self.hosts) % len(self.host_limits)]
        settings = self.folder / f'{name}.toml'
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                ip=LOOPBACK,
                front=first,
                ready=first + 1,
                peer=first + 2,
                last=first + PORTS_PER_HOST - 1,
                store=store_address,
                cloud=self._machine_address,
                cores=limits.cores,
                link_mbps=limits.link_mbps,
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


def _relay_address(tcp_relay: relay.Relay) -> str:
    return f'{LOOPBACK}:{tcp_relay.port}'


async def wait_until_ready(host: Host) -> None:
    """Poll a host until its daemon is ready.

    Raises ``UnreachableError`` if the daemon exits before.
    """
    async with httpclient.open_client(host.ready_address, 1) as client:
        while True:
            if host.process is not None and host.process.returncode is not None:
                raise errors.UnreachableError(
                    f'{host.name} ended with status {host.process.returncode} '
                    f'before it was ready; see {host.log_file}'
                )
            try:
                reply = await client.call('GET', '/jujubebend/ready', timeout=1)
            except errors.JujubebendError:
                await asyncio.sleep(READY_POLL_SECONDS)
                continue
            if reply.status == http.HTTPStatus.OK:
                return
            await asyncio.sleep(READY_POLL_SECONDS)
