"""Ejection of workers that fail what they start."""

from __future__ import annotations

from jujubebend import ejection


def _ended(ejector, worker, count, *, failed, now=0):
    for _ in range(count):
        ejector.ended(worker, failed=failed, now=now)


def test_one_bad_sample_ejects_nobody():
    ejector = ejection.Ejector(workers=3)
    _ended(ejector, 'bad', 1, failed=True)
    assert ejector.admits('bad', 0)


def test_a_worker_that_fails_everything_is_ejected():
    ejector = ejection.Ejector(workers=3)
    _ended(ejector, 'good', 10, failed=False)
    _ended(ejector, 'bad', 4, failed=True)
    assert ejector.ejected() == ['bad']
    assert not ejector.admits('bad', 0)


def test_work_that_fails_everywhere_ejects_nobody():
    ejector = ejection.Ejector(workers=3)
    for _ in range(10):
        for worker in ('one', 'two', 'three'):
            ejector.ended(worker, failed=True, now=0)
    assert len(ejector.ejected()) <= 1


def test_a_sole_worker_is_never_ejected():
    ejector = ejection.Ejector(workers=1)
    _ended(ejector, 'only', 50, failed=True)
    assert ejector.admits('only', 0)


def test_failures_age_out():
    ejector = ejection.Ejector(workers=3)
    _ended(ejector, 'bad', 3, failed=True)
    _ended(ejector, 'bad', 1, failed=True, now=10 * ejection.HALF_LIFE)
    assert ejector.admits('bad', 10 * ejection.HALF_LIFE)


def test_a_probe_that_ends_well_brings_a_worker_back():
    ejector = ejection.Ejector(workers=3)
    _ended(ejector, 'bad', 4, failed=True)
    now = ejection.FIRST_PROBE
    assert ejector.admits('bad', now)
    ejector.started('bad')
    assert not ejector.admits('bad', now)
    ejector.ended('bad', failed=False, now=now)
    assert ejector.admits('bad', now)


def test_failed_probes_come_less_often():
    ejector = ejection.Ejector(workers=3)
    _ended(ejector, 'bad', 4, failed=True)
    now = ejection.FIRST_PROBE
    ejector.started('bad')
    ejector.ended('bad', failed=True, now=now)
    assert not ejector.admits('bad', now + ejection.FIRST_PROBE)
    assert ejector.admits('bad', now + 2 * ejection.FIRST_PROBE)


def test_no_more_than_a_third_of_the_workers_is_ejected():
    ejector = ejection.Ejector(workers=12)
    for number in range(12):
        ejector.ended(f'w{number}', failed=False, now=0)
    for number in range(8):
        _ended(ejector, f'w{number}', 20, failed=True)
    assert len(ejector.ejected()) == 4
