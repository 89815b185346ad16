"""Tests of the platform's message formats.

A malformed worker entry must be ignored: raising would stop the reading of
the other entries.
"""

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
USED_FIELDS = frozenset((
    'service',
    'address',
    'zone',
    'state',
    'capacity',
    'labels',
    'born',
))


def test_worker_entry_is_parsed():
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
    'changed_fields',
    [
        {'state': 'asleep'},
        {'address': 'nowhere'},
        {'address': 7},
        {'address': '127.0.0.1:70000'},
        {'address': '127.0.0.1:0'},
        {'address': '127.0.0.1:-1'},
        {'address': ':80'},
        {'address': 'a..b:80'},
        {'address': 'workers.example:80'},
        {'capacity': None},
        {'capacity': {'cpu': 'much'}},
        {'labels': 5},
        {'labels': [1, 2]},
        {'labels': 'a'},
        {'labels': {'a': 1}},
        {'zone': 7},
        {'service': None},
        {'born': 1.5},
        {'born': True},
    ],
)
def test_worker_entry_with_a_malformed_field_is_ignored(changed_fields):
    body = orjson.dumps(ENTRY | changed_fields)
    assert workers.parse_worker_entry('i-1', body) is None


@pytest.mark.parametrize(
    'missing_field',
    ['service', 'address', 'state', 'capacity', 'labels', 'zone', 'born'],
)
def test_worker_entry_without_a_field_is_ignored(missing_field):
    document = {
        field: content
        for field, content in ENTRY.items()
        if field != missing_field
    }
    assert workers.parse_worker_entry('i-1', orjson.dumps(document)) is None


@pytest.mark.parametrize('body', [b'', b'\xff\x00', b'[]', b'7', b'null'])
def test_worker_entry_that_is_no_json_object_is_ignored(body):
    assert workers.parse_worker_entry('i-1', body) is None


NESTED = b'[' * 1000 + b']' * 1000  # the decoder's limit is 1024


@pytest.mark.parametrize('field', ['extra', *ENTRY])
@pytest.mark.parametrize(
    'raw_text',
    [NESTED, NESTED * 3, b'1e400', b'1e300', b'9' * 30, b'9' * 5000, b'-1'],
    ids=[
        'nested',
        'invalid',
        'infinite',
        'large',
        'long',
        'longer',
        'negative',
    ],
)
def test_an_odd_worker_entry_raises_nothing(field, raw_text):
    """Guards against an entry that ends the reader of all entries.

    Describing a deeply nested field exceeded the interpreter's recursion
    limit, and that error ended the leader's term.
    """
    body = orjson.dumps(ENTRY | {field: '@'}).replace(b'"@"', raw_text)
    entry = workers.parse_worker_entry('i-1', body)
    assert entry is None or field not in USED_FIELDS


@pytest.mark.parametrize('resource', ['cpu', 'mem_mb', 'gpu'])
def test_worker_entry_with_an_impossible_capacity_is_ignored(resource):
    capacity = ENTRY['capacity'] | {resource: 2**63 - 1}
    body = orjson.dumps(ENTRY | {'capacity': capacity})
    assert workers.parse_worker_entry('i-1', body) is None


@pytest.mark.parametrize('worker', ['i-\xe9', 'i\r\nx: y', 'i-\u2603'])
def test_worker_entry_whose_id_fits_in_no_header_is_ignored(worker):
    assert workers.parse_worker_entry(worker, orjson.dumps(ENTRY)) is None


def test_formatted_task_name_is_parsed_back():
    name = jobspec.TaskName('5c0e7a21d94b36f8', 0, 1, 17)
    assert tasknames.format_task_name(name) == '5c0e7a21d94b36f8.0.1.17'
    assert tasknames.parse_task_name(tasknames.format_task_name(name)) == name


def test_submitted_job_is_parsed():
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
    'document',
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
def test_malformed_job_raises_invalid_input_error(document):
    with pytest.raises(errors.InvalidInputError):
        callerapi.parse_job('j', 'q', orjson.dumps(document), 5.0)


def test_path_is_routed_to_the_queue_with_the_longest_prefix():
    document = {
        'config_version': 7,
        'routes': [
            {'name': 'a', 'hostname': 'h', 'prefix': '/x/', 'service': 's'},
            {'name': 'b', 'hostname': 'h', 'prefix': '/x/y/', 'service': 's'},
            {'name': 'c', 'hostname': 'g', 'prefix': '/x/y/', 'service': 's'},
        ],
        'services': [{'name': 's'}],
    }
    config = operatorconfig.parse(orjson.dumps(document))
    assert config.match_queue('h', '/x/y/1').name == 'b'
    assert config.match_queue('h', '/x/1').name == 'a'
    assert config.match_queue('h', '/z/1') is None


def test_missing_settings_file_names_the_environment_variable(tmp_path):
    with pytest.raises(errors.InvalidInputError, match='JUJUBEBEND_CONFIG'):
        settings.load(str(tmp_path / 'none.toml'))


def test_error_reply_has_a_retry_after_header():
    reply = callerapi.error_reply(503, 'busy', 1.0)
    assert reply.headers['retry-after'] == '1'
