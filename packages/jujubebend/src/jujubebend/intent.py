"""The written intent to start an attempt, and how it is settled.

An intent binds an attempt to one worker, one boot of that worker and one
lease epoch. A start is valid only under that epoch, which makes it decidable
later whether the attempt ran.
"""

from __future__ import annotations

import enum

import attrs


@attrs.frozen
class Intent:
    """Attempt ``attempt`` may run on one worker, in one boot and epoch."""

    attempt: str
    worker: str
    boot: str
    epoch: int


class Known(enum.Enum):
    """What a worker remembers of an attempt."""

    RUNNING = 'running'
    ENDED = 'ended'
    ABSENT = 'absent'


class Verdict(enum.Enum):
    """What an intent without an outcome has come to."""

    RUNNING = 'running'
    ENDED = 'ended'
    NEVER_RAN = 'never_ran'
    UNKNOWN = 'unknown'
    MUST_REFUSE = 'must_refuse'


@attrs.frozen
class Report:
    """A worker's word on an attempt.

    ``epoch`` is the highest that the worker has granted in ``boot``, and
    ``refused`` says that it will not start the attempt from now on.
    """

    boot: str
    epoch: int
    known: Known
    refused: bool = False


def settle(intent: Intent, report: Report) -> Verdict:
    """Decide what became of ``intent`` from the word of its worker.

    In the same boot an absent attempt never ran once a higher epoch was
    granted or the worker refuses it for good. In a later boot it may have
    run and been forgotten.
    """
    if report.known is Known.RUNNING:
        return Verdict.RUNNING
    if report.known is Known.ENDED:
        return Verdict.ENDED
    if report.boot != intent.boot:
        return Verdict.UNKNOWN
    if report.epoch > intent.epoch or report.refused:
        return Verdict.NEVER_RAN
    return Verdict.MUST_REFUSE
