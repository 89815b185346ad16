"""Runs the daemons of the deploy file beside the emulated platform.

A case gets a cluster of separate daemon processes on loopback addresses, with
the settings of a small deployment. Callers' requests, the starts that workers
accept and the ends of runs are written to ``record.txt`` of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import sys
import tempfile
import time
import typing
from collections import abc

import orjson

from jujubebend import errors
from jujubebend_http import httpclient
from jujubebend_standin.emulator import localcluster, worker

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FINISH_S = 14.0  # bound finish_s of the small deployments
CALL_TIMEOUT_S = 3.0
STORE_LATENCY_S = 0.004
HOST_NAME = 'callers.example'

# The bounds of the small deployments that the daemon reads.
localcluster.SETTINGS_TEMPLATE = localcluster.SETTINGS_TEMPLATE.replace(
    'lease_ms = 1000', 'lease_ms = 3000'
).replace('heartbeat_ms = 1000', 'heartbeat_ms = 1500')


class RecordedWorker(worker.EmulatedWorker):
    """An emulated worker that records its starts and ends.

    A stop takes ``stop_s``; the pages allow up to 0.9 s.
    """

    record: typing.ClassVar[abc.Callable[[str], None]]
    stop_s: typing.ClassVar[float] = 0.5

    def _stop_run(self, document: dict) -> object:
        task, number = document['task'], document['run']
        current = self.running.get(task)
        self.record(
            f'{self.name} told to stop {task} run {number} '
            f'token {document["fencing_token"]}'
        )
        if current is None or current.number != number:
            return super()._stop_run(document)
        self.highest_run_numbers[task] = max(
            number, self.highest_run_numbers.get(task, 0)
        )
        asyncio.get_running_loop().call_later(
            self.stop_s, self._finish_stop, current
        )
        return self._build_reply(200)

    def _finish_stop(self, run: worker.Run) -> None:
        self._end_due_runs()
        if self.running.get(run.task) is run:
            self._end_run(run, 'stopped', time.monotonic())

    def crash(self) -> None:
        """Crash and start again under the same ID."""
        self.record(
            f'{self.name} crashes; {len(self.running)} runs are lost'
        )
        super().crash()
        self.incarnation = round(time.time() * 1000)

    async def _start_run(self, document: dict) -> object:
        reply = await super()._start_run(document)
        self.record(
            f'{self.name} start {document["task"]} run {document["run"]} '
            f'token {document["fencing_token"]} -> {reply.status}'
        )
        return reply

    def _end_run(self, run: worker.Run, outcome: str, ended_at: float) -> None:
        super()._end_run(run, outcome, ended_at)
        self.record(f'{self.name} ended {run.task} run {run.number} {outcome}')


worker.EmulatedWorker = RecordedWorker


class Case:
    """A cluster, its callers and the record of what they saw."""

    def __init__(self, folder: pathlib.Path, scratch: pathlib.Path) -> None:
        """Open the record in the folder of the case."""
        self.cluster = localcluster.LocalCluster(scratch)
        RecordedWorker.record = self.record
        self.began_at = time.monotonic()
        self._record = (folder / 'record.txt').open('w')
        self._clients: dict[str, httpclient.Client] = {}
        self._rng = random.Random()  # noqa: S311
        self.workers: list[worker.EmulatedWorker] = []

    def record(self, line: str) -> None:
        """Write one line with the seconds since the case began."""
        elapsed = time.monotonic() - self.began_at
        self._record.write(f'{elapsed:8.3f} {line}\n')
        self._record.flush()

    async def start(self, hosts: int, workers: int, cpu: int) -> None:
        """Start the platform and the daemons."""
        await self.cluster.start(hosts, workers, cpu)
        self.cluster.store.faults.delay = STORE_LATENCY_S
        self.workers = self.cluster.workers
        self.record(f'started {hosts} hosts and {workers} workers')

    async def call(
        self,
        method: str,
        target: str,
        document: object = None,
        host: localcluster.Host | None = None,
    ) -> tuple[int, dict]:
        """Send a caller's request; the status is 0 if there is no answer."""
        host = host or self._rng.choice(self.cluster.hosts)
        client = self._clients.setdefault(
            host.api_address, httpclient.Client(host.api_address, 32)
        )
        body = b'' if document is None else orjson.dumps(document)
        headers = {
            'host': HOST_NAME,
            'content-type': 'application/json',
            'x-deadline-ms': str(round(CALL_TIMEOUT_S * 1000)),
        }
        try:
            reply = await client.call(
                method, target, body, timeout=CALL_TIMEOUT_S, headers=headers
            )
        except errors.JujubebendError as exc:
            self.record(f'{host.name} {method} {target} -> none ({exc})')
            return 0, {}
        text = reply.body.decode(errors='replace')
        self.record(f'{host.name} {method} {target} -> {reply.status} {text}')
        with contextlib.suppress(ValueError):
            return reply.status, orjson.loads(reply.body)
        return reply.status, {}

    async def submit(
        self,
        steps: list[dict],
        spec: str,
        prefix: str = '/q/',
        job: str | None = None,
    ) -> tuple[str, bool]:
        """Submit a job as clients do; return its ID, and if it was accepted."""
        job = job or f'{self._rng.getrandbits(64):016x}'
        for _ in range(5):
            status, _ = await self.call(
                'POST', prefix + job, {'spec': spec, 'steps': steps}
            )
            if 200 <= status < 300:
                return job, True
            await asyncio.sleep(0.3)
        return job, False

    async def find_state(self, job: str, prefix: str = '/q/') -> str:
        """Ask for a job's state until it is answered; return it."""
        for _ in range(5):
            status, document = await self.call('GET', prefix + job)
            if status == 200:
                return document.get('state', '')
            if status == 410:
                return 'unknown to the system (410)'
            await asyncio.sleep(0.3)
        return f'no answer ({status})'

    def leader_record(self) -> dict:
        """Return the leader record as the store holds it."""
        import base64  # noqa: PLC0415

        item = self.cluster.store.items.get('lead')
        return orjson.loads(base64.b64decode(item['value'])) if item else {}

    def leader(self) -> localcluster.Host:
        """Return the host that the store names as the leader."""
        name = self.leader_record().get('host')
        return next(host for host in self.cluster.hosts if host.name == name)

    def runs_of(self, job: str) -> list[tuple[str, worker.Run]]:
        """Return every run of a job's tasks with the name of its worker."""
        return [
            (emulated.name, run)
            for emulated in self.workers
            for run in emulated.runs
            if run.task.startswith(f'{job}.')
        ]

    def overlapping_runs(self) -> list[str]:
        """Return a violation for each two runs of a task at the same time."""
        now = time.monotonic()
        runs_by_task: dict[str, list] = {}
        for emulated in self.workers:
            for run in emulated.runs:
                end = now if run.ended_at is None else run.ended_at
                runs_by_task.setdefault(run.task, []).append(
                    (run.started_at, end, run.number, emulated.name, run)
                )
        violations = []
        for task, runs in runs_by_task.items():
            runs.sort(key=lambda row: row[0])
            for first, second in itertools.pairwise(runs):
                overlap = min(first[1], second[1]) - second[0]
                if overlap > 0:
                    violations.append(
                        f'TWICE: {task} ran as run {first[2]} on {first[3]} '
                        f'and as run {second[2]} on {second[3]} at the same '
                        f'time, for {overlap:.3f} s ({first[4].outcome}, '
                        f'{second[4].outcome})'
                    )
        return violations

    async def stop(self) -> None:
        """End every process that the case started."""
        for client in self._clients.values():
            await client.close()
        await self.cluster.stop()


def run(
    file: str, play: abc.Callable[[Case], abc.Awaitable[list[str]]]
) -> None:
    """Run a case and exit with its result.

    ``play`` returns the violations that it saw.
    """
    folder = pathlib.Path(file).parent

    async def main() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            case = Case(folder, pathlib.Path(scratch))
            try:
                async with asyncio.timeout(115):
                    violations = await play(case)
            except Exception as exc:  # noqa: BLE001
                case.record(f'the case could not run: {exc!r}')
                sys.stderr.write(f'could not run: {exc!r}\n')
                return COULD_NOT_RUN
            finally:
                keep = os.environ.get('KEEP_LOGS')
                await case.stop()
                if keep:
                    for log in pathlib.Path(scratch).glob('*.log'):
                        (pathlib.Path(keep) / log.name).write_bytes(
                            log.read_bytes()
                        )
            for violation in violations:
                case.record(f'BROKEN {violation}')
                sys.stdout.write(f'{violation}\n')
            case.record('rule broken' if violations else 'rule held')
            sys.stdout.write(
                'rule broken\n' if violations else 'rule held\n'
            )
            return BROKEN if violations else HELD

    sys.exit(asyncio.run(main()))
