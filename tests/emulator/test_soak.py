"""Short fault soaks of real daemons, and tests of the invariant checks."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend_standin.emulator import (
    checks,
    loadgenerator,
    localcluster,
    soak,
    worker,
)

# Seed and number of faults; seeds that failed once stay here. Seed 10 failed
# wrongly: a run ended while its worker was silent, and was started again after
# the lease expired, which is allowed. The emulator had recorded the end of the
# silence as the end of the run.
SEEDS = ((1, 4), (10, 8))


@pytest.mark.parametrize(('seed', 'faults'), SEEDS)
def test_soak_with_random_faults_violates_no_invariant(seed, faults, tmp_path):
    assert not soak.run_soak(tmp_path, seed, faults)


def _create_run(
    task, number, started_at, ended_at, outcome='done', *, is_acknowledged=True
):
    run = worker.Run(task, number, 1, started_at, ended_at)
    run.record_end(ended_at, outcome)
    run.is_acknowledged = is_acknowledged
    return run


def _find_violations(tmp_path, runs, **job_fields):
    cluster = localcluster.LocalCluster(tmp_path)
    emulated_worker = worker.EmulatedWorker('w', 4)
    emulated_worker.runs.extend(runs)
    cluster.workers.append(emulated_worker)
    load = loadgenerator.LoadGenerator(cluster, cluster.store.rng)
    load.jobs['j'] = loadgenerator.SubmittedJob('j', 1, 1, 1.0, **job_fields)
    return checks.find_violations(cluster, load)


def test_checks_find_each_violation(tmp_path):
    async def main():
        overlap = [_create_run('j', 1, 0, 5), _create_run('j', 2, 4, 6)]
        assert (
            'overlap'
            in _find_violations(tmp_path, overlap, is_accepted=True)[0]
        )
        rerun = [_create_run('j', 1, 0, 1), _create_run('j', 2, 4, 6)]
        assert (
            'after the task was done'
            in _find_violations(tmp_path, rerun, is_accepted=True)[0]
        )
        refused = [_create_run('j', 1, 0, 1)]
        assert 'refused, but ran' in _find_violations(tmp_path, refused)[0]
        assert (
            'accepted, but is no longer known'
            in (
                _find_violations(
                    tmp_path, [], is_accepted=True, state='not found'
                )[0]
            )
        )
        incomplete = _find_violations(
            tmp_path, [], is_accepted=True, state='completed'
        )
        assert '0 of 1 tasks done' in incomplete[0]

    asyncio.run(main())


def test_rerun_after_lease_expiry_is_no_violation(tmp_path):
    async def main():
        runs = [
            _create_run('j', 1, 0, 1, 'lapsed'),
            _create_run('j', 2, 2, 3),
        ]
        assert not _find_violations(
            tmp_path, runs, is_accepted=True, state='completed'
        )

    asyncio.run(main())


# After a lease expired, its task may have been started on another worker. An
# end that was still unacknowledged then must not count as acknowledged later.
def test_end_from_before_lease_expiry_is_not_acknowledged():
    async def main():
        emulated_worker = worker.EmulatedWorker('w', 4)
        emulated_worker.lease_until = emulated_worker.read_clock() + 1
        now = emulated_worker.booted_at
        done = worker.Run('j', 1, 1, now, now + 0.5)
        expired = worker.Run('k', 1, 1, now, now + 5)
        emulated_worker.running = {'j': done, 'k': expired}
        emulated_worker.booted_at -= 3
        done.due_at -= 3
        expired.due_at -= 3
        emulated_worker.end_due_runs()
        assert (done.outcome, expired.outcome) == ('done', 'lapsed')
        assert done.ended_at == done.due_at
        await emulated_worker._renew_leases({
            'fencing_token': 1,
            'last_seen': 2,
        })
        assert not done.is_acknowledged

    asyncio.run(main())


def _order_start(emulated_worker, task, run, until, spec='1 9'):
    document = {
        'task': task,
        'run': run,
        'spec': spec,
        'until_ms': until * worker.MS_PER_SECOND,
    }
    return emulated_worker._start_run(document)


def test_a_start_extends_the_lease_up_to_the_maximum():
    """A start that is refused as old extends the lease as well."""

    async def main():
        emulated_worker = worker.EmulatedWorker('w', 4)
        await _order_start(emulated_worker, 'j', 2, 2)
        assert emulated_worker.lease_until == 2
        reply = await _order_start(emulated_worker, 'j', 1, 100)
        assert reply.json()['reason'] == 'old'
        latest = emulated_worker.read_clock() + worker.MAX_LEASE_SECONDS
        assert latest - 1 < emulated_worker.lease_until <= latest

    asyncio.run(main())


def test_checks_end_the_runs_of_a_worker_that_is_cut_off(tmp_path):
    async def main():
        cluster = localcluster.LocalCluster(tmp_path)
        silent, successor = (worker.EmulatedWorker(name, 4) for name in 'ab')
        cluster.workers.extend((silent, successor))
        await _order_start(silent, 'j', 1, 0.1)
        await asyncio.sleep(0.2)
        await _order_start(successor, 'j', 2, 5)
        load = loadgenerator.LoadGenerator(cluster, cluster.store.rng)
        assert not checks.find_violations(cluster, load)

    asyncio.run(main())
