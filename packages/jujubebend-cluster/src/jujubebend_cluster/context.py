"""Dependencies of a leader's term: store, workers, settings, machines."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend_cluster import hostcapacity, interfaces, jobspec, waves


@attrs.frozen
class Context:
    """Dependencies that the parts of a term share.

    ``connect_worker(worker, address)`` returns the calls to a worker.
    ``lease`` and ``status_retention`` are in seconds. ``capacity`` is that of
    this host.
    """

    store: interfaces.Store
    connect_worker: abc.Callable[[str, str], interfaces.WorkerCalls]
    parse_worker: abc.Callable[[str, bytes], interfaces.WorkerEntry | None]
    workers_prefix: str
    current_config: abc.Callable[[], jobspec.OperatorConfig | None]
    current_waves: abc.Callable[[], abc.Sequence[waves.Wave]]
    machines: interfaces.Machines | None
    lease: float
    status_retention: float
    capacity: hostcapacity.HostCapacity = hostcapacity.HostCapacity()
