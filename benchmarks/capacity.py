"""``python -m benchmarks.capacity``: the measurements behind docs/CAPACITY.md.

Runs the real daemons against a fake platform on this machine. It measures the
processor time, memory and network bytes of one entry host by the number of its
workers and by the number of its peers, and the cost of a request. Run nothing
else on the machine at the same time: the bytes are those of the whole loopback
interface.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import tempfile
import tracemalloc

import attrs
import orjson
import typer

from jujubebend import policy, queue, records, resources
from jujubebend_http import httpclient
from scenarios.runner import cluster, load

WORKER_COUNTS = (5, 50, 100, 150)
ENTRY_HOST_COUNTS = (1, 4, 8)
WARM_UP_SECONDS = 3
MEASURE_SECONDS = 12
REQUEST_COUNT = 600
MAX_CONCURRENT_REQUESTS = 16
OBJECT_COUNT = 5000
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class ProcessSample:
    """CPU time and resident memory of a process, and loopback bytes sent."""

    cpu_seconds: float
    resident_bytes: int
    loopback_bytes: int

    @classmethod
    def take(cls, pid: int) -> ProcessSample:
        """Take a sample of a process, given its ID."""
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        resident_bytes = next(
            int(line.split()[1]) * 1024
            for line in status.splitlines()
            if line.startswith('VmRSS')
        )
        devices = pathlib.Path('/proc/net/dev').read_text()
        loopback = next(
            line for line in devices.splitlines() if ' lo:' in f' {line}'
        )
        loopback_bytes = int(loopback.partition(':')[2].split()[8])
        cpu_seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
        return cls(cpu_seconds, resident_bytes, loopback_bytes)


async def _start_cluster(entries: int, workers: int) -> cluster.Cluster:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='capacity-'))
    test_cluster = cluster.Cluster(
        folder, entries, workers, ('a',), one_process_for_workers=True
    )
    test_cluster.config_text = test_cluster.config_text.replace(
        'replicas: 3', 'replicas: 0'
    ).replace('replicas: 2', 'replicas: 0')
    await test_cluster.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    return test_cluster


async def _measure_idle(entries: int, workers: int) -> dict:
    test_cluster = await _start_cluster(entries, workers)
    try:
        pid = test_cluster.processes['entry-0'].popen.pid
        counts_before = await test_cluster.fetch_store_counts()
        before = ProcessSample.take(pid)
        await asyncio.sleep(MEASURE_SECONDS)
        after = ProcessSample.take(pid)
        counts_after = await test_cluster.fetch_store_counts()
    finally:
        test_cluster.close()
    reads = counts_after['reads'] - counts_before['reads']
    return {
        'entries': entries,
        'workers': workers,
        'core_percent': 100
        * (after.cpu_seconds - before.cpu_seconds)
        / MEASURE_SECONDS,
        'resident_mb': after.resident_bytes / 1e6,
        'loopback_bytes_s': (after.loopback_bytes - before.loopback_bytes)
        / MEASURE_SECONDS,
        'store_reads_s': reads / MEASURE_SECONDS,
    }


async def _measure_requests(*, keyed: bool) -> dict:
    test_cluster = await _start_cluster(1, 12)
    try:
        pid = test_cluster.processes['entry-0'].popen.pid
        counts_before = await test_cluster.fetch_store_counts()
        before = ProcessSample.take(pid)
        client = httpclient.Client(
            test_cluster.addresses['entry-0'], MAX_CONCURRENT_REQUESTS
        )
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def send_limited(number: int) -> int:
            async with semaphore:
                return await _send_request(client, number, keyed=keyed)

        requests = (send_limited(number) for number in range(REQUEST_COUNT))
        statuses = await asyncio.gather(*requests)
        after = ProcessSample.take(pid)
        counts_after = await test_cluster.fetch_store_counts()
        await client.close()
    finally:
        test_cluster.close()
    return {
        'keyed': keyed,
        'answered': statuses.count(200),
        'cpu_ms_a_request': 1000
        * (after.cpu_seconds - before.cpu_seconds)
        / REQUEST_COUNT,
        'writes_a_request': (counts_after['writes'] - counts_before['writes'])
        / REQUEST_COUNT,
    }


async def _send_request(
    client: httpclient.Client, number: int, *, keyed: bool
) -> int:
    body = {
        'service': 'tiles',
        'team': 'portal',
        'class': 'urgent',
        'deadline_ms': 30_000,
        'resources': load.TASK_RESOURCES,
        'idempotent': not keyed,
        'payload': {'identity': f'c{number}', 'work_ms': 5},
    }
    reply = await client.call(
        'POST',
        '/v1/requests',
        orjson.dumps(body),
        timeout=60,
        headers={'idempotency-key': f'c{number}'},
    )
    return reply.status


def _measure_object_bytes() -> dict:
    """Return the memory of one waiting ticket and one open record."""
    measurements = {}
    tracemalloc.start()
    rng = random.Random(1)
    before = tracemalloc.get_traced_memory()[0]
    tickets = [
        queue.Ticket(
            f'{rng.random()}',
            'k',
            't',
            resources.Resources(1, 1),
            policy.Prompt(),
            float(number),
            float(number),
        )
        for number in range(OBJECT_COUNT)
    ]
    after = tracemalloc.get_traced_memory()[0]
    measurements['ticket_bytes'] = (after - before) / len(tickets)
    record_table = records.Records()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(OBJECT_COUNT):
        record_table.apply(
            records.Accepted(
                f'r.{number}', records.REQUEST, ['run'], '', f'd{number}', 1
            )
        )
    after = tracemalloc.get_traced_memory()[0]
    measurements['record_bytes'] = (after - before) / len(record_table.by_id)
    encoded = orjson.dumps(records.encode_record(record_table.by_id['r.1']))
    measurements['record_journal_bytes'] = len(encoded)
    tracemalloc.stop()
    return measurements


async def _main() -> None:
    typer.echo(orjson.dumps(_measure_object_bytes()).decode())
    for workers in WORKER_COUNTS:
        typer.echo(orjson.dumps(await _measure_idle(1, workers)).decode())
    for entries in ENTRY_HOST_COUNTS:
        typer.echo(orjson.dumps(await _measure_idle(entries, 8)).decode())
    for keyed in (False, True):
        typer.echo(orjson.dumps(await _measure_requests(keyed=keyed)).decode())


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
