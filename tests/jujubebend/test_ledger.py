"""The ledger: prompt work follows the workers' measured speed."""

from __future__ import annotations

from jujubebend import ledger, policy, resources

ROOM = resources.Resources(8, 64, 32_000, resources.GIB, 0)
WORK = resources.Resources(1, 1, 1_000, 1, 0)


def test_slower_worker_is_ranked_lower():
    worker_ledger = ledger.Ledger()
    for name in ('a', 'b'):
        worker_ledger.add(ledger.OwnedWorker(name, 'r', ROOM))
    assert worker_ledger.find_worker(policy.Prompt(), WORK, 0) == 'a'
    for _ in range(40):
        worker_ledger.record_duration_ratio('a', 4.0)
    assert worker_ledger.find_worker(policy.Prompt(), WORK, 0) == 'b'
    for _ in range(80):
        worker_ledger.record_duration_ratio('a', 0.2)
    assert worker_ledger.find_worker(policy.Prompt(), WORK, 0) == 'a'
