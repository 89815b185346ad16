"""Test harness: a cluster of real daemons with a load generator."""

from __future__ import annotations

import contextlib
import random

from jujubebend_standin.emulator import loadgenerator, localcluster


@contextlib.asynccontextmanager
async def run_cluster(folder, hosts, workers, cores=1):
    """Yield a running cluster and its load generator; stop both at the end.

    ``cores`` is what the settings of each host state.
    """
    limits = localcluster.HostLimits(cores)
    cluster = localcluster.LocalCluster(folder, host_limits=(limits,))
    load = loadgenerator.LoadGenerator(cluster, random.Random(1))
    try:
        await cluster.start(hosts, workers, 8_000)
        yield cluster, load
    finally:
        await load.close_connections()
        await cluster.stop()
