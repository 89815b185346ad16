"""Planned maintenance: drains machines and orders them down in waves.

A machine's worker is first cordoned, so that no new tasks are placed on it.
Lasting tasks are moved as soon as their step can spare them. Other tasks may
end by themselves for as long as the wave's time allows; then they are
stopped, which saves a checkpoint where they support it. The order to begin
maintenance is recorded in the store before it is sent.
"""

from __future__ import annotations

import asyncio
import math

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    dispatcher,
    fleet,
    interfaces,
    jobtable,
    keys,
    leaderstate,
    logs,
    progress,
    waves,
)

# Interval at which the machines are listed while a wave is open.
POLL_INTERVAL_S = 0.5
# Interval at which new waves are looked for while none is open.
IDLE_INTERVAL_S = 1.0
# Longest time that the last order of a former leader may be in flight.
ORDER_TIMEOUT_S = 1.5
# Time that one machine needs for stopping its tasks, for its maintenance and
# for the return of its worker.
MACHINE_OVERHEAD_S = 4.0
# Time that stopped tasks get to end before the machine is ordered down.
STOP_GRACE_S = 1.5
# Progress in percent that a lasting task reports once it serves.
SERVING_PERCENT = 100


@attrs.define(eq=False)
class _Drain:
    """The drain of one machine.

    ``stopped_at`` is when its tasks were stopped, None while they may still
    end by themselves.
    """

    worker: str
    started_at: float
    stopped_at: float | None = None


