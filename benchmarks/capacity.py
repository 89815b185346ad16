"""``python -m benchmarks.capacity``: the slopes behind docs/CAPACITY.md.

Real daemons with stand-ins on this machine: processor time, memory and bytes
of one entry host by number of workers it owns, of hosts by number of peers,
and the cost of a request. Run it with nothing else on the machine: bytes are
those of the whole loopback interface.
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

WORKER_POINTS = (5, 50, 100, 150)
PEER_POINTS = (1, 4, 8)
QUIET_SECONDS = 3
SECONDS = 12
REQUESTS = 600
AT_ONCE = 16
OBJECTS = 5000
TICKS = os.sysconf('SC_CLK_TCK')


@attrs.frozen
class Sample:
    """Processor seconds, resident bytes and loopback bytes at one moment."""

    seconds: float
    resident: int
    sent: int

    @classmethod
    def take(cls, pid: int) -> Sample:
        """Read the sample of one process."""
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        resident = next(
            int(line.split()[1]) * 1024
            for line in status.splitlines()
            if line.startswith('VmRSS')
        )
        devices = pathlib.Path('/proc/net/dev').read_text()
        loopback = next(
            line for line in devices.splitlines() if ' lo:' in f' {line}'
        )
        sent = int(loopback.partition(':')[2].split()[8])
        seconds = (int(fields[11]) + int(fields[12])) / TICKS
        return cls(seconds, resident, sent)


async def _started(entries: int, workers: int) -> cluster.Cluster:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='capacity-'))
    made = cluster.Cluster(
        folder, entries, workers, ('a',), one_process_for_workers=True
    )
    made.config_text = made.config_text.replace(
        'replicas: 3', 'replicas: 0'
    ).replace('replicas: 2', 'replicas: 0')
    await made.start()
    await asyncio.sleep(QUIET_SECONDS)
    return made


async def _idle(entries: int, workers: int) -> dict:
    made = await _started(entries, workers)
    try:
        pid = made.processes['entry-0'].popen.pid
        counted = await made.fetch_store_counts()
        before = Sample.take(pid)
        await asyncio.sleep(SECONDS)
        after = Sample.take(pid)
        calls = await made.fetch_store_counts()
    finally:
        made.close()
    reads = calls['reads'] - counted['reads']
    return {
        'entries': entries,
        'workers': workers,
        'core_percent': 100 * (after.seconds - before.seconds) / SECONDS,
        'resident_mb': after.resident / 1e6,
        'loopback_bytes_s': (after.sent - before.sent) / SECONDS,
        'store_reads_s': reads / SECONDS,
    }


async def _requests(*, keyed: bool) -> dict:
    made = await _started(1, 12)
    try:
        pid = made.processes['entry-0'].popen.pid
        counted = await made.fetch_store_counts()
        before = Sample.take(pid)
        one = httpclient.Client(made.addresses['entry-0'], AT_ONCE)
        room = asyncio.Semaphore(AT_ONCE)

        async def send(number: int) -> int:
            async with room:
                return await _send(one, number, keyed=keyed)

        sends = (send(number) for number in range(REQUESTS))
        statuses = await asyncio.gather(*sends)
        after = Sample.take(pid)
        calls = await made.fetch_store_counts()
        await one.close()
    finally:
        made.close()
    return {
        'keyed': keyed,
        'answered': statuses.count(200),
        'cpu_ms_a_request': 1000 * (after.seconds - before.seconds) / REQUESTS,
        'writes_a_request': (calls['writes'] - counted['writes']) / REQUESTS,
    }


async def _send(one: httpclient.Client, number: int, *, keyed: bool) -> int:
    body = {
        'service': 'tiles',
        'team': 'portal',
        'class': 'urgent',
        'deadline_ms': 30_000,
        'resources': load.TASK_RESOURCES,
        'idempotent': not keyed,
        'payload': {'identity': f'c{number}', 'work_ms': 5},
    }
    reply = await one.call(
        'POST',
        '/v1/requests',
        orjson.dumps(body),
        timeout=60,
        headers={'idempotency-key': f'c{number}'},
    )
    return reply.status


def _object_bytes() -> dict:
    """Return the memory of one waiting ticket and one open record."""
    found = {}
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
        for number in range(OBJECTS)
    ]
    after = tracemalloc.get_traced_memory()[0]
    found['ticket_bytes'] = (after - before) / len(tickets)
    kept = records.Records()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(OBJECTS):
        kept.apply(
            records.Accepted(
                f'r.{number}', records.REQUEST, ['run'], '', f'd{number}', 1
            )
        )
    after = tracemalloc.get_traced_memory()[0]
    found['record_bytes'] = (after - before) / len(kept.by_id)
    encoded = orjson.dumps(records.encode_record(kept.by_id['r.1']))
    found['record_journal_bytes'] = len(encoded)
    tracemalloc.stop()
    return found


async def _main() -> None:
    typer.echo(orjson.dumps(_object_bytes()).decode())
    for workers in WORKER_POINTS:
        typer.echo(orjson.dumps(await _idle(1, workers)).decode())
    for entries in PEER_POINTS:
        typer.echo(orjson.dumps(await _idle(entries, 8)).decode())
    for keyed in (False, True):
        typer.echo(orjson.dumps(await _requests(keyed=keyed)).decode())


if __name__ == '__main__':
    sys.exit(asyncio.run(_main()))
