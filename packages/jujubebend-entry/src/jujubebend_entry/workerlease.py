"""Keeps the lease of one worker and brings in what it reports."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs

from jujubebend import errors, lease
from jujubebend_platform import hostlist, worker

RETRY_WAIT = 0.3
SYNC_PART = 3
SAFETY = 0.1
JITTER = (0.5, 1.5)


class Listener(typing.Protocol):
    """Who is told what happens to a worker."""

    def leased(self, keeper: Keeper, leased: worker.LeaseReply) -> None:
        """Take in a worker whose lease was acquired."""

    def reported(self, keeper: Keeper, synced: worker.SyncReply) -> None:
        """Take in what a worker reported."""

    def lost(self, keeper: Keeper) -> None:
        """Note that the lease is held no longer."""


@attrs.define(eq=False)
class Keeper:
    """Acquires the lease of one worker and renews it by syncing.

    Times are seconds. The lease is counted from when a call was sent, less
    a safety margin, so that it ends here before it ends on the worker.
    """

    host: hostlist.Host
    client: worker.Worker
    holder: str
    ttl: float
    listener: Listener
    holding: lease.HeldLease | None = None
    acks: list[str] = attrs.field(factory=list)
    reachable: bool = True
    _rng: random.Random = attrs.field(factory=random.Random)

    def is_held(self) -> bool:
        """Say whether work may be started on the worker now."""
        held = self.holding
        return held is not None and held.is_held(_now())

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        while True:
            if await self._acquire():
                await self._renew_until_lost()
                self.holding = None
                self.listener.lost(self)
            wait = RETRY_WAIT * self._rng.uniform(*JITTER)
            await asyncio.sleep(wait)

    async def release(self) -> None:
        """Give the lease back, so that another owner need not wait."""
        held = self.holding
        self.holding = None
        if held is None:
            return
        try:
            await self.client.release(held.epoch)
        except errors.JujubebendError:
            return

    async def _acquire(self) -> bool:
        sent = _now()
        try:
            leased = await self.client.lease(self.holder, self.ttl)
        except errors.JujubebendError:
            self.reachable = False
            return False
        self.reachable = True
        if leased is None:
            return False
        expires = sent + self.ttl * (1 - SAFETY)
        self.holding = lease.HeldLease(leased.epoch, leased.boot, expires)
        self.acks.clear()
        self.listener.leased(self, leased)
        return True

    async def _renew_until_lost(self) -> None:
        while self.is_held():
            try:
                await self._sync()
            except worker.StaleLeaseError:
                return
            except errors.JujubebendError:
                self.reachable = False
                await asyncio.sleep(RETRY_WAIT)

    async def _sync(self) -> None:
        held = self.holding
        assert held is not None
        sent = _now()
        acks = self.acks.copy()
        wait = 0 if acks else self.ttl / SYNC_PART
        synced = await self.client.sync(held.epoch, self.ttl, acks, wait)
        self.reachable = True
        held.record_renewal(sent, self.ttl * (1 - SAFETY))
        self.acks = self.acks[len(acks) :]
        self.listener.reported(self, synced)


def _now() -> float:
    return asyncio.get_running_loop().time()
