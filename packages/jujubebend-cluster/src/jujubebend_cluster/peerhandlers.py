"""Handlers of the calls that peers make to this host."""

from __future__ import annotations

import base64
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    adviceclient,
    clock,
    followers,
    hostcapacity,
    interfaces,
    jobwriter,
    peers,
    relayserver,
    term,
)

BUSY_LAG_S = 0.03  # event loop lag above which a leader reports itself busy


@attrs.define(eq=False)
class PeerHandlers:
    """Handles peers' calls.

    While this host leads, the peers that send it heartbeats also ask for
    advice on its behalf.
    """

    store: interfaces.Store
    peer_client: peers.PeerClient
    advisor: interfaces.Advisor | None
    advice_client: adviceclient.AdviceClient
    current_term: abc.Callable[[], term.Term | None]
    followers: followers.Followers
    relay_server: relayserver.RelayServer

    def handlers(self) -> dict[str, peers.Handler]:
        """Return the handler of each peer call by its name."""
        return {
            'hello': self._handle_heartbeat,
            'state': self._report_state,
            'count': self._report_count,
            'store': self._store_job,
            'advise': self._ask_advice,
            peers.RELAY_CALL: self.relay_server.exchange,
        }

    async def _handle_heartbeat(self, document: dict) -> dict:
        leader_term = self.current_term()
        if leader_term is None:
            return {'epoch': 0, 'speaks': False}
        capacity = hostcapacity.HostCapacity(
            document['cores'], document.get('link_mbps', 0)
        )
        address = document['address']
        interval = self.followers.record_heartbeat(address, capacity)
        self._update_routes(address)
        commits = leader_term.leader.commits
        return {
            'epoch': commits.record.epoch,
            'speaks': leader_term.is_up_to_date(),
            'silence': clock.now() - commits.committed_at,
            'pause': interval,
            'busy': leader_term.leader.metrics.lag > BUSY_LAG_S,
            'successor': self.followers.is_best_successor(address),
        }

    def _update_routes(self, address: str) -> None:
        """Ask for advice through the followers that send heartbeats."""
        if (
            self.advisor is not None
            and address not in self.advice_client.routes
        ):
            self.advice_client.routes[address] = adviceclient.AdviceRoute(
                address,
                lambda step, workers, wait: self.peer_client.ask_advice(
                    address, step, workers, wait
                ),
            )
        for removed in self.followers.remove_silent():
            self.advice_client.routes.pop(removed, None)

    async def _report_state(self, document: dict) -> dict:
        state = self._serving_term().find_job_state(document['job'])
        return {'state': state.value if state else ''}

    async def _report_count(self, document: dict) -> dict:
        return {
            'waiting': self._serving_term().count_waiting_jobs(
                document['queue']
            )
        }

    def _serving_term(self) -> term.Term:
        leader_term = self.current_term()
        if leader_term is None or not leader_term.is_up_to_date():
            raise errors.RefusedError(
                'this host does not lead or is not up to date'
            )
        return leader_term

    async def _store_job(self, document: dict) -> dict:
        leader_term = self.current_term()
        if leader_term and leader_term.leader.commits.is_store_lost:
            # Not sent, the job certainly does not run, and its caller may
            # retry.
            raise errors.RefusedError('the leader does not reach the store')
        created = await jobwriter.create_job(
            self.store, document['job'], base64.b64decode(document['body'])
        )
        return {'created': created}

    async def _ask_advice(self, document: dict) -> dict:
        if self.advisor is None:
            raise errors.RefusedError('no advice service is configured')
        tickets = await self.advisor.advise(
            document['step'], document['workers'], document['wait']
        )
        return {'good': tickets}
