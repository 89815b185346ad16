"""Execution of scenario scripts: runs the steps and collects failures."""

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

IN_FORCE_LIMIT_SECONDS = 4.0
POLL_INTERVAL_SECONDS = 0.1


@attrs.define(eq=False)
class ScenarioRun:
    """State of one run of a script."""

    folder: pathlib.Path
    rng: random.Random
    failures: list[str] = attrs.field(factory=list)
    observations: checks.Observations | None = None
    balancer: load.Balancer | None = None
    _work_tasks: list[asyncio.Task] = attrs.field(factory=list)
    _background_tasks: list[asyncio.Task] = attrs.field(factory=list)
    _highest_revisions: dict[str, int] = attrs.field(factory=dict)

    @property
    def cluster(self) -> cluster.Cluster:
        """Return the cluster, which the first step of a script starts."""
        assert self.observations is not None
        return self.observations.cluster

    def start_work(self, coroutine) -> None:  # noqa: ANN001
        """Run a load or a job concurrently with the steps that follow."""
        self._work_tasks.append(asyncio.create_task(coroutine))

    async def start_cluster(self, step: language.StartCluster) -> None:
        """Start the cluster and the load balancer in front of it."""
        new_cluster = cluster.Cluster(
            self.folder, step.entry_count, step.worker_count
        )
        self.observations = checks.Observations(new_cluster)
        await new_cluster.start()
        self.observations.replicas.update(inventory=3, prices=2)
        self.balancer = load.Balancer(new_cluster, self.rng)
        self._background_tasks.append(asyncio.create_task(self.balancer.run()))
        self._background_tasks.append(
            asyncio.create_task(self._watch_revisions())
        )
        while not self.balancer.ready_names:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_for_work(self, seconds: float) -> None:
        """Wait for loads and jobs; those that take longer are failures."""
        if self._work_tasks:
            done, unfinished = await asyncio.wait(
                self._work_tasks, timeout=seconds
            )
            for task in unfinished:
                task.cancel()
                self.failures.append(
                    f'a load or job did not end within {seconds:g} s'
                )
            for task in done:
                if task.exception() is not None:
                    self.failures.append(repr(task.exception()))
        self._work_tasks.clear()

    async def close(self) -> None:
        """Stop all tasks, write results and states, and kill the cluster."""
        for task in self._work_tasks + self._background_tasks:
            task.cancel()
        all_tasks = self._work_tasks + self._background_tasks
        await asyncio.gather(*all_tasks, return_exceptions=True)
        if self.balancer is not None:
            await self.balancer.close()
        if self.observations is not None and self.balancer is not None:
            results = [
                attrs.asdict(result) for result in self.observations.results
            ]
            path = self.folder / 'results.json'
            path.write_bytes(orjson.dumps(results))
            await self._write_states()
        if self.observations is not None:
            self.cluster.close()

    async def _write_states(self) -> None:
        for name in self.cluster.running_entry_names():
            state = await self.cluster.fetch_state(name)
            path = self.folder / f'{name}.state'
            path.write_bytes(orjson.dumps(state, option=orjson.OPT_INDENT_2))
            for shard in state.get('shards', {}).values():
                for job_id in shard['jobs']:
                    job = await load.fetch_job(job_id, self.balancer)
                    path = self.folder / f'{job_id}.job'
                    path.write_bytes(orjson.dumps(job))

    async def _watch_revisions(self) -> None:
        """Record when a host reports an older configuration than before.

        A restarted host counts as another one (``boot``).
        """
        while True:
            for name in self.cluster.running_entry_names():
                state = await self.cluster.fetch_state(name)
                revision = state.get('config_revision', 0)
                key = f'{name}/{state.get("boot")}'
                highest = self._highest_revisions.get(key, 0)
                if state.get('ready') and revision < highest:
                    self.observations.revision_regressions.append(
                        f'{name}: configuration went back from revision '
                        f'{highest} to {revision}',
                    )
                self._highest_revisions[key] = max(highest, revision)
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def run_script(
    script: pathlib.Path, folder: pathlib.Path, seed: int
) -> list[str]:
    """Run a script and return its failures."""
    steps = language.read_script(script)
    run = ScenarioRun(folder, random.Random(seed))
    try:
        for step in steps:
            await execute_step(step, run)
    finally:
        await run.close()
    return run.failures


@functools.singledispatch
async def execute_step(step: language.Step, run: ScenarioRun) -> None:
    """Execute one step of a script."""
    raise TypeError(f'expected a step of a script, found {type(step).__name__}')


@execute_step.register
async def _start_cluster(step: language.StartCluster, run: ScenarioRun) -> None:
    await run.start_cluster(step)


@execute_step.register
async def _start_load(step: language.Load, run: ScenarioRun) -> None:
    run.start_work(load.send_load(step, run.balancer, run.observations.results))


