"""Retry budget, and exponential back-off with full jitter."""

from __future__ import annotations

import random

import attrs

DEPOSIT_TOKENS = 0.1
RESERVE_TOKENS = 10.0
FIRST_WAIT_SECONDS = 0.02
MAX_WAIT_SECONDS = 2.0


@attrs.define
class Budget:
    """Limits retries to a fraction of first attempts (token bucket).

    Each first attempt adds ``deposit`` tokens and each retry costs one.
    ``reserve`` is both the initial balance and the largest one.
    """

    deposit: float = DEPOSIT_TOKENS
    reserve: float = RESERVE_TOKENS
    balance: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a full reserve, so that an infrequent caller can retry."""
        self.balance = self.reserve

    def record_attempt(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.reserve, self.balance + self.deposit)

    def spend_retry(self) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@attrs.define
class Backoff:
    """Exponential back-off with full jitter.

    Each wait is drawn uniformly from zero to a bound. The bound starts at
    ``first_wait`` seconds and doubles with each try, up to ``longest_wait``
    seconds.
    """

    rng: random.Random
    first_wait: float = FIRST_WAIT_SECONDS
    longest_wait: float = MAX_WAIT_SECONDS
    tries: int = 0

    def draw_wait(self) -> float:
        """Return the next wait in seconds."""
        bound = min(self.longest_wait, self.first_wait * 2**self.tries)
        self.tries += 1
        return self.rng.uniform(0, bound)
