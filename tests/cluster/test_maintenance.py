"""Waves of upkeep: how few at once, what moves away first, what is told."""

from __future__ import annotations

import asyncio
from unittest import mock

import attrs
import orjson

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    interfaces,
    jobspec,
    jobtable,
    keys,
    maintenance,
    progress,
    waves,
)
from tests import fakecluster
from tests.cluster import harness

UPKEEP = 2.0  # seconds
CORES = jobspec.Demand(4000, 100)


@attrs.define(eq=False)
class Machines:
    """Machines in memory, one for each worker of a cell."""

    cell: harness.Cell
    handover_gap: float = 3.0
    lives: dict = attrs.field(factory=dict)
    down_until: dict = attrs.field(factory=dict)
    orders: list = attrs.field(factory=list)
    most_down: int = 0
    lose: int = 0
    busy: int = 0
    refuse: bool = False

    def __attrs_post_init__(self):
        self.lives = {f'm-{name}': 0 for name in self.cell.workers}

    def worker(self, name):
        return f'{name.removeprefix("m-")}{"+" * self.lives[name]}'

    async def list_machines(self):
        await asyncio.sleep(0.01)
        if self.refuse:
            raise errors.RefusedError('machines answers 429')
        return [
            interfaces.Machine(name, self._state(name), self.worker(name))
            for name in self.lives
        ]

    def _state(self, name):
        if clock.now() < self.down_until.get(name, 0):
            return interfaces.MachineState.MAINTENANCE
        return interfaces.MachineState.UP

    async def begin_maintenance(self, machine, wave, host, fence):
        await asyncio.sleep(0.01)
        if self.busy:
            self.busy -= 1
            return interfaces.MaintenanceResult.BUSY
        if machine not in self.lives:
            return interfaces.MaintenanceResult.NOT_IN_WAVE
        self.orders.append((machine, fence, clock.now()))
        if machine not in self.down_until:
            self._take_down(machine)
        if self.lose:
            self.lose -= 1
            raise errors.UnreachableError('no answer')
        return interfaces.MaintenanceResult.BEGUN

    def _take_down(self, name):
        worker = self.cell.workers[self.worker(name)]
        worker.crash()
        self.cell.unlist(worker)
        now = clock.now()
        self.down_until[name] = now + UPKEEP
        down = [one for one in self.lives if now < self.down_until.get(one, 0)]
        self.most_down = max(self.most_down, len(down))
        self.lives[name] += 1
        later = fakecluster.Worker(self.worker(name), worker.seconds)
        self.cell.tasks.append(asyncio.create_task(self._return(later)))

    async def _return(self, worker):
        await asyncio.sleep(UPKEEP)
        self.cell.list_worker(worker)

    def status(self, wave, *, completed):
        return f'status/wave/{wave}', orjson.dumps({'completed': completed})


def _status(cell):
    item = cell.store.data.get('status/wave/1')
    return orjson.loads(item.body)['completed'] if item else None


def _play(scenario, count=4, seconds=1.0, within=30.0, most=1):
    workers = [fakecluster.Worker(f'w{at}', seconds) for at in range(count)]

    async def with_machines(cell):
        cell.machines = Machines(cell)
        cell.waves = (waves.Wave(1, tuple(cell.machines.lives), within, most),)
        await scenario(cell)

    harness.play(with_machines, *workers)


def test_every_machine_has_its_upkeep_and_few_at_once():
    async def scenario(cell):
        await cell.lead()
        await harness.until(lambda: _status(cell) is False)
        await harness.until(lambda: _status(cell), 40)
        assert set(cell.machines.down_until) == set(cell.machines.lives)
        assert cell.machines.most_down == 2

    _play(scenario, most=2)


def test_a_task_may_end_before_its_machine_goes_down():
    async def scenario(cell):
        await cell.lead()
        cell.submit(fakecluster.job('j', jobspec.Step(4, CORES, 3.0)))
        await harness.until(lambda: _status(cell), 60)
        assert len(harness.runs_of(cell, 'j')) == 4

    _play(scenario, seconds=3.0, within=60.0)


