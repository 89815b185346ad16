"""The lease of one owned worker, renewed by polling its state."""

from __future__ import annotations

import asyncio
import random
import typing

import attrs

from jujubebend import errors, lease
from jujubebend_platform import hostlist, worker

RETRY_WAIT_SECONDS = 0.3
RENEWALS_PER_TTL = 3
LEASE_SAFETY_FRACTION = 0.1
RETRY_JITTER_FACTORS = (0.5, 1.5)


class Listener(typing.Protocol):
    """Callbacks for the events of a worker's lease."""

    def on_acquired(
        self, worker_lease: WorkerLease, reply: worker.LeaseReply
    ) -> None:
        """Handle the acquisition of the lease."""

    def on_renewed(
        self, worker_lease: WorkerLease, reply: worker.RenewalReply
    ) -> None:
        """Handle the worker's reply to a renewal."""

    def on_lost(self, worker_lease: WorkerLease) -> None:
        """Handle the loss of the lease."""


@attrs.define(eq=False)
class WorkerLease:
    """Acquires the lease of one worker and renews it with each poll.

    ``ttl`` is in seconds. The lease is counted from the time the request was
    sent, less a safety margin, so that it expires here before it expires on
    the worker.
    """

    host: hostlist.Host
    client: worker.Worker
    holder: str
    ttl: float
    listener: Listener
    held_lease: lease.HeldLease | None = None
    pending_acks: list[str] = attrs.field(factory=list)
    is_reachable: bool = True
    _rng: random.Random = attrs.field(factory=random.Random)

    def is_held(self) -> bool:
        """Return whether the lease is held now, so that work may start."""
        held_lease = self.held_lease
        return held_lease is not None and held_lease.is_held(_now())

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            if await self._acquire():
                await self._renew_until_lost()
                self.held_lease = None
                self.listener.on_lost(self)
            wait = RETRY_WAIT_SECONDS * self._rng.uniform(*RETRY_JITTER_FACTORS)
            await asyncio.sleep(wait)

    async def release(self) -> None:
        """Release the lease, so that the next owner does not have to wait."""
        held_lease = self.held_lease
        self.held_lease = None
        if held_lease is None:
            return
        try:
            await self.client.release(held_lease.epoch, held_lease.boot)
        except errors.JujubebendError:
            return

    async def _acquire(self) -> bool:
        sent_at = _now()
        try:
            reply = await self.client.acquire_lease(self.holder, self.ttl)
        except errors.JujubebendError:
            self.is_reachable = False
            return False
        self.is_reachable = True
        if reply is None:
            return False
        expires_at = sent_at + self.ttl * (1 - LEASE_SAFETY_FRACTION)
        self.held_lease = lease.HeldLease(reply.epoch, reply.boot, expires_at)
        self.pending_acks.clear()
        self.listener.on_acquired(self, reply)
        return True

    async def _renew_until_lost(self) -> None:
        while self.is_held():
            try:
                await self._renew_once()
            except worker.StaleLeaseError:
                return
            except errors.JujubebendError:
                self.is_reachable = False
                await asyncio.sleep(RETRY_WAIT_SECONDS)

    async def _renew_once(self) -> None:
        held_lease = self.held_lease
        assert held_lease is not None
        sent_at = _now()
        acks = self.pending_acks.copy()
        wait = 0 if acks else self.ttl / RENEWALS_PER_TTL
        reply = await self.client.renew_lease(
            held_lease.epoch, held_lease.boot, self.ttl, acks, wait
        )
        self.is_reachable = True
        held_lease.record_renewal(
            sent_at, self.ttl * (1 - LEASE_SAFETY_FRACTION)
        )
        self.pending_acks = self.pending_acks[len(acks) :]
        self.listener.on_renewed(self, reply)


def _now() -> float:
    return asyncio.get_running_loop().time()
