"""Settlement of intents without an outcome."""

from __future__ import annotations

import pytest

from jujubebend import intent

INTENT = intent.Intent('attempt', 'worker', 'boot', 5)


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
def test_report_settles_intent(report, verdict):
    boot, epoch, state, refused = report
    worker_report = intent.Report(
        boot, epoch, intent.AttemptState(state), refused=refused
    )
    assert intent.settle(INTENT, worker_report) is intent.Verdict[verdict]
