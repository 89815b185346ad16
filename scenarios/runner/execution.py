"""Plays a scenario: one step after the other, then says what failed."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import random
import re
import time

import attrs
import orjson

from jujubebend import errors
from jujubebend_ctl import client
from jujubebend_platform import store
from scenarios.runner import checks, cluster, language, load

IN_FORCE_SECONDS = 4.0
POLL = 0.1


@attrs.define(eq=False)
class Player:
    """One run of a script."""

    folder: pathlib.Path
    rng: random.Random
    failures: list[str] = attrs.field(factory=list)
    seen: checks.Evidence | None = None
    balancer: load.Balancer | None = None
    _tasks: list[asyncio.Task] = attrs.field(factory=list)
    _background: list[asyncio.Task] = attrs.field(factory=list)
    _highest: dict[str, int] = attrs.field(factory=dict)

    @property
    def cell(self) -> cluster.Cell:
        """Return the cell, which the first step starts."""
        assert self.seen is not None
        return self.seen.cell

    def spawn(self, work) -> None:  # noqa: ANN001
        """Run a load or a job beside the steps that follow."""
        self._tasks.append(asyncio.create_task(work))

    async def begin(self, step: language.Cell) -> None:
        """Start the cell and the balancer in front of it."""
        made = cluster.Cell(self.folder, step.entries, step.workers)
        self.seen = checks.Evidence(made)
        await made.start()
        self.seen.replicas.update(inventory=3, prices=2)
        self.balancer = load.Balancer(made, self.rng)
        self._background.append(asyncio.create_task(self.balancer.run()))
        self._background.append(asyncio.create_task(self._watch_revisions()))
        while not self.balancer.ready:
            await asyncio.sleep(POLL)

    async def finish(self, seconds: float) -> None:
        """Wait for loads and jobs; what is late is a failure."""
        if self._tasks:
            done, late = await asyncio.wait(self._tasks, timeout=seconds)
            for task in late:
                task.cancel()
                self.failures.append('a load or job did not end in time')
            for task in done:
                if task.exception() is not None:
                    self.failures.append(repr(task.exception()))
        self._tasks.clear()

    async def close(self) -> None:
        """End everything."""
        for task in self._tasks + self._background:
            task.cancel()
        every = self._tasks + self._background
        await asyncio.gather(*every, return_exceptions=True)
        if self.balancer is not None:
            await self.balancer.close()
        if self.seen is not None and self.balancer is not None:
            plain = [attrs.asdict(one) for one in self.seen.results]
            path = self.folder / 'results.json'
            path.write_bytes(orjson.dumps(plain))
            await self._dump_states()
        if self.seen is not None:
            self.cell.close()

    async def _dump_states(self) -> None:
        for name in self.cell.running_entries():
            state = await self.cell.state(name)
            path = self.folder / f'{name}.state'
            path.write_bytes(orjson.dumps(state, option=orjson.OPT_INDENT_2))
            for shard in state.get('shards', {}).values():
                for job_id in shard['jobs']:
                    job = await load.job_state(job_id, self.balancer)
                    path = self.folder / f'{job_id}.job'
                    path.write_bytes(orjson.dumps(job))

    async def _watch_revisions(self) -> None:
        """Note whenever a host is seen with an older configuration."""
        while True:
            for name in self.cell.running_entries():
                state = await self.cell.state(name)
                revision = state.get('config_revision', 0)
                key = f'{name}/{state.get("boot")}'
                highest = self._highest.get(key, 0)
                if state.get('ready') and revision < highest:
                    self.seen.went_back.append(
                        f'{name}: from {highest} back to {revision}',
                    )
                self._highest[key] = max(highest, revision)
            await asyncio.sleep(POLL)


async def play(
    script: pathlib.Path, folder: pathlib.Path, seed: int
) -> list[str]:
    """Play a script and return every failure."""
    steps = language.read(script)
    player = Player(folder, random.Random(seed))
    try:
        for step in steps:
            await carry_out(step, player)
    finally:
        await player.close()
    return player.failures


@functools.singledispatch
async def carry_out(step: language.Step, player: Player) -> None:
    """Carry out one step."""
    raise TypeError(f'{type(step).__name__} is no step')


@carry_out.register
async def _cell(step: language.Cell, player: Player) -> None:
    await player.begin(step)


@carry_out.register
async def _load(step: language.Load, player: Player) -> None:
    player.spawn(load.run(step, player.balancer, player.seen.results))


@carry_out.register
async def _job(step: language.Job, player: Player) -> None:
    player.spawn(_follow_job(step, player))


async def _follow_job(step: language.Job, player: Player) -> None:
    job_id = await load.submit_job(step, player.balancer)
    player.seen.jobs[step.name] = job_id
    identities = [f'{step.name}-{number}' for number in range(step.count)]
    while True:
        state = await load.job_state(job_id, player.balancer)
        state['identities'] = identities
        player.seen.job_states[step.name] = state
        if state.get('state') in {'done', 'failed', 'unknown', 'cancelled'}:
            return
        await asyncio.sleep(POLL)


@carry_out.register
async def _cancel(step: language.Cancel, player: Player) -> None:
    while step.name not in player.seen.jobs:
        await asyncio.sleep(POLL)
    job_id = player.seen.jobs[step.name]
    while not await load.cancel_job(job_id, player.balancer):
        await asyncio.sleep(POLL)
    player.seen.cancelled_at[step.name] = time.time()


@carry_out.register
async def _wait(step: language.Wait, player: Player) -> None:
    await asyncio.sleep(step.seconds)


@carry_out.register
async def _signal(step: language.Signal, player: Player) -> None:
    for name in step.names:
        match step.what:
            case 'stop':
                await player.cell.drain(name)
            case 'restart':
                await player.cell.restart(name)
            case what:
                player.cell.signal(what, name)


@carry_out.register
async def _cut(step: language.Cut, player: Player) -> None:
    await player.cell.cut(step.zone, step.target)


@carry_out.register
async def _heal(step: language.Heal, player: Player) -> None:
    await player.cell.heal()


@carry_out.register
async def _fault(step: language.Fault, player: Player) -> None:
    await player.cell.fault(step.where, step.name, step.fault)
    if step.fault in {'leaving', 'leaves'}:
        player.seen.left_at[step.name] = time.time()


@carry_out.register
async def _apply(step: language.Apply, player: Player) -> None:
    """Accept a text, then see it in force on every host within the time."""
    text = _with_replicas(player.cell.text, step.service, step.replicas)
    kept = store.HttpStore(player.cell.addresses['store'])
    revision = await client.apply_config(kept, text, player.cell.revision)
    await kept.close()
    player.cell.text = text
    player.cell.revision = revision
    player.seen.replicas[step.service] = step.replicas
    accepted = time.monotonic()
    late = set(player.cell.running_entries())
    while late and time.monotonic() - accepted < IN_FORCE_SECONDS:
        for name in list(late):
            state = await player.cell.state(name)
            if state.get('config_revision') == revision:
                late.discard(name)
        await asyncio.sleep(POLL)
    player.seen.slow_revisions += [
        f'{name}: revision {revision} not in force after 4 s' for name in late
    ]


def _with_replicas(text: str, service: str, count: int) -> str:
    pattern = rf'(name: {service}\n(?:    .*\n)*?    replicas: )\d+'
    changed, done = re.subn(pattern, rf'\g<1>{count}', text)
    assert done == 1, f'{service} has no replicas in the text'
    return changed


@carry_out.register
async def _race(step: language.Race, player: Player) -> None:
    """Let operators edit one revision at once; only one may win."""
    base = player.cell.revision
    texts = [
        f'{player.cell.text}# operator {number}\n'
        for number in range(step.operators)
    ]
    kept = store.HttpStore(player.cell.addresses['store'])
    applies = (client.apply_config(kept, text, base) for text in texts)
    told = await asyncio.gather(*applies, return_exceptions=True)
    won = [one for one in told if isinstance(one, int)]
    for one in told:
        if not isinstance(one, (int, errors.JujubebendError)):
            player.failures.append(repr(one))
    player.seen.race_winners = len(won)
    current = await client.read_config(kept)
    player.cell.revision = current.revision
    player.cell.text = current.text
    await kept.close()


@carry_out.register
async def _finish(step: language.Finish, player: Player) -> None:
    await player.finish(step.seconds)


@carry_out.register
async def _expect(step: language.Expect, player: Player) -> None:
    found = await checks.check(step.fact, step.percent, player.seen)
    player.failures += [f'{step.fact}: {one}' for one in found]
