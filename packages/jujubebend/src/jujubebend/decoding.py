"""Decoding of messages that another process may have damaged.

A message from outside can hold anything: fields that are missing or of another
type, huge numbers, deep nesting, bytes that are no JSON. Whoever decodes one does
so in ``reply_from``, so that callers see a call without a usable answer instead of
an arbitrary exception:

    with decoding.reply_from('the advice service'):
        rows = reply.json()['good']
        tickets = {row[0]: decoding.to_text(row[1]) for row in rows}
"""

from __future__ import annotations

import contextlib
import math
import reprlib
from collections import abc

from jujubebend import errors

# Exceptions raised while decoding a malformed message.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    ArithmeticError,
    # Raised while a deeply nested value is described.
    RecursionError,
    errors.InvalidInputError,
)
# Largest magnitude of an integer in a message: JSON encoders and the fields of
# records hold 64 bits.
MAX_INT = 0x7FFFFFFFFFFFFFFF
MAX_DESCRIPTION_CHARS = 300  # of an exception, which may quote a whole message


@contextlib.contextmanager
def reply_from(sender: str) -> abc.Generator[None, None, None]:
    """Raise ``MalformedReplyError`` if the reply cannot be decoded.

    ``sender`` is named in the error.
    """
    try:
        yield
    except DECODE_ERRORS as exc:
        raise errors.MalformedReplyError(sender, describe(exc)) from exc


def describe(exc: Exception) -> str:
    """Return the type and the beginning of the text of an exception."""
    return f'{type(exc).__name__}: {exc}'[:MAX_DESCRIPTION_CHARS]


def damaged_record(record: str, exc: Exception) -> errors.InvalidInputError:
    """Return the error to raise for a stored record that cannot be decoded."""
    fault = errors.Fault(
        'record', describe(exc), 'restore it, or delete its key in the store'
    )
    return errors.InvalidInputError(record, [fault])


def to_int(candidate: object) -> int:
    """Return an integer of at most 64 bits; raises ``TypeError`` otherwise."""
    if isinstance(candidate, bool) or not isinstance(candidate, int):
        raise TypeError(f'{reprlib.repr(candidate)} is not an integer')
    if abs(candidate) > MAX_INT:
        raise TypeError(f'{candidate} has more than 64 bits')
    return candidate


def to_count(candidate: object) -> int:
    """Return an integer that is not negative."""
    number = to_int(candidate)
    if number < 0:
        raise TypeError(f'{number} is negative')
    return number


def to_number(candidate: object) -> float:
    """Return a finite number; raises ``TypeError`` otherwise."""
    if isinstance(candidate, bool) or not isinstance(candidate, (int, float)):
        raise TypeError(f'{reprlib.repr(candidate)} is not a number')
    if not math.isfinite(candidate) or abs(candidate) > MAX_INT:
        raise TypeError(f'{candidate!r} is out of range')
    return candidate


def to_text(candidate: object) -> str:
    """Return a string; raises ``TypeError`` otherwise."""
    if not isinstance(candidate, str):
        raise TypeError(f'{reprlib.repr(candidate)} is not a string')
    return candidate
