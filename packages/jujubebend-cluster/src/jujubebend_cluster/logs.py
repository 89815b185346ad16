"""Structured logs, written as JSON lines to standard output.

Lines go through eliot to a sink that never blocks. If the reader stops
reading, lines are dropped and counted.
"""

from __future__ import annotations

import collections
import os

import attrs
import eliot
import orjson

from jujubebend_cluster import clock, jobspec

MAX_LINES_PER_SECOND = 400  # further lines are dropped and counted
MAX_BACKLOG_LINES = 2_000  # kept for a slow reader
# Events that are written whatever the rate of lines.
_UNLIMITED_EVENTS = frozenset((
    'start',
    'released',
    'stop',
    'reload',
    'dependency',
    'belief',
    'leader_load',
))


@attrs.define(eq=False)
class Sink:
    """Writes log lines to a file descriptor without blocking.

    ``dropped`` counts the lines dropped since their number was last logged.
    """

    descriptor: int = 1
    host: str = ''
    dropped: int = 0
    dropped_total: int = 0
    _backlog: collections.deque = attrs.field(factory=collections.deque)
    _current_second: int = 0
    _lines_this_second: int = 0
    _reported: int = 0

    def __call__(self, message: dict) -> None:
        """Write one message from eliot."""
        second = int(clock.now())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        event = message.get('message_type')
        if (
            self._lines_this_second > MAX_LINES_PER_SECOND
            and event not in _UNLIMITED_EVENTS
        ):
            self._count_dropped()
            return
        self._log_dropped()
        self._enqueue(_encode_line(message, self.host))

    def _log_dropped(self) -> None:
        if self.dropped and len(self._backlog) < MAX_BACKLOG_LINES:
            line = {
                'timestamp': clock.unix(),
                'host': self.host,
                'event': 'lines_left_out',
                'count': self.dropped,
            }
            self.dropped = 0
            self._enqueue(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))

    def _enqueue(self, line: bytes) -> None:
        if len(self._backlog) >= MAX_BACKLOG_LINES:
            self._count_dropped()
            return
        self._backlog.append(line)
        self.write_backlog()

    def write_backlog(self) -> None:
        """Write as much of the backlog as the reader accepts."""
        while self._backlog:
            line = self._backlog[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: count the lost line and go on.
                self._backlog.popleft()
                self._count_dropped()
                return
            if written < len(line):
                self._backlog[0] = line[written:]
                return
            self._backlog.popleft()

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.dropped_total += 1


def _encode_line(message: dict, host: str) -> bytes:
    common = {
        'timestamp': message.get('timestamp'),
        'host': host,
        'event': message.pop('message_type', ''),
    }
    for key in ('task_uuid', 'task_level', 'timestamp'):
        message.pop(key, None)
    return orjson.dumps(
        common | message, default=str, option=orjson.OPT_APPEND_NEWLINE
    )


SINK = Sink()


def open_sink(host: str) -> None:
    """Send log lines from all modules to standard output."""
    SINK.host = host
    os.set_blocking(SINK.descriptor, False)
    eliot.add_destinations(SINK)


def decision(event: str, **fields: object) -> None:
    """Log a decision that affects a request."""
    eliot.log_message(event, **fields)


def run_decision(
    event: str,
    task: jobspec.TaskName,
    run: int,
    worker: str,
    **fields: object,
) -> None:
    """Log a decision about one run of a task."""
    decision(
        event,
        job=task.job,
        task=task.label,
        run=run,
        worker=worker,
        **fields,
    )


def belief(subject: str, **fields: object) -> None:
    """Log a change in this host's view of the cluster."""
    eliot.log_message('belief', belief=subject, **fields)


def dependency(name: str, *, lost: bool, why: str = '') -> None:
    """Log that a dependency was lost or regained."""
    state = 'lost' if lost else 'regained'
    eliot.log_message('dependency', dependency=name, state=state, why=why)


def load_report(**fields: object) -> None:
    """Log what delayed a leader's work in the last interval."""
    eliot.log_message('leader_load', **fields)


def lifecycle(event: str, **fields: object) -> None:
    """Log a start, a stop, a reload or an error of this process."""
    eliot.log_message(event, **fields)
