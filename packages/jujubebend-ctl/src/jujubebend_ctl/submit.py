"""Sending many requests and jobs, and waiting for jobs to end."""

from __future__ import annotations

import asyncio
import http
import uuid
from collections import abc

import attrs
import orjson

from jujubebend import errors
from jujubebend_ctl import client
from jujubebend_http import httpclient, httpmessage

AT_ONCE = 32
POLL_INTERVAL = 0.2
CALL_TIMEOUT = 30.0
GOOD_STATES = frozenset(('answered', 'accepted', 'done'))
ENDED_STATES = frozenset(('done', 'failed', 'unknown', 'cancelled'))


@attrs.frozen
class Line:
    """One line of a file: a request or, with ``tasks``, a job."""

    number: int
    body: bytes
    key: str
    is_job: bool
    timeout: float


@attrs.frozen
class Sent:
    """What became of one line."""

    place: int
    state: str
    detail: str

    def is_good(self) -> bool:
        """Say whether it was answered, or accepted and done."""
        return self.state in GOOD_STATES

    def to_json(self) -> dict:
        """Return the JSON form."""
        return attrs.asdict(self)


def read_lines(text: str, source: str) -> list[Line]:
    """Return the lines of a file, or raise with every one that is no JSON."""
    lines = []
    faults = []
    for number, written in enumerate(text.splitlines(), start=1):
        if not written.strip():
            continue
        try:
            plain = orjson.loads(written)
        except orjson.JSONDecodeError as exc:
            plain = f'not JSON: {exc.msg}'
        if not isinstance(plain, dict):
            found = plain if isinstance(plain, str) else 'no JSON object'
            remedy = 'write one JSON object a line'
            faults.append(errors.Fault('$', found, remedy, number))
            continue
        lines.append(_to_line(number, plain))
    if faults:
        raise errors.InvalidInputError(source, faults)
    return lines


def _to_line(number: int, plain: dict) -> Line:
    key = str(plain.pop('key', uuid.uuid4().hex))
    timeout = CALL_TIMEOUT
    deadline = plain.get('deadline_ms')
    if isinstance(deadline, int):
        timeout += deadline / 1000
    body = orjson.dumps(plain)
    return Line(number, body, key, 'tasks' in plain, timeout)


async def call_any(
    hosts: list[str], method: str, path: str
) -> httpmessage.Reply:
    """Call the first host that answers; only for calls safe to repeat."""
    last: errors.UnreachableError | None = None
    for host in hosts:
        try:
            return await client.call(host, method, path)
        except errors.UnreachableError as exc:
            last = exc
    assert last is not None
    raise last


async def send_all(
    hosts: list[str],
    lines: list[Line],
    *,
    wait: bool,
    ended: abc.Callable[[], None],
) -> list[Sent]:
    """Send every line, spread over the hosts in turn.

    ``ended`` is called after each line, to show progress.
    """
    room = asyncio.Semaphore(AT_ONCE)
    clients = [httpclient.Client(host, AT_ONCE) for host in hosts]

    async def send(at: int, line: Line) -> Sent:
        async with room:
            sent = await _send(clients[at % len(clients)], line, wait=wait)
        ended()
        return sent

    try:
        sends = [send(at, line) for at, line in enumerate(lines)]
        return await asyncio.gather(*sends)
    finally:
        for one in clients:
            await one.close()


async def _send(one: httpclient.Client, line: Line, *, wait: bool) -> Sent:
    path = '/v1/jobs' if line.is_job else '/v1/requests'
    headers = {'idempotency-key': line.key}
    try:
        reply = await one.call(
            'POST', path, line.body, timeout=line.timeout, headers=headers
        )
    except errors.UnreachableError as exc:
        return Sent(line.number, 'unknown', str(exc))
    plain = reply.json()
    if reply.status >= http.HTTPStatus.BAD_REQUEST:
        state = plain.get('outcome', 'failed')
        if reply.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            state = 'invalid'
        return Sent(line.number, state, plain['title'])
    if not line.is_job:
        return Sent(line.number, 'answered', reply.body.decode())
    if not wait:
        return Sent(line.number, 'accepted', plain['id'])
    return await _wait_job(one, line, plain['id'])


async def _wait_job(one: httpclient.Client, line: Line, job_id: str) -> Sent:
    while True:
        try:
            reply = await one.call(
                'GET', f'/v1/jobs/{job_id}', timeout=CALL_TIMEOUT
            )
        except errors.UnreachableError as exc:
            return Sent(line.number, 'unknown', f'{job_id}: {exc}')
        plain = reply.json()
        if plain.get('state') in ENDED_STATES:
            return Sent(line.number, plain['state'], job_id)
        await asyncio.sleep(POLL_INTERVAL)
