"""Room that was reserved for an attempt, here or at a peer."""

from __future__ import annotations

import attrs


@attrs.frozen
class Grant:
    """Room held for attempt ``id`` on a worker, under one boot and epoch.

    ``host`` is the entry host that owns the worker, '' for this one.
    """

    id: str
    worker: str
    boot: str
    epoch: int
    host: str = ''
