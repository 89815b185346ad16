"""Request and response bodies of the callers' API."""

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

MAX_KEY_LENGTH = 200
MAX_JOB_TASKS = 1000
MAX_JOB_BYTES = resources.MIB // 4
MAX_DEADLINE_MS = 3_600_000
STOPPED_REASON = 'stopped'
SPEC_CACHE_SIZE = 512
DIGEST_BYTES = 16


@attrs.frozen
class RequestBody:
    """The body of ``POST /v1/requests``."""

    service: str
    team: str
    work_class: str = attrs.field(
        validator=attrs.validators.in_(manifest.WORK_CLASSES)
    )
    deadline_ms: int = attrs.field(
        validator=[
            structuring.positive(),
            attrs.validators.le(MAX_DEADLINE_MS),
        ]
    )
    resources: resources.Resources
    idempotent: bool
    payload: typing.Any


@attrs.frozen
class JobTask:
    """One task of a job.

    If it is unknown whether a task ran, an ``idempotent`` task is retried
    and any other ends with the outcome unknown.
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
            attrs.validators.max_len(MAX_JOB_TASKS),
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
    converter = structuring.make_converter()
    structuring.rename_fields(converter, RequestBody, work_class='class')
    return converter


_converter = _make_converter()


def parse_request(body: bytes) -> RequestBody:
    """Parse the body of a request.

    Raises ``errors.InvalidInputError`` with every fault found.
    """
    document = _parse_json(body, 'request')
    return structuring.build_object(
        _converter, RequestBody, document, 'request'
    )


def parse_job(body: bytes) -> JobBody:
    """Parse the body of a job.

    Raises ``errors.InvalidInputError`` with every fault found.
    """
    if len(body) > MAX_JOB_BYTES:
        found = f'{len(body)} bytes'
        remedy = f'send at most {MAX_JOB_BYTES} bytes'
        fault = errors.Fault('$', found, remedy)
        raise errors.InvalidInputError('job', [fault])
    parsed = structuring.build_object(
        _converter, JobBody, _parse_json(body, 'job'), 'job'
    )
    names = [task.name for task in parsed.tasks]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        found = f'duplicate names {duplicates}'
        fault = errors.Fault('$.tasks', found, 'give each task a unique name')
        raise errors.InvalidInputError('job', [fault])
    return parsed


@functools.lru_cache(maxsize=SPEC_CACHE_SIZE)
def parse_spec(spec: str) -> JobBody:
    """Parse the specification of a recorded job."""
    return parse_job(spec.encode())


def resolve_kind(
    current_manifest: manifest.Manifest, service: str, team: str
) -> manifest.Kind:
    """Return the kind of a service's work.

    Raises ``errors.InvalidInputError`` if the service or team is unknown.
    """
    faults = []
    configured = current_manifest.service(service)
    if configured is None:
        faults.append(
            errors.Fault(
                '$.service',
                f'service {service!r} does not exist',
                'use a name from the operator configuration',
            )
        )
    if current_manifest.team(team) is None:
        faults.append(
            errors.Fault(
                '$.team',
                f'team {team!r} does not exist',
                'use a name from the operator configuration',
            )
        )
    if faults or configured is None:
        raise errors.InvalidInputError('request', faults)
    kind = current_manifest.kind(configured.kind)
    assert kind is not None
    return kind


def check_idempotency_key(key: str) -> None:
    """Raise ``errors.InvalidInputError`` if an idempotency key is invalid."""
    if key and len(key) <= MAX_KEY_LENGTH and key.isprintable():
        return
    found = f'{len(key)} characters' if key else 'missing'
    remedy = f'send 1 to {MAX_KEY_LENGTH} printable characters'
    fault = errors.Fault('Idempotency-Key', found, remedy)
    raise errors.InvalidInputError('request', [fault])


def compute_digest(content: bytes) -> str:
    """Return a digest that identifies a request body or a key."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def is_final(
    record: records.Record, task: str, attempt_outcome: outcome.Outcome
) -> bool:
    """Return whether an attempt's outcome is the final one of its task."""
    if (
        isinstance(attempt_outcome, outcome.NotRun)
        or record.sort == records.SERVICE
    ):
        return False
    if record.sort == records.REQUEST or isinstance(
        attempt_outcome, outcome.Answered
    ):
        return True
    spec = parse_spec(record.spec)
    if isinstance(attempt_outcome, outcome.Unknown):
        job_task = next(
            (candidate for candidate in spec.tasks if candidate.name == task),
            None,
        )
        return job_task is None or not job_task.idempotent
    if attempt_outcome.reason == STOPPED_REASON:
        return record.cancelled
    return record.tasks[task].attempts >= spec.attempts


def outcome_reply(attempt_outcome: outcome.Outcome) -> httpmessage.Reply:
    """Return the reply to a caller for an outcome."""
    match attempt_outcome:
        case outcome.Answered():
            return httpmessage.Reply(http.HTTPStatus.OK, attempt_outcome.body)
        case outcome.Failed():
            return httpmessage.problem_reply(
                http.HTTPStatus.BAD_GATEWAY,
                f'the work ran and failed: {attempt_outcome.reason}',
                outcome='failed',
            )
        case outcome.NotRun():
            return not_run_reply(
                attempt_outcome.reason, attempt_outcome.retry_after
            )
        case outcome.Unknown():
            return unknown_reply(attempt_outcome.reason)


def not_run_reply(reason: str, retry_after: float = 0) -> httpmessage.Reply:
    """Return the reply that a request was not run."""
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    return httpmessage.problem_reply(
        status, f'not run: {reason}', outcome='not_run', retry_after=retry_after
    )


def unknown_reply(reason: str) -> httpmessage.Reply:
    """Return the reply that it is unknown whether a request was run."""
    return httpmessage.problem_reply(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        f'outcome unknown: {reason}',
        outcome='unknown',
    )


def invalid_input_reply(exc: errors.InvalidInputError) -> httpmessage.Reply:
    """Return the reply that lists every fault of an input."""
    faults = [attrs.asdict(fault) for fault in exc.faults]
    return httpmessage.problem_reply(
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
        str(exc),
        outcome='not_run',
        faults=faults,
    )


def describe_job(record: records.Record) -> dict:
    """Return a job as callers see it, without its tasks' outcomes."""
    return {
        'id': record.id,
        'state': _job_state(record),
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


def describe_outcome(outcome_fields: dict[str, str]) -> dict:
    """Return the outcome of a task as callers see it."""
    document: dict = dict(outcome_fields)
    if 'body' in document:
        document['answer'] = orjson.loads(document.pop('body'))
    return document


def _job_state(record: records.Record) -> str:
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


def _parse_json(body: bytes, source: str) -> object:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        line = exc.lineno
        fault = errors.Fault('$', f'not JSON: {exc.msg}', 'send JSON', line)
    raise errors.InvalidInputError(source, [fault])
