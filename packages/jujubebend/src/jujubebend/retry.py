"""Retries: a budget that work pays into, and waits with full jitter."""

from __future__ import annotations

import random

import attrs

DEPOSIT = 0.1
RESERVE = 10.0
FIRST_WAIT = 0.02
LONGEST_WAIT = 2.0


@attrs.define
class Budget:
    """Lets retries be no more than a share of first attempts.

    Every first attempt pays in ``deposit``; a retry costs one. ``reserve``
    is both the opening balance and the most that can be saved.
    """

    deposit: float = DEPOSIT
    reserve: float = RESERVE
    balance: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open with a full reserve, so that a quiet caller may retry."""
        self.balance = self.reserve

    def attempted(self) -> None:
        """Count a first attempt."""
        self.balance = min(self.reserve, self.balance + self.deposit)

    def allows(self) -> bool:
        """Take one retry from the budget, or say that it is spent."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@attrs.define
class Backoff:
    """Waits that double up to a bound, each drawn from zero to the bound."""

    rng: random.Random
    first: float = FIRST_WAIT
    longest: float = LONGEST_WAIT
    tries: int = 0

    def draw(self) -> float:
        """Return the next wait in seconds."""
        bound = min(self.longest, self.first * 2**self.tries)
        self.tries += 1
        return self.rng.uniform(0, bound)
