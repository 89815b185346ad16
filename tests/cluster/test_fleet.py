"""What the leader believes of a worker: room, leases, trust."""

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
    made = jobtable.JobTable()
    job = made.add(spec)
    return job.groups[0, 0].tasks[0]


@pytest.mark.parametrize(
    'demand',
    [
        jobspec.Demand(32_001),
        jobspec.Demand(1, 64_001),
        jobspec.Demand(1, 1, 1),
    ],
)
def test_what_is_larger_than_the_room_does_not_fit(demand):
    assert not _worker().fits(demand)


def test_a_placed_task_takes_room_until_it_is_vacated():
    worker = _worker()
    task = _task(jobspec.Demand(32_000, 10))
    worker.allocate(task)
    worker.allocate(task)
    assert worker.used_cpu == 32_000
    assert not worker.fits(jobspec.Demand(1))
    worker.deallocate(task)
    worker.deallocate(task)
    assert worker.used_cpu == 0


def test_a_filler_takes_memory_but_no_processor():
    worker = _worker()
    worker.allocate(_task(jobspec.Demand(32_000, 10), filler=True))
    assert worker.used_cpu == 0
    assert worker.used_memory == 10


def test_a_lease_has_lapsed_only_on_the_slowest_clock():
    worker = _worker()
    worker.record_clock(100.0, 50.0, 50.01)
    assert worker.extend_lease(50.01, 6.0) == pytest.approx(106.0)
    assert not worker.is_lease_expired(50.01 + 6.0)
    assert not worker.is_lease_expired(50.01 + 6.25 / 0.98 - 0.01)
    assert worker.is_lease_expired(50.01 + 6.25 / 0.98 + 0.01)


def test_a_worker_whose_clock_was_never_read_has_not_lapsed():
    assert not _worker().is_lease_expired(1e9)


def test_single_failures_between_successes_suspend_nobody():
    worker = _worker()
    for moment in range(20):
        assert not worker.record_failure(moment)
        assert not worker.record_failure(moment + 0.1)
        worker.record_success()


def test_failures_without_a_success_are_suspicious():
    worker = _worker()
    verdicts = [worker.record_failure(10 + at / 10) for at in range(3)]
    assert verdicts == [False, False, True]


def test_old_failures_are_forgotten():
    worker = _worker()
    assert not any(worker.record_failure(at * 20.0) for at in range(10))


def test_no_more_than_a_third_of_a_service_is_suspended():
    cell = fleet.Fleet()
    for number in range(9):
        one = _worker(f'w{number}')
        one.is_reachable = True
        cell.workers[one.name] = one
    for worker in cell.workers.values():
        if cell.may_suspend(worker, 0):
            worker.suspend(0)
    assert len(cell.usable_workers('svc', 0)) == 6
    assert len(cell.usable_workers('svc', fleet.FIRST_SUSPENSION)) == 9
