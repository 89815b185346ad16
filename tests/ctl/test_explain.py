"""The history of a job and its likely cause, from the logs of all hosts."""

from __future__ import annotations

import orjson
import pytest

from jujubebend_ctl import explain


def _encode_line(timestamp, event, host='h1', **fields):
    document = {'timestamp': timestamp, 'host': host, 'event': event, **fields}
    return orjson.dumps(document) + b'\n'


QUEUED = (1.0, 'queued', {'job': 'j'})
START = (1.1, 'start', {'job': 'j', 'task': '0.0.0', 'worker': 'w'})


def _build_history(*events):
    raw_lines = [
        _encode_line(timestamp, event, **fields)
        for timestamp, event, fields in events
    ]
    return explain.build_history(explain.parse_log(raw_lines), 'j')


@pytest.mark.parametrize(
    ('events', 'cause'),
    [
        ([], 'never arrived'),
        ([(0.9, 'submitted', {'job': 'j', 'outcome': 'refused'})], 'refused'),
        ([(0.9, 'submitted', {'job': 'j', 'outcome': 'unknown'})], 'in time'),
        ([QUEUED], 'had free capacity'),
        ([QUEUED, (1.2, 'advice', {'job': 'j', 'good': 0})], 'advice allows'),
        ([QUEUED, (4.0, 'start', {'job': 'j'})], 'waited 3.000 s'),
        ([QUEUED, START, (2.0, 'cancelled', {'job': 'j'})], 'cancelled'),
        (
            [
                QUEUED,
                START,
                (2.0, 'ended', {'job': 'j', 'how': 'failed', 'worker': 'w'}),
                (2.0, 'job_ended', {'job': 'j', 'state': 'failed'}),
            ],
            'failed 1 times, on w',
        ),
        (
            [
                QUEUED,
                START,
                (2.0, 'released', {'job': 'j', 'why': 'lapsed leases'}),
            ],
            'lapsed leases',
        ),
    ],
)
def test_the_likely_cause_is_found(events, cause):
    assert cause in _build_history(*events).cause


SUBMITTED = (0.9, 'submitted', {'job': 'j', 'outcome': 'stored'})
ENDED = (2.0, 'job_ended', {'job': 'j', 'state': 'completed'})
LEFT_OUT = (1.5, 'lines_left_out', {'count': 7})


@pytest.mark.parametrize(
    ('events', 'cause'),
    [
        ([SUBMITTED], 'no leader has loaded it'),
        ([SUBMITTED, LEFT_OUT], 'unknown: no line of a leader'),
        ([LEFT_OUT], 'unknown: no line names this job'),
        ([SUBMITTED, LEFT_OUT, START, ENDED], 'no unusual events'),
        ([SUBMITTED, LEFT_OUT, ENDED], 'starts are missing'),
        ([SUBMITTED, (4.0, 'start', {'job': 'j'}), LEFT_OUT], 'waited 3.100 s'),
        (
            [(0.9, 'submitted', {'job': 'j', 'outcome': 'refused'}), LEFT_OUT],
            'refused every submission',
        ),
    ],
)
def test_what_was_left_out_of_the_logs_is_not_taken_for_an_event(events, cause):
    """Of a completed job it said that no leader had loaded it.

    Its ``queued`` line had been left out under load.
    """
    assert cause in _build_history(*events).cause


def test_the_lines_left_out_while_a_job_was_under_way_are_counted():
    later = (9.0, 'lines_left_out', {'count': 100})
    earlier = (0.1, 'lines_left_out', {'count': 50})
    history = _build_history(earlier, SUBMITTED, LEFT_OUT, START, ENDED, later)
    assert history.left_out == {'h1': 7}
    assert 'h1 left out 7 lines in this time' in history.render()
    history = _build_history(earlier, SUBMITTED, LEFT_OUT, later)
    assert history.left_out == {'h1': 107}


def test_lines_of_other_jobs_and_other_text_are_left_out():
    raw_lines = [
        b'Traceback (most recent call last):\n',
        _encode_line(2.0, 'start', 'h2', job='j'),
        b'  12.5 h1 ' + _encode_line(1.0, 'queued', job='j'),
        _encode_line(1.5, 'queued', job='other'),
        _encode_line(3.0, 'ended', job='j')[:-9],
    ]
    history = explain.build_history(explain.parse_log(raw_lines), 'j')
    assert [line.event for line in history.lines] == ['queued', 'start']


def test_a_long_gap_is_marked():
    rendered = _build_history(QUEUED, (9.0, 'start', {'job': 'j'})).render()
    assert '8.000 s without a line' in rendered[1]
