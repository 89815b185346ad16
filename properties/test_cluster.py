"""Drawn faults against the leader on virtual time: the promises hold.

Faster than the soak of real processes, and the same on every run: leaders
are killed, workers fall silent or begin new lives, starts are carried out
late, the store refuses, loses answers and carries writes out late.
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
FAULTS = 10
JOBS = 25
QUIET = 60.0  # seconds for every job to end after the last fault
DEMAND = jobspec.Demand(9_000, 1_000)


class _Recorder(fakecluster.Worker):
    """A worker that keeps when each run began and ended."""

    def take_start(self, order):
        before = len(self.started)
        verdict = super().take_start(order)
        if len(self.started) > before:
            self.history.append([order.task, order.run, self._now(), None])
        return verdict

    def crash(self, *, reborn=False):
        for row in self.history:
            row[3] = row[3] or (self._now(), 'crashed')
        super().crash(reborn=reborn)

    def _end(self, task, how, at):
        for row in self.history:
            if row[0] == task and row[3] is None:
                row[3] = (at, how.value)
        super()._end(task, how, at)

    def _now(self):
        return asyncio.get_running_loop().time()


def _worker(name, chance):
    made = _Recorder(name, seconds=chance.choice((0.3, 1.0, 4.0)))
    made.history = []
    return made


class _Trouble:
    """Draws one fault after the other."""

    def __init__(self, cell, chance):
        self.cell = cell
        self.chance = chance
        self.epoch = 1
        self.leader = None

    async def begin(self):
        self.leader = await self.cell.lead(self.epoch)

    async def one(self):
        fault = self.chance.choice((
            self.new_leader,
            self.silent_worker,
            self.reborn_worker,
            self.lost_starts,
            self.store_away,
            self.lost_answers,
            self.late_write,
            self.dropped_history,
        ))
        await fault()
        await asyncio.sleep(self.chance.uniform(0.1, 2))

    async def new_leader(self):
        if self.chance.choice((True, False)):
            await self.cell.kill()
        self.epoch += 1
        while True:
            try:
                self.leader = await self.cell.lead(self.epoch)
            except errors.JujubebendError:
                await asyncio.sleep(0.2)
                continue
            return

    def worker(self):
        return self.chance.choice(list(self.cell.workers.values()))

    async def silent_worker(self):
        one = self.worker()
        one.mute = True
        await asyncio.sleep(self.chance.uniform(0.5, 12))
        one.mute = False

    async def reborn_worker(self):
        one = self.worker()
        one.crash(reborn=True)
        self.cell.list_worker(one)

    async def lost_starts(self):
        one = self.worker()
        one.lose_starts = 2
        await asyncio.sleep(self.chance.uniform(2, 8))
        life = one.born
        for order in one.late_starts:
            if one.born == life:
                one.take_start(order)
        one.late_starts.clear()

    async def store_away(self):
        which = self.chance.choice(('refuse', 'mute'))
        setattr(self.cell.store, which, True)
        await asyncio.sleep(self.chance.uniform(0.5, 7))
        setattr(self.cell.store, which, False)

    async def lost_answers(self):
        self.cell.store.lose = 3

    async def late_write(self):
        store = self.cell.store
        store.hold_back = True
        await asyncio.sleep(self.chance.uniform(1, 6))
        for wanted in store.late:
            try:
                store.apply(wanted)
            except errors.ConflictError:
                continue
        store.late.clear()

    async def dropped_history(self):
        self.cell.store.forget_history()


def _overlaps(cell):
    rows = [row for one in cell.workers.values() for row in one.history]
    rows.sort(key=lambda row: (str(row[0]), row[2]))
    for before, after in zip(rows, rows[1:], strict=False):
        if before[0] != after[0]:
            continue
        if before[3] is None or after[2] < before[3][0]:
            yield before, after


@pytest.mark.parametrize('seed', SEEDS)
def test_no_task_runs_in_two_places_and_every_job_ends(seed):
    chance = random.Random(seed)  # noqa: S311

    async def scenario(cell):
        trouble = _Trouble(cell, chance)
        await trouble.begin()
        for number in range(JOBS):
            step = jobspec.Step(chance.randint(1, 3), DEMAND, 1.0)
            cell.submit(fakecluster.job(f'j{number}', step))
        for _ in range(FAULTS):
            await trouble.one()
        await trouble.new_leader()
        await harness.until(lambda: trouble.leader.loaded)
        await harness.until(
            lambda: not trouble.leader.cell.job_table.live, seconds=QUIET
        )
        for worker in cell.workers.values():
            worker._settle()
        assert not list(_overlaps(cell))
        for number in range(JOBS):
            assert harness.shown(trouble.leader, f'j{number}') == 'completed'

    workers = [_worker(f'w{number}', chance) for number in range(4)]
    harness.play(scenario, *workers)
