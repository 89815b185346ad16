"""Runs the terms in which this host is the leader, one after the other."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    adviceclient,
    committer,
    context,
    followers,
    interfaces,
    leaderstate,
    loadreport,
    metrics,
    peers,
    relay,
    term,
)


@attrs.define(eq=False)
class Leadership:
    """Runs one term for each election that this host wins."""

    context: context.Context
    advisor: interfaces.Advisor | None
    metrics: metrics.Metrics
    peer_client: peers.PeerClient
    advice_client: adviceclient.AdviceClient = attrs.field(
        factory=adviceclient.AdviceClient
    )
    followers: followers.Followers = attrs.field(factory=followers.Followers)
    term: term.Term | None = None
    is_stopping: bool = False

    def current_term(self) -> term.Term | None:
        """Return the running term, or None while another host leads."""
        return self.term

    async def run_term(self, term_committer: committer.Committer) -> None:
        """Run one term, until another host leads or this host stops."""
        if self.is_stopping:
            return
        self.advice_client.routes.clear()
        if self.advisor is not None:
            own_address = self.peer_client.address
            self.advice_client.routes[own_address] = adviceclient.AdviceRoute(
                own_address, self.advisor.advise
            )
        self.advice_client.metrics = self.metrics
        term_committer.metrics = self.metrics
        term_committer.cores = self.context.capacity.cores
        leader_state = leaderstate.LeaderState(
            self.context, term_committer, self.advice_client, self.metrics
        )
        router = relay.Router(
            self.context.connect_worker,
            self.peer_client.relay_calls,
            self.followers.addresses_by_capacity,
            leader_state.spawn,
            self.context.capacity.leading,
        )
        leader_state.connect_worker = router.connect_worker
        leader_state.spawn(loadreport.LoadReporter(leader_state).run())
        self.term = term.Term(leader_state)
        try:
            await self.term.run()
        finally:
            self.term = None

    def update_gauges(self) -> None:
        """Update the gauges of the running term."""
        live_jobs = (
            len(self.term.leader.job_table.live_jobs) if self.term else 0
        )
        self.metrics.set_gauge('leader', bool(self.term))
        self.metrics.set_gauge('live_jobs', live_jobs)
        if self.term is not None:
            start_limit = self.term.dispatcher.start_limit.limit
            self.metrics.set_gauge('start_limit', start_limit)

    def stop(self) -> None:
        """End the running term and start no other."""
        self.is_stopping = True
        if self.term is not None:
            self.term.resign()
