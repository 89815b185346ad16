"""Maintenance waves: requests of operators, and their progress."""

from __future__ import annotations

import attrs
import cattrs
import orjson

_CONVERTER = cattrs.Converter(omit_if_default=True)


@attrs.frozen
class Wave:
    """A request to take machines down for maintenance.

    All machines must be done within ``within_s`` seconds, with no more than
    ``max_concurrent`` down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    within_s: float
    max_concurrent: int


@attrs.define(eq=False)
class WaveProgress:
    """A wave's progress as stored for the next leader.

    ``since`` is when the wave began, in Unix seconds. ``asked`` names the
    machines whose maintenance may have begun: an order was sent, and its
    answer is not known. ``begun`` names those that accepted the order, and
    ``gone`` those that the platform no longer has in the wave.
    """

    since: float
    asked: set[str] = attrs.field(factory=set)
    begun: set[str] = attrs.field(factory=set)
    gone: set[str] = attrs.field(factory=set)
    completed: bool = False

    def encode(self) -> bytes:
        """Return the record at this time."""
        return orjson.dumps(_CONVERTER.unstructure(self), default=sorted)

    def mark_stored(self) -> None:
        """Do nothing: nobody waits for this record."""


def decode_progress(body: bytes) -> WaveProgress:
    """Decode a record written by ``WaveProgress.encode``."""
    return _CONVERTER.structure(orjson.loads(body), WaveProgress)


@attrs.frozen
class Status:
    """A wave's status for operators, as an entry of a commit."""

    body: bytes

    def encode(self) -> bytes:
        """Return the status in the platform's encoding."""
        return self.body

    def mark_stored(self) -> None:
        """Do nothing: nobody waits for this record."""
