"""The leader's view of workers: capacity, leases and suspension.

The tests guard against tasks placed over a worker's capacity, a lease taken as
expired while the worker may still run under it, and healthy workers suspended.
"""

from __future__ import annotations

import pytest

from jujubebend_cluster import fleet, jobspec, jobtable
from tests import fakecluster, virtualtime


def _worker(name='w1'):
    async def main():
        return fleet.Worker(fakecluster.Worker(name).entry())

    return virtualtime.run(main)


def _task(demand, *, filler=False):
    spec = fakecluster.job('j', jobspec.Step(1, demand, filler=filler))
    job_table = jobtable.JobTable()
    job = job_table.add(spec)
    return job.groups[0, 0].tasks[0]


@pytest.mark.parametrize(
    'demand',
    [
        jobspec.Demand(32_001),
        jobspec.Demand(1, 64_001),
        jobspec.Demand(1, 1, 1),
    ],
)
def test_a_demand_over_the_capacity_does_not_fit(demand):
    assert not _worker().fits(demand)


def test_allocation_and_deallocation_count_once():
    worker = _worker()
    task = _task(jobspec.Demand(32_000, 10))
    worker.allocate(task)
    worker.allocate(task)
    assert worker.used_cpu == 32_000
    assert not worker.fits(jobspec.Demand(1))
    worker.deallocate(task)
    worker.deallocate(task)
    assert worker.used_cpu == 0


def test_a_filler_uses_memory_but_no_counted_cpu():
    worker = _worker()
    worker.allocate(_task(jobspec.Demand(32_000, 10), filler=True))
    assert worker.used_cpu == 0
    assert worker.used_memory_mb == 10


def test_a_lease_expires_by_the_slowest_clock():
    worker = _worker()
    worker.record_clock(100.0, 50.0, 50.01)
    assert worker.extend_lease(50.01, 6.0) == pytest.approx(106.0)
    assert not worker.is_lease_expired(50.01 + 6.0)
    assert not worker.is_lease_expired(50.01 + 6.25 / 0.98 - 0.01)
    assert worker.is_lease_expired(50.01 + 6.25 / 0.98 + 0.01)


def test_no_lease_is_expired_before_the_clock_was_read():
    assert not _worker().is_lease_expired(1e9)


def test_failures_between_successes_are_not_suspicious():
    worker = _worker()
    for second in range(20):
        assert not worker.record_failure(second)
        assert not worker.record_failure(second + 0.1)
        worker.record_success()


def test_failures_without_a_success_are_suspicious():
    worker = _worker()
    suspicions = [
        worker.record_failure(10 + second / 10) for second in range(3)
    ]
    assert suspicions == [False, False, True]


def test_old_failures_decay():
    worker = _worker()
    assert not any(worker.record_failure(number * 20.0) for number in range(10))


def test_no_more_than_a_third_of_a_service_is_suspended():
    worker_fleet = fleet.Fleet()
    for number in range(9):
        worker = _worker(f'w{number}')
        worker.is_reachable = True
        worker_fleet.workers[worker.name] = worker
    for worker in worker_fleet.workers.values():
        if worker_fleet.may_suspend(worker, 0):
            worker.suspend(0)
    assert len(worker_fleet.usable_workers('svc', 0)) == 6
    assert (
        len(worker_fleet.usable_workers('svc', fleet.FIRST_SUSPENSION_S)) == 9
    )
