"""The policies under which work is placed."""

from __future__ import annotations

import attrs


@attrs.frozen
class Prompt:
    """Work that somebody waits for: the fastest worker with room."""


@attrs.frozen
class Batch:
    """Work that may wait: packed, so that large work finds room."""


@attrs.frozen
class Spread:
    """A replica of a service: away from others of the same ``group``."""

    group: str


Policy = Prompt | Batch | Spread
