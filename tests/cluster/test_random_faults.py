"""Random faults of workers, leader and store, on virtual time.

Guards against a task that runs twice at a time or again after its end was
acknowledged, and against jobs that are lost: the incident of issue 40, in which
calls reached a later incarnation of a worker than they were meant for.

A seed gives the same faults each time. To play more seeds by hand, in a Python
prompt at the root:

    from tests.cluster import test_random_faults
    for seed in range(100, 200):
        print(seed, test_random_faults.play(seed, is_relayed=True))

Each line should show an empty list. Notes of asyncio on tasks that are still
pending when a play ends mean nothing.
"""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import interfaces, jobspec, relay
from tests import fakecluster
from tests.cluster import faultyworker, harness, test_relay

SEEDS = tuple(range(8))
WORKER_COUNT = 4
JOB_COUNT = 40
DISTURBANCE_RATE = 0.6  # for each job
SETTLE_S = 120  # within which all jobs complete once the faults are over
CLOCK_ERROR_S = 1e-6
DEMAND = jobspec.Demand(2_000, 100)
STEP = jobspec.Step(2, DEMAND, 1.0)
TOO_WIDE_STEP = jobspec.Step(1, jobspec.Demand(99_000, 100), 1.0)
GANG = jobspec.Step(3, DEMAND, 1.0, gang=True)


def find_violations(runs, done_at, unfinished):
    """Return a message for each violated invariant.

    ``runs`` are rows (task, run) of all workers, ``done_at`` are rows (task,
    time at which an end as done was acknowledged while the lease held), and
    ``unfinished`` names the jobs that have not completed.
    """
    runs_by_task = {}
    for task, run in sorted(runs, key=lambda row: row[1]):
        runs_by_task.setdefault(task, []).append(run)
    first_done_at = {}
    for task, at in done_at:
        first_done_at[task] = min(at, first_done_at.get(task, at))
    return [
        *_find_overlaps(runs_by_task),
        *_find_starts_after_end(runs_by_task, first_done_at),
        *(f'{name}: not completed' for name in unfinished),
    ]


def _find_overlaps(runs_by_task):
    for task, runs in runs_by_task.items():
        for earlier, later in zip(runs, runs[1:], strict=False):
            if later.started_at < earlier.ended_at - CLOCK_ERROR_S:
                yield f'{task}: overlap of {earlier} and {later}'


def _find_starts_after_end(runs_by_task, first_done_at):
    for task, runs in runs_by_task.items():
        at = first_done_at.get(task)
        if at is not None and runs[-1].started_at > at:
            yield f'{task}: acknowledged as done at {at}, but then {runs[-1]}'


def _find_violations_in(cluster, unfinished):
    workers = cluster.workers.values()
    return find_violations(
        [row for worker in workers for row in worker.list_runs()],
        [row for worker in workers for row in worker.done_at.items()],
        unfinished,
    )


