"""Outlier ejection: which workers are ejected and readmitted."""

from __future__ import annotations

from jujubebend import ejection


def _record_results(ejector, worker, count, *, failed, now=0):
    for _ in range(count):
        ejector.ended(worker, failed=failed, now=now)


def test_single_failure_ejects_no_worker():
    ejector = ejection.Ejector(workers=3)
    _record_results(ejector, 'bad', 1, failed=True)
    assert ejector.admits('bad', 0)


def test_worker_that_always_fails_is_ejected():
    ejector = ejection.Ejector(workers=3)
    _record_results(ejector, 'good', 10, failed=False)
    _record_results(ejector, 'bad', 4, failed=True)
    assert ejector.ejected_workers() == ['bad']
    assert not ejector.admits('bad', 0)


def test_work_that_fails_on_all_workers_ejects_at_most_one():
    ejector = ejection.Ejector(workers=3)
    for _ in range(10):
        for worker in ('one', 'two', 'three'):
            ejector.ended(worker, failed=True, now=0)
    assert len(ejector.ejected_workers()) <= 1


def test_only_worker_is_never_ejected():
    ejector = ejection.Ejector(workers=1)
    _record_results(ejector, 'only', 50, failed=True)
    assert ejector.admits('only', 0)


def test_failures_decay_with_time():
    ejector = ejection.Ejector(workers=3)
    _record_results(ejector, 'bad', 3, failed=True)
    _record_results(
        ejector, 'bad', 1, failed=True, now=10 * ejection.HALF_LIFE_SECONDS
    )
    assert ejector.admits('bad', 10 * ejection.HALF_LIFE_SECONDS)


def test_successful_probe_readmits_a_worker():
    ejector = ejection.Ejector(workers=3)
    _record_results(ejector, 'bad', 4, failed=True)
    now = ejection.FIRST_PROBE_WAIT_SECONDS
    assert ejector.admits('bad', now)
    ejector.started('bad')
    assert not ejector.admits('bad', now)
    ejector.ended('bad', failed=False, now=now)
    assert ejector.admits('bad', now)


def test_failed_probe_doubles_the_probe_wait():
    ejector = ejection.Ejector(workers=3)
    _record_results(ejector, 'bad', 4, failed=True)
    now = ejection.FIRST_PROBE_WAIT_SECONDS
    ejector.started('bad')
    ejector.ended('bad', failed=True, now=now)
    assert not ejector.admits('bad', now + ejection.FIRST_PROBE_WAIT_SECONDS)
    assert ejector.admits('bad', now + 2 * ejection.FIRST_PROBE_WAIT_SECONDS)


def test_no_more_than_a_third_of_the_workers_is_ejected():
    ejector = ejection.Ejector(workers=12)
    for number in range(12):
        ejector.ended(f'w{number}', failed=False, now=0)
    for number in range(8):
        _record_results(ejector, f'w{number}', 20, failed=True)
    assert len(ejector.ejected_workers()) == 4
