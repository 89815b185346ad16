"""Reservations of worker capacity for attempts, here or at a peer."""

from __future__ import annotations

import attrs


@attrs.frozen
class Grant:
    """Capacity reserved for attempt ``id`` on a worker.

    It is valid for one boot of the worker and one lease epoch. ``host`` is
    the entry host that owns the worker, or '' for this one.
    """

    id: str
    worker: str
    boot: str
    epoch: int
    host: str = ''
