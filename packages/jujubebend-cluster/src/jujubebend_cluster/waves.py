"""Waves of upkeep: what operators ask for, and how far each has come."""

from __future__ import annotations

import attrs
import cattrs
import orjson

_CONVERTER = cattrs.Converter(omit_if_default=True)


@attrs.frozen
class Wave:
    """Machines that shall each have their upkeep within some seconds."""

    number: int
    machines: tuple[str, ...]
    within_s: float
    max_concurrent: int


@attrs.define(eq=False)
class WaveProgress:
    """What the store keeps of a wave for the next leader.

    ``asked`` names machines whose upkeep may have begun: an order was sent,
    and its answer is not known. ``since`` is in Unix seconds.
    """

    since: float
    asked: set[str] = attrs.field(factory=set)
    begun: set[str] = attrs.field(factory=set)
    gone: set[str] = attrs.field(factory=set)
    completed: bool = False

    def encode(self) -> bytes:
        """Return the record as it stands now."""
        return orjson.dumps(_CONVERTER.unstructure(self), default=sorted)

    def mark_stored(self) -> None:
        """Need nothing done after."""


def parse_progress(body: bytes) -> WaveProgress:
    """Read what ``WaveProgress.encode`` wrote."""
    return _CONVERTER.structure(orjson.loads(body), WaveProgress)


@attrs.frozen
class Status:
    """What operators read of a wave; an entry of a commit."""

    body: bytes

    def encode(self) -> bytes:
        """Return the status as the platform keeps it."""
        return self.body

    def mark_stored(self) -> None:
        """Need nothing done after."""
