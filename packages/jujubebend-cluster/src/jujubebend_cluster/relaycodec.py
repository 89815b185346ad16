"""Encoding of calls to workers, and of their answers, between hosts."""

from __future__ import annotations

import attrs

from jujubebend import decoding, errors
from jujubebend_cluster import interfaces, jobspec, logs

# Names of calls.
START = 'start'
STOP = 'stop'
PACE = 'pace'
RENEW = 'hold'

MAX_PAYLOADS = 500  # of some 500 bytes each, cached on each side of a route

# Types of answers.
_ORDER_RESULT = 'verdict'
_STATUS = 'look'
_UNANSWERED = 'lost'


def encode_task_name(task: jobspec.TaskName) -> list:
    """Encode a task's name as a row."""
    return [task.job, task.occurrence, task.step, task.index]


@attrs.define(eq=False)
class PayloadCache:
    """Cache of job payloads that both sides of a route know.

    A job has many tasks but one payload, which is sent over a route once.
    Both sides keep the same number and evict the oldest first.
    """

    _payloads: dict[str, str] = attrs.field(factory=dict)

    def encode(self, job: str, payload: str) -> str | None:
        """Return the payload to send, None if the other side has it."""
        if job in self._payloads:
            return None
        self._cache_payload(job, payload)
        return payload

    def decode(self, job: str, sent_payload: str | None) -> str:
        """Return a job's payload; ``sent_payload`` is what ``encode`` returned.

        Raises ``UnreachableError`` if this side has restarted and no longer
        has the payload.
        """
        if sent_payload is not None:
            self._cache_payload(job, sent_payload)
        elif job not in self._payloads:
            raise errors.UnreachableError(
                f'job {job}: payload not in the cache of this relay'
            )
        return self._payloads[job]

    def _cache_payload(self, job: str, payload: str) -> None:
        self._payloads[job] = payload
        if len(self._payloads) > MAX_PAYLOADS:
            self._payloads.pop(next(iter(self._payloads)))


def encode_start(order: interfaces.StartOrder, payloads: PayloadCache) -> list:
    """Encode an order to start as a row."""
    return [
        encode_task_name(order.task),
        order.run,
        payloads.encode(order.task.job, order.payload),
        order.until,
        order.token,
        order.incarnation,
        order.checkpoint,
        order.ticket,
    ]


async def execute_call(
    calls: interfaces.WorkerCalls,
    call_name: str,
    row: list,
    payloads: PayloadCache,
) -> list:
    """Make the call that a row encodes; return its answer as a row.

    Calls must be started in the order of their rows, as a payload is sent only
    with the first of them.
    """
    try:
        answer = await _call_worker(calls, call_name, row, payloads)
    except errors.JujubebendError as exc:
        return [_UNANSWERED, str(exc)]
    except decoding.DECODE_ERRORS as exc:
        logs.decision('call_malformed', call=call_name, why=repr(exc))
        return [_UNANSWERED, decoding.describe(exc)]
    if isinstance(answer, interfaces.OrderResult):
        return [_ORDER_RESULT, answer.value]
    running = answer.running
    return [
        _STATUS,
        answer.clock,
        answer.born,
        None
        if running is None
        else [_encode_active_run(run) for run in running],
        [_encode_ended_run(run) for run in answer.ended],
        answer.lists_all_ends,
    ]


def decode_answer(
    row: list,
) -> interfaces.WorkerStatus | interfaces.OrderResult:
    """Decode an answer; raises ``UnreachableError`` if there was none."""
    with decoding.reply_from('a relay'):
        return _decode_answer(row)


def _decode_answer(
    row: list,
) -> interfaces.WorkerStatus | interfaces.OrderResult:
    answer_type, *rest = row
    if answer_type == _UNANSWERED:
        raise errors.UnreachableError(rest[0])
    if answer_type == _ORDER_RESULT:
        return interfaces.OrderResult(rest[0])
    clock, born, running, ended, lists_all_ends = rest
    return interfaces.WorkerStatus(
        decoding.to_number(clock),
        decoding.to_count(born),
        None if running is None else tuple(map(_decode_active_run, running)),
        tuple(map(_decode_ended_run, ended)),
        bool(lists_all_ends),
    )


async def _call_worker(
    calls: interfaces.WorkerCalls,
    call_name: str,
    row: list,
    payloads: PayloadCache,
) -> interfaces.WorkerStatus | interfaces.OrderResult:
    if call_name == RENEW:
        return await calls.renew_leases(_decode_renewal(row))
    name, *rest = row
    task = _decode_task_name(name)
    if call_name == START:
        return await calls.start(_decode_start(task, rest, payloads))
    if call_name == STOP:
        return await calls.stop(task, *rest)
    return await calls.pace(task, *rest)


def _decode_start(
    task: jobspec.TaskName, row: list, payloads: PayloadCache
) -> interfaces.StartOrder:
    run, sent_payload, *rest = row
    until, token, incarnation, checkpoint, ticket = rest
    return interfaces.StartOrder(
        task,
        run,
        payloads.decode(task.job, sent_payload),
        until,
        token,
        decoding.to_count(incarnation),
        checkpoint,
        ticket,
    )


def _decode_renewal(row: list) -> interfaces.Renewal:
    names = [field.name for field in attrs.fields(interfaces.Renewal)]
    return interfaces.Renewal(**dict(zip(names, row, strict=True)))


def _encode_active_run(run: interfaces.ActiveRun) -> list:
    name = encode_task_name(run.task)
    return [*name, run.run, run.checkpoint, run.percent, run.usage]


def _decode_task_name(row: list) -> jobspec.TaskName:
    job, occurrence, step, index = row
    return jobspec.TaskName(
        decoding.to_text(job),
        decoding.to_int(occurrence),
        decoding.to_int(step),
        decoding.to_int(index),
    )


def _decode_active_run(row: list) -> interfaces.ActiveRun:
    run, checkpoint, percent, usage = row[4:]
    return interfaces.ActiveRun(
        _decode_task_name(row[:4]),
        decoding.to_int(run),
        decoding.to_text(checkpoint),
        decoding.to_number(percent),
        decoding.to_number(usage),
    )


def _encode_ended_run(run: interfaces.EndedRun) -> list:
    name = encode_task_name(run.task)
    return [*name, run.number, run.run, run.outcome.value, run.checkpoint]


def _decode_ended_run(row: list) -> interfaces.EndedRun:
    number, run, outcome, checkpoint = row[4:]
    return interfaces.EndedRun(
        decoding.to_int(number),
        _decode_task_name(row[:4]),
        decoding.to_int(run),
        interfaces.RunOutcome(outcome),
        decoding.to_text(checkpoint),
    )