@attrs.define(eq=False)
class _Leadership:
    """The terms of a play, each begun anew until it could claim its epoch."""

    cluster: harness.Cluster
    rng: random.Random
    is_relayed: bool
    epoch: int = 0
    term: object = None

    async def begin_term(self):
        self.epoch += 1
        epoch = self.epoch
        while True:
            try:
                self.term = await self._start_term(epoch)
            except (errors.ConflictError, errors.UnreachableError):
                await asyncio.sleep(0.02)
            else:
                break

    async def break_often(self):
        while True:
            await asyncio.sleep(self.rng.uniform(4, 14))
            fault = self.rng.choice(('kill', 'store', 'answers', 'silent'))
            if fault == 'store':
                await self._refuse_commits()
            elif fault == 'answers':
                self.cluster.store.lose = self.rng.randint(1, 3)
            else:
                if fault == 'kill':
                    await self.cluster.kill_leader()
                # Else the former leader works on until it learns of the next.
                await self.begin_term()

    async def recover(self):
        self.cluster.store.refuse = False
        self.cluster.store.lose = 0
        for worker in self.cluster.workers.values():
            worker.mute = False
            worker.is_faulty = False
            self.cluster.list_worker(worker)
        if not self.term.is_up_to_date():
            await asyncio.sleep(1.5)
        if not self.term.is_up_to_date():
            await self.begin_term()

    async def wait_for_jobs(self, names):
        """Return the names of the jobs that do not complete in time."""
        unfinished = names
        for _ in range(SETTLE_S):
            await asyncio.sleep(1)
            unfinished = [
                name
                for name in names
                if harness.find_job_state(self.term, name) != 'completed'
            ]
            if not unfinished:
                break
        return unfinished

    async def _refuse_commits(self):
        self.cluster.store.refuse = True
        await asyncio.sleep(self.rng.uniform(0.5, 12))
        self.cluster.store.refuse = False

    async def _start_term(self, epoch):
        term = await self.cluster.start_term(epoch)
        if self.is_relayed:
            network = test_relay.InMemoryRelays(self.cluster)
            router = relay.Router(
                network.connect_worker,
                network.exchange,
                lambda: list(network.relays),
                term.leader.spawn,
                0.01,
            )
            term.leader.connect_worker = router.connect_worker
        return term


async def _disturb(cluster, rng):
    """Restart a worker, or cut it off; its entry follows later."""
    worker = rng.choice(list(cluster.workers.values()))
    fault = rng.choice(('crash', 'crash', 'crash2', 'cut', 'down', 'mute'))
    if fault == 'mute':
        worker.mute = True
        await asyncio.sleep(rng.uniform(0.5, 10))
        worker.mute = False
        return
    await _restart(worker, rng, fault)
    await asyncio.sleep(rng.choice((0, 0.1, 1, 4)))
    cluster.list_worker(worker)
    if fault == 'cut':
        await asyncio.sleep(rng.uniform(1, 15))
        worker.mute = False


async def _restart(worker, rng, fault):
    if fault == 'down':
        worker.crash()
        await asyncio.sleep(rng.uniform(0.1, 5))
    worker.crash(restart=True)
    if fault == 'crash2':
        await asyncio.sleep(rng.uniform(0, 1))
        worker.crash(restart=True)
    if fault == 'cut':
        await asyncio.sleep(rng.choice((0, 0.05, 0.3)))
        worker.mute = True


async def _submit_jobs_amid_faults(cluster, rng):
    """Submit jobs while workers are disturbed; return the jobs' names."""
    disturbances = []
    names = [f'j{number}' for number in range(JOB_COUNT)]
    for number, name in enumerate(names):
        step = GANG if number % 5 == 4 else STEP
        cluster.submit_job(fakecluster.job(name, step))
        if rng.random() < DISTURBANCE_RATE:
            disturbances.append(asyncio.create_task(_disturb(cluster, rng)))
        await asyncio.sleep(rng.uniform(0.2, 2))
    return names, disturbances


async def _end_faults(breaker, disturbances):
    """Let the disturbances end; raise whatever failed in one."""
    breaker.cancel()
    await asyncio.gather(breaker, return_exceptions=True)
    if not breaker.cancelled():
        breaker.result()
    await asyncio.gather(*disturbances)


def play(seed, *, is_relayed):
    """Play the faults of a seed; return the violations found.

    With ``is_relayed`` the leader's calls to workers go through relays.
    """
    rng = random.Random(seed)
    workers = [
        faultyworker.FaultyWorker(
            f'w{number}',
            seconds=rng.choice((0.4, 2, 7)),
            rng=random.Random(seed * 100 + number),
            cpu_milli=8_000,
        )
        for number in range(WORKER_COUNT)
    ]

    async def scenario(cluster):
        leadership = _Leadership(cluster, rng, is_relayed)
        await leadership.begin_term()
        breaker = asyncio.create_task(leadership.break_often())
        names, disturbances = await _submit_jobs_amid_faults(cluster, rng)
        await _end_faults(breaker, disturbances)
        await leadership.recover()
        unfinished = await leadership.wait_for_jobs(names)
        return _find_violations_in(cluster, unfinished)

    return harness.run_scenario(scenario, *workers)


