"""Typed errors, each with the place of the fault and its remedy."""

from __future__ import annotations

import attrs


@attrs.frozen
class Fault:
    """One thing wrong with an input, where it stands and what to do.

    ``line`` counts from one and is zero where the place is unknown.
    """

    place: str
    found: str
    remedy: str
    line: int = 0

    def render(self) -> str:
        """Return the fault as one line of text for a person."""
        where = f'line {self.line}: ' if self.line else ''
        return f'{where}{self.place}: {self.found}; {self.remedy}'


class JujubebendError(Exception):
    """The base of every error that the project raises on purpose."""


class InvalidInputError(JujubebendError):
    """An input that breaks its schema, with every fault that was found."""

    def __init__(self, source: str, faults: list[Fault]) -> None:
        """Keep the name of the input and its faults."""
        self.source = source
        self.faults = faults
        lines = '\n'.join(fault.render() for fault in faults)
        super().__init__(f'{source}: {lines}')


class FencedError(JujubebendError):
    """A write or start by a holder whose place another has taken."""


class UnreachableError(JujubebendError):
    """The other side gave no answer; what was asked may have happened."""


class NotSentError(UnreachableError):
    """Nothing left this host: what was asked was certainly not done."""


class RefusedConnectionError(NotSentError):
    """Nothing listens at the address: its process is down."""


class ConflictError(JujubebendError):
    """A conditional write found another state than it expected."""


class HistoryGoneError(JujubebendError):
    """The store dropped the changes asked for: list the keys again."""


class RefusedError(JujubebendError):
    """The other side answered that it did not do what was asked."""

    def __init__(self, reason: str, retry_after: float = 0) -> None:
        """Keep the reason and, in seconds, when a retry may help."""
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(reason)
