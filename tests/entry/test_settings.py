"""Settings: JSON with comments, every fault with its place."""

from __future__ import annotations

import pytest

from jujubebend import errors
from jujubebend_entry import settings

GOOD = """{
  // The host and where it stands.
  "name": "entry-1",
  "zone": "a",
  "zones": ["a", "b"],
  "store": "127.0.0.1:2000",
  "host_list": "127.0.0.1:2001"
}"""


def test_comments_are_read():
    cfg = settings.parse(GOOD)
    assert cfg.shards() == ['a-0', 'a-1', 'b-0', 'b-1']


@pytest.mark.parametrize(
    ('old', 'new', 'place', 'line'),
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
def test_faults_have_their_place(old, new, place, line):
    with pytest.raises(errors.InvalidInputError) as caught:
        settings.parse(GOOD.replace(old, new), 'file.json')
    fault = caught.value.faults[0]
    assert fault.place.startswith(place)
    assert fault.line == line
    assert fault.remedy
    assert 'file.json' in str(caught.value)
