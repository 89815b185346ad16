"""Placement policies."""

from __future__ import annotations

import attrs


@attrs.frozen
class Prompt:
    """Latency-sensitive work: use the fastest worker with room."""


@attrs.frozen
class Batch:
    """Work that may wait: use the first worker with room.

    Filling the workers in order leaves room for large demands.
    """


@attrs.frozen
class Spread:
    """A service replica: keep it away from others of its ``group``."""

    group: str


Policy = Prompt | Batch | Spread