@attrs.define(eq=False)
class MaintenanceController:
    """Carries out the maintenance waves of operators during one term.

    ``progress_by_number`` holds the progress of each wave by its number.
    ``_down_since`` maps machines in maintenance to when they accepted the
    order. ``_busy_machines`` have refused one as busy and are ordered last.
    """

    leader: leaderstate.LeaderState
    dispatcher: dispatcher.Dispatcher
    calls: interfaces.Machines
    host: str
    progress_by_number: dict[int, waves.WaveProgress] = attrs.field(
        factory=dict
    )
    _drains: dict[str, _Drain] = attrs.field(factory=dict)
    _down_since: dict[str, float] = attrs.field(factory=dict)
    _busy_machines: set[str] = attrs.field(factory=set)
    _is_progress_loaded: bool = False
    _is_api_reachable: bool = True

    async def run(self) -> None:
        """Advance waves until cancelled.

        Orders of two leaders for one machine must be ``handover_gap`` apart,
        so it first waits until no order of a former leader can be in flight
        and the gap has passed.
        """
        await asyncio.sleep(self.calls.handover_gap + ORDER_TIMEOUT_S)
        while True:
            open_waves = await self._find_open_waves()
            if open_waves and self.leader.is_current():
                await self._advance_waves(open_waves)
            self._update_cordons()
            await asyncio.sleep(
                POLL_INTERVAL_S if open_waves else IDLE_INTERVAL_S
            )

    async def _find_open_waves(self) -> list[waves.Wave]:
        current_waves = self.leader.context.current_waves()
        if current_waves and not self._is_progress_loaded:
            await self._load_progress()
        if not self._is_progress_loaded:
            return []
        return [
            wave
            for wave in current_waves
            if not self._ensure_progress(wave).completed
        ]

    async def _load_progress(self) -> None:
        try:
            entries, _ = await self.leader.context.store.scan(keys.WAVES)
        except errors.JujubebendError as exc:
            logs.dependency('store', lost=True, why=str(exc))
            return
        for entry in entries:
            if entry.body is not None:
                number = int(entry.key.removeprefix(keys.WAVES))
                self.progress_by_number[number] = waves.decode_progress(
                    entry.body
                )
        self._is_progress_loaded = True

    def _ensure_progress(self, wave: waves.Wave) -> waves.WaveProgress:
        wave_progress = self.progress_by_number.get(wave.number)
        if wave_progress is None:
            wave_progress = waves.WaveProgress(clock.unix())
            self.progress_by_number[wave.number] = wave_progress
            logs.belief('wave', wave=wave.number, state='running')
            self._save_progress(wave, wave_progress)
        return wave_progress

    def _save_progress(
        self, wave: waves.Wave, wave_progress: waves.WaveProgress
    ) -> None:
        self.leader.commits.put(keys.wave(wave.number), wave_progress)
        key, body = self.calls.encode_wave_status(
            wave.number, completed=wave_progress.completed
        )
        self.leader.commits.put(key, waves.Status(body))

    async def _advance_waves(self, open_waves: list[waves.Wave]) -> None:
        requested_at = clock.now()
        try:
            machines = await self.calls.list_machines()
        except errors.JujubebendError as exc:
            self._log_reachability(is_reachable=False, why=str(exc))
            return
        self._log_reachability(is_reachable=True)
        machines_by_name = {machine.name: machine for machine in machines}
        self._update_down_machines(machines_by_name, requested_at)
        for wave in open_waves:
            await self._advance_wave(wave, machines_by_name, requested_at)

    def _log_reachability(self, *, is_reachable: bool, why: str = '') -> None:
        if is_reachable != self._is_api_reachable:
            self._is_api_reachable = is_reachable
            logs.dependency('machines', lost=not is_reachable, why=why)

    def _update_down_machines(
        self,
        machines_by_name: dict[str, interfaces.Machine],
        requested_at: float,
    ) -> None:
        """Remove machines that are up again or no longer listed.

        A machine counts as down once its order is answered. A list that was
        requested after that answer and shows the machine up shows it after its
        maintenance.
        """
        for name, answered_at in list(self._down_since.items()):
            machine = machines_by_name.get(name)
            is_up = machine and machine.state is interfaces.MachineState.UP
            if machine is None or (is_up and answered_at < requested_at):
                self._down_since.pop(name)

    async def _advance_wave(
        self,
        wave: waves.Wave,
        machines_by_name: dict[str, interfaces.Machine],
        now: float,
    ) -> None:
        wave_progress = self._ensure_progress(wave)
        remaining_machines = [
            machines_by_name[name]
            for name in wave.machines
            if name in machines_by_name
            and name not in wave_progress.begun | wave_progress.gone
        ]
        if not remaining_machines:
            self._complete_wave(wave, wave_progress)
            return
        drain_seconds = _drain_seconds(
            wave, wave_progress, len(remaining_machines)
        )
        allowance = wave.max_concurrent - self._count_down_machines(
            wave, wave_progress, machines_by_name
        )
        # Machines whose order was not answered count as down already: they are
        # ordered again first, and without using the allowance.
        remaining_machines.sort(
            key=lambda machine: (
                machine.name not in wave_progress.asked,
                machine.name in self._busy_machines,
            )
        )
        for machine in remaining_machines:
            if machine.state is not interfaces.MachineState.UP:
                continue
            is_repeated = machine.name in wave_progress.asked
            allowance -= not is_repeated
            if (is_repeated or allowance >= 0) and self._drain_machine(
                machine, drain_seconds, now
            ):
                await self._order_maintenance(wave, wave_progress, machine)

    def _count_down_machines(
        self,
        wave: waves.Wave,
        wave_progress: waves.WaveProgress,
        machines_by_name: dict[str, interfaces.Machine],
    ) -> int:
        return sum(
            name in wave_progress.asked
            or name in self._down_since
            or (
                name in machines_by_name
                and name in wave_progress.begun
                and machines_by_name[name].state
                is not interfaces.MachineState.UP
            )
            for name in wave.machines
        )

    def _complete_wave(
        self, wave: waves.Wave, wave_progress: waves.WaveProgress
    ) -> None:
        wave_progress.completed = True
        logs.belief('wave', wave=wave.number, state='completed')
        self._save_progress(wave, wave_progress)

    def _drain_machine(
        self, machine: interfaces.Machine, drain_seconds: float, now: float
    ) -> bool:
        """Drain the machine's worker; return whether maintenance may begin."""
        drain = self._drains.get(machine.name)
        if drain is None or drain.worker != machine.worker:
            drain = _Drain(machine.worker, now)
            self._drains[machine.name] = drain
            logs.belief(
                'emptying',
                machine=machine.name,
                worker=machine.worker,
                patience=round(drain_seconds, 1),
            )
        worker = self.leader.workers.workers.get(machine.worker)
        if worker is None or not worker.tasks:
            return True
        return self._drain_worker(worker, drain, drain_seconds, now)

    def _drain_worker(
        self,
        worker: fleet.Worker,
        drain: _Drain,
        drain_seconds: float,
        now: float,
    ) -> bool:
        can_spare_all = True
        for task in list(worker.tasks.values()):
            if task.group.step.lasting:
                can_spare_all = self._move_task(task) and can_spare_all
        if drain.stopped_at is None and now - drain.started_at >= drain_seconds:
            drain.stopped_at = now
        if drain.stopped_at is None:
            return False
        for task in list(worker.tasks.values()):
            if not task.group.step.lasting:
                self.dispatcher.stop_run(
                    task, 'its machine goes down for maintenance'
                )
        return can_spare_all and now - drain.stopped_at > STOP_GRACE_S

    def _move_task(self, task: jobtable.Task) -> bool:
        """Stop a lasting task and return True if its step can spare it."""
        if not task.is_stopping and not can_spare(task):
            return False
        self.dispatcher.stop_run(task, 'its machine goes down for maintenance')
        return True

    async def _order_maintenance(
        self,
        wave: waves.Wave,
        wave_progress: waves.WaveProgress,
        machine: interfaces.Machine,
    ) -> None:
        wave_progress.asked.add(machine.name)
        self._save_progress(wave, wave_progress)
        await self.leader.commits.flush()
        try:
            answer = await self.calls.begin_maintenance(
                machine.name, wave.number, self.host, self.leader.epoch
            )
        except errors.JujubebendError as exc:
            logs.decision(
                'upkeep_unanswered',
                machine=machine.name,
                wave=wave.number,
                why=str(exc),
            )
            return
        logs.decision(
            'upkeep',
            machine=machine.name,
            worker=machine.worker,
            wave=wave.number,
            outcome=answer.value,
        )
        self._handle_answer(wave, wave_progress, machine, answer)

    def _handle_answer(
        self,
        wave: waves.Wave,
        wave_progress: waves.WaveProgress,
        machine: interfaces.Machine,
        answer: interfaces.MaintenanceResult,
    ) -> None:
        if answer is interfaces.MaintenanceResult.FENCED:
            self.leader.end_term(
                f'{machine.name} has seen a higher fencing token'
            )
            return
        if answer is interfaces.MaintenanceResult.BEGUN:
            wave_progress.begun.add(machine.name)
            self._down_since[machine.name] = clock.now()
        if answer is interfaces.MaintenanceResult.BUSY:
            self._busy_machines.add(machine.name)
        if answer is interfaces.MaintenanceResult.NOT_IN_WAVE:
            wave_progress.gone.add(machine.name)
        wave_progress.asked.discard(machine.name)
        self._save_progress(wave, wave_progress)

    def _update_cordons(self) -> None:
        """Cordon the workers whose machines are being drained."""
        workers = self.leader.workers.workers
        begun = {
            name
            for wave_progress in self.progress_by_number.values()
            for name in wave_progress.begun
        }
        for name in begun & set(self._drains):
            self._drains.pop(name)
        draining = {drain.worker for drain in self._drains.values()}
        for worker in workers.values():
            worker.is_cordoned = worker.name in draining


def can_spare(task: jobtable.Task) -> bool:
    """Return whether a task may be stopped without exceeding its step's limit.

    The tasks of its step that do not serve now count towards the limit.
    """
    limit = task.group.step.may_be_away
    if not limit:
        return True
    away_count = sum(
        not _is_serving(other)
        for other in task.group.tasks
        if other is not task
    )
    return away_count < limit or not _is_serving(task)


def _is_serving(task: jobtable.Task) -> bool:
    return (
        task.state is progress.TaskState.PLACED
        and not task.is_stopping
        and task.percent >= SERVING_PERCENT
    )


def _drain_seconds(
    wave: waves.Wave,
    wave_progress: waves.WaveProgress,
    machine_count: int,
) -> float:
    """Return the time that a machine's tasks get to end by themselves.

    It is in seconds: the remaining time of the wave, divided by the number of
    rounds left, less the overhead of one machine.
    """
    rounds = math.ceil(machine_count / max(1, wave.max_concurrent))
    remaining_s = wave_progress.since + wave.within_s - clock.unix()
    return max(0, remaining_s / rounds - MACHINE_OVERHEAD_S)
