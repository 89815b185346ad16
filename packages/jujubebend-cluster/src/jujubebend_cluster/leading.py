"""This host's terms as leader, one after the other."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    adviceclient,
    cell,
    committer,
    context,
    followers,
    interfaces,
    metrics,
    peers,
    relay,
    term,
)


@attrs.define(eq=False)
class Leading:
    """Runs a term for each election that this host wins."""

    context: context.Context
    advisor: interfaces.Advisor | None
    metrics: metrics.Metrics
    network: peers.Peers
    desk: adviceclient.AdviceDesk = attrs.field(factory=adviceclient.AdviceDesk)
    followers: followers.Followers = attrs.field(factory=followers.Followers)
    term: term.Term | None = None
    stopping: bool = False

    def current(self) -> term.Term | None:
        """Return the term that is running, if any."""
        return self.term

    async def lead(self, commits: committer.Committer) -> None:
        """Lead until another host does or this one stops."""
        if self.stopping:
            return
        self.desk.callers.clear()
        if self.advisor is not None:
            mine = self.network.address
            self.desk.callers[mine] = adviceclient.Caller(
                mine, self.advisor.advise
            )
        self.desk.metrics = self.metrics
        commits.metrics = self.metrics
        commits.cores = self.context.cores
        made = cell.Cell(self.context, commits, self.desk, self.metrics)
        router = relay.Router(
            self.context.connect,
            self.network.relay,
            self.followers.addresses_by_cores,
            made.spawn,
            self.context.cores,
        )
        made.connect = router.connect_worker
        self.term = term.Term(made)
        try:
            await self.term.run()
        finally:
            self.term = None

    def observe(self) -> None:
        """Bring the gauges up to date."""
        live = len(self.term.cell.book.live) if self.term else 0
        self.metrics.gauge('leader', bool(self.term))
        self.metrics.gauge('live_jobs', live)

    def stop(self) -> None:
        """End the running term and begin no other."""
        self.stopping = True
        if self.term is not None:
            self.term.resign()
