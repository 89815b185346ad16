"""What became of a piece of work, as tagged outcomes.

Exactly one of the four is true of each piece of work that has ended.
``NotRun`` is only ever said where no start can have happened.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Answered:
    """The work ran to its end; ``body`` is the whole answer, as JSON text."""

    body: bytes
    worker: str = ''
    tag: str = 'answered'


@dataclasses.dataclass(frozen=True)
class Failed:
    """The work ran and reported failure."""

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
    """Whether the work ran cannot be told."""

    reason: str
    tag: str = 'unknown'


Outcome = Answered | Failed | NotRun | Unknown


def to_record(ended: Outcome) -> dict[str, str]:
    """Return an outcome as plain text fields, for the journal and wire."""
    record = dataclasses.asdict(ended)
    body = record.get('body')
    if isinstance(body, bytes):
        record['body'] = body.decode()
    return record


def from_record(record: dict[str, str]) -> Outcome:
    """Return the outcome that ``to_record`` wrote."""
    match record['tag']:
        case 'answered':
            return Answered(record['body'].encode(), record.get('worker', ''))
        case 'failed':
            return Failed(record['reason'], record.get('worker', ''))
        case 'not_run':
            wait = float(record.get('retry_after', 0))
            return NotRun(record['reason'], wait)
        case _:
            return Unknown(record.get('reason', ''))
