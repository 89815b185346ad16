"""Parsing of settings.

Guards against settings that are accepted although invalid, and against
faults that are reported without their key, line or remedy.
"""

from __future__ import annotations

import pytest

from jujubebend import errors
from jujubebend_entry import settings

VALID_SETTINGS = """{
  // The host and its zone.
  "name": "entry-1",
  "zone": "a",
  "zones": ["a", "b"],
  "store": "127.0.0.1:2000",
  "host_list": "127.0.0.1:2001"
}"""


def test_settings_with_comments_are_parsed():
    cfg = settings.parse(VALID_SETTINGS)
    assert cfg.shard_names() == ['a-0', 'a-1', 'b-0', 'b-1']


@pytest.mark.parametrize(
    ('old', 'new', 'expected_place', 'expected_line'),
    [
        ('"entry-1"', '"Entry 1"', '$', 0),
        ('"zone": "a"', '"zone": "z"', '$.zone', 4),
        ('"zone": "a"', '"zone": 4', '$.zone', 4),
        ('"store"', '"stroe"', '$', 0),
        ('"127.0.0.1:2000"', '2000', '$.store', 6),
        ('"a", "b"', '"a", 1', '$.zones[1]', 5),
        ('"name": "entry-1",', '"name": ', '$', 4),
    ],
)
def test_faults_name_their_place_and_line(
    old, new, expected_place, expected_line
):
    with pytest.raises(errors.InvalidInputError) as exc_info:
        settings.parse(VALID_SETTINGS.replace(old, new), 'file.json')
    fault = exc_info.value.faults[0]
    assert fault.place.startswith(expected_place)
    assert fault.line == expected_line
    assert fault.remedy
    assert 'file.json' in str(exc_info.value)
