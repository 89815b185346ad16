"""Retry budget and back-off."""

from __future__ import annotations

import random

from jujubebend import retry


def test_retries_are_a_fraction_of_first_attempts():
    budget = retry.Budget()
    retries = 0
    for _ in range(1000):
        budget.record_attempt()
        retries += budget.spend_retry()
    assert retries <= 1000 * retry.DEPOSIT_TOKENS + retry.RESERVE_TOKENS


def test_waits_stay_within_the_maximum():
    backoff = retry.Backoff(random.Random(1))
    waits = [backoff.draw_wait() for _ in range(50)]
    assert max(waits) <= retry.MAX_WAIT_SECONDS
    assert min(waits) >= 0


def test_budget_allows_only_whole_retries():
    budget = retry.Budget()
    allowed = sum(budget.spend_retry() for _ in range(100))
    assert allowed == retry.RESERVE_TOKENS
    for _ in range(9):
        budget.record_attempt()
    assert not budget.spend_retry()
    for _ in range(2):
        budget.record_attempt()
    assert budget.spend_retry()
