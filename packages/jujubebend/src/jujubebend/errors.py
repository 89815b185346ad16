"""Exceptions of the project, and the faults found in invalid input."""

from __future__ import annotations

import attrs


@attrs.frozen
class Fault:
    """One fault in an input: its path, what was found and how to fix it.

    ``line`` is one-based, and zero if the line is unknown.
    """

    place: str
    found: str
    remedy: str
    line: int = 0

    def render(self) -> str:
        """Return the fault as one line of readable text."""
        location = f'line {self.line}: ' if self.line else ''
        return f'{location}{self.place}: {self.found}; {self.remedy}'


class JujubebendError(Exception):
    """Base class of the exceptions that the project raises."""


class InvalidInputError(JujubebendError):
    """An input violates its schema; ``faults`` lists every violation."""

    def __init__(self, source: str, faults: list[Fault]) -> None:
        """Store the name of the input and its faults."""
        self.source = source
        self.faults = faults
        lines = '\n'.join(fault.render() for fault in faults)
        super().__init__(f'{source}: {lines}')


class FencedError(JujubebendError):
    """A write or start was rejected because another holder took over."""


class UnreachableError(JujubebendError):
    """The peer did not answer; the request may have taken effect."""


class NotSentError(UnreachableError):
    """The request was never sent, so it cannot have taken effect."""


class MalformedReplyError(UnreachableError):
    """The peer's reply cannot be read; the request may have taken effect."""

    def __init__(self, sender: str, found: str) -> None:
        """Store who sent the reply and what is wrong with it."""
        super().__init__(f'malformed reply from {sender}: {found}')


class RefusedConnectionError(NotSentError):
    """The connection was refused: no process listens at the address."""


class ConflictError(JujubebendError):
    """A conditional write found a state other than the expected one."""


class HistoryGoneError(JujubebendError):
    """The store no longer has the requested changes; list the keys again."""


class RefusedError(JujubebendError):
    """The peer answered that it did not carry out the request."""

    def __init__(self, reason: str, retry_after: float = 0) -> None:
        """Store the reason and the delay in seconds before a retry."""
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(reason)