@execute_step.register
async def _start_job(step: language.Job, run: ScenarioRun) -> None:
    run.start_work(_follow_job(step, run))


async def _follow_job(step: language.Job, run: ScenarioRun) -> None:
    job_id = await load.submit_job(step, run.balancer)
    run.observations.jobs[step.name] = job_id
    identities = [f'{step.name}-{number}' for number in range(step.count)]
    while True:
        state = await load.fetch_job(job_id, run.balancer)
        state['identities'] = identities
        run.observations.job_states[step.name] = state
        if state.get('state') in {'done', 'failed', 'unknown', 'cancelled'}:
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


@execute_step.register
async def _cancel_job(step: language.Cancel, run: ScenarioRun) -> None:
    while step.name not in run.observations.jobs:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    job_id = run.observations.jobs[step.name]
    while not await load.cancel_job(job_id, run.balancer):
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    run.observations.cancelled_at[step.name] = time.time()


@execute_step.register
async def _wait_seconds(step: language.Wait, run: ScenarioRun) -> None:
    await asyncio.sleep(step.seconds)


@execute_step.register
async def _control_processes(
    step: language.ControlProcesses, run: ScenarioRun
) -> None:
    for name in step.names:
        match step.action:
            case 'stop':
                await run.cluster.drain_process(name)
            case 'restart':
                await run.cluster.restart_process(name)
            case action:
                run.cluster.send_signal(action, name)


@execute_step.register
async def _cut_zone(step: language.Cut, run: ScenarioRun) -> None:
    await run.cluster.cut_zone(step.zone, step.target)


@execute_step.register
async def _heal_cuts(step: language.Heal, run: ScenarioRun) -> None:
    await run.cluster.heal_cuts()


@execute_step.register
async def _set_fault(step: language.SetFault, run: ScenarioRun) -> None:
    await run.cluster.set_fault(step.component, step.name, step.fault)
    if step.fault in {'leaving', 'leaves'}:
        run.observations.left_at[step.name] = time.time()


@execute_step.register
async def _apply_replicas(
    step: language.ApplyReplicas, run: ScenarioRun
) -> None:
    """Apply a configuration and check that every host uses it in time."""
    text = _replace_replica_count(
        run.cluster.config_text, step.service, step.replicas
    )
    config_store = store.HttpStore(run.cluster.addresses['store'])
    revision = await client.apply_config(
        config_store, text, run.cluster.config_revision
    )
    await config_store.close()
    run.cluster.config_text = text
    run.cluster.config_revision = revision
    run.observations.replicas[step.service] = step.replicas
    applied_at = time.monotonic()
    pending_names = set(run.cluster.running_entry_names())
    while (
        pending_names and time.monotonic() - applied_at < IN_FORCE_LIMIT_SECONDS
    ):
        for name in list(pending_names):
            state = await run.cluster.fetch_state(name)
            if state.get('config_revision') == revision:
                pending_names.discard(name)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    run.observations.late_revisions += [
        f'{name}: revision {revision} not in force after '
        f'{IN_FORCE_LIMIT_SECONDS:g} s'
        for name in pending_names
    ]


def _replace_replica_count(text: str, service: str, count: int) -> str:
    pattern = rf'(name: {service}\n(?:    .*\n)*?    replicas: )\d+'
    changed_text, match_count = re.subn(pattern, rf'\g<1>{count}', text)
    assert match_count == 1, (
        f'expected one replicas setting of service {service} in the operator '
        f'configuration, found {match_count}'
    )
    return changed_text


@execute_step.register
async def _race_operators(
    step: language.RaceOperators, run: ScenarioRun
) -> None:
    """Apply edits to one revision concurrently and count those accepted."""
    base_revision = run.cluster.config_revision
    texts = [
        f'{run.cluster.config_text}# operator {number}\n'
        for number in range(step.operator_count)
    ]
    config_store = store.HttpStore(run.cluster.addresses['store'])
    applies = (
        client.apply_config(config_store, text, base_revision) for text in texts
    )
    outcomes = await asyncio.gather(*applies, return_exceptions=True)
    accepted = [outcome for outcome in outcomes if isinstance(outcome, int)]
    for outcome in outcomes:
        if not isinstance(outcome, (int, errors.JujubebendError)):
            run.failures.append(repr(outcome))
    run.observations.race_winner_count = len(accepted)
    current = await client.read_config(config_store)
    run.cluster.config_revision = current.revision
    run.cluster.config_text = current.text
    await config_store.close()


@execute_step.register
async def _finish_work(step: language.Finish, run: ScenarioRun) -> None:
    await run.wait_for_work(step.seconds)


@execute_step.register
async def _check_expectation(step: language.Expect, run: ScenarioRun) -> None:
    violations = await checks.find_violations(
        step.fact, step.percent, run.observations
    )
    run.failures += [f'{step.fact}: {violation}' for violation in violations]
