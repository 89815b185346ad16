"""JSON lines on standard output: decisions, beliefs, dependencies.

Lines go through eliot to a sink that never blocks: a reader that stops
reading costs lines, which are counted, and never time.
"""

from __future__ import annotations

import collections
import os

import attrs
import eliot
import orjson

from jujubebend_cluster import clock, jobspec

LINES_PER_SECOND = 400  # beyond this, decisions are counted, not written
LONGEST_BACKLOG = 2_000  # lines kept for a reader that is slow
_FORCED = frozenset(('start', 'stop', 'reload', 'dependency', 'belief'))


@attrs.define(eq=False)
class Sink:
    """Writes lines to a descriptor without blocking."""

    descriptor: int = 1
    host: str = ''
    left_out: int = 0
    left_out_total: int = 0
    _backlog: collections.deque = attrs.field(factory=collections.deque)
    _second: int = 0
    _lines: int = 0
    _reported: int = 0

    def __call__(self, message: dict) -> None:
        """Take one message from eliot."""
        second = int(clock.now())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        event = message.get('message_type')
        if self._lines > LINES_PER_SECOND and event not in _FORCED:
            self._drop()
            return
        self._report_left_out()
        self._write(_line(message, self.host))

    def _report_left_out(self) -> None:
        if self.left_out and len(self._backlog) < LONGEST_BACKLOG:
            line = {
                'timestamp': clock.unix(),
                'host': self.host,
                'event': 'lines_left_out',
                'count': self.left_out,
            }
            self.left_out = 0
            self._write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    def _write(self, line: bytes) -> None:
        if len(self._backlog) >= LONGEST_BACKLOG:
            self._drop()
            return
        self._backlog.append(line)
        self.drain()

    def drain(self) -> None:
        """Write what the reader has room for."""
        while self._backlog:
            line = self._backlog[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: keep running, count what is lost.
                self._backlog.popleft()
                self._drop()
                return
            if written < len(line):
                self._backlog[0] = line[written:]
                return
            self._backlog.popleft()

    def _drop(self) -> None:
        self.left_out += 1
        self.left_out_total += 1


def _line(message: dict, host: str) -> bytes:
    kept = {
        'timestamp': message.get('timestamp'),
        'host': host,
        'event': message.pop('message_type', ''),
    }
    for key in ('task_uuid', 'task_level', 'timestamp'):
        message.pop(key, None)
    return orjson.dumps(
        kept | message, default=str, option=orjson.OPT_APPEND_NEWLINE
    )


SINK = Sink()


def open_sink(host: str) -> None:
    """Send every line to standard output from now on."""
    SINK.host = host
    os.set_blocking(SINK.descriptor, False)
    eliot.add_destinations(SINK)


def decision(event: str, **fields: object) -> None:
    """Log a decision that touches a request."""
    eliot.log_message(event, **fields)


def run_decision(
    event: str,
    task: jobspec.TaskName,
    run: int,
    worker: str,
    **fields: object,
) -> None:
    """Log a decision on one run of a task."""
    decision(
        event,
        job=task.job,
        task=task.label,
        run=run,
        worker=worker,
        **fields,
    )


def belief(what: str, **fields: object) -> None:
    """Log a change of what this process believes."""
    eliot.log_message('belief', belief=what, **fields)


def dependency(name: str, *, lost: bool, why: str = '') -> None:
    """Log a dependency that was lost or regained."""
    state = 'lost' if lost else 'regained'
    eliot.log_message('dependency', dependency=name, state=state, why=why)


def lifecycle(event: str, **fields: object) -> None:
    """Log a start, a stop or a reload."""
    eliot.log_message(event, **fields)
