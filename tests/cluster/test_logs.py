"""Log lines are JSON, bounded in number, and written without blocking."""

from __future__ import annotations

import os

import orjson
import pytest

from jujubebend_cluster import clock, logs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _build_sink(writer, monkeypatch):
    monkeypatch.setattr(clock, 'now', lambda: 5)
    return logs.Sink(descriptor=writer, host='h')


def _build_message(number=0, event='start_task'):
    return {
        'message_type': event,
        'timestamp': 1.5,
        'task_uuid': 'u',
        'task_level': [1],
        'job': f'j{number}',
    }


def _read_lines(reader):
    return [orjson.loads(line) for line in os.read(reader, 10**6).splitlines()]


def test_a_line_is_one_json_object(pipe, monkeypatch):
    sink = _build_sink(pipe[1], monkeypatch)
    sink(_build_message())
    assert _read_lines(pipe[0]) == [
        {'timestamp': 1.5, 'host': 'h', 'event': 'start_task', 'job': 'j0'}
    ]


def test_lines_beyond_the_rate_limit_are_dropped_and_counted(pipe, monkeypatch):
    sink = _build_sink(pipe[1], monkeypatch)
    for number in range(logs.MAX_LINES_PER_SECOND + 50):
        sink(_build_message(number))
    monkeypatch.setattr(clock, 'now', lambda: 6)
    sink(_build_message())
    lines = _read_lines(pipe[0])
    assert len(lines) == logs.MAX_LINES_PER_SECOND + 2
    assert lines[-2]['event'] == 'lines_left_out'
    assert lines[-2]['count'] == 50


@pytest.mark.parametrize('event', ['belief', 'released'])
def test_an_event_is_written_beyond_the_rate_limit(pipe, monkeypatch, event):
    """Guards against logs without the reason for a task's second start."""
    sink = _build_sink(pipe[1], monkeypatch)
    for number in range(logs.MAX_LINES_PER_SECOND + 50):
        sink(_build_message(number))
    sink(_build_message(event=event))
    assert _read_lines(pipe[0])[-1]['event'] == event


def test_a_stopped_reader_costs_lines_but_does_not_block(pipe, monkeypatch):
    sink = _build_sink(pipe[1], monkeypatch)
    for second in range(40):
        monkeypatch.setattr(clock, 'now', lambda now=second: now)
        for number in range(logs.MAX_LINES_PER_SECOND):
            sink(_build_message(number))
    assert sink.dropped_total
    assert len(sink._backlog) <= logs.MAX_BACKLOG_LINES


def test_backlogged_lines_are_written_in_full(pipe, monkeypatch):
    sink = _build_sink(pipe[1], monkeypatch)
    received = b''
    for second in range(5):
        monkeypatch.setattr(clock, 'now', lambda now=second: now)
        for number in range(logs.MAX_LINES_PER_SECOND):
            sink(_build_message(number))
    for _ in range(100):
        try:
            received += os.read(pipe[0], 10**6)
        except BlockingIOError:
            break
        sink.write_backlog()
    assert len([orjson.loads(line) for line in received.splitlines()]) == (
        5 * logs.MAX_LINES_PER_SECOND
    )


def test_a_closed_reader_is_tolerated(monkeypatch):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.close(reader)
    sink = _build_sink(writer, monkeypatch)
    sink(_build_message())
    assert sink.dropped_total == 1
    os.close(writer)
