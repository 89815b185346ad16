"""The ledger: prompt work goes to the fastest worker as paces change."""

from __future__ import annotations

from jujubebend import ledger, policy, resources

ROOM = resources.Resources(8, 64, 32_000, resources.GIB, 0)
WORK = resources.Resources(1, 1, 1_000, 1, 0)


def test_a_worker_that_turned_slow_loses_its_rank():
    made = ledger.Ledger()
    for name in ('a', 'b'):
        made.add(ledger.Place(name, 'r', ROOM))
    assert made.find(policy.Prompt(), WORK, 0) == 'a'
    for _ in range(40):
        made.paced('a', 4.0)
    assert made.find(policy.Prompt(), WORK, 0) == 'b'
    for _ in range(80):
        made.paced('a', 0.2)
    assert made.find(policy.Prompt(), WORK, 0) == 'a'
