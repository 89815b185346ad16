"""The embedded default: a whole small cell in one process.

Stand-ins of store, host list and 24 workers of unlike speed in three
availability zones, and eight entry hosts, all over loopback sockets. A mixed
sample of both users' work is run through it, and the four measures of the
brief are printed.
"""

from __future__ import annotations

import asyncio
import http
import random
import resource
import signal
import statistics
import time
from importlib import resources as package_files

import attrs
import eliot
import orjson
import typer

from jujubebend import resources
from jujubebend_ctl import client, submit
from jujubebend_entry import app as entry_app
from jujubebend_entry import settings
from jujubebend_http import httpclient
from jujubebend_platform import hostlist, store
from jujubebend_standin import fakeplatform
from jujubebend_standin import ports as free_ports

ZONES = ('a', 'b', 'c')
ENTRY_HOSTS = 8
WORKERS = 24
SPEEDS = (1, 1, 2, 4, 8, 1, 2, 1)
RACK_SIZE = 4
QUOTES = 40
STOCK_CHECKS = 60
TILE_ORDERS = 20
FLOOD = 300
FLOOD_MS = 60
QUICK_MS = 20
CUTS = 12
GANG = 4
PACKING_INTERVAL = 0.02
CONNECTIONS = 64
CALL_TIMEOUT = 60.0
P99 = 0.99
GIB = resources.GIB
SLOT = {'slots': 1, 'connections': 1, 'cpus': 1, 'memory_bytes': GIB // 4}
READY_WAIT = 30.0
JOB_POLL = 0.1


@attrs.define(eq=False)
class Trial:
    """A running cell with its daemons."""

    platform: fakeplatform.FakePlatform
    apps: list[entry_app.App]

    def hosts(self) -> list[str]:
        """Return the HTTP address of each entry host."""
        return [f'127.0.0.1:{app.http.port}' for app in self.apps]

    async def stop(self) -> None:
        """Drain the daemons and stop the stand-ins."""
        await asyncio.gather(*(app.stop() for app in self.apps))
        await self.platform.stop()


@attrs.frozen
class Answer:
    """What one sample request got; times are wall time in seconds."""

    service: str
    identity: str
    status: int
    is_whole: bool
    sent_at: float


async def run(*, serve: bool, port: int, seed: int) -> bool:
    """Run the sample; with ``serve``, stay up until SIGTERM after it."""
    rng = random.Random(seed)
    started = await start(port)
    typer.echo(f'entry hosts: {" ".join(started.hosts())}')
    good = await _run_sample(started, rng)
    if serve:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        typer.echo('serving until SIGTERM')
        await stopped.wait()
    await started.stop()
    typer.echo('all answers whole' if good else 'some work failed')
    return good


async def start(port: int = 0) -> Trial:
    """Start the cell, accept the sample text, wait until all serve."""
    eliot.add_destinations(lambda _: None)
    ports = free_ports.find_free_ports(ENTRY_HOSTS)
    names = [f'entry-{number}' for number in range(ENTRY_HOSTS)]
    entries = [
        hostlist.Host(
            name,
            hostlist.ENTRY,
            _zone_of(number),
            f'rack-e{number}',
            f'127.0.0.1:{ports[number]}',
        )
        for number, name in enumerate(names)
    ]
    platform = await fakeplatform.start(_plans(), entries)
    kept = store.HttpStore(platform.store.address)
    await client.apply_config(kept, sample_config(), 0)
    await kept.close()
    apps = [
        entry_app.build(_settings(number, entries, platform, port))
        for number in range(ENTRY_HOSTS)
    ]
    await asyncio.gather(*(app.start() for app in apps))
    async with asyncio.timeout(READY_WAIT):
        await asyncio.gather(*(app.wait_until_ready() for app in apps))
        while (
            sum(len(app.owner.ledger.owned_workers) for app in apps) < WORKERS
        ):
            await asyncio.sleep(JOB_POLL)
    return Trial(platform, apps)


def sample_config() -> str:
    """Return the operators' text of the sample."""
    files = package_files.files('jujubebend_ctl')
    return (files / 'sample.yaml').read_text()


def _zone_of(number: int) -> str:
    return ZONES[number % len(ZONES)]


def _plans() -> list[fakeplatform.WorkerPlan]:
    return [
        fakeplatform.WorkerPlan(
            f'worker-{number:02d}',
            _zone_of(number),
            f'rack-{_zone_of(number)}{number // len(ZONES) // RACK_SIZE}',
            SPEEDS[number % len(SPEEDS)],
        )
        for number in range(WORKERS)
    ]


def _settings(
    number: int,
    entries: list[hostlist.Host],
    platform: fakeplatform.FakePlatform,
    port: int,
) -> settings.Settings:
    own = entries[number]
    return settings.Settings(
        name=own.name,
        zone=own.zone,
        zones=list(ZONES),
        store=platform.store.address,
        host_list=platform.hosts.address,
        http=settings.Listen(port=port if number == 0 else 0),
        grpc=settings.Listen(port=int(own.address.rpartition(':')[2])),
        peers=[
            settings.Peer(entry.name, entry.zone, entry.address)
            for entry in entries
            if entry is not own
        ],
        drain_notice_ms=0,
    )


async def _run_sample(started: Trial, rng: random.Random) -> bool:
    clients = [httpclient.Client(host, CONNECTIONS) for host in started.hosts()]
    try:
        jobs = await _submit_jobs(clients)
        alone = await _send_quick(clients, rng, 'alone')
        flood = asyncio.create_task(_send_flood(clients))
        packing = asyncio.create_task(_sample_packing(started, flood))
        beside = await _send_quick(clients, rng, 'beside')
        await flood
        ended = await _wait_jobs(clients, jobs)
    finally:
        for one in clients:
            await one.close()
    answers = [*alone, *beside]
    for answer in answers:
        typer.echo(f'{answer.service} {answer.identity}: {answer.status}')
    for job_id, state in ended.items():
        typer.echo(f'job {job_id}: {state}')
    _print_measures(started, alone, beside, await packing)
    done = all(state == 'done' for state in ended.values())
    return done and all(
        one.status == http.HTTPStatus.OK and one.is_whole for one in answers
    )


async def _send_quick(
    clients: list[httpclient.Client], rng: random.Random, phase: str
) -> list[Answer]:
    plans = [
        ('quotes', 'sales', True, QUOTES),
        ('stock', 'counter', True, STOCK_CHECKS),
        ('tiles', 'portal', False, TILE_ORDERS),
    ]
    sends = []
    for service, team, idempotent, count in plans:
        for number in range(count):
            identity = f'{phase}-{service}-{number}'
            body = _body(service, team, 'urgent', identity, QUICK_MS)
            body['idempotent'] = idempotent
            one = rng.choice(clients)
            sends.append(_send(one, body, rng.uniform(0, 1)))
    return await asyncio.gather(*sends)


async def _send_flood(clients: list[httpclient.Client]) -> list[Answer]:
    sends = []
    for number in range(FLOOD):
        identity = f'flood-{number}'
        body = _body('meshes', 'chainworks', 'patient', identity, FLOOD_MS)
        sends.append(_send(clients[number % len(clients)], body, 0))
    return await asyncio.gather(*sends)


def _body(
    service: str, team: str, work_class: str, identity: str, work_ms: int
) -> dict:
    return {
        'service': service,
        'team': team,
        'class': work_class,
        'deadline_ms': 30_000,
        'resources': SLOT,
        'idempotent': True,
        'payload': {'identity': identity, 'work_ms': work_ms},
    }


async def _send(one: httpclient.Client, body: dict, delay: float) -> Answer:
    await asyncio.sleep(delay)
    identity = body['payload']['identity']
    headers = {'idempotency-key': identity}
    sent_at = time.time()
    reply = await one.call(
        'POST',
        '/v1/requests',
        orjson.dumps(body),
        timeout=CALL_TIMEOUT,
        headers=headers,
    )
    plain = reply.json()
    whole = plain.get('echo') == body['payload']
    return Answer(body['service'], identity, reply.status, whole, sent_at)


async def _submit_jobs(clients: list[httpclient.Client]) -> list[str]:
    design = {'payload': {'work_ms': 50}, 'resources': SLOT}
    bodies = [
        {
            'service': 'cuts',
            'team': 'quarry',
            'policy': 'batch',
            'tasks': [{'name': f'cut-{at}', **design} for at in range(CUTS)],
        },
        {
            'service': 'meshes',
            'team': 'chainworks',
            'policy': 'gang',
            'tasks': [{'name': f'mesh-{at}', **design} for at in range(GANG)],
        },
    ]
    found = []
    for number, body in enumerate(bodies):
        reply = await clients[number].call(
            'POST', '/v1/jobs', orjson.dumps(body), timeout=CALL_TIMEOUT
        )
        if reply.status != http.HTTPStatus.ACCEPTED:
            typer.echo(f'job refused: {reply.body.decode()}', err=True)
            continue
        found.append(reply.json()['id'])
    return found


async def _wait_jobs(
    clients: list[httpclient.Client], jobs: list[str]
) -> dict[str, str]:
    states = {}
    for job_id in jobs:
        state = 'running'
        while state not in submit.ENDED_STATES:
            await asyncio.sleep(JOB_POLL)
            reply = await clients[0].call(
                'GET', f'/v1/jobs/{job_id}', timeout=CALL_TIMEOUT
            )
            state = reply.json().get('state', 'missing')
        states[job_id] = state
    return states


async def _sample_packing(started: Trial, flood: asyncio.Task) -> float:
    """Return the highest packing seen until the flood has ended."""
    highest = _packing(started)
    while not flood.done():
        await asyncio.sleep(PACKING_INTERVAL)
        highest = max(highest, _packing(started))
    return highest


def _packing(started: Trial) -> float:
    places = [
        place
        for app in started.apps
        for place in app.owner.ledger.owned_workers.values()
    ]
    held = sum(place.allocated.slots for place in places)
    return held / sum(place.capacity.slots for place in places)


def _print_measures(
    started: Trial,
    alone: list[Answer],
    beside: list[Answer],
    packed: float,
) -> None:
    starts = {
        event.identity: event.at
        for served in started.platform.workers.values()
        for event in served.fake.events
        if event.what == 'start' and event.identity
    }
    for phase, answers in (('alone', alone), ('beside a flood', beside)):
        waits = sorted(
            starts[one.identity] - one.sent_at
            for one in answers
            if one.identity in starts
        )
        p99 = waits[int(len(waits) * P99)]
        median = statistics.median(waits)
        typer.echo(
            f'waiting time {phase}: p50 {median * 1000:.1f} ms, '
            f'p99 {p99 * 1000:.1f} ms',
        )
    kept = _answered(beside) / max(1, _answered(alone))
    usage = resource.getrusage(resource.RUSAGE_SELF)
    seconds = usage.ru_utime + usage.ru_stime
    count = len(alone) + len(beside) + FLOOD
    typer.echo(f'highest packing in the flood: {packed:.0%} of all slots held')
    typer.echo(
        f'control cost: {seconds / count * 1000:.1f} ms of processor time a '
        'request, callers and stand-ins included',
    )
    typer.echo(f'kept by other work in the flood: {kept:.0%}')


def _answered(answers: list[Answer]) -> int:
    return sum(one.status == http.HTTPStatus.OK for one in answers)
