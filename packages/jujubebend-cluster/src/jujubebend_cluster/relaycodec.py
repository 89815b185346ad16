"""Calls to workers, and their answers, as hosts hand them to each other."""

from __future__ import annotations

import attrs

from jujubebend import errors
from jujubebend_cluster import interfaces, jobspec

START = 'start'
STOP = 'stop'
PACE = 'pace'
HOLD = 'hold'

MOST_PAYLOADS = 500  # of some 500 bytes each, known on each side of a route

_VERDICT = 'verdict'
_LOOK = 'look'
_LOST = 'lost'


def name_row(task: jobspec.TaskName) -> list:
    """Return a task's name as a row."""
    return [task.job, task.occurrence, task.step, task.index]


@attrs.define(eq=False)
class Payloads:
    """The payloads of jobs that both sides of a route know.

    A job has many tasks and one payload, which crosses a route once. Both
    sides keep as many, and drop the oldest first.
    """

    _known: dict[str, str] = attrs.field(factory=dict)

    def shorten(self, job: str, payload: str) -> str | None:
        """Return what to send: nothing where the other side knows it."""
        if job in self._known:
            return None
        self._keep(job, payload)
        return payload

    def restore(self, job: str, sent: str | None) -> str:
        """Return the payload that was meant.

        Raises ``UnreachableError`` where this side began anew meanwhile.
        """
        if sent is not None:
            self._keep(job, sent)
        elif job not in self._known:
            raise errors.UnreachableError(f'{job}: its payload is not known')
        return self._known[job]

    def _keep(self, job: str, payload: str) -> None:
        self._known[job] = payload
        if len(self._known) > MOST_PAYLOADS:
            self._known.pop(next(iter(self._known)))


def start_row(order: interfaces.StartOrder, payloads: Payloads) -> list:
    """Return an order to start as a row."""
    return [
        name_row(order.task),
        order.run,
        payloads.shorten(order.task.job, order.payload),
        order.until,
        order.token,
        order.checkpoint,
        order.ticket,
    ]


async def make(
    calls: interfaces.WorkerCalls, kind: str, row: list, payloads: Payloads
) -> list:
    """Make the call that a row describes; return its answer as a row.

    Calls must be begun in the order of their rows.
    """
    try:
        answer = await _make(calls, kind, row, payloads)
    except errors.JujubebendError as exc:
        return [_LOST, str(exc)]
    if isinstance(answer, interfaces.OrderResult):
        return [_VERDICT, answer.value]
    running = answer.running
    return [
        _LOOK,
        answer.clock,
        answer.born,
        None if running is None else [_running_row(one) for one in running],
        [_ended_row(one) for one in answer.ended],
    ]


def read(row: list) -> interfaces.WorkerStatus | interfaces.OrderResult:
    """Read an answer; raises ``UnreachableError`` where there was none."""
    kind, *rest = row
    if kind == _LOST:
        raise errors.UnreachableError(rest[0])
    if kind == _VERDICT:
        return interfaces.OrderResult(rest[0])
    clock, born, running, ended = rest
    return interfaces.WorkerStatus(
        clock,
        born,
        None if running is None else tuple(map(_read_running, running)),
        tuple(map(_read_ended, ended)),
    )


async def _make(
    calls: interfaces.WorkerCalls, kind: str, row: list, payloads: Payloads
) -> interfaces.WorkerStatus | interfaces.OrderResult:
    if kind == HOLD:
        token, seen, until, wait, list_runs = row
        return await calls.renew_leases(
            token, seen, until, wait, list_runs=list_runs
        )
    name, *rest = row
    task = jobspec.TaskName(*name)
    if kind == START:
        run, sent, *rest = rest
        payload = payloads.restore(task.job, sent)
        return await calls.start(
            interfaces.StartOrder(task, run, payload, *rest)
        )
    if kind == STOP:
        return await calls.stop(task, *rest)
    return await calls.pace(task, *rest)


def _running_row(one: interfaces.ActiveRun) -> list:
    name = name_row(one.task)
    return [*name, one.run, one.checkpoint, one.percent, one.usage]


def _read_running(row: list) -> interfaces.ActiveRun:
    return interfaces.ActiveRun(jobspec.TaskName(*row[:4]), *row[4:])


def _ended_row(one: interfaces.EndedRun) -> list:
    name = name_row(one.task)
    return [*name, one.number, one.run, one.outcome.value, one.checkpoint]


def _read_ended(row: list) -> interfaces.EndedRun:
    number, run, ending, checkpoint = row[4:]
    return interfaces.EndedRun(
        number,
        jobspec.TaskName(*row[:4]),
        run,
        interfaces.RunOutcome(ending),
        checkpoint,
    )
