"""Maintenance waves: concurrency limit, draining, status and takeover.

The failures are too many machines or lasting tasks down at once, and machines
taken down twice. They come about through lost answers, busy machines and a
change of leader.
"""

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

MAINTENANCE_S = 2.0
FOUR_CORES = jobspec.Demand(4000, 100)


@attrs.define(eq=False)
class Machines:
    """In-memory machines, one for each worker of the test cluster.

    ``restarts`` counts how often each machine had maintenance. The next
    ``lost_answers`` answers are lost, and the next ``busy_answers`` orders
    refused. The machine list is refused while ``refuses_list`` is set.
    """

    cluster: harness.Cluster
    handover_gap: float = 3.0
    restarts: dict = attrs.field(factory=dict)
    down_until: dict = attrs.field(factory=dict)
    orders: list = attrs.field(factory=list)
    max_down: int = 0
    lost_answers: int = 0
    busy_answers: int = 0
    refuses_list: bool = False

    def __attrs_post_init__(self):
        self.restarts = {f'm-{name}': 0 for name in self.cluster.workers}

    def worker(self, name):
        return f'{name.removeprefix("m-")}{"+" * self.restarts[name]}'

    async def list_machines(self):
        await asyncio.sleep(0.01)
        if self.refuses_list:
            raise errors.RefusedError('the machines API answers 429')
        return [
            interfaces.Machine(name, self._state(name), self.worker(name))
            for name in self.restarts
        ]

    def _state(self, name):
        if clock.now() < self.down_until.get(name, 0):
            return interfaces.MachineState.MAINTENANCE
        return interfaces.MachineState.UP

    async def begin_maintenance(self, machine, wave, host, fencing_token):
        await asyncio.sleep(0.01)
        if self.busy_answers:
            self.busy_answers -= 1
            return interfaces.MaintenanceResult.BUSY
        if machine not in self.restarts:
            return interfaces.MaintenanceResult.NOT_IN_WAVE
        self.orders.append((machine, fencing_token, clock.now()))
        if machine not in self.down_until:
            self._take_down(machine)
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.UnreachableError('no answer')
        return interfaces.MaintenanceResult.BEGUN

    def _take_down(self, name):
        worker = self.cluster.workers[self.worker(name)]
        worker.crash()
        self.cluster.unlist_worker(worker)
        now = clock.now()
        self.down_until[name] = now + MAINTENANCE_S
        down = [
            other
            for other in self.restarts
            if now < self.down_until.get(other, 0)
        ]
        self.max_down = max(self.max_down, len(down))
        self.restarts[name] += 1
        successor = fakecluster.Worker(self.worker(name), worker.seconds)
        self.cluster.tasks.append(
            asyncio.create_task(self._list_after_maintenance(successor))
        )

    async def _list_after_maintenance(self, worker):
        await asyncio.sleep(MAINTENANCE_S)
        self.cluster.list_worker(worker)

    def encode_wave_status(self, wave, *, completed):
        return f'status/wave/{wave}', orjson.dumps({'completed': completed})


def _read_status(cluster):
    item = cluster.store.data.get('status/wave/1')
    return orjson.loads(item.body)['completed'] if item else None


def _run_scenario(scenario, count=4, seconds=1.0, within=30.0, limit=1):
    workers = [
        fakecluster.Worker(f'w{number}', seconds) for number in range(count)
    ]

    async def with_machines(cluster):
        cluster.machines = Machines(cluster)
        cluster.waves = (
            waves.Wave(1, tuple(cluster.machines.restarts), within, limit),
        )
        await scenario(cluster)

    harness.run_scenario(with_machines, *workers)


def test_every_machine_has_maintenance_within_the_limit():
    async def scenario(cluster):
        await cluster.start_term()
        await harness.wait_until(lambda: _read_status(cluster) is False)
        await harness.wait_until(lambda: _read_status(cluster), 40)
        assert set(cluster.machines.down_until) == set(
            cluster.machines.restarts
        )
        assert cluster.machines.max_down == 2

    _run_scenario(scenario, limit=2)


def test_a_task_may_end_before_its_machine_goes_down():
    async def scenario(cluster):
        await cluster.start_term()
        cluster.submit_job(
            fakecluster.job('j', jobspec.Step(4, FOUR_CORES, 3.0))
        )
        await harness.wait_until(lambda: _read_status(cluster), 60)
        assert len(harness.find_starts(cluster, 'j')) == 4

    _run_scenario(scenario, seconds=3.0, within=60.0)


