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


def test_a_budget_is_spent_to_the_last_whole_retry():
    budget = retry.Budget()
    allowed = sum(budget.allows() for _ in range(100))
    assert allowed == retry.RESERVE
    for _ in range(9):
        budget.attempted()
    assert not budget.allows()
    for _ in range(2):
        budget.attempted()
    assert budget.allows()
