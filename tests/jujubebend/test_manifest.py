"""Validation of the operator configuration, with paths and lines."""

from __future__ import annotations

import pytest

from jujubebend import errors, manifest
from jujubebend_ctl import demo

HEAD = """\
teams:
  - {name: sales}
kinds:
  - {name: quick, class: urgent}
services:
"""


def _parse_faults(text):
    with pytest.raises(errors.InvalidInputError) as exc_info:
        manifest.parse(text)
    return exc_info.value.faults


def test_sample_is_accepted():
    parsed = manifest.parse(demo.sample_config())
    assert parsed.service('prices').depends_on == ['inventory']
    assert parsed.kind('stock-check').work_class == manifest.URGENT


@pytest.mark.parametrize(
    ('service', 'line', 'found'),
    [
        ('{name: x, kind: slow, team: sales}', 6, "kind 'slow'"),
        ('{name: x, kind: quick, team: none}', 6, "team 'none'"),
        (
            '{name: x, kind: quick, team: sales, depends_on: [y]}',
            6,
            "service 'y'",
        ),
        (
            '{name: x, kind: quick, team: sales, depends_on: [x]}',
            6,
            'cycle',
        ),
        ('{name: x, kind: quick, team: sales, replicas: -1}', 6, 'replicas'),
        ('{name: x, kind: quick, team: sales, size: 1}', 6, "'size'"),
        ('{name: x, kind: quick}', 6, 'missing'),
        (
            '{name: x, kind: quick, team: sales, resources: {slots: no}}',
            6,
            'slots',
        ),
    ],
)
def test_fault_has_its_line(service, line, found):
    faults = _parse_faults(f'{HEAD}  - {service}\n')
    assert any(
        fault.line == line and found in f'{fault.place} {fault.found}'
        for fault in faults
    ), [fault.render() for fault in faults]


def test_duplicate_names_and_keys_are_refused():
    service = '  - {name: x, kind: quick, team: sales}\n'
    faults = _parse_faults(f'{HEAD}{service}{service}')
    assert [fault.line for fault in faults] == [7]
    assert 'twice' in _parse_faults('teams: []\nteams: []\n')[0].found


def test_demand_above_largest_worker_is_refused():
    text = (
        'largest_worker: {slots: 2}\n'
        f'{HEAD}  - {{name: x, kind: quick, team: sales,'
        ' resources: {slots: 3}}\n'
    )
    (fault,) = _parse_faults(text)
    assert fault.place == '$.services[0].resources.slots'


@pytest.mark.parametrize('text', ['a: [', '- 1', '&a [*a]', 'x: !!int y'])
def test_malformed_text_is_refused(text):
    assert _parse_faults(text)
