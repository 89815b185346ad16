"""The lease of a worker, granted by the worker itself.

A worker has one owner at a time. ``Referee`` runs on the worker and decides
who that is: it grants a lease under an epoch that only grows, and refuses
whatever carries another epoch. ``Holding`` is the owner's side, which counts
the lease from the moment the request was sent, so that it ends for the owner
no later than for the worker.
"""

from __future__ import annotations

import attrs


class StaleEpochError(Exception):
    """The epoch is not the one under which the lease is held now."""


@attrs.frozen
class Grant:
    """A lease as the worker grants it; ``ttl`` is in seconds."""

    epoch: int
    ttl: float


@attrs.define
class Referee:
    """Decides on the worker who its owner is.

    ``now`` is the worker's own monotonic time in seconds.

        referee = Referee()
        grant = referee.acquire('entry-1', ttl=10, now=0)
        referee.check(grant.epoch, now=5)
    """

    epoch: int = 0
    holder: str = ''
    expires: float = 0

    def acquire(self, holder: str, ttl: float, now: float) -> Grant | None:
        """Grant the lease under a new epoch, or None while another has it.

        The same holder asking again also gets a new epoch: it may have been
        restarted, and what it sent before must not count.
        """
        if now < self.expires and holder != self.holder:
            return None
        self.epoch += 1
        self.holder = holder
        self.expires = now + ttl
        return Grant(self.epoch, ttl)

    def renew(self, epoch: int, ttl: float, now: float) -> None:
        """Extend the lease, or raise when it is not held under ``epoch``."""
        self.check(epoch, now)
        self.expires = now + ttl

    def release(self, epoch: int, now: float) -> None:
        """End the lease early, so that the next owner need not wait."""
        if epoch == self.epoch:
            self.expires = min(self.expires, now)

    def check(self, epoch: int, now: float) -> None:
        """Raise unless the lease is held under ``epoch`` at ``now``."""
        if epoch != self.epoch:
            raise StaleEpochError(
                f'epoch {epoch} is stale, {self.epoch} was granted; '
                'acquire the lease again',
            )
        if now >= self.expires:
            raise StaleEpochError(
                f'the lease of epoch {epoch} has lapsed; acquire it again',
            )


@attrs.define
class Holding:
    """The owner's view of a lease that it holds.

    Times are seconds on the owner's own monotonic clock.
    """

    epoch: int
    boot: str
    expires: float

    def renewed(self, sent: float, ttl: float) -> None:
        """Count the lease from when its renewal was sent."""
        self.expires = max(self.expires, sent + ttl)

    def is_held(self, now: float) -> bool:
        """Say whether the lease is still held at ``now``."""
        return now < self.expires
