"""Sending requests and jobs in bulk, and waiting for the jobs to end."""

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

MAX_CONCURRENT_LINES = 32
POLL_INTERVAL_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 30.0
SUCCESS_STATES = frozenset(('answered', 'accepted', 'done'))
ENDED_STATES = frozenset(('done', 'failed', 'unknown', 'cancelled'))


@attrs.frozen
class InputLine:
    """One line of an input file: a request or, with ``tasks``, a job.

    ``key`` is the idempotency key; ``timeout`` is in seconds.
    """

    number: int
    body: bytes
    key: str
    is_job: bool
    timeout: float


@attrs.frozen
class LineResult:
    """The result of sending one line; ``place`` is the line number."""

    place: int
    state: str
    detail: str

    def is_success(self) -> bool:
        """Return whether the request was answered, or the job accepted or done.

        A job counts as accepted only if its end is not waited for.
        """
        return self.state in SUCCESS_STATES

    def to_json(self) -> dict:
        """Return the JSON form."""
        return attrs.asdict(self)


def parse_lines(text: str, source: str) -> list[InputLine]:
    """Return the lines of an input file; empty lines are skipped.

    Raise ``errors.InvalidInputError`` with one fault for each line that is
    not a JSON object.
    """
    lines = []
    faults = []
    for number, raw_line in enumerate(text.splitlines(), start=1):
        if not raw_line.strip():
            continue
        try:
            document = orjson.loads(raw_line)
        except orjson.JSONDecodeError as exc:
            document = f'not JSON: {exc.msg}'
        if not isinstance(document, dict):
            found = document if isinstance(document, str) else 'no JSON object'
            remedy = 'write one JSON object per line'
            faults.append(errors.Fault('$', found, remedy, number))
            continue
        lines.append(_to_input_line(number, document))
    if faults:
        raise errors.InvalidInputError(source, faults)
    return lines


def _to_input_line(number: int, document: dict) -> InputLine:
    key = str(document.pop('key', uuid.uuid4().hex))
    timeout = CALL_TIMEOUT_SECONDS
    deadline_ms = document.get('deadline_ms')
    if isinstance(deadline_ms, int):
        timeout += deadline_ms / 1000
    body = orjson.dumps(document)
    return InputLine(number, body, key, 'tasks' in document, timeout)


async def call_any_host(
    hosts: list[str], method: str, path: str
) -> httpmessage.Reply:
    """Send a request to the first host that answers.

    Several hosts may receive the request, so it must be safe to repeat.
    """
    last_error: errors.UnreachableError | None = None
    for host in hosts:
        try:
            return await client.call(host, method, path)
        except errors.UnreachableError as exc:
            last_error = exc
    assert last_error is not None
    raise last_error


async def send_lines(
    hosts: list[str],
    lines: list[InputLine],
    *,
    wait: bool,
    on_line_done: abc.Callable[[], None],
) -> list[LineResult]:
    """Send every line, distributed over the hosts round-robin.

    With ``wait``, wait for the jobs to end. ``on_line_done`` is called after
    each line, to show progress.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_LINES)
    clients = [httpclient.Client(host, MAX_CONCURRENT_LINES) for host in hosts]

    async def send_limited(index: int, line: InputLine) -> LineResult:
        async with semaphore:
            line_result = await _send_line(
                clients[index % len(clients)], line, wait=wait
            )
        on_line_done()
        return line_result

    try:
        calls = [send_limited(index, line) for index, line in enumerate(lines)]
        return await asyncio.gather(*calls)
    finally:
        for host_client in clients:
            await host_client.close()


async def _send_line(
    host_client: httpclient.Client, line: InputLine, *, wait: bool
) -> LineResult:
    path = '/v1/jobs' if line.is_job else '/v1/requests'
    headers = {'idempotency-key': line.key}
    try:
        reply = await host_client.call(
            'POST', path, line.body, timeout=line.timeout, headers=headers
        )
    except errors.UnreachableError as exc:
        return LineResult(line.number, 'unknown', str(exc))
    document = reply.json()
    if reply.status >= http.HTTPStatus.BAD_REQUEST:
        state = document.get('outcome', 'failed')
        if reply.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            state = 'invalid'
        return LineResult(line.number, state, document['title'])
    if not line.is_job:
        return LineResult(line.number, 'answered', reply.body.decode())
    if not wait:
        return LineResult(line.number, 'accepted', document['id'])
    return await _wait_for_job(host_client, line, document['id'])


async def _wait_for_job(
    host_client: httpclient.Client, line: InputLine, job_id: str
) -> LineResult:
    while True:
        try:
            reply = await host_client.call(
                'GET', f'/v1/jobs/{job_id}', timeout=CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as exc:
            return LineResult(line.number, 'unknown', f'{job_id}: {exc}')
        document = reply.json()
        if document.get('state') in ENDED_STATES:
            return LineResult(line.number, document['state'], job_id)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
