"""The ownership lease on a worker, granted by the worker itself.

A worker has one owner at a time. ``Grantor`` runs on the worker: it grants
the lease under an epoch that only increases, and rejects requests that carry
another epoch. After a restart of the worker the epochs start anew, so a lease
is identified by its epoch and the worker's boot together. ``HeldLease`` is the owner's side. It counts the lease from the
time the request was sent, so that the lease expires for the owner no later
than for the worker.
"""

from __future__ import annotations

import attrs


class StaleEpochError(Exception):
    """The lease has expired or is held under another epoch."""


@attrs.frozen
class Grant:
    """A granted lease; ``ttl`` is in seconds."""

    epoch: int
    ttl: float


@attrs.define
class Grantor:
    """Grants the lease of one worker, on that worker.

    Times are seconds on the worker's own monotonic clock.

        grantor = Grantor()
        grant = grantor.acquire('entry-1', ttl=10, now=0)
        grantor.check_epoch(grant.epoch, now=5)
    """

    epoch: int = 0
    holder: str = ''
    expires_at: float = 0

    def acquire(self, holder: str, ttl: float, now: float) -> Grant | None:
        """Grant the lease under a new epoch, or return None if it is held.

        The current holder also gets a new epoch when it asks again: it may
        have restarted, and requests it sent before that must be rejected.
        """
        if now < self.expires_at and holder != self.holder:
            return None
        self.epoch += 1
        self.holder = holder
        self.expires_at = now + ttl
        return Grant(self.epoch, ttl)

    def renew(self, epoch: int, ttl: float, now: float) -> None:
        """Extend the lease; raise if it is not held under ``epoch``."""
        self.check_epoch(epoch, now)
        self.expires_at = now + ttl

    def release(self, epoch: int, now: float) -> None:
        """End the lease early, so that the next owner does not have to wait."""
        if epoch == self.epoch:
            self.expires_at = min(self.expires_at, now)

    def check_epoch(self, epoch: int, now: float) -> None:
        """Raise unless the lease is held under ``epoch`` at ``now``."""
        if epoch != self.epoch:
            raise StaleEpochError(
                f'epoch {epoch} is stale, the latest epoch is {self.epoch}; '
                'acquire the lease again',
            )
        if now >= self.expires_at:
            raise StaleEpochError(
                f'the lease under epoch {epoch} has expired; acquire it again',
            )


@attrs.define
class HeldLease:
    """The lease of one worker, from the owner's side.

    Times are seconds on the owner's own monotonic clock.
    """

    epoch: int
    boot: str
    expires_at: float

    def record_renewal(self, sent_at: float, ttl: float) -> None:
        """Extend the lease to ``ttl`` seconds after the renewal was sent."""
        self.expires_at = max(self.expires_at, sent_at + ttl)

    def is_held(self, now: float) -> bool:
        """Return whether the lease is still held at ``now``."""
        return now < self.expires_at
