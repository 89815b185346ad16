"""Storage of answers that are too large for the journal.

An answer is split into parts that the store accepts, each under its own
key. The outcome in the journal then holds the number of parts.
"""

from __future__ import annotations

from jujubebend import errors, records
from jujubebend_platform import store

MAX_INLINE_CHARACTERS = 8192
MAX_PART_CHARACTERS = 200_000
BODY_FIELD = 'body'
PART_COUNT_FIELD = 'body_parts'


async def store_large_answer(
    answer_store: store.Store, attempt: str, outcome_fields: dict[str, str]
) -> dict[str, str]:
    """Store a large answer in parts; return the outcome to be recorded.

    Raises ``errors.UnreachableError`` if the store does not answer. The
    function is idempotent, so it may be retried.
    """
    body = outcome_fields.get(BODY_FIELD, '')
    if len(body) <= MAX_INLINE_CHARACTERS:
        return outcome_fields
    parts = [
        body[start : start + MAX_PART_CHARACTERS]
        for start in range(0, len(body), MAX_PART_CHARACTERS)
    ]
    for number, part in enumerate(parts):
        try:
            await answer_store.put(_part_key(attempt, number), part, 0)
        except store.ConflictError:
            # An earlier call for the same attempt wrote the same part.
            continue
    without_body = {
        name: text
        for name, text in outcome_fields.items()
        if name != BODY_FIELD
    }
    return {
        **without_body,
        PART_COUNT_FIELD: str(len(parts)),
        'attempt': attempt,
    }


async def load_answer(
    answer_store: store.Store, recorded_outcome: dict[str, str]
) -> dict[str, str]:
    """Return a recorded outcome with its complete answer.

    Raises ``errors.UnreachableError`` if a part cannot be read.
    """
    if PART_COUNT_FIELD not in recorded_outcome:
        return recorded_outcome
    texts = []
    for key in _part_keys(recorded_outcome):
        item = await answer_store.get(key)
        if item is None:
            raise errors.UnreachableError(f'{key} is missing in the store')
        texts.append(item.text)
    return {**recorded_outcome, BODY_FIELD: ''.join(texts)}


def list_answer_keys(record: records.Record) -> list[str]:
    """Return the store keys of all large answers of a record."""
    keys = []
    for task in record.tasks.values():
        if task.outcome is not None:
            keys += _part_keys(task.outcome)
    return keys


def _part_keys(recorded_outcome: dict[str, str]) -> list[str]:
    count = int(recorded_outcome.get(PART_COUNT_FIELD, 0))
    return [
        _part_key(recorded_outcome['attempt'], number)
        for number in range(count)
    ]


def _part_key(attempt: str, number: int) -> str:
    return f'answer/{attempt}/{number}'
