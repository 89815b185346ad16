"""Retry budgets and waits."""

from __future__ import annotations

import random

from jujubebend import retry


def test_retries_stay_a_share_of_first_attempts():
    budget = retry.Budget()
    retries = 0
    for _ in range(1000):
        budget.attempted()
        retries += budget.allows()
    assert retries <= 1000 * retry.DEPOSIT + retry.RESERVE


def test_waits_stay_under_the_longest():
    backoff = retry.Backoff(random.Random(1))
    waits = [backoff.draw() for _ in range(50)]
    assert max(waits) <= retry.LONGEST_WAIT
    assert min(waits) >= 0
