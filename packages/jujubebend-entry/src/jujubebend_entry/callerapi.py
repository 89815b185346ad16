"""What callers send and what they are told, in the form of JSON bodies."""

from __future__ import annotations

import functools
import hashlib
import http
import typing

import attrs
import orjson

from jujubebend import (
    errors,
    manifest,
    outcome,
    records,
    resources,
    structuring,
)
from jujubebend_http import httpmessage

LARGEST_KEY_LENGTH = 200
LARGEST_JOB_TASKS = 1000
LARGEST_JOB_BYTES = resources.MIB // 4
LONGEST_DEADLINE_MS = 3_600_000
STOPPED = 'stopped'
SPECS_KEPT = 512
DIGEST_BYTES = 16


@attrs.frozen
class RequestBody:
    """The body of ``POST /v1/requests``."""

    service: str
    team: str
    work_class: str = attrs.field(
        validator=attrs.validators.in_(manifest.CLASSES)
    )
    deadline_ms: int = attrs.field(
        validator=[
            structuring.positive(),
            attrs.validators.le(LONGEST_DEADLINE_MS),
        ]
    )
    resources: resources.Resources
    idempotent: bool
    payload: typing.Any


@attrs.frozen
class JobTask:
    """One task of a job.

    A task that is not ``idempotent`` ends as unknown where it cannot be
    told whether it ran; another is then tried again.
    """

    name: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    payload: typing.Any
    resources: resources.Resources = resources.Resources(1, 1)
    idempotent: bool = True


@attrs.frozen
class JobBody:
    """The body of ``POST /v1/jobs``."""

    service: str
    team: str
    tasks: list[JobTask] = attrs.field(
        validator=[
            attrs.validators.min_len(1),
            attrs.validators.max_len(LARGEST_JOB_TASKS),
        ]
    )
    policy: str = attrs.field(
        default='batch', validator=attrs.validators.in_(manifest.POLICIES)
    )
    depends_on: list[str] = attrs.field(factory=list)
    attempts: int = attrs.field(
        default=manifest.DEFAULT_ATTEMPTS, validator=structuring.positive()
    )


def _make_converter():  # noqa: ANN202
    made = structuring.make_converter()
    structuring.rename(made, RequestBody, work_class='class')
    return made


_converter = _make_converter()


def parse_request(body: bytes) -> RequestBody:
    """Return the request in a body, or raise with every fault."""
    plain = _read_json(body, 'request')
    return structuring.build_object(_converter, RequestBody, plain, 'request')


def parse_job(body: bytes) -> JobBody:
    """Return the job in a body, or raise with every fault."""
    if len(body) > LARGEST_JOB_BYTES:
        found = f'{len(body)} bytes'
        remedy = f'keep a job under {LARGEST_JOB_BYTES} bytes'
        fault = errors.Fault('$', found, remedy)
        raise errors.InvalidInputError('job', [fault])
    parsed = structuring.build_object(
        _converter, JobBody, _read_json(body, 'job'), 'job'
    )
    names = [task.name for task in parsed.tasks]
    doubled = sorted({name for name in names if names.count(name) > 1})
    if doubled:
        found = f'doubled names {doubled}'
        fault = errors.Fault('$.tasks', found, 'name each task once')
        raise errors.InvalidInputError('job', [fault])
    return parsed


@functools.lru_cache(maxsize=SPECS_KEPT)
def parse_spec(spec: str) -> JobBody:
    """Return a recorded job."""
    return parse_job(spec.encode())


def resolve_kind(
    text: manifest.Manifest, service: str, team: str
) -> manifest.Kind:
    """Return the kind of a service's work, or raise for unknown names."""
    faults = []
    found = text.service(service)
    if found is None:
        faults.append(
            errors.Fault(
                '$.service',
                f'service {service!r} does not exist',
                "name one of the operators' text",
            )
        )
    if text.team(team) is None:
        faults.append(
            errors.Fault(
                '$.team',
                f'team {team!r} does not exist',
                "name one of the operators' text",
            )
        )
    if faults or found is None:
        raise errors.InvalidInputError('request', faults)
    kind = text.kind(found.kind)
    assert kind is not None
    return kind


