"""A job's story is told from mixed logs, with its likely cause."""

from __future__ import annotations

import orjson
import pytest

from jujubebend_ctl import explain


def _line(timestamp, event, host='h1', **fields):
    plain = {'timestamp': timestamp, 'host': host, 'event': event, **fields}
    return orjson.dumps(plain) + b'\n'


QUEUED = (1.0, 'queued', {'job': 'j'})
START = (1.1, 'start', {'job': 'j', 'task': '0.0.0', 'worker': 'w'})


def _tell(*events):
    raw = [_line(at, event, **fields) for at, event, fields in events]
    return explain.tell(explain.read(raw), 'j')


@pytest.mark.parametrize(
    ('events', 'cause'),
    [
        ([], 'never arrived'),
        ([(0.9, 'submitted', {'job': 'j', 'outcome': 'refused'})], 'refused'),
        ([(0.9, 'submitted', {'job': 'j', 'outcome': 'unknown'})], 'in time'),
        ([QUEUED], 'had room'),
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
def test_the_likely_cause(events, cause):
    assert cause in _tell(*events).cause


def test_lines_of_other_jobs_and_other_text_are_left_out():
    raw = [
        b'Traceback (most recent call last):\n',
        _line(2.0, 'start', 'h2', job='j'),
        b'  12.5 h1 ' + _line(1.0, 'queued', job='j'),
        _line(1.5, 'queued', job='other'),
        _line(3.0, 'ended', job='j')[:-9],
    ]
    story = explain.tell(explain.read(raw), 'j')
    assert [line.event for line in story.lines] == ['queued', 'start']


def test_a_gap_is_pointed_out():
    told = _tell(QUEUED, (9.0, 'start', {'job': 'j'})).render()
    assert '8.000 s without a line' in told[1]
