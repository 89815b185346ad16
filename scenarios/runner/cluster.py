"""Cluster of real processes: entry host daemons, platform fakes and TCP relays.

Every process listens on loopback ports. Traffic that leaves a zone passes
through a relay, so that the zone can be partitioned.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import time

import attrs
import orjson

from jujubebend import errors
from jujubebend_ctl import client, demo
from jujubebend_http import httpclient
from jujubebend_platform import hostlist, store
from jujubebend_standin import fakeplatform, ports

ZONES = ('a', 'b', 'c')
WORKER_SPEEDS = (1, 2, 4)
READY_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 60.0
POLL_INTERVAL_SECONDS = 0.1
HOST_PORT_COUNT = 300
LEASE_MS = 3000
LOST_MS = 8000
CALL_TIMEOUT_SECONDS = 5.0
STORE_FAULTS = {
    'down': {'down': True},
    'slow': {'delay': 0.5},
    'loses-answers': {'lose_answers': True},
    'well': {},
}
WORKER_FAULTS = {
    'fails': {'fail_work': True},
    'doubles': {'double_ends': True},
    'late': {'hold_ends': 1.0},
    'leaves': {'leaving': True},
    'well': {},
}


@attrs.define(eq=False)
class Process:
    """A process of the cluster and the command that starts it."""

    name: str
    command: list[str]
    log_path: pathlib.Path
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        with self.log_path.open('ab') as log_file:
            self.popen = subprocess.Popen(
                self.command, stdout=log_file, stderr=log_file
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(signal_number)

    def kill(self) -> int:
        """Kill the process if it still runs and return its exit code.

        Returns 0 if it was never started.
        """
        if self.popen is None:
            return 0
        if self.popen.poll() is None:
            self.popen.kill()
        return self.popen.wait()


@attrs.define(eq=False)
class Cluster:
    """The processes of one scenario, with their files in ``folder``."""

    folder: pathlib.Path
    entry_count: int
    worker_count: int
    zones: tuple[str, ...] = ZONES
    one_process_for_workers: bool = False
    processes: dict[str, Process] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    exit_codes: dict[str, int] = attrs.field(factory=dict)
    config_text: str = attrs.field(factory=demo.sample_config)
    config_revision: int = 0
    _relay_addresses: dict[str, str] = attrs.field(factory=dict)
    _free_ports: list[int] = attrs.field(factory=list)

    def entry_names(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [f'entry-{number}' for number in range(self.entry_count)]

    def worker_names(self) -> list[str]:
        """Return the names of the workers."""
        return [f'worker-{number}' for number in range(self.worker_count)]

    def zone_of(self, name: str) -> str:
        """Return the zone of an entry host or worker."""
        return self.zones[int(name.rpartition('-')[2]) % len(self.zones)]

    def running_entry_names(self) -> list[str]:
        """Return the names of the entry hosts whose process runs."""
        return [
            name
            for name in self.entry_names()
            if self.processes[name].popen.poll() is None
        ]

    def record_path(self, worker: str) -> pathlib.Path:
        """Return the file to which a worker writes its events."""
        return self.folder / f'{worker}.record'

    async def start(self) -> None:
        """Start all processes; wait until every worker has an owner.

        Raises ``TimeoutError`` if that takes too long.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._free_ports = ports.find_free_ports(
            HOST_PORT_COUNT + 2 * self.worker_count
        )
        self._configure_platform()
        self._configure_workers()
        self._configure_relays()
        for name in self.entry_names():
            self._configure_entry(name)
        entry_names = set(self.entry_names())
        for name, process in self.processes.items():
            if name not in entry_names:
                process.start()
        await self._wait_until_up(['store', 'hosts', 'relays'])
        config_store = store.HttpStore(self.addresses['store'])
        self.config_revision = await client.apply_config(
            config_store, self.config_text, 0
        )
        await config_store.close()
        for name in entry_names:
            self.processes[name].start()
        await self.wait_until_ready(self.entry_names())
        await self._wait_until_owned()

    async def wait_until_ready(self, names: list[str]) -> None:
        """Wait until the readiness check of every entry host succeeds."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for name in names:
                while not await self.is_ready(name):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def is_ready(self, name: str) -> bool:
        """Return whether the readiness check of an entry host succeeds."""
        try:
            reply = await client.call(
                self.addresses[name], 'GET', '/readyz', timeout=1
            )
        except errors.UnreachableError:
            return False
        return reply.status == 200

    async def fetch_state(self, name: str) -> dict:
        """Return the state of an entry host, empty if it is unreachable."""
        try:
            reply = await client.call(
                self.addresses[name], 'GET', '/state', timeout=1
            )
        except errors.UnreachableError:
            return {}
        return reply.json()

    def close(self) -> None:
        """Kill every process of the cluster."""
        for process in self.processes.values():
            process.kill()

    def send_signal(self, action: str, name: str) -> None:
        """Kill, freeze or thaw a process."""
        signal_number = {
            'kill': signal.SIGKILL,
            'freeze': signal.SIGSTOP,
            'thaw': signal.SIGCONT,
        }[action]
        process = self.processes[name]
        process.send_signal(signal_number)
        if action == 'kill':
            process.kill()
            self._record_kill(name)

    async def drain_process(self, name: str) -> None:
        """Send SIGTERM to a process and record its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            while process.popen.poll() is None:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self.exit_codes[name] = process.popen.returncode

    async def restart_process(self, name: str) -> None:
        """Start a process that has exited."""
        self.processes[name].start()

    async def cut_zone(self, zone: str, target: str) -> None:
        """Cut the connections from a zone to another or to the platform.

        The opposite direction is not affected.
        """
        if target == 'platform':
            cut_relays = [f'{zone}>store', f'{zone}>hosts']
        else:
            cut_relays = [
                f'{zone}>{name}'
                for name in self.entry_names()
                if self.zone_of(name) == target
            ]
        await self._post_document(
            'relays', '/', dict.fromkeys(cut_relays, 'cut')
        )

    async def heal_cuts(self) -> None:
        """Let every relay pass traffic again."""
        await self._post_document(
            'relays', '/', dict.fromkeys(self._relay_addresses, 'pass')
        )

    async def set_fault(self, component: str, name: str, fault: str) -> None:
        """Set the fault of the store or of a worker.

        For the component ``hosts``, set the state of host ``name`` in the
        host list to ``fault``.
        """
        if component == 'hosts':
            await self._post_document('hosts', '/', {name: fault})
            return
        fault_settings = STORE_FAULTS if component == 'store' else WORKER_FAULTS
        await self._post_document(name, '/v1/faults', fault_settings[fault])

    async def fetch_store_counts(self) -> dict:
        """Return the number of reads and writes that the store has served."""
        reply = await client.call(
            self.addresses['store'],
            'GET',
            '/v1/counts',
            timeout=CALL_TIMEOUT_SECONDS,
        )
        return reply.json()

    async def _post_document(
        self, name: str, path: str, document: dict
    ) -> None:
        async with httpclient.open_client(
            self.addresses[name], 1
        ) as http_client:
            await http_client.call_json(
                'POST', path, document, timeout=CALL_TIMEOUT_SECONDS
            )

    def _record_kill(self, name: str) -> None:
        """Add the event that a killed worker cannot write itself."""
        if name in self.worker_names():
            event = {'what': 'killed', 'at': time.time()}
            event.update(attempt='', identity='')
            with self.record_path(name).open('ab') as record_file:
                record_file.write(orjson.dumps(event) + b'\n')

    def _assign_address(self, name: str) -> int:
        port = self._free_ports.pop()
        self.addresses[name] = f'127.0.0.1:{port}'
        return port

    def _add_process(self, name: str, command: list[str]) -> None:
        self.processes[name] = Process(
            name, command, self.folder / f'{name}.log'
        )

    def _add_fake(self, name: str, *arguments: str) -> None:
        self._add_process(
            name, [sys.executable, '-m', 'jujubebend_standin', *arguments]
        )

    def _configure_platform(self) -> None:
        port = self._assign_address('store')
        self._add_fake('store', 'store', str(port))
        grpc_ports = {
            name: self._free_ports.pop() for name in self.entry_names()
        }
        for name, grpc_port in grpc_ports.items():
            self.addresses[f'{name}/grpc'] = f'127.0.0.1:{grpc_port}'
        hosts = [
            hostlist.Host(
                name,
                hostlist.ENTRY,
                self.zone_of(name),
                f'rack-{name}',
                self.addresses[f'{name}/grpc'],
            )
            for name in self.entry_names()
        ]
        for name in self.worker_names():
            self._assign_address(name)
            hosts.append(
                hostlist.Host(
                    name,
                    hostlist.WORKER,
                    self.zone_of(name),
                    f'rack-{self.zone_of(name)}',
                    self.addresses[name],
                )
            )
        path = self.folder / 'hosts.json'
        document = hostlist.to_json(hostlist.HostList(1, hosts))
        path.write_bytes(orjson.dumps(document))
        self._add_fake(
            'hosts', 'hosts', str(self._assign_address('hosts')), str(path)
        )

    def _configure_workers(self) -> None:
        plans = []
        for number, name in enumerate(self.worker_names()):
            port = int(self.addresses[name].rpartition(':')[2])
            plan = {
                'name': name,
                'port': port,
                'speed': WORKER_SPEEDS[
                    number // len(self.zones) % len(WORKER_SPEEDS)
                ],
                'capacity': fakeplatform.CAPACITY.to_json(),
                'record': str(self.record_path(name)),
            }
            plans.append(plan)
        if self.one_process_for_workers:
            self._configure_worker_process('workers', plans)
            return
        for plan in plans:
            self._configure_worker_process(plan['name'], [plan])

    def _configure_worker_process(self, name: str, plans: list[dict]) -> None:
        path = self.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(plans))
        self._add_fake(name, 'workers', str(path))

    def _configure_relays(self) -> None:
        plans = []
        for zone in self.zones:
            targets = {
                'store': self.addresses['store'],
                'hosts': self.addresses['hosts'],
            }
            for name in self.entry_names():
                if self.zone_of(name) != zone:
                    targets[name] = self.addresses[f'{name}/grpc']
            for name, target in targets.items():
                port = self._free_ports.pop()
                relay_name = f'{zone}>{name}'
                self._relay_addresses[relay_name] = f'127.0.0.1:{port}'
                plans.append({
                    'name': relay_name,
                    'port': port,
                    'target': target,
                })
        path = self.folder / 'relays.json'
        path.write_bytes(orjson.dumps(plans))
        control_port = self._assign_address('relays')
        self._add_fake('relays', 'relays', str(control_port), str(path))

    def _configure_entry(self, name: str) -> None:
        zone = self.zone_of(name)
        peers = []
        for peer in self.entry_names():
            is_same_zone = self.zone_of(peer) == zone
            direct_address = self.addresses[f'{peer}/grpc']
            address = (
                direct_address
                if is_same_zone
                else self._relay_addresses[f'{zone}>{peer}']
            )
            if peer != name:
                peers.append({
                    'name': peer,
                    'zone': self.zone_of(peer),
                    'address': address,
                })
        grpc_port = self.addresses[f'{name}/grpc'].rpartition(':')[2]
        settings = {
            'name': name,
            'zone': zone,
            'zones': list(self.zones),
            'store': self._relay_addresses[f'{zone}>store'],
            'host_list': self._relay_addresses[f'{zone}>hosts'],
            'http': {'port': self._assign_address(name)},
            'grpc': {'port': int(grpc_port)},
            'peers': peers,
            'lease_ms': LEASE_MS,
            'lost_ms': LOST_MS,
            'log_file': str(self.folder / f'{name}.jsonl'),
        }
        path = self.folder / f'{name}.settings.json'
        header = f'// Settings of {name}.\n'
        path.write_text(header + json.dumps(settings, indent=2))
        daemon_code = 'from jujubebend_entry import main; main.run()'
        self._add_process(
            name, [sys.executable, '-c', daemon_code, '--settings', str(path)]
        )

    async def _wait_until_up(self, names: list[str]) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for name in names:
                while not await self._is_up(name):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _is_up(self, name: str) -> bool:
        try:
            await client.call(self.addresses[name], 'GET', '/x', timeout=1)
        except errors.UnreachableError:
            return False
        return True

    async def _wait_until_owned(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while await self._count_owned_workers() < self.worker_count:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _count_owned_workers(self) -> int:
        states = [await self.fetch_state(name) for name in self.entry_names()]
        return sum(len(state.get('workers', ())) for state in states)
