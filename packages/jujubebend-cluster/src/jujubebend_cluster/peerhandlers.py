"""What a host does for its peers: tells states, stores jobs, asks advice."""

from __future__ import annotations

from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    adviceclient,
    clock,
    followers,
    interfaces,
    jobwriter,
    peers,
    relayserver,
    term,
)

BUSY_LAG = 0.03  # seconds that the event loop of a busy leader is late


@attrs.define(eq=False)
class PeerHandlers:
    """Answers peers; while this host leads, enlists them for advice."""

    store: interfaces.Store
    network: peers.Peers
    advisor: interfaces.Advisor | None
    advice_client: adviceclient.AdviceClient
    current_term: abc.Callable[[], term.Term | None]
    followers: followers.Followers
    deputy: relayserver.RelayServer

    def handlers(self) -> dict[str, peers.Handler]:
        """Return the handler of each call that peers make."""
        return {
            'hello': self._hello,
            'state': self._state,
            'count': self._count,
            'store': self._store,
            'advise': self._advise,
            'relay': self.deputy.exchange,
        }

    async def _hello(self, plain: dict) -> dict:
        current = self.current_term()
        if current is None:
            return {'epoch': 0, 'speaks': False}
        self._enlist(plain['address'], plain['cores'])
        commits = current.cell.commits
        return {
            'epoch': commits.record.epoch,
            'speaks': current.speaks(),
            'silence': clock.now() - commits.committed_at,
            'pause': self.followers.pause(plain['address']),
            'busy': current.cell.metrics.lag > BUSY_LAG,
        }

    def _enlist(self, address: str, cores: float) -> None:
        self.followers.greeted(address, cores)
        if (
            self.advisor is not None
            and address not in self.advice_client.routes
        ):
            self.advice_client.routes[address] = adviceclient.AdviceRoute(
                address,
                lambda step, workers, wait: self.network.advise(
                    address, step, workers, wait
                ),
            )
        for silent in self.followers.forget_silent():
            self.advice_client.routes.pop(silent, None)

    async def _state(self, plain: dict) -> dict:
        state = self._speaking().state_of(plain['job'])
        return {'state': state.value if state else ''}

    async def _count(self, plain: dict) -> dict:
        return {'waiting': self._speaking().count_waiting(plain['queue'])}

    def _speaking(self) -> term.Term:
        current = self.current_term()
        if current is None or not current.speaks():
            raise errors.RefusedError('this host does not lead')
        return current

    async def _store(self, plain: dict) -> dict:
        created = await jobwriter.create_job(
            self.store, plain['job'], plain['body'].encode()
        )
        return {'created': created}

    async def _advise(self, plain: dict) -> dict:
        if self.advisor is None:
            raise errors.RefusedError('no advice service is set')
        good = await self.advisor.advise(
            plain['step'], plain['workers'], plain['wait']
        )
        return {'good': good}