def test_no_more_lasting_tasks_are_down_than_their_step_allows():
    step = jobspec.Step(6, FOUR_CORES, 1.0, lasting=True, may_be_away=1)

    async def scenario(cluster):
        term = await cluster.start_term()
        cluster.submit_job(fakecluster.job('serve', step))
        await harness.wait_until(
            lambda: len(harness.find_starts(cluster, 'serve')) == 6
        )
        group = term.leader.job_table.jobs['serve'].groups[0, 0]
        away_counts = []

        def record_away():
            away = [
                task
                for task in group.tasks
                if task.state is not progress.TaskState.PLACED
                or task.is_stopping
                or task.percent < 100
            ]
            away_counts.append(len(away))
            return _read_status(cluster)

        await harness.wait_until(lambda: all(_serving_flags(group)))
        await harness.wait_until(record_away, 120)
        assert max(away_counts) == 1

    workers = [
        fakecluster.Worker(f'w{number}', 500.0, reports_full_progress=True)
        for number in range(3)
    ]

    async def with_machines(cluster):
        cluster.machines = Machines(cluster)
        cluster.waves = (
            waves.Wave(1, tuple(cluster.machines.restarts), 60.0, 1),
        )
        with mock.patch.object(Machines, '_take_down', _restart_serving):
            await scenario(cluster)

    harness.run_scenario(with_machines, *workers)


def _serving_flags(group):
    return [task.percent == 100 for task in group.tasks]


def _restart_serving(machines, name):
    """Take a machine down; its next worker reports 100 % progress at once."""
    worker = machines.cluster.workers[machines.worker(name)]
    assert not worker.runs
    machines.cluster.unlist_worker(worker)
    machines.down_until[name] = clock.now() + MAINTENANCE_S
    machines.restarts[name] += 1
    successor = fakecluster.Worker(
        machines.worker(name), 500.0, reports_full_progress=True
    )
    machines.cluster.tasks.append(
        asyncio.create_task(machines._list_after_maintenance(successor))
    )


def test_an_unanswered_order_counts_as_down_and_is_repeated():
    async def scenario(cluster):
        cluster.machines.lost_answers = 1
        await cluster.start_term()
        await harness.wait_until(lambda: _read_status(cluster), 60)
        assert cluster.machines.max_down == 1
        asked = [machine for machine, _, _ in cluster.machines.orders]
        assert len(asked) == len(set(asked)) + 1

    _run_scenario(scenario)


def test_a_busy_machine_is_retried_and_a_gone_one_skipped():
    async def scenario(cluster):
        cluster.machines.busy_answers = 3
        cluster.machines.restarts.pop('m-w2')
        await cluster.start_term()
        await harness.wait_until(lambda: _read_status(cluster), 60)
        assert set(cluster.machines.down_until) == {'m-w0', 'm-w1', 'm-w3'}

    _run_scenario(scenario)


def test_a_new_leader_waits_and_takes_no_machine_down_twice():
    async def scenario(cluster):
        await cluster.start_term()
        await harness.wait_until(lambda: len(cluster.machines.orders) == 2, 40)
        await cluster.kill_leader()
        killed_at = clock.now()
        await cluster.start_term(2)
        await harness.wait_until(lambda: _read_status(cluster), 60)
        order_times = [
            ordered_at
            for _, fencing_token, ordered_at in cluster.machines.orders
            if fencing_token == 2
        ]
        assert min(order_times) - killed_at > cluster.machines.handover_gap
        assert set(cluster.machines.restarts.values()) == {1}

    _run_scenario(scenario)


def test_a_failed_machine_list_is_retried():
    async def scenario(cluster):
        cluster.machines.refuses_list = True
        await cluster.start_term()
        await asyncio.sleep(8)
        assert not cluster.machines.orders
        cluster.machines.refuses_list = False
        await harness.wait_until(lambda: _read_status(cluster), 60)

    _run_scenario(scenario)


def test_a_wave_status_is_written_after_a_failed_scan():
    async def scenario(cluster):
        original_scan = fakecluster.Store.scan
        failures = ['first']

        async def scan(store, prefix):
            if prefix == keys.WAVES and failures:
                raise errors.UnreachableError(failures.pop())
            return await original_scan(store, prefix)

        cluster.machines.refuses_list = True
        with mock.patch.object(fakecluster.Store, 'scan', scan):
            await cluster.start_term()
            await harness.wait_until(lambda: _read_status(cluster) is False)

    _run_scenario(scenario)


def test_a_task_is_spared_within_the_limit_of_its_step():
    def task(limit, *percents):
        step = jobspec.Step(
            len(percents), FOUR_CORES, lasting=True, may_be_away=limit
        )
        group = jobtable.JobTable().add(fakecluster.job('j', step)).groups[0, 0]
        for member, percent in zip(group.tasks, percents, strict=True):
            member.state = progress.TaskState.PLACED
            member.percent = percent
        return group.tasks[0]

    assert maintenance.can_spare(task(0, 100, 0, 0))
    assert maintenance.can_spare(task(2, 100, 100, 0))
    assert not maintenance.can_spare(task(2, 100, 0, 0))
    assert maintenance.can_spare(task(2, 50, 0, 0))


def test_a_wave_record_survives_a_round_trip():
    record = waves.WaveProgress(5.0, {'b', 'a'}, {'c'}, completed=True)
    restored = waves.decode_progress(record.encode())
    assert (restored.asked, restored.begun) == ({'a', 'b'}, {'c'})
    assert restored.completed
