"""Placement policies."""

from __future__ import annotations

import attrs


@attrs.frozen
class Prompt:
    """Latency-sensitive work: place it on the fastest worker with room."""


@attrs.frozen
class Batch:
    """Work that may wait: pack it, to leave room for large demands."""


@attrs.frozen
class Spread:
    """A service replica: place it away from others of its ``group``."""

    group: str


Policy = Prompt | Batch | Spread
