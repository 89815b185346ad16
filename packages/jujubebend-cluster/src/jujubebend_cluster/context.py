"""What a leader's term works with: store, workers, text, waves, machines."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import interfaces, jobspec, waves


@attrs.frozen
class Context:
    """What a term works with; ``lease`` and ``status_retention`` in seconds.

    ``cores`` is the processor time that the host has for the process.
    """

    store: interfaces.Store
    connect: abc.Callable[[str, str], interfaces.WorkerCalls]
    parse_worker: abc.Callable[[str, bytes], interfaces.WorkerEntry | None]
    workers_prefix: str
    current_config: abc.Callable[[], jobspec.OperatorConfig | None]
    current_waves: abc.Callable[[], abc.Sequence[waves.Wave]]
    machines: interfaces.Machines | None
    lease: float
    status_retention: float
    cores: float = 1
