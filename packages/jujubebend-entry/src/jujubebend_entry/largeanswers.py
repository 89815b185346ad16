"""Answers of recorded work that are too large for the journal.

They stand under keys of their own, in parts that the store takes. The
outcome in the journal then says how many parts there are.
"""

from __future__ import annotations

from jujubebend import errors, records
from jujubebend_platform import store

INLINE_BYTES = 8192
PART_CHARS = 200_000
BODY = 'body'
PARTS = 'body_parts'


async def store_large_answer(
    kept: store.Store, attempt: str, ended: dict[str, str]
) -> dict[str, str]:
    """Store a large answer by itself; return the outcome to be recorded.

    Raises ``errors.UnreachableError`` when the store does not answer; it is
    safe to call again.
    """
    body = ended.get(BODY, '')
    if len(body) <= INLINE_BYTES:
        return ended
    parts = [
        body[at : at + PART_CHARS] for at in range(0, len(body), PART_CHARS)
    ]
    for number, part in enumerate(parts):
        try:
            await kept.put(_key(attempt, number), part, 0)
        except store.ConflictError:
            # An earlier try of the same attempt wrote the same part.
            continue
    aside = {name: text for name, text in ended.items() if name != BODY}
    return {**aside, PARTS: str(len(parts)), 'attempt': attempt}


async def load_answer(
    kept: store.Store, recorded: dict[str, str]
) -> dict[str, str]:
    """Return a recorded outcome with its whole answer.

    Raises ``errors.UnreachableError`` when a part cannot be read.
    """
    if PARTS not in recorded:
        return recorded
    texts = []
    for key in _keys(recorded):
        found = await kept.get(key)
        if found is None:
            raise errors.UnreachableError(f'{key} is missing in the store')
        texts.append(found.text)
    return {**recorded, BODY: ''.join(texts)}


def list_answer_keys(record: records.Record) -> list[str]:
    """Return the store keys of the answers of a record."""
    found = []
    for task in record.tasks.values():
        if task.outcome is not None:
            found += _keys(task.outcome)
    return found


def _keys(recorded: dict[str, str]) -> list[str]:
    count = int(recorded.get(PARTS, 0))
    return [_key(recorded['attempt'], number) for number in range(count)]


def _key(attempt: str, number: int) -> str:
    return f'answer/{attempt}/{number}'