def check_idempotency_key(key: str) -> None:
    """Raise unless an idempotency key is usable."""
    if key and len(key) <= LARGEST_KEY_LENGTH and key.isprintable():
        return
    found = f'{len(key)} characters' if key else 'missing'
    remedy = f'send 1 to {LARGEST_KEY_LENGTH} printable characters'
    fault = errors.Fault('Idempotency-Key', found, remedy)
    raise errors.InvalidInputError('request', [fault])


def digest(body: bytes) -> str:
    """Return what tells one request body from another."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def is_final(record: records.Record, task: str, ended: outcome.Outcome) -> bool:
    """Say whether an attempt's outcome ends its task for good."""
    if isinstance(ended, outcome.NotRun) or record.sort == records.SERVICE:
        return False
    if record.sort == records.REQUEST or isinstance(ended, outcome.Answered):
        return True
    spec = parse_spec(record.spec)
    if isinstance(ended, outcome.Unknown):
        found = next((one for one in spec.tasks if one.name == task), None)
        return found is None or not found.idempotent
    if ended.reason == STOPPED:
        return record.cancelled
    return record.tasks[task].attempts >= spec.attempts


def outcome_reply(ended: outcome.Outcome) -> httpmessage.Reply:
    """Return what a caller is told of an outcome."""
    match ended:
        case outcome.Answered():
            return httpmessage.Reply(http.HTTPStatus.OK, ended.body)
        case outcome.Failed():
            return httpmessage.problem_reply(
                http.HTTPStatus.BAD_GATEWAY,
                f'it ran and failed: {ended.reason}',
                outcome='failed',
            )
        case outcome.NotRun():
            return not_run_reply(ended.reason, ended.retry_after)
        case outcome.Unknown():
            return unknown(ended.reason)


def not_run_reply(reason: str, retry_after: float = 0) -> httpmessage.Reply:
    """Return that a request was not run."""
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    return httpmessage.problem_reply(
        status, f'not run: {reason}', outcome='not_run', retry_after=retry_after
    )


def unknown(reason: str) -> httpmessage.Reply:
    """Return that it cannot be told whether a request was run."""
    return httpmessage.problem_reply(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        f'outcome unknown: {reason}',
        outcome='unknown',
    )


def invalid(exc: errors.InvalidInputError) -> httpmessage.Reply:
    """Return every fault of an input; nothing of it was run."""
    faults = [attrs.asdict(fault) for fault in exc.faults]
    return httpmessage.problem_reply(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        str(exc),
        outcome='not_run',
        faults=faults,
    )


def describe_job(record: records.Record) -> dict:
    """Return a job as callers see it, but for its tasks' outcomes."""
    return {
        'id': record.id,
        'state': _state(record),
        'tasks': {
            name: {
                'state': _task_state(task),
                'attempts': task.attempts,
                'worker': task.intent.worker if task.intent else '',
                'outcome': None,
            }
            for name, task in record.tasks.items()
        },
    }


def describe_outcome(ended: dict[str, str]) -> dict:
    """Return the outcome of a task as callers see it."""
    described: dict = dict(ended)
    if 'body' in described:
        described['answer'] = orjson.loads(described.pop('body'))
    return described


def _state(record: records.Record) -> str:
    if record.cancelled:
        return 'cancelled' if record.is_ended() else 'cancelling'
    if not record.is_ended():
        return 'running'
    tags = {
        task.outcome and task.outcome['tag'] for task in record.tasks.values()
    }
    for tag in ('unknown', 'failed'):
        if tag in tags:
            return tag
    return 'done'


def _task_state(task: records.Task) -> str:
    if task.outcome is not None:
        return task.outcome['tag']
    return 'waiting' if task.intent is None else 'running'


def _read_json(body: bytes, source: str) -> object:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        line = exc.lineno
        fault = errors.Fault('$', f'not JSON: {exc.msg}', 'send JSON', line)
    raise errors.InvalidInputError(source, [fault])
