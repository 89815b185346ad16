"""How an intent without an outcome is settled."""

from __future__ import annotations

import pytest

from jujubebend import intent

WRITTEN = intent.Intent('attempt', 'worker', 'boot', 5)


@pytest.mark.parametrize(
    ('report', 'verdict'),
    [
        (('boot', 5, 'running', False), 'RUNNING'),
        (('other', 1, 'ended', False), 'ENDED'),
        (('boot', 6, 'absent', False), 'NEVER_RAN'),
        (('boot', 5, 'absent', True), 'NEVER_RAN'),
        (('boot', 5, 'absent', False), 'MUST_REFUSE'),
        (('other', 9, 'absent', True), 'UNKNOWN'),
    ],
)
def test_verdicts(report, verdict):
    boot, epoch, known, refused = report
    told = intent.Report(boot, epoch, intent.Known(known), refused=refused)
    assert intent.settle(WRITTEN, told) is intent.Verdict[verdict]
