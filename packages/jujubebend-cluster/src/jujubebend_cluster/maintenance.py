"""Takes machines down for upkeep, as few at once as a wave allows.

A machine's worker is first left out of planning. Lasting tasks move away as
soon as their step can spare them, others may end by themselves for as long
as the wave's time allows; then they are stopped, which saves what they have
done. The order itself is recorded before it is sent.
"""

from __future__ import annotations

import asyncio
import math

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    cell,
    clock,
    dispatcher,
    fleet,
    interfaces,
    jobtable,
    keys,
    logs,
    progress,
    waves,
)

LOOK_EVERY = 0.5  # seconds between two readings of the machines
IDLE_EVERY = 1.0  # seconds between looks for a new wave
ORDER_SECONDS = 1.5  # seconds a former leader's last order may be under way
TURN_SECONDS = 4.0  # seconds for stops, the upkeep and the worker's return
STOP_GRACE = 1.5  # seconds that stopped tasks get to be gone
WORKING = 100  # percent that a lasting task shows once it is at work


@attrs.define(eq=False)
class _Turn:
    """One machine being emptied; ``stopped_at`` is None while it waits."""

    worker: str
    began: float
    stopped_at: float | None = None


@attrs.define(eq=False)
class MaintenanceController:
    """Carries out the waves that operators ask for, under one leader."""

    cell: cell.Cell
    orders: dispatcher.Orders
    calls: interfaces.Machines
    host: str
    known: dict[int, waves.WaveProgress] = attrs.field(factory=dict)
    _turns: dict[str, _Turn] = attrs.field(factory=dict)
    _down: dict[str, float] = attrs.field(factory=dict)
    _busy: set[str] = attrs.field(factory=set)
    _loaded: bool = False
    _is_reachable: bool = True

    async def run(self) -> None:
        """Work on waves until cancelled."""
        await asyncio.sleep(self.calls.handover_gap + ORDER_SECONDS)
        while True:
            open_waves = await self._open()
            if open_waves and self.cell.is_current():
                await self._advance(open_waves)
            self._cordon()
            await asyncio.sleep(LOOK_EVERY if open_waves else IDLE_EVERY)

    async def _open(self) -> list[waves.Wave]:
        asked = self.cell.context.current_waves()
        if asked and not self._loaded:
            await self._load()
        if not self._loaded:
            return []
        return [wave for wave in asked if not self._progress(wave).completed]

    async def _load(self) -> None:
        try:
            found, _ = await self.cell.context.store.scan(keys.WAVES)
        except errors.JujubebendError as exc:
            logs.dependency('store', lost=True, why=str(exc))
            return
        for item in found:
            if item.body is not None:
                number = int(item.key.removeprefix(keys.WAVES))
                self.known[number] = waves.parse_progress(item.body)
        self._loaded = True

    def _progress(self, wave: waves.Wave) -> waves.WaveProgress:
        made = self.known.get(wave.number)
        if made is None:
            made = waves.WaveProgress(clock.unix())
            self.known[wave.number] = made
            logs.belief('wave', wave=wave.number, state='running')
            self._save(wave, made)
        return made

    def _save(self, wave: waves.Wave, made: waves.WaveProgress) -> None:
        self.cell.commits.put(keys.wave(wave.number), made)
        key, body = self.calls.status(wave.number, completed=made.completed)
        self.cell.commits.put(key, waves.Status(body))

    async def _advance(self, open_waves: list[waves.Wave]) -> None:
        asked_at = clock.now()
        try:
            machines = await self.calls.list_machines()
        except errors.JujubebendError as exc:
            self._note_reached(is_reachable=False, why=str(exc))
            return
        self._note_reached(is_reachable=True)
        listed = {one.name: one for one in machines}
        self._note_back(listed, asked_at)
        for wave in open_waves:
            await self._advance_wave(wave, listed, asked_at)

    def _note_reached(self, *, is_reachable: bool, why: str = '') -> None:
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            logs.dependency('machines', lost=not is_reachable, why=why)

    def _note_back(
        self, listed: dict[str, interfaces.Machine], asked_at: float
    ) -> None:
        """Forget which machines are down once they are seen to be up.

        A machine is down from the answer on, so a list asked for later that
        shows it up shows it after its upkeep.
        """
        for name, answered_at in list(self._down.items()):
            machine = listed.get(name)
            is_up = machine and machine.state is interfaces.MachineState.UP
            if machine is None or (is_up and answered_at < asked_at):
                self._down.pop(name)

    async def _advance_wave(
        self,
        wave: waves.Wave,
        listed: dict[str, interfaces.Machine],
        now: float,
    ) -> None:
        made = self._progress(wave)
        left = [
            listed[name]
            for name in wave.machines
            if name in listed and name not in made.begun | made.gone
        ]
        if not left:
            self._complete(wave, made)
            return
        patience = _patience(wave, made, len(left))
        room = wave.max_concurrent - self._count_down(wave, made, listed)
        # What may have begun counts as down already and is asked again.
        left.sort(
            key=lambda one: (one.name not in made.asked, one.name in self._busy)
        )
        for machine in left:
            if machine.state is not interfaces.MachineState.UP:
                continue
            again = machine.name in made.asked
            room -= not again
            if (again or room >= 0) and self._may_begin(machine, patience, now):
                await self._order(wave, made, machine)

    def _count_down(
        self,
        wave: waves.Wave,
        made: waves.WaveProgress,
        listed: dict[str, interfaces.Machine],
    ) -> int:
        return sum(
            name in made.asked
            or name in self._down
            or (
                name in listed
                and name in made.begun
                and listed[name].state is not interfaces.MachineState.UP
            )
            for name in wave.machines
        )

    def _complete(self, wave: waves.Wave, made: waves.WaveProgress) -> None:
        made.completed = True
        logs.belief('wave', wave=wave.number, state='completed')
        self._save(wave, made)

    def _may_begin(
        self, machine: interfaces.Machine, patience: float, now: float
    ) -> bool:
        """Empty the machine's worker; say whether its upkeep may begin."""
        turn = self._turns.get(machine.name)
        if turn is None or turn.worker != machine.worker:
            turn = _Turn(machine.worker, now)
            self._turns[machine.name] = turn
            logs.belief(
                'emptying',
                machine=machine.name,
                worker=machine.worker,
                patience=round(patience, 1),
            )
        worker = self.cell.workers.workers.get(machine.worker)
        if worker is None or not worker.tasks:
            return True
        return self._empty(worker, turn, patience, now)

    def _empty(
        self, worker: fleet.Worker, turn: _Turn, patience: float, now: float
    ) -> bool:
        spared = True
        for task in list(worker.tasks.values()):
            if task.group.step.lasting:
                spared = self._send_away(task) and spared
        if turn.stopped_at is None and now - turn.began >= patience:
            turn.stopped_at = now
        if turn.stopped_at is None:
            return False
        for task in list(worker.tasks.values()):
            if not task.group.step.lasting:
                self.orders.stop(task, 'its machine goes down for upkeep')
        return spared and now - turn.stopped_at > STOP_GRACE

    def _send_away(self, task: jobtable.Task) -> bool:
        """Stop a lasting task if its step can spare it; say if it could."""
        if not task.is_stopping and not can_spare(task):
            return False
        self.orders.stop(task, 'its machine goes down for upkeep')
        return True

    async def _order(
        self,
        wave: waves.Wave,
        made: waves.WaveProgress,
        machine: interfaces.Machine,
    ) -> None:
        made.asked.add(machine.name)
        self._save(wave, made)
        await self.cell.commits.flush()
        try:
            verdict = await self.calls.begin_maintenance(
                machine.name, wave.number, self.host, self.cell.epoch
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
            outcome=verdict.value,
        )
        self._take(wave, made, machine, verdict)

    def _take(
        self,
        wave: waves.Wave,
        made: waves.WaveProgress,
        machine: interfaces.Machine,
        verdict: interfaces.MaintenanceResult,
    ) -> None:
        if verdict is interfaces.MaintenanceResult.FENCED:
            self.cell.end(f'{machine.name} has seen a later fence')
            return
        if verdict is interfaces.MaintenanceResult.BEGUN:
            made.begun.add(machine.name)
            self._down[machine.name] = clock.now()
        if verdict is interfaces.MaintenanceResult.BUSY:
            self._busy.add(machine.name)
        if verdict is interfaces.MaintenanceResult.NOT_IN_WAVE:
            made.gone.add(machine.name)
        made.asked.discard(machine.name)
        self._save(wave, made)

    def _cordon(self) -> None:
        """Plan nothing for workers whose machines are being emptied."""
        present = self.cell.workers.workers
        done = {name for made in self.known.values() for name in made.begun}
        for name in done & set(self._turns):
            self._turns.pop(name)
        emptying = {turn.worker for turn in self._turns.values()}
        for worker in present.values():
            worker.cordoned = worker.name in emptying


def can_spare(task: jobtable.Task) -> bool:
    """Say whether a task may be away, beside those of its step that are."""
    limit = task.group.step.may_be_away
    if not limit:
        return True
    away = sum(not _at_work(one) for one in task.group.tasks if one is not task)
    return away < limit or not _at_work(task)


def _at_work(task: jobtable.Task) -> bool:
    return (
        task.state is progress.TaskState.PLACED
        and not task.is_stopping
        and task.percent >= WORKING
    )


def _patience(
    wave: waves.Wave, made: waves.WaveProgress, machines: int
) -> float:
    """Return the seconds that a machine's tasks get to end by themselves."""
    rounds = math.ceil(machines / max(1, wave.max_concurrent))
    left = made.since + wave.within_s - clock.unix()
    return max(0, left / rounds - TURN_SECONDS)
