"""A cell of real processes: daemons, stand-ins and relays between zones."""

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
SPEEDS = (1, 2, 4)
READY_WAIT = 60.0
STOP_WAIT = 60.0
POLL = 0.1
PORTS_FOR_HOSTS = 300
LEASE_MS = 3000
LOST_MS = 8000
CALL_TIMEOUT = 5.0
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
    """One process of the cell, with how to start it again."""

    name: str
    command: list[str]
    log: pathlib.Path
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it, adding to its log."""
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to it, by its pid."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def end(self) -> int:
        """Kill it if it still runs; return its exit code."""
        if self.popen is None:
            return 0
        if self.popen.poll() is None:
            self.popen.kill()
        return self.popen.wait()


@attrs.define(eq=False)
class Cell:
    """The processes of one scenario, in a folder of its own."""

    folder: pathlib.Path
    entries: int
    workers: int
    zones: tuple[str, ...] = ZONES
    one_process_for_workers: bool = False
    processes: dict[str, Process] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    exit_codes: dict[str, int] = attrs.field(factory=dict)
    text: str = attrs.field(factory=demo.sample_config)
    revision: int = 0
    _relays: dict[str, str] = attrs.field(factory=dict)
    _ports: list[int] = attrs.field(factory=list)

    # Names and places.

    def entry_names(self) -> list[str]:
        """Return the names of the entry hosts."""
        return [f'entry-{number}' for number in range(self.entries)]

    def worker_names(self) -> list[str]:
        """Return the names of the workers."""
        return [f'worker-{number}' for number in range(self.workers)]

    def zone(self, name: str) -> str:
        """Return the zone of a host."""
        return self.zones[int(name.rpartition('-')[2]) % len(self.zones)]

    def running_entries(self) -> list[str]:
        """Return the entry hosts whose processes run."""
        return [
            name
            for name in self.entry_names()
            if self.processes[name].popen.poll() is None
        ]

    def record(self, worker: str) -> pathlib.Path:
        """Return the file in which a worker records what it did."""
        return self.folder / f'{worker}.record'

    # Life.

    async def start(self) -> None:
        """Start everything and wait until every host serves."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._ports = ports.find_free_ports(PORTS_FOR_HOSTS + 2 * self.workers)
        self._plan_platform()
        self._plan_workers()
        self._plan_relays()
        for name in self.entry_names():
            self._plan_entry(name)
        entries = set(self.entry_names())
        for name, process in self.processes.items():
            if name not in entries:
                process.start()
        await self._until_up(['store', 'hosts', 'relays'])
        kept = store.HttpStore(self.addresses['store'])
        self.revision = await client.apply_config(kept, self.text, 0)
        await kept.close()
        for name in entries:
            self.processes[name].start()
        await self.until_ready(self.entry_names())
        await self._until_owned()

    async def until_ready(self, names: list[str]) -> None:
        """Wait until entry hosts say that they are ready."""
        async with asyncio.timeout(READY_WAIT):
            for name in names:
                while not await self.is_ready(name):
                    await asyncio.sleep(POLL)

    async def is_ready(self, name: str) -> bool:
        """Ask an entry host whether it is ready, as a balancer does."""
        try:
            reply = await client.call(
                self.addresses[name], 'GET', '/readyz', timeout=1
            )
        except errors.UnreachableError:
            return False
        return reply.status == 200

    async def state(self, name: str) -> dict:
        """Return the state of an entry host, empty if it does not answer."""
        try:
            reply = await client.call(
                self.addresses[name], 'GET', '/state', timeout=1
            )
        except errors.UnreachableError:
            return {}
        return reply.json()

    def close(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            process.end()

    # What a scenario does to it.

    def signal(self, what: str, name: str) -> None:
        """Kill, freeze or thaw a process."""
        number = {
            'kill': signal.SIGKILL,
            'freeze': signal.SIGSTOP,
            'thaw': signal.SIGCONT,
        }[what]
        process = self.processes[name]
        process.send(number)
        if what == 'kill':
            process.end()
            self._record_kill(name)

    async def drain(self, name: str) -> None:
        """Send SIGTERM and wait for the exit code."""
        process = self.processes[name]
        process.send(signal.SIGTERM)
        async with asyncio.timeout(STOP_WAIT):
            while process.popen.poll() is None:
                await asyncio.sleep(POLL)
        self.exit_codes[name] = process.popen.returncode

    async def restart(self, name: str) -> None:
        """Start a process that has ended."""
        self.processes[name].start()

    async def cut(self, zone: str, target: str) -> None:
        """Cut what goes from a zone to another or to the platform."""
        if target == 'platform':
            cut = [f'{zone}>store', f'{zone}>hosts']
        else:
            cut = [
                f'{zone}>{name}'
                for name in self.entry_names()
                if self.zone(name) == target
            ]
        await self._post('relays', '/', dict.fromkeys(cut, 'cut'))

    async def heal(self) -> None:
        """End every cut."""
        await self._post('relays', '/', dict.fromkeys(self._relays, 'pass'))

    async def fault(self, where: str, name: str, fault: str) -> None:
        """Set what is wrong with a stand-in, or what the list says."""
        if where == 'hosts':
            await self._post('hosts', '/', {name: fault})
            return
        known = STORE_FAULTS if where == 'store' else WORKER_FAULTS
        await self._post(name, '/v1/faults', known[fault])

    async def store_counts(self) -> dict:
        """Return how many calls the store has counted."""
        reply = await client.call(
            self.addresses['store'], 'GET', '/v1/counts', timeout=CALL_TIMEOUT
        )
        return reply.json()

    # Inside.

    async def _post(self, name: str, path: str, plain: dict) -> None:
        async with httpclient.open_client(self.addresses[name], 1) as one:
            await one.call_json('POST', path, plain, timeout=CALL_TIMEOUT)

    def _record_kill(self, name: str) -> None:
        if name in self.worker_names():
            event = {'what': 'killed', 'at': time.time()}
            event.update(attempt='', identity='')
            with self.record(name).open('ab') as record:
                record.write(orjson.dumps(event) + b'\n')

    def _address(self, name: str) -> int:
        port = self._ports.pop()
        self.addresses[name] = f'127.0.0.1:{port}'
        return port

    def _add(self, name: str, command: list[str]) -> None:
        self.processes[name] = Process(
            name, command, self.folder / f'{name}.log'
        )

    def _standin(self, name: str, *words: str) -> None:
        self._add(name, [sys.executable, '-m', 'jujubebend_standin', *words])

    def _plan_platform(self) -> None:
        port = self._address('store')
        self._standin('store', 'store', str(port))
        grpc_ports = {name: self._ports.pop() for name in self.entry_names()}
        for name, number in grpc_ports.items():
            self.addresses[f'{name}/grpc'] = f'127.0.0.1:{number}'
        hosts = [
            hostlist.Host(
                name,
                hostlist.ENTRY,
                self.zone(name),
                f'rack-{name}',
                self.addresses[f'{name}/grpc'],
            )
            for name in self.entry_names()
        ]
        for name in self.worker_names():
            self._address(name)
            hosts.append(
                hostlist.Host(
                    name,
                    hostlist.WORKER,
                    self.zone(name),
                    f'rack-{self.zone(name)}',
                    self.addresses[name],
                )
            )
        path = self.folder / 'hosts.json'
        listed = hostlist.to_json(hostlist.HostList(1, hosts))
        path.write_bytes(orjson.dumps(listed))
        self._standin('hosts', 'hosts', str(self._address('hosts')), str(path))

    def _plan_workers(self) -> None:
        plans = []
        for number, name in enumerate(self.worker_names()):
            port = int(self.addresses[name].rpartition(':')[2])
            plan = {
                'name': name,
                'port': port,
                'speed': SPEEDS[number // len(self.zones) % len(SPEEDS)],
                'capacity': fakeplatform.CAPACITY.to_json(),
                'record': str(self.record(name)),
            }
            plans.append(plan)
        if self.one_process_for_workers:
            self._plan_worker_process('workers', plans)
            return
        for plan in plans:
            self._plan_worker_process(plan['name'], [plan])

    def _plan_worker_process(self, name: str, plans: list[dict]) -> None:
        path = self.folder / f'{name}.json'
        path.write_bytes(orjson.dumps(plans))
        self._standin(name, 'workers', str(path))

    def _plan_relays(self) -> None:
        plans = []
        for zone in self.zones:
            targets = {
                'store': self.addresses['store'],
                'hosts': self.addresses['hosts'],
            }
            for name in self.entry_names():
                if self.zone(name) != zone:
                    targets[name] = self.addresses[f'{name}/grpc']
            for name, target in targets.items():
                port = self._ports.pop()
                relay = f'{zone}>{name}'
                self._relays[relay] = f'127.0.0.1:{port}'
                plans.append({'name': relay, 'port': port, 'target': target})
        path = self.folder / 'relays.json'
        path.write_bytes(orjson.dumps(plans))
        control = self._address('relays')
        self._standin('relays', 'relays', str(control), str(path))

    def _plan_entry(self, name: str) -> None:
        zone = self.zone(name)
        peers = []
        for peer in self.entry_names():
            own_zone = self.zone(peer) == zone
            direct = self.addresses[f'{peer}/grpc']
            address = direct if own_zone else self._relays[f'{zone}>{peer}']
            if peer != name:
                peers.append({
                    'name': peer,
                    'zone': self.zone(peer),
                    'address': address,
                })
        grpc_port = self.addresses[f'{name}/grpc'].rpartition(':')[2]
        plain = {
            'name': name,
            'zone': zone,
            'zones': list(self.zones),
            'store': self._relays[f'{zone}>store'],
            'host_list': self._relays[f'{zone}>hosts'],
            'http': {'port': self._address(name)},
            'grpc': {'port': int(grpc_port)},
            'peers': peers,
            'lease_ms': LEASE_MS,
            'lost_ms': LOST_MS,
            'log_file': str(self.folder / f'{name}.jsonl'),
        }
        path = self.folder / f'{name}.settings.json'
        head = f'// The settings of {name}.\n'
        path.write_text(head + json.dumps(plain, indent=2))
        daemon = 'from jujubebend_entry import main; main.run()'
        self._add(name, [sys.executable, '-c', daemon, '--settings', str(path)])

    async def _until_up(self, names: list[str]) -> None:
        async with asyncio.timeout(READY_WAIT):
            for name in names:
                while not await self._is_up(name):
                    await asyncio.sleep(POLL)

    async def _is_up(self, name: str) -> bool:
        try:
            await client.call(self.addresses[name], 'GET', '/x', timeout=1)
        except errors.UnreachableError:
            return False
        return True

    async def _until_owned(self) -> None:
        async with asyncio.timeout(READY_WAIT):
            while await self._owned() < self.workers:
                await asyncio.sleep(POLL)

    async def _owned(self) -> int:
        states = [await self.state(name) for name in self.entry_names()]
        return sum(len(one.get('workers', ())) for one in states)
