"""Demo of the scheduler: a small cluster in one process under a sample load.

The cluster consists of a fake store, a fake host list, 24 fake workers of
different speeds in three availability zones, and eight entry hosts. All
communicate over loopback sockets. The sample contains work of both sample
users. The demo prints waiting times, the highest packing, the processor time
per request, and the share of urgent requests answered during a flood of
latency-tolerant work.
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
ENTRY_HOST_COUNT = 8
WORKER_COUNT = 24
WORKER_SPEEDS = (1, 1, 2, 4, 8, 1, 2, 1)
RACK_SIZE = 4
QUOTE_COUNT = 40
STOCK_CHECK_COUNT = 60
TILE_ORDER_COUNT = 20
FLOOD_COUNT = 300
FLOOD_WORK_MS = 60
URGENT_WORK_MS = 20
CUT_COUNT = 12
GANG_SIZE = 4
PACKING_INTERVAL_SECONDS = 0.02
MAX_CONNECTIONS = 64
CALL_TIMEOUT_SECONDS = 60.0
P99_QUANTILE = 0.99
GIB = resources.GIB
TASK_RESOURCES = {
    'slots': 1,
    'connections': 1,
    'cpus': 1,
    'memory_bytes': GIB // 4,
}
READY_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1


@attrs.define(eq=False)
class DemoCluster:
    """A running cluster: the fake platform and the entry hosts."""

    platform: fakeplatform.FakePlatform
    apps: list[entry_app.App]

    def host_addresses(self) -> list[str]:
        """Return the HTTP address of each entry host."""
        return [f'127.0.0.1:{app.http.port}' for app in self.apps]

    async def stop(self) -> None:
        """Drain the entry hosts and stop the fake platform."""
        await asyncio.gather(*(app.stop() for app in self.apps))
        await self.platform.stop()


@attrs.frozen
class RequestResult:
    """The result of one sample request.

    ``is_echo_correct`` states whether the reply echoed the payload that was
    sent. ``sent_at`` is in Unix seconds.
    """

    service: str
    identity: str
    status: int
    is_echo_correct: bool
    sent_at: float


async def run_demo(*, serve: bool, port: int, seed: int) -> bool:
    """Run the demo and return whether all work succeeded.

    With ``serve``, keep the cluster running afterwards until SIGTERM or
    SIGINT. ``port`` is that of the first entry host; zero picks a free one.
    """
    rng = random.Random(seed)
    cluster = await start_cluster(port)
    typer.echo(f'entry hosts: {" ".join(cluster.host_addresses())}')
    succeeded = await _run_sample(cluster, rng)
    if serve:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopped.set)
        typer.echo('serving until SIGTERM')
        await stopped.wait()
    await cluster.stop()
    typer.echo('all work succeeded' if succeeded else 'some work failed')
    return succeeded


async def start_cluster(port: int = 0) -> DemoCluster:
    """Start the cluster with the sample configuration.

    Return once every entry host is ready and every worker has an owner.
    """
    eliot.add_destinations(lambda _: None)
    ports = free_ports.find_free_ports(ENTRY_HOST_COUNT)
    names = [f'entry-{number}' for number in range(ENTRY_HOST_COUNT)]
    entries = [
        hostlist.Host(
            name,
            hostlist.ENTRY,
            _choose_zone(number),
            f'rack-e{number}',
            f'127.0.0.1:{ports[number]}',
        )
        for number, name in enumerate(names)
    ]
    platform = await fakeplatform.start(_plan_workers(), entries)
    config_store = store.HttpStore(platform.store.address)
    await client.apply_config(config_store, sample_config(), 0)
    await config_store.close()
    apps = [
        entry_app.build(_create_settings(number, entries, platform, port))
        for number in range(ENTRY_HOST_COUNT)
    ]
    await asyncio.gather(*(app.start() for app in apps))
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        await asyncio.gather(*(app.wait_until_ready() for app in apps))
        while (
            sum(len(app.owner.ledger.owned_workers) for app in apps)
            < WORKER_COUNT
        ):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return DemoCluster(platform, apps)


def sample_config() -> str:
    """Return the sample operator configuration as YAML text."""
    files = package_files.files('jujubebend_ctl')
    return (files / 'sample.yaml').read_text()


def _choose_zone(number: int) -> str:
    return ZONES[number % len(ZONES)]


def _plan_workers() -> list[fakeplatform.WorkerPlan]:
    return [
        fakeplatform.WorkerPlan(
            f'worker-{number:02d}',
            _choose_zone(number),
            f'rack-{_choose_zone(number)}{number // len(ZONES) // RACK_SIZE}',
            WORKER_SPEEDS[number % len(WORKER_SPEEDS)],
        )
        for number in range(WORKER_COUNT)
    ]


def _create_settings(
    number: int,
    entries: list[hostlist.Host],
    platform: fakeplatform.FakePlatform,
    port: int,
) -> settings.Settings:
    own_entry = entries[number]
    return settings.Settings(
        name=own_entry.name,
        zone=own_entry.zone,
        zones=list(ZONES),
        store=platform.store.address,
        host_list=platform.hosts.address,
        http=settings.Listen(port=port if number == 0 else 0),
        grpc=settings.Listen(port=int(own_entry.address.rpartition(':')[2])),
        peers=[
            settings.Peer(entry.name, entry.zone, entry.address)
            for entry in entries
            if entry is not own_entry
        ],
        drain_notice_ms=0,
    )


async def _run_sample(cluster: DemoCluster, rng: random.Random) -> bool:
    clients = [
        httpclient.Client(host, MAX_CONNECTIONS)
        for host in cluster.host_addresses()
    ]
    try:
        job_ids = await _submit_jobs(clients)
        baseline_results = await _send_urgent(clients, rng, 'alone')
        flood = asyncio.create_task(_send_flood(clients))
        highest_packing = asyncio.create_task(
            _measure_highest_packing(cluster, flood)
        )
        flood_results = await _send_urgent(clients, rng, 'beside')
        await flood
        job_states = await _wait_for_jobs(clients, job_ids)
    finally:
        for host_client in clients:
            await host_client.close()
    request_results = [*baseline_results, *flood_results]
    for result in request_results:
        typer.echo(f'{result.service} {result.identity}: {result.status}')
    for job_id, state in job_states.items():
        typer.echo(f'job {job_id}: {state}')
    _print_measurements(
        cluster, baseline_results, flood_results, await highest_packing
    )
    are_jobs_done = all(state == 'done' for state in job_states.values())
    return are_jobs_done and all(
        result.status == http.HTTPStatus.OK and result.is_echo_correct
        for result in request_results
    )


async def _send_urgent(
    clients: list[httpclient.Client], rng: random.Random, phase: str
) -> list[RequestResult]:
    workloads = [
        ('quotes', 'sales', True, QUOTE_COUNT),
        ('stock', 'counter', True, STOCK_CHECK_COUNT),
        ('tiles', 'portal', False, TILE_ORDER_COUNT),
    ]
    pending_requests = []
    for service, team, idempotent, count in workloads:
        for number in range(count):
            identity = f'{phase}-{service}-{number}'
            body = _create_request(
                service, team, 'urgent', identity, URGENT_WORK_MS
            )
            body['idempotent'] = idempotent
            host_client = rng.choice(clients)
            pending_requests.append(
                _send_request(host_client, body, rng.uniform(0, 1))
            )
    return await asyncio.gather(*pending_requests)


async def _send_flood(clients: list[httpclient.Client]) -> list[RequestResult]:
    pending_requests = []
    for number in range(FLOOD_COUNT):
        identity = f'flood-{number}'
        body = _create_request(
            'meshes', 'chainworks', 'patient', identity, FLOOD_WORK_MS
        )
        pending_requests.append(
            _send_request(clients[number % len(clients)], body, 0)
        )
    return await asyncio.gather(*pending_requests)


def _create_request(
    service: str, team: str, work_class: str, identity: str, work_ms: int
) -> dict:
    return {
        'service': service,
        'team': team,
        'class': work_class,
        'deadline_ms': 30_000,
        'resources': TASK_RESOURCES,
        'idempotent': True,
        'payload': {'identity': identity, 'work_ms': work_ms},
    }


async def _send_request(
    host_client: httpclient.Client, body: dict, delay: float
) -> RequestResult:
    await asyncio.sleep(delay)
    identity = body['payload']['identity']
    headers = {'idempotency-key': identity}
    sent_at = time.time()
    reply = await host_client.call(
        'POST',
        '/v1/requests',
        orjson.dumps(body),
        timeout=CALL_TIMEOUT_SECONDS,
        headers=headers,
    )
    document = reply.json()
    is_echo_correct = document.get('echo') == body['payload']
    return RequestResult(
        body['service'], identity, reply.status, is_echo_correct, sent_at
    )


async def _submit_jobs(clients: list[httpclient.Client]) -> list[str]:
    template = {'payload': {'work_ms': 50}, 'resources': TASK_RESOURCES}
    bodies = [
        {
            'service': 'cuts',
            'team': 'quarry',
            'policy': 'batch',
            'tasks': [
                {'name': f'cut-{index}', **template}
                for index in range(CUT_COUNT)
            ],
        },
        {
            'service': 'meshes',
            'team': 'chainworks',
            'policy': 'gang',
            'tasks': [
                {'name': f'mesh-{index}', **template}
                for index in range(GANG_SIZE)
            ],
        },
    ]
    job_ids = []
    for number, body in enumerate(bodies):
        reply = await clients[number].call(
            'POST', '/v1/jobs', orjson.dumps(body), timeout=CALL_TIMEOUT_SECONDS
        )
        if reply.status != http.HTTPStatus.ACCEPTED:
            typer.echo(f'job refused: {reply.body.decode()}', err=True)
            continue
        job_ids.append(reply.json()['id'])
    return job_ids


async def _wait_for_jobs(
    clients: list[httpclient.Client], job_ids: list[str]
) -> dict[str, str]:
    states = {}
    for job_id in job_ids:
        state = 'running'
        while state not in submit.ENDED_STATES:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            reply = await clients[0].call(
                'GET', f'/v1/jobs/{job_id}', timeout=CALL_TIMEOUT_SECONDS
            )
            state = reply.json().get('state', 'missing')
        states[job_id] = state
    return states


async def _measure_highest_packing(
    cluster: DemoCluster, flood: asyncio.Task
) -> float:
    """Return the highest packing until the flood has ended.

    Packing is the share of the slots of all workers that is allocated.
    """
    highest = _compute_packing(cluster)
    while not flood.done():
        await asyncio.sleep(PACKING_INTERVAL_SECONDS)
        highest = max(highest, _compute_packing(cluster))
    return highest


def _compute_packing(cluster: DemoCluster) -> float:
    workers = [
        worker
        for app in cluster.apps
        for worker in app.owner.ledger.owned_workers.values()
    ]
    allocated = sum(worker.allocated.slots for worker in workers)
    return allocated / sum(worker.capacity.slots for worker in workers)


def _print_measurements(
    cluster: DemoCluster,
    baseline_results: list[RequestResult],
    flood_results: list[RequestResult],
    highest_packing: float,
) -> None:
    started_at = {
        event.identity: event.at
        for served_worker in cluster.platform.workers.values()
        for event in served_worker.fake.events
        if event.what == 'start' and event.identity
    }
    for phase, phase_results in (
        ('alone', baseline_results),
        ('beside a flood', flood_results),
    ):
        waits = sorted(
            started_at[result.identity] - result.sent_at
            for result in phase_results
            if result.identity in started_at
        )
        p99 = waits[int(len(waits) * P99_QUANTILE)]
        median = statistics.median(waits)
        typer.echo(
            f'waiting time {phase}: p50 {median * 1000:.1f} ms, '
            f'p99 {p99 * 1000:.1f} ms',
        )
    answered_share = _count_answered(flood_results) / max(
        1, _count_answered(baseline_results)
    )
    usage = resource.getrusage(resource.RUSAGE_SELF)
    cpu_seconds = usage.ru_utime + usage.ru_stime
    request_count = len(baseline_results) + len(flood_results) + FLOOD_COUNT
    typer.echo(
        f'highest packing during the flood: {highest_packing:.0%} of all slots'
    )
    typer.echo(
        f'control cost: {cpu_seconds / request_count * 1000:.1f} ms of '
        'processor time per request, callers and fake platform included',
    )
    typer.echo(
        'urgent requests answered during the flood, relative to before: '
        f'{answered_share:.0%}'
    )


def _count_answered(request_results: list[RequestResult]) -> int:
    return sum(
        result.status == http.HTTPStatus.OK for result in request_results
    )
