"""Real daemons on the emulated platform: waves, operator CLI, odd entries."""

from __future__ import annotations

import asyncio
import base64
import sys

import orjson
import pytest

from jujubebend import errors
from jujubebend_standin import ports
from jujubebend_standin.emulator import checks, localcluster
from tests.emulator import harness

WAVE = {'wave': 1, 'within_s': 12, 'max_count': 1}
COMPLETION_LIMIT_SECONDS = 60


async def _read_wave_status(cluster):
    item = cluster.store.items.get('status/wave/1')
    return orjson.loads(base64.b64decode(item['value'])) if item else {}


async def _wait_until_completed(cluster):
    async with asyncio.timeout(COMPLETION_LIMIT_SECONDS):
        while (await _read_wave_status(cluster)).get('state') != 'completed':
            await asyncio.sleep(0.1)


def test_wave_maintains_every_machine_once_without_losing_jobs(tmp_path):
    async def main():
        async with harness.run_cluster(tmp_path, 2, 3) as (cluster, load):
            names = list(cluster.machine_service.machines)
            cluster.store.put('op/wave/1', {**WAVE, 'machines': names})
            async with asyncio.TaskGroup() as group:
                for _ in range(20):
                    group.create_task(load.submit_job(2, 1_000, 0.3))
                    await asyncio.sleep(0.1)
            await _wait_until_completed(cluster)
            await load.wait_until_ended()
            machines = cluster.machine_service.machines.values()
            assert all(machine.waves == {1} for machine in machines)
            assert cluster.machine_service.peak_down == 1
            assert len(cluster.machine_service.fencing_tokens) == len(names)
            assert not checks.find_violations(cluster, load)

    asyncio.run(main())


async def _run_ctl(*arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'jujubebend_ctl.main',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return output.decode()


def test_ctl_shows_hosts_and_workers_of_running_daemon(tmp_path):
    async def main():
        async with harness.run_cluster(tmp_path, 1, 2) as (cluster, load):
            job = await load.submit_job(1, 1_000, 0.1)
            await load.wait_until_ended()
            assert job.state == 'completed'
            address = cluster.hosts[0].state_address
            status = await _run_ctl('status', '--host', address)
            assert 'host-0' in status
            assert cluster.workers[0].name in status
            state = orjson.loads(await _run_ctl('state', address))
            assert state['config_revision'] == 1

    asyncio.run(main())


def _odd_entries():
    """Yield entries of another writer, which names no worker to use."""
    entry = {
        'service': 'svc',
        'address': '127.0.0.1:9',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 8_000, 'mem_mb': 1_000, 'gpu': 0},
        'labels': ['a', 'r1'],
        'born': 1,
    }
    nested = b'[' * 1000 + b']' * 1000
    for field, raw_text in (
        ('zone', nested),
        ('born', nested),
        ('labels', nested),
        ('capacity', nested),
        ('born', b'1e400'),
        ('zone', b'9' * 5000),
        ('capacity', b'{"cpu":9223372036854775807}'),
        ('address', b'"127.0.0.1:70000"'),
        ('address', b'"a..b:80"'),
        ('state', b'"asleep"'),
    ):
        yield orjson.dumps(entry | {field: '@'}).replace(b'"@"', raw_text)
    yield orjson.dumps(entry)[:-5]
    yield b'\xff\xfe\x00'
    yield b''


def test_odd_worker_entries_stop_no_daemon_and_hide_no_worker(tmp_path):
    """Guards against readers of the entries that end or stop following them.

    Jobs are served with the odd entries in place, and a worker that registers
    after them is used.
    """

    async def main():
        async with harness.run_cluster(tmp_path, 2, 1) as (cluster, load):
            for number, body in enumerate(_odd_entries()):
                cluster.store.put_bytes(f'servers/odd-{number}', body)
                await asyncio.sleep(0.05)
            cluster.store.put('servers/i-\xe9\u2603', {})
            added = await cluster._add_worker(8_000)
            await asyncio.sleep(1)
            async with asyncio.timeout(COMPLETION_LIMIT_SECONDS):
                for _ in range(4):
                    await load.submit_job(4, 4_000, 0.3)
                await load.wait_until_ended()
            assert all(job.state == 'completed' for job in load.jobs.values())
            assert added.runs
            assert all(
                host.process.returncode is None for host in cluster.hosts
            )
            logs = ''.join(host.log_file.read_text() for host in cluster.hosts)
            assert '"deposed"' not in logs

    asyncio.run(main())


def test_hosts_of_a_large_cluster_get_ports_of_their_own():
    count = localcluster.PORTS_PER_HOST
    taken = set()
    for _ in range(300):
        first = ports.find_free_port_range(count)
        assert taken.isdisjoint(range(first, first + count))
        taken.update(range(first, first + count))


def test_a_daemon_that_exits_early_fails_the_start(tmp_path):
    async def main():
        cluster = localcluster.LocalCluster(tmp_path)
        host = cluster._create_host('host-0', '127.0.0.1:1')
        host.settings.write_text('not settings')
        await host.start()
        async with asyncio.timeout(COMPLETION_LIMIT_SECONDS):
            await localcluster.wait_until_ready(host)

    with pytest.raises(errors.UnreachableError, match='host-0 ended'):
        asyncio.run(main())
