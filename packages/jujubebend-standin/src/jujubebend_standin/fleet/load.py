"""A load tool: submits jobs as callers do, and remembers what it was told."""

from __future__ import annotations

import asyncio
import http
import random

import attrs
import orjson

from jujubebend import errors
from jujubebend_http import httpclient
from jujubebend_standin.fleet import site

ATTEMPTS = 4
ID_BITS = 64
CONNECTIONS = 32  # to each host
WAIT = 3.0  # seconds that a caller waits for an answer
PAUSE = 0.3  # seconds between attempts
ENDED = frozenset(('completed', 'failed', 'cancelled'))


@attrs.define(eq=False)
class Told:
    """What callers were told of one job."""

    job: str
    cpu: int
    tasks: int
    seconds: float
    accepted: bool = False
    unsure: bool = False
    state: str = ''


@attrs.define(eq=False)
class Load:
    """Callers of a site."""

    place: site.Site
    chance: random.Random
    jobs: dict[str, Told] = attrs.field(factory=dict)
    _clients: dict[str, httpclient.Client] = attrs.field(factory=dict)

    async def submit(self, tasks: int, cpu: int, seconds: float) -> Told:
        """Submit one job, trying again as callers do."""
        told = Told(
            f'{self.chance.getrandbits(ID_BITS):016x}', cpu, tasks, seconds
        )
        self.jobs[told.job] = told
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
        for _ in range(ATTEMPTS):
            status = await self._call('POST', told.job, body)
            if status is None or status == http.HTTPStatus.GATEWAY_TIMEOUT:
                told.unsure = True
            elif status == http.HTTPStatus.OK:
                told.accepted = True
                break
            await asyncio.sleep(PAUSE)
        return told

    async def settle(self) -> None:
        """Ask for each accepted job until it has ended."""
        await asyncio.gather(
            *(self._settle(one) for one in self.jobs.values() if one.accepted)
        )

    async def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            await client.close()

    async def _settle(self, told: Told) -> None:
        while told.state not in ENDED:
            reply = await self._reply('GET', told.job, b'')
            if reply is not None and reply.status == http.HTTPStatus.OK:
                told.state = reply.json()['state']
            elif reply is not None and reply.status == http.HTTPStatus.GONE:
                told.state = 'unknown to the system'
                return
            await asyncio.sleep(PAUSE)

    async def _call(self, method: str, job: str, body: bytes) -> int | None:
        reply = await self._reply(method, job, body)
        return reply.status if reply else None

    async def _reply(self, method: str, job: str, body: bytes):  # noqa: ANN202
        host = self.chance.choice(self.place.hosts)
        client = self._clients.setdefault(
            host.front,
            httpclient.Client(host.front, max_connections=CONNECTIONS),
        )
        headers = {
            'host': 'callers.example',
            'x-deadline-ms': str(round(WAIT * 1_000)),
        }
        try:
            return await client.call(
                method, f'/q/{job}', body, timeout=WAIT, headers=headers
            )
        except errors.NotSentError:
            return None
        except errors.UnreachableError:
            return None
