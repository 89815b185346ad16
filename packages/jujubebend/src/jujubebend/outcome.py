"""The four possible outcomes of a piece of work, as tagged classes.

Work that has ended has exactly one of them. ``NotRun`` is reported only if
the work cannot have been started.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Answered:
    """The work ran to completion; ``body`` is its answer as JSON text."""

    body: bytes
    worker: str = ''
    tag: str = 'answered'


@dataclasses.dataclass(frozen=True)
class Failed:
    """The work ran and reported a failure."""

    reason: str
    worker: str = ''
    tag: str = 'failed'


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The work was never started; ``retry_after`` is in seconds."""

    reason: str
    retry_after: float = 0
    tag: str = 'not_run'


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The work may or may not have run; this cannot be determined."""

    reason: str
    tag: str = 'unknown'


Outcome = Answered | Failed | NotRun | Unknown


def to_fields(work_outcome: Outcome) -> dict[str, str]:
    """Encode an outcome as text fields for the journal and the wire."""
    fields = dataclasses.asdict(work_outcome)
    body = fields.get('body')
    if isinstance(body, bytes):
        fields['body'] = body.decode()
    return fields


def from_fields(fields: dict[str, str]) -> Outcome:
    """Decode an outcome encoded by ``to_fields``."""
    match fields['tag']:
        case 'answered':
            return Answered(fields['body'].encode(), fields.get('worker', ''))
        case 'failed':
            return Failed(fields['reason'], fields.get('worker', ''))
        case 'not_run':
            retry_after = float(fields.get('retry_after', 0))
            return NotRun(fields['reason'], retry_after)
        case _:
            return Unknown(fields.get('reason', ''))
