"""Write-ahead intents to start an attempt, and how they are settled.

An intent binds an attempt to one worker, one incarnation (boot) of that
worker and one lease epoch. A start is valid only under that epoch. Because
of this, the worker's report usually shows afterwards whether the attempt ran.
"""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Intent:
    """Permission for an attempt to run on one worker, boot and lease epoch."""

    attempt: str
    worker: str
    boot: str
    epoch: int


class AttemptState(enum.Enum):
    """The state of an attempt as its worker knows it."""

    RUNNING = 'running'
    ENDED = 'ended'
    ABSENT = 'absent'


class Verdict(enum.Enum):
    """The decision on an intent that has no recorded outcome.

    ``MUST_REFUSE`` means that the worker may still start the attempt, and
    must first be told to refuse it.
    """

    RUNNING = 'running'
    ENDED = 'ended'
    NEVER_RAN = 'never_ran'
    UNKNOWN = 'unknown'
    MUST_REFUSE = 'must_refuse'


@attrs.frozen
class Report:
    """A worker's report on an attempt.

    ``epoch`` is the highest lease epoch that the worker has granted in
    ``boot``. ``refused`` is set if the worker will never start the attempt.
    """

    boot: str
    epoch: int
    state: AttemptState
    refused: bool = False


def settle(intent: Intent, report: Report) -> Verdict:
    """Decide whether the attempt of ``intent`` ran, from its worker's report.

    Within the same boot, an absent attempt never ran if a higher epoch was
    granted since or the worker refuses the attempt for good. After a restart
    the verdict is unknown: the attempt may have run, and the worker does not
    remember it.
    """
    if report.state is AttemptState.RUNNING:
        return Verdict.RUNNING
    if report.state is AttemptState.ENDED:
        return Verdict.ENDED
    if report.boot != intent.boot:
        return Verdict.UNKNOWN
    if report.epoch > intent.epoch or report.refused:
        return Verdict.NEVER_RAN
    return Verdict.MUST_REFUSE
