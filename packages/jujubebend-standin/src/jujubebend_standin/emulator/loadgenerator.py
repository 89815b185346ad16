"""Load generator: submits jobs as callers do and records the answers."""

from __future__ import annotations

import asyncio
import http
import random

import attrs
import orjson

from jujubebend import errors
from jujubebend_http import httpclient
from jujubebend_standin.emulator import localcluster

MAX_ATTEMPTS = 4
ID_BITS = 64
CONNECTIONS = 32  # to each host
CALL_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.3
END_STATES = frozenset(('completed', 'failed', 'cancelled'))


@attrs.define(eq=False)
class SubmittedJob:
    """A submitted job and its state as the caller knows it.

    ``seconds`` is the duration of each task. ``is_acceptance_unknown`` means
    that an attempt to submit it was not answered, or timed out on a host.
    """

    job_id: str
    cpu: int
    tasks: int
    seconds: float
    is_accepted: bool = False
    is_acceptance_unknown: bool = False
    state: str = ''


@attrs.define(eq=False)
class LoadGenerator:
    """Submits jobs to random hosts of a cluster."""

    cluster: localcluster.LocalCluster
    rng: random.Random
    jobs: dict[str, SubmittedJob] = attrs.field(factory=dict)
    _clients: dict[str, httpclient.Client] = attrs.field(factory=dict)

    async def submit_job(
        self, tasks: int, cpu: int, seconds: float
    ) -> SubmittedJob:
        """Submit a job of equal tasks, with retries.

        ``cpu`` and ``seconds`` are the allocation and duration of each task.
        """
        job = SubmittedJob(
            f'{self.rng.getrandbits(ID_BITS):016x}', cpu, tasks, seconds
        )
        self.jobs[job.job_id] = job
        body = orjson.dumps({
            'spec': f'{cpu} {seconds}',
            'steps': [
                {
                    'count': tasks,
                    'cpu': cpu,
                    'estimate_ms': round(seconds * 1_000),
                }
            ],
        })
        for _ in range(MAX_ATTEMPTS):
            status = await self._request_status('POST', job.job_id, body)
            if status is None or status == http.HTTPStatus.GATEWAY_TIMEOUT:
                job.is_acceptance_unknown = True
            elif status == http.HTTPStatus.OK:
                job.is_accepted = True
                break
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return job

    async def wait_until_ended(self) -> None:
        """Poll each accepted job until it has ended."""
        await asyncio.gather(
            *(
                self._wait_until_job_ended(job)
                for job in self.jobs.values()
                if job.is_accepted
            )
        )

    async def close_connections(self) -> None:
        """Close the connections to all hosts."""
        for client in self._clients.values():
            await client.close()

    async def _wait_until_job_ended(self, job: SubmittedJob) -> None:
        while job.state not in END_STATES:
            reply = await self._send_request('GET', job.job_id, b'')
            if reply is not None and reply.status == http.HTTPStatus.OK:
                job.state = reply.json()['state']
            elif reply is not None and reply.status == http.HTTPStatus.GONE:
                job.state = 'not found'
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _request_status(
        self, method: str, job_id: str, body: bytes
    ) -> int | None:
        reply = await self._send_request(method, job_id, body)
        return reply.status if reply else None

    async def _send_request(self, method: str, job_id: str, body: bytes):  # noqa: ANN202
        host = self.rng.choice(self.cluster.hosts)
        client = self._clients.setdefault(
            host.api_address,
            httpclient.Client(host.api_address, max_connections=CONNECTIONS),
        )
        headers = {
            'host': 'callers.example',
            'x-deadline-ms': str(round(CALL_TIMEOUT_SECONDS * 1_000)),
        }
        try:
            return await client.call(
                method,
                f'/q/{job_id}',
                body,
                timeout=CALL_TIMEOUT_SECONDS,
                headers=headers,
            )
        except errors.NotSentError:
            return None
        except errors.UnreachableError:
            return None
