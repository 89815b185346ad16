"""What a leader's term works with: store, workers, text, waves, machines."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import jobspec, ports, waves


@attrs.frozen
class Surroundings:
    """What a term works with; ``lease`` and ``status_kept`` in seconds.

    ``cores`` is the processor time that the host has for the process.
    """

    store: ports.Store
    connect: abc.Callable[[str, str], ports.WorkerCalls]
    parse_worker: abc.Callable[[str, bytes], ports.WorkerEntry | None]
    workers_prefix: str
    current_text: abc.Callable[[], jobspec.Text | None]
    current_waves: abc.Callable[[], abc.Sequence[waves.Wave]]
    machines: ports.Machines | None
    lease: float
    status_kept: float
    cores: float = 1
