"""Random faults on virtual time: no task runs twice, every job completes.

Faster than the soak test with real processes, and repeatable for a seed.
Leaders are killed, workers stop answering or restart, starts arrive late, the
store refuses calls, loses answers and applies transactions late.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from jujubebend import errors
from jujubebend_cluster import jobspec
from tests import fakecluster
from tests.cluster import harness

SEEDS = range(30)
FAULT_COUNT = 10
JOB_COUNT = 25
COMPLETION_TIMEOUT_S = 60.0  # for every job to end after the last fault
DEMAND = jobspec.Demand(9_000, 1_000)


class _RecordingWorker(fakecluster.Worker):
    """Records when each run started and ended.

    A row of ``history`` holds the task, the run, the time of its start, and
    its end as (time, reason), or None while it runs.
    """

    def apply_start(self, order):
        started_before = len(self.started)
        order_result = super().apply_start(order)
        if len(self.started) > started_before:
            self.history.append([order.task, order.run, self._now(), None])
        return order_result

    def crash(self, *, restart=False):
        for row in self.history:
            row[3] = row[3] or (self._now(), 'crashed')
        super().crash(restart=restart)

    def _end_run(self, task, outcome, at):
        for row in self.history:
            if row[0] == task and row[3] is None:
                row[3] = (at, outcome.value)
        super()._end_run(task, outcome, at)

    def _now(self):
        return asyncio.get_running_loop().time()


def _make_worker(name, rng):
    worker = _RecordingWorker(name, seconds=rng.choice((0.3, 1.0, 4.0)))
    worker.history = []
    return worker


class _FaultInjector:
    """Injects one random fault after the other."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.epoch = 1
        self.term = None

    async def start_leader(self):
        self.term = await self.cluster.start_term(self.epoch)

    async def inject_fault(self):
        fault = self.rng.choice((
            self.replace_leader,
            self.silence_worker,
            self.restart_worker,
            self.delay_starts,
            self.disrupt_store,
            self.lose_store_answers,
            self.delay_transaction,
            self.compact_history,
        ))
        await fault()
        await asyncio.sleep(self.rng.uniform(0.1, 2))

    async def replace_leader(self):
        if self.rng.choice((True, False)):
            await self.cluster.kill_leader()
        self.epoch += 1
        while True:
            try:
                self.term = await self.cluster.start_term(self.epoch)
            except errors.JujubebendError:
                await asyncio.sleep(0.2)
                continue
            return

    def choose_worker(self):
        return self.rng.choice(list(self.cluster.workers.values()))

    async def silence_worker(self):
        worker = self.choose_worker()
        worker.mute = True
        await asyncio.sleep(self.rng.uniform(0.5, 12))
        worker.mute = False

    async def restart_worker(self):
        worker = self.choose_worker()
        worker.crash(restart=True)
        self.cluster.list_worker(worker)

    async def delay_starts(self):
        worker = self.choose_worker()
        worker.lose_starts = 2
        await asyncio.sleep(self.rng.uniform(2, 8))
        incarnation = worker.born
        for order in worker.late_starts:
            if worker.born == incarnation:
                worker.apply_start(order)
        worker.late_starts.clear()

    async def disrupt_store(self):
        fault = self.rng.choice(('refuse', 'mute'))
        setattr(self.cluster.store, fault, True)
        await asyncio.sleep(self.rng.uniform(0.5, 7))
        setattr(self.cluster.store, fault, False)

    async def lose_store_answers(self):
        self.cluster.store.lose = 3

    async def delay_transaction(self):
        store = self.cluster.store
        store.hold_back = True
        await asyncio.sleep(self.rng.uniform(1, 6))
        for transaction in store.late:
            try:
                store.apply(transaction)
            except errors.ConflictError:
                continue
        store.late.clear()

    async def compact_history(self):
        self.cluster.store.compact_history()


def _find_overlaps(cluster):
    """Yield two rows of one task's history whose runs overlap in time."""
    rows = [
        row for worker in cluster.workers.values() for row in worker.history
    ]
    rows.sort(key=lambda row: (str(row[0]), row[2]))
    for earlier, later in zip(rows, rows[1:], strict=False):
        if earlier[0] != later[0]:
            continue
        if earlier[3] is None or later[2] < earlier[3][0]:
            yield earlier, later


@pytest.mark.parametrize('seed', SEEDS)
def test_no_task_runs_twice_at_once_and_every_job_completes(seed):
    rng = random.Random(seed)  # noqa: S311

    async def scenario(cluster):
        faults = _FaultInjector(cluster, rng)
        await faults.start_leader()
        for number in range(JOB_COUNT):
            step = jobspec.Step(rng.randint(1, 3), DEMAND, 1.0)
            cluster.submit_job(fakecluster.job(f'j{number}', step))
        for _ in range(FAULT_COUNT):
            await faults.inject_fault()
        await faults.replace_leader()
        await harness.wait_until(lambda: faults.term.is_loaded)
        await harness.wait_until(
            lambda: not faults.term.leader.job_table.live_jobs,
            seconds=COMPLETION_TIMEOUT_S,
        )
        for worker in cluster.workers.values():
            worker._end_due_runs()
        assert not list(_find_overlaps(cluster))
        for number in range(JOB_COUNT):
            assert (
                harness.find_job_state(faults.term, f'j{number}') == 'completed'
            )

    workers = [_make_worker(f'w{number}', rng) for number in range(4)]
    harness.run_scenario(scenario, *workers)