def test_no_more_lasting_tasks_are_away_than_their_step_allows():
    step = jobspec.Step(6, CORES, 1.0, lasting=True, may_be_away=1)

    async def scenario(cell):
        made = await cell.lead()
        cell.submit(fakecluster.job('serve', step))
        await harness.until(lambda: len(harness.runs_of(cell, 'serve')) == 6)
        group = made.cell.job_table.jobs['serve'].groups[0, 0]
        spared = []

        def observe():
            away = [
                task
                for task in group.tasks
                if task.state is not progress.TaskState.PLACED
                or task.is_stopping
                or task.percent < 100
            ]
            spared.append(len(away))
            return _status(cell)

        await harness.until(lambda: all(_whole(group)))
        await harness.until(observe, 120)
        assert max(spared) == 1

    workers = [
        fakecluster.Worker(f'w{at}', 500.0, shows_whole=True) for at in range(3)
    ]

    async def with_machines(cell):
        cell.machines = Machines(cell)
        cell.waves = (waves.Wave(1, tuple(cell.machines.lives), 60.0, 1),)
        with mock.patch.object(Machines, '_take_down', _whole_again):
            await scenario(cell)

    harness.play(with_machines, *workers)


def _whole(group):
    return [task.percent == 100 for task in group.tasks]


def _whole_again(machines, name):
    """Take a machine down whose next worker shows tasks at work at once."""
    worker = machines.cell.workers[machines.worker(name)]
    assert not worker.runs
    machines.cell.unlist(worker)
    machines.down_until[name] = clock.now() + UPKEEP
    machines.lives[name] += 1
    later = fakecluster.Worker(machines.worker(name), 500.0, shows_whole=True)
    machines.cell.tasks.append(asyncio.create_task(machines._return(later)))


def test_an_order_whose_answer_was_lost_counts_and_is_asked_again():
    async def scenario(cell):
        cell.machines.lose = 1
        await cell.lead()
        await harness.until(lambda: _status(cell), 60)
        assert cell.machines.most_down == 1
        asked = [machine for machine, _, _ in cell.machines.orders]
        assert len(asked) == len(set(asked)) + 1

    _play(scenario)


def test_a_busy_machine_is_asked_again_and_a_gone_one_left_out():
    async def scenario(cell):
        cell.machines.busy = 3
        cell.machines.lives.pop('m-w2')
        await cell.lead()
        await harness.until(lambda: _status(cell), 60)
        assert set(cell.machines.down_until) == {'m-w0', 'm-w1', 'm-w3'}

    _play(scenario)


def test_a_later_leader_waits_its_turn_and_takes_nothing_down_twice():
    async def scenario(cell):
        await cell.lead()
        await harness.until(lambda: len(cell.machines.orders) == 2, 40)
        await cell.kill()
        killed = clock.now()
        await cell.lead(2)
        await harness.until(lambda: _status(cell), 60)
        later = [at for _, fence, at in cell.machines.orders if fence == 2]
        assert min(later) - killed > cell.machines.handover_gap
        assert set(cell.machines.lives.values()) == {1}

    _play(scenario)


def test_a_silent_list_of_machines_is_read_again():
    async def scenario(cell):
        cell.machines.refuse = True
        await cell.lead()
        await asyncio.sleep(8)
        assert not cell.machines.orders
        cell.machines.refuse = False
        await harness.until(lambda: _status(cell), 60)

    _play(scenario)


def test_operators_hear_of_a_wave_though_its_record_was_not_read_at_once():
    async def scenario(cell):
        read = fakecluster.Store.scan
        failures = ['first']

        async def scan(store, prefix):
            if prefix == keys.WAVES and failures:
                raise errors.UnreachableError(failures.pop())
            return await read(store, prefix)

        cell.machines.refuse = True
        with mock.patch.object(fakecluster.Store, 'scan', scan):
            await cell.lead()
            await harness.until(lambda: _status(cell) is False)

    _play(scenario)


def test_a_step_without_a_limit_spares_any_task():
    def task(limit, *percents):
        step = jobspec.Step(
            len(percents), CORES, lasting=True, may_be_away=limit
        )
        group = jobtable.JobTable().add(fakecluster.job('j', step)).groups[0, 0]
        for one, percent in zip(group.tasks, percents, strict=True):
            one.state = progress.TaskState.PLACED
            one.percent = percent
        return group.tasks[0]

    assert maintenance.can_spare(task(0, 100, 0, 0))
    assert maintenance.can_spare(task(2, 100, 100, 0))
    assert not maintenance.can_spare(task(2, 100, 0, 0))
    assert maintenance.can_spare(task(2, 50, 0, 0))


def test_a_record_of_a_wave_is_read_back():
    made = waves.WaveProgress(5.0, {'b', 'a'}, {'c'}, completed=True)
    again = waves.parse_progress(made.encode())
    assert (again.asked, again.begun) == ({'a', 'b'}, {'c'})
    assert again.completed
