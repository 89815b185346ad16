"""Calls to workers, and their answers, as hosts hand them to each other."""

from __future__ import annotations

from jujubebend import errors
from jujubebend_cluster import jobspec, ports

START = 'start'
STOP = 'stop'
PACE = 'pace'
HOLD = 'hold'

_VERDICT = 'verdict'
_LOOK = 'look'
_LOST = 'lost'


def name_row(task: jobspec.TaskName) -> list:
    """Return a task's name as a row."""
    return [task.job, task.occurrence, task.step, task.index]


def start_row(order: ports.StartOrder) -> list:
    """Return an order to start as a row."""
    return [
        name_row(order.task),
        order.run,
        order.payload,
        order.until,
        order.token,
        order.checkpoint,
        order.ticket,
    ]


async def make(calls: ports.WorkerCalls, kind: str, row: list) -> list:
    """Make the call that a row describes; return its answer as a row."""
    try:
        answer = await _make(calls, kind, row)
    except errors.JujubebendError as exc:
        return [_LOST, str(exc)]
    if isinstance(answer, ports.Verdict):
        return [_VERDICT, answer.value]
    running = answer.running
    return [
        _LOOK,
        answer.clock,
        answer.born,
        None if running is None else [_running_row(one) for one in running],
        [_ended_row(one) for one in answer.ended],
    ]


def read(row: list) -> ports.Look | ports.Verdict:
    """Read an answer; raises ``UnreachableError`` where there was none."""
    kind, *rest = row
    if kind == _LOST:
        raise errors.UnreachableError(rest[0])
    if kind == _VERDICT:
        return ports.Verdict(rest[0])
    clock, born, running, ended = rest
    return ports.Look(
        clock,
        born,
        None if running is None else tuple(map(_read_running, running)),
        tuple(map(_read_ended, ended)),
    )


async def _make(
    calls: ports.WorkerCalls, kind: str, row: list
) -> ports.Look | ports.Verdict:
    if kind == HOLD:
        token, seen, until, wait, whole = row
        return await calls.hold(token, seen, until, wait, whole=whole)
    task = jobspec.TaskName(*row[0])
    if kind == START:
        return await calls.start(ports.StartOrder(task, *row[1:]))
    if kind == STOP:
        return await calls.stop(task, *row[1:])
    return await calls.pace(task, *row[1:])


def _running_row(one: ports.Running) -> list:
    name = name_row(one.task)
    return [*name, one.run, one.checkpoint, one.percent, one.usage]


def _read_running(row: list) -> ports.Running:
    return ports.Running(jobspec.TaskName(*row[:4]), *row[4:])


def _ended_row(one: ports.Ended) -> list:
    name = name_row(one.task)
    return [*name, one.number, one.run, one.ending.value, one.checkpoint]


def _read_ended(row: list) -> ports.Ended:
    number, run, ending, checkpoint = row[4:]
    return ports.Ended(
        number,
        jobspec.TaskName(*row[:4]),
        run,
        ports.Ending(ending),
        checkpoint,
    )
