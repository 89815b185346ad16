"""Load generator: callers that send requests and jobs with retries."""

from __future__ import annotations

import asyncio
import hashlib
import random

import attrs
import orjson

from jujubebend import errors
from jujubebend_http import httpclient
from scenarios.runner import cluster, language

MS_PER_SECOND = 1000
KIB = 1024
DEFAULT_DEADLINE_SECONDS = 15.0
RETRY_INTERVAL_SECONDS = 0.3
MAX_ATTEMPTS = 60
READINESS_INTERVAL_SECONDS = 0.2
MAX_CONNECTIONS = 64
TASK_RESOURCES = {
    'slots': 1,
    'connections': 1,
    'cpus': 1,
    'memory_bytes': KIB * KIB,
}


@attrs.define
class Result:
    """Outcomes of all attempts to send one request.

    ``keyed`` requests are not idempotent and must start at most once.
    ``whole`` is false if an answer was truncated or of another request;
    ``reasons`` are the titles of the errors.
    """

    identity: str
    load: str
    keyed: bool
    outcomes: list[str] = attrs.field(factory=list)
    whole: bool = True
    reasons: list[str] = attrs.field(factory=list)

    def last_outcome(self) -> str:
        """Return the outcome of the last attempt, ``unsent`` if none."""
        return self.outcomes[-1] if self.outcomes else 'unsent'


@attrs.define(eq=False)
class Balancer:
    """Load balancer over the entry hosts whose readiness check succeeds."""

    cluster: cluster.Cluster
    rng: random.Random
    ready_names: list[str] = attrs.field(factory=list)
    _clients: dict[str, httpclient.Client] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Check the readiness of every entry host until cancelled."""
        while True:
            names = self.cluster.entry_names()
            checks = (self.cluster.is_ready(name) for name in names)
            states = await asyncio.gather(*checks)
            readiness = zip(names, states, strict=True)
            self.ready_names = [
                name for name, is_ready in readiness if is_ready
            ]
            await asyncio.sleep(READINESS_INTERVAL_SECONDS)

    def choose_client(self) -> httpclient.Client | None:
        """Return a client of a random ready host, ``None`` if none is ready."""
        if not self.ready_names:
            return None
        name = self.rng.choice(self.ready_names)
        if name not in self._clients:
            address = self.cluster.addresses[name]
            self._clients[name] = httpclient.Client(address, MAX_CONNECTIONS)
        return self._clients[name]

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            await client.close()


async def send_load(
    step: language.Load, balancer: Balancer, results: list[Result]
) -> None:
    """Send the requests of a load, evenly spread over its duration.

    Appends a result per request to ``results``.
    """
    interval = step.seconds / step.count
    async with asyncio.TaskGroup() as group:
        for number in range(step.count):
            result = Result(
                f'{step.name}-{number}', step.name, 'keyed' in step.options
            )
            results.append(result)
            group.create_task(_send_with_retries(step, balancer, result))
            await asyncio.sleep(interval)


def _build_request_body(step: language.Load, identity: str) -> dict:
    options = step.options
    payload: dict = {
        'identity': identity,
        'work_ms': options.get('work', 0.01) * MS_PER_SECOND,
    }
    if 'answer' in options:
        payload['answer_bytes'] = options['answer'] * KIB
    if 'fails' in options:
        payload['fail'] = True
    return {
        'service': step.service,
        'team': step.team,
        'class': 'patient' if 'patient' in options else 'urgent',
        'deadline_ms': round(
            options.get('deadline', DEFAULT_DEADLINE_SECONDS) * MS_PER_SECOND
        ),
        'resources': TASK_RESOURCES,
        'idempotent': 'keyed' not in options,
        'payload': payload,
    }


async def _send_with_retries(
    step: language.Load, balancer: Balancer, result: Result
) -> None:
    """Send a request until it has a final outcome or attempts run out."""
    body = _build_request_body(step, result.identity)
    encoded_body = orjson.dumps(body)
    attempts = 0
    while attempts < MAX_ATTEMPTS:
        attempts += 1
        client = balancer.choose_client()
        outcome = 'unsent'
        if client is not None:
            outcome = await _send_attempt(client, body, encoded_body, result)
        if outcome != 'unsent':
            result.outcomes.append(outcome)
        if outcome in {'answered', 'failed', 'invalid'}:
            return
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


async def _send_attempt(
    client: httpclient.Client, body: dict, encoded_body: bytes, result: Result
) -> str:
    deadline = body['deadline_ms'] / MS_PER_SECOND
    headers = {'idempotency-key': result.identity}
    try:
        reply = await client.call(
            'POST',
            '/v1/requests',
            encoded_body,
            timeout=deadline + 5,
            headers=headers,
        )
    except errors.NotSentError:
        return 'unsent'
    except errors.UnreachableError:
        return 'lost'
    document = reply.json()
    if reply.status == 200:
        result.whole = result.whole and _is_whole(document, body)
        return 'answered'
    if reply.status in {400, 404, 413, 422}:
        return 'invalid'
    result.reasons.append(document['title'])
    return document.get('outcome', 'failed')


def _is_whole(document: dict, body: dict) -> bool:
    payload = body['payload']
    encoded_payload = orjson.dumps(payload, option=orjson.OPT_SORT_KEYS)
    expected_digest = hashlib.sha256(encoded_payload).hexdigest()
    pad_length = int(payload.get('answer_bytes', 0))
    return (
        document.get('echo') == payload
        and document.get('digest') == expected_digest
        and len(document.get('pad', '')) == pad_length
    )


async def submit_job(step: language.Job, balancer: Balancer) -> str:
    """Submit a job with an idempotency key, with retries; return its id.

    Raises ``errors.UnreachableError`` if no attempt was accepted.
    """
    tasks = [
        {
            'name': f't{number}',
            'payload': {
                'identity': f'{step.name}-{number}',
                'work_ms': step.work_seconds * MS_PER_SECOND,
            },
            'resources': TASK_RESOURCES,
        }
        for number in range(step.count)
    ]
    body = {
        'service': step.service,
        'team': step.team,
        'policy': step.policy,
        'tasks': tasks,
    }
    headers = {'idempotency-key': step.name}
    for _ in range(MAX_ATTEMPTS):
        client = balancer.choose_client()
        if client is not None:
            try:
                reply = await client.call(
                    'POST',
                    '/v1/jobs',
                    orjson.dumps(body),
                    timeout=DEFAULT_DEADLINE_SECONDS,
                    headers=headers,
                )
            except errors.UnreachableError:
                reply = None
            if reply is not None and reply.status == 202:
                return reply.json()['id']
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    raise errors.UnreachableError(
        f'job {step.name} was not accepted in {MAX_ATTEMPTS} attempts'
    )


async def cancel_job(job_id: str, balancer: Balancer) -> bool:
    """Cancel a job and return whether the cancellation was accepted."""
    client = balancer.choose_client()
    if client is None:
        return False
    try:
        reply = await client.call(
            'DELETE', f'/v1/jobs/{job_id}', timeout=DEFAULT_DEADLINE_SECONDS
        )
    except errors.UnreachableError:
        return False
    return reply.status == 200


async def fetch_job(job_id: str, balancer: Balancer) -> dict:
    """Return a job from any ready host, empty if it is unreachable."""
    client = balancer.choose_client()
    if client is None:
        return {}
    try:
        reply = await client.call(
            'GET', f'/v1/jobs/{job_id}', timeout=DEFAULT_DEADLINE_SECONDS
        )
    except errors.UnreachableError:
        return {}
    return reply.json()
