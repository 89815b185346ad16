"""The platform's formats are decoded once, and bad entries cost nothing."""

from __future__ import annotations

import orjson
import pytest

from jujubebend import errors
from jujubebend_adapter import (
    callerapi,
    operatorconfig,
    settings,
    tasknames,
    workers,
)
from jujubebend_cluster import interfaces, jobspec

ENTRY = {
    'service': 'svc',
    'address': '10.128.0.9:8080',
    'zone': 'z1',
    'config_version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'sequence': 4,
    'born': 1788,
}


def test_an_entry_becomes_a_worker():
    entry = workers.parse_worker_entry('i-1', orjson.dumps(ENTRY))
    assert entry == interfaces.WorkerEntry(
        worker='i-1',
        born=1788,
        service='svc',
        address='10.128.0.9:8080',
        zone='z1',
        state=interfaces.WorkerState.READY,
        capacity=jobspec.Demand(16_000, 32_768, 0),
        labels=('a', 'r1-3'),
        rack='r1-3',
    )


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'address': 'nowhere'},
        {'address': 7},
        {'capacity': None},
        {'capacity': {'cpu': 'much'}},
        {'labels': 5},
        {'labels': [1, 2]},
        {'service': None},
        {'born': 1.5},
        {'born': True},
    ],
)
def test_an_unreadable_entry_names_no_worker(change):
    body = orjson.dumps(ENTRY | change)
    assert workers.parse_worker_entry('i-1', body) is None


@pytest.mark.parametrize('field', ['service', 'address', 'state', 'capacity'])
def test_an_entry_without_a_field_names_no_worker(field):
    plain = {key: part for key, part in ENTRY.items() if key != field}
    assert workers.parse_worker_entry('i-1', orjson.dumps(plain)) is None


@pytest.mark.parametrize('body', [b'', b'\xff\x00', b'[]', b'7', b'null'])
def test_bytes_that_are_no_entry_name_no_worker(body):
    assert workers.parse_worker_entry('i-1', body) is None


def test_a_task_name_is_read_back():
    name = jobspec.TaskName('5c0e7a21d94b36f8', 0, 1, 17)
    assert tasknames.task(name) == '5c0e7a21d94b36f8.0.1.17'
    assert tasknames.parse_task(tasknames.task(name)) == name


def test_a_submission_becomes_a_job():
    body = orjson.dumps({
        'spec': 'text',
        'steps': [
            {'count': 4, 'cpu': 500, 'mem_mb': 256, 'estimate_ms': 900},
            {'count': 2, 'cpu': 1, 'after': [0], 'gang': True},
        ],
    })
    spec = callerapi.parse_job('j', 'q', body, 5.0)
    assert spec.steps[0].demand == jobspec.Demand(500, 256)
    assert spec.steps[0].estimate == pytest.approx(0.9)
    assert spec.steps[1].after == (0,)
    assert spec.steps[1].gang


@pytest.mark.parametrize(
    'plain',
    [
        {},
        {'spec': 'x'},
        {'spec': 'x', 'steps': []},
        {'spec': 7, 'steps': [{'count': 1}]},
        {'spec': 'x' * 4001, 'steps': [{'count': 1}]},
        {'spec': 'x', 'steps': [{'count': 0}]},
        {'spec': 'x', 'steps': [{'count': 1, 'after': [0]}]},
        {'spec': 'x', 'steps': [{'count': 1}, {'count': 1, 'after': [-1]}]},
        {'spec': 'x', 'steps': ['one']},
    ],
)
def test_a_bad_submission_is_an_invalid_input(plain):
    with pytest.raises(errors.InvalidInputError):
        callerapi.parse_job('j', 'q', orjson.dumps(plain), 5.0)


def test_the_longest_prefix_of_the_host_is_the_queue():
    plain = {
        'config_version': 7,
        'routes': [
            {'name': 'a', 'hostname': 'h', 'prefix': '/x/', 'service': 's'},
            {'name': 'b', 'hostname': 'h', 'prefix': '/x/y/', 'service': 's'},
            {'name': 'c', 'hostname': 'g', 'prefix': '/x/y/', 'service': 's'},
        ],
        'services': [{'name': 's'}],
    }
    made = operatorconfig.parse(orjson.dumps(plain))
    assert made.route('h', '/x/y/1').name == 'b'
    assert made.route('h', '/x/1').name == 'a'
    assert made.route('h', '/z/1') is None


def test_settings_that_are_missing_say_what_to_mend(tmp_path):
    with pytest.raises(errors.InvalidInputError, match='JUJUBEBEND_CONFIG'):
        settings.load(str(tmp_path / 'none.toml'))


def test_an_error_says_when_to_come_back():
    reply = callerapi.error_reply(503, 'busy', 1.0)
    assert reply.headers['retry-after'] == '1'
