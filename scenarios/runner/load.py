"""Callers of a scenario: they send, retry as callers do, and remember."""

from __future__ import annotations

import asyncio
import hashlib
import random

import attrs
import orjson

from jujubebend import errors
from jujubebend_http import httpclient
from scenarios.runner import cluster, language

MILLI = 1000
KIB = 1024
DEADLINE = 15.0
RETRY_WAIT = 0.3
TRIES = 60
BALANCER_INTERVAL = 0.2
CONNECTIONS = 64
SLOT = {'slots': 1, 'connections': 1, 'cpus': 1, 'memory_bytes': KIB * KIB}


@attrs.define
class Result:
    """What one request was told: the outcome of every try, and the last."""

    identity: str
    load: str
    keyed: bool
    outcomes: list[str] = attrs.field(factory=list)
    whole: bool = True
    reasons: list[str] = attrs.field(factory=list)

    def last(self) -> str:
        """Return the outcome of the last try."""
        return self.outcomes[-1] if self.outcomes else 'unsent'


@attrs.define(eq=False)
class Balancer:
    """Sends each request to an entry host that said it was ready."""

    cell: cluster.Cell
    rng: random.Random
    ready: list[str] = attrs.field(factory=list)
    _clients: dict[str, httpclient.Client] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Ask every host whether it is ready, until cancelled."""
        while True:
            names = self.cell.entry_names()
            checks = (self.cell.is_ready(name) for name in names)
            states = await asyncio.gather(*checks)
            pairs = zip(names, states, strict=True)
            self.ready = [name for name, is_ready in pairs if is_ready]
            await asyncio.sleep(BALANCER_INTERVAL)

    def choose(self) -> httpclient.Client | None:
        """Return a client of a ready host."""
        if not self.ready:
            return None
        name = self.rng.choice(self.ready)
        if name not in self._clients:
            address = self.cell.addresses[name]
            self._clients[name] = httpclient.Client(address, CONNECTIONS)
        return self._clients[name]

    async def close(self) -> None:
        """Close every connection."""
        for one in self._clients.values():
            await one.close()


async def run(
    plan: language.Load, balancer: Balancer, results: list[Result]
) -> None:
    """Send the requests of a load, evenly over its time."""
    step = plan.seconds / plan.count
    async with asyncio.TaskGroup() as group:
        for number in range(plan.count):
            result = Result(
                f'{plan.name}-{number}', plan.name, 'keyed' in plan.options
            )
            results.append(result)
            group.create_task(_send(plan, balancer, result))
            await asyncio.sleep(step)


def _body(plan: language.Load, identity: str) -> dict:
    options = plan.options
    payload: dict = {
        'identity': identity,
        'work_ms': options.get('work', 0.01) * MILLI,
    }
    if 'answer' in options:
        payload['answer_bytes'] = options['answer'] * KIB
    if 'fails' in options:
        payload['fail'] = True
    return {
        'service': plan.service,
        'team': plan.team,
        'class': 'patient' if 'patient' in options else 'urgent',
        'deadline_ms': round(options.get('deadline', DEADLINE) * MILLI),
        'resources': SLOT,
        'idempotent': 'keyed' not in options,
        'payload': payload,
    }


async def _send(
    plan: language.Load, balancer: Balancer, result: Result
) -> None:
    """Send until there is an answer, as a caller who wants one does."""
    body = _body(plan, result.identity)
    sent = orjson.dumps(body)
    tries = 0
    while tries < TRIES:
        tries += 1
        one = balancer.choose()
        outcome = 'unsent'
        if one is not None:
            outcome = await _send_once(one, body, sent, result)
        if outcome != 'unsent':
            result.outcomes.append(outcome)
        if outcome in {'answered', 'failed', 'invalid'}:
            return
        await asyncio.sleep(RETRY_WAIT)


async def _send_once(
    one: httpclient.Client, body: dict, sent: bytes, result: Result
) -> str:
    deadline = body['deadline_ms'] / MILLI
    headers = {'idempotency-key': result.identity}
    try:
        reply = await one.call(
            'POST',
            '/v1/requests',
            sent,
            timeout=deadline + 5,
            headers=headers,
        )
    except errors.NotSentError:
        return 'unsent'
    except errors.UnreachableError:
        return 'lost'
    plain = reply.json()
    if reply.status == 200:
        result.whole = result.whole and _is_whole(plain, body)
        return 'answered'
    if reply.status in {400, 404, 413, 422}:
        return 'invalid'
    result.reasons.append(plain['title'])
    return plain.get('outcome', 'failed')


def _is_whole(plain: dict, body: dict) -> bool:
    payload = body['payload']
    text = orjson.dumps(payload, option=orjson.OPT_SORT_KEYS)
    wanted = hashlib.sha256(text).hexdigest()
    pad = int(payload.get('answer_bytes', 0))
    return (
        plain.get('echo') == payload
        and plain.get('digest') == wanted
        and len(plain.get('pad', '')) == pad
    )


async def submit_job(plan: language.Job, balancer: Balancer) -> str:
    """Submit a job under a key until it is accepted; return its id."""
    tasks = [
        {
            'name': f't{number}',
            'payload': {
                'identity': f'{plan.name}-{number}',
                'work_ms': plan.work * MILLI,
            },
            'resources': SLOT,
        }
        for number in range(plan.count)
    ]
    body = {
        'service': plan.service,
        'team': plan.team,
        'policy': plan.policy,
        'tasks': tasks,
    }
    headers = {'idempotency-key': plan.name}
    for _ in range(TRIES):
        one = balancer.choose()
        if one is not None:
            try:
                reply = await one.call(
                    'POST',
                    '/v1/jobs',
                    orjson.dumps(body),
                    timeout=DEADLINE,
                    headers=headers,
                )
            except errors.UnreachableError:
                reply = None
            if reply is not None and reply.status == 202:
                return reply.json()['id']
        await asyncio.sleep(RETRY_WAIT)
    raise errors.UnreachableError(f'job {plan.name} was not accepted')


async def cancel_job(job_id: str, balancer: Balancer) -> bool:
    """Cancel a job; say whether that was accepted."""
    one = balancer.choose()
    if one is None:
        return False
    try:
        reply = await one.call('DELETE', f'/v1/jobs/{job_id}', timeout=DEADLINE)
    except errors.UnreachableError:
        return False
    return reply.status == 200


async def job_state(job_id: str, balancer: Balancer) -> dict:
    """Return a job as any ready host shows it, empty if none does."""
    one = balancer.choose()
    if one is None:
        return {}
    try:
        reply = await one.call('GET', f'/v1/jobs/{job_id}', timeout=DEADLINE)
    except errors.UnreachableError:
        return {}
    return reply.json()