@pytest.mark.parametrize('is_relayed', [False, True])
@pytest.mark.parametrize('seed', SEEDS)
def test_random_faults_violate_no_invariant(seed, is_relayed):
    """No task runs twice at a time or after its end, and no job is lost."""
    assert not play(seed, is_relayed=is_relayed)


def _run(started_at, ended_at, worker='w0', incarnation=1, number=1):
    return faultyworker.RecordedRun(
        started_at, ended_at, worker, incarnation, number
    )


@pytest.mark.parametrize(
    ('runs', 'done_at', 'message'),
    [
        ([_run(0, 5), _run(4, 6, 'w1', number=2)], [], 'overlap'),
        ([_run(4, 6, 'w1', number=2), _run(0, 5)], [], 'overlap'),
        ([_run(0, 5), _run(4, 6, incarnation=2)], [], 'overlap'),
        ([_run(0, 9), _run(1, 2, 'w1'), _run(3, 4, 'w2')], [], 'overlap'),
        ([_run(0, 1), _run(3, 4, 'w1')], [2], 'acknowledged as done'),
        ([_run(0, 1), _run(3, 4, 'w1')], [5, 2], 'acknowledged as done'),
        ([_run(0, 1), _run(3, 4, incarnation=2)], [2], 'acknowledged as done'),
    ],
)
def test_checks_find_each_violation(runs, done_at, message):
    found = find_violations(
        [('t', run) for run in runs], [('t', at) for at in done_at], []
    )
    assert len(found) == 1
    assert message in found[0]


def test_checks_allow_runs_one_after_the_other():
    """An end that was not acknowledged under a lease allows another run."""
    earlier = ('t', _run(0, 5))
    later = ('t', _run(5, 6, 'w1'))
    other_task = ('s', _run(1, 7))
    assert not find_violations([earlier, later, other_task], [('t', 6)], [])


def test_checks_find_a_job_that_does_not_complete():
    """Guards against jobs that are lost without anyone noticing."""

    async def scenario(cluster):
        leadership = _Leadership(cluster, random.Random(1), is_relayed=False)
        await leadership.begin_term()
        cluster.submit_job(fakecluster.job('j', STEP))
        cluster.submit_job(fakecluster.job('wide', TOO_WIDE_STEP))
        unfinished = await leadership.wait_for_jobs(['j', 'wide', 'unknown'])
        return _find_violations_in(cluster, unfinished)

    workers = [faultyworker.FaultyWorker('w0', is_faulty=False)]
    assert harness.run_scenario(scenario, *workers) == [
        'wide: not completed',
        'unknown: not completed',
    ]


@pytest.mark.parametrize(('seconds', 'is_done'), [(2, True), (4, False)])
def test_an_end_counts_as_done_if_its_lease_still_holds(seconds, is_done):
    """Once the lease has expired, the task may be started elsewhere."""

    async def scenario(cluster):
        worker = cluster.workers['w0']
        until = worker.clock() + 3
        order = interfaces.StartOrder('t', 1, '', until, 1, worker.born)
        assert await worker.start(order) is interfaces.OrderResult.ACCEPTED
        await asyncio.sleep(seconds)
        renewal = interfaces.Renewal(1, worker.born, 1, until + 3)
        await worker.renew_leases(renewal)
        assert ('t' in worker.done_at) == is_done
        ((task, run),) = worker.list_runs()
        assert (task, run.ended_at - run.started_at) == ('t', 1)

    worker = faultyworker.FaultyWorker('w0', seconds=1, is_faulty=False)
    harness.run_scenario(scenario, worker)
