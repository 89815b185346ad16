"""A leader that gets more work than it can hand out."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    adviceclient,
    clock,
    interfaces,
    jobspec,
)
from tests import fakecluster
from tests.cluster import harness

ADVICE = jobspec.AdvicePolicy(0.02, 0.0002, validity_s=2.0)
URGENT = attrs.evolve(harness.QUEUE, name='urgent', rank=0, advice=ADVICE)
BATCH = attrs.evolve(harness.QUEUE, name='batch', rank=2, advice=ADVICE)
URGENT_STEP = jobspec.Step(2, jobspec.Demand(100, 100), 1.0)
BATCH_STEP = jobspec.Step(25, jobspec.Demand(100, 100), 2.0)
WORKER_COUNT = 20
# The leader hands out this many starts a second; it gets 270.
STARTS_PER_SECOND = 150
SECONDS = 10
# Half of the time for which tickets are valid.
MAX_URGENT_DELAY_S = 1.0


@attrs.define(eq=False)
class _SlowSender:
    """Sends the starts of all workers one after the other."""

    free_at: float = 0

    async def send(self):
        now = clock.now()
        self.free_at = max(now, self.free_at) + 1 / STARTS_PER_SECOND
        await asyncio.sleep(self.free_at - now)


@attrs.define(eq=False)
class _TicketedWorker(fakecluster.Worker):
    """A worker that refuses starts whose ticket has expired.

    A ticket is the time of its expiry. ``refusals`` counts refused starts.
    """

    sender: _SlowSender = attrs.field(factory=_SlowSender)
    refusals: int = 0

    async def start(self, order):
        await self.sender.send()
        return await super().start(order)

    def apply_start(self, order):
        if clock.now() > float(order.ticket):
            self.refusals += 1
            return interfaces.OrderResult.NO_TICKET
        return super().apply_start(order)


async def _issue_tickets(step, workers, timeout):
    await asyncio.sleep(ADVICE.base_cost_s)
    return dict.fromkeys(workers, str(clock.now() + ADVICE.validity_s))


async def _submit_load(cluster):
    """Submit 10 urgent and 10 batch jobs a second; 270 tasks a second."""
    submitted_at = {}
    for number in range(10 * SECONDS):
        for queue, step in ((URGENT, URGENT_STEP), (BATCH, BATCH_STEP)):
            name = f'{queue.name}-{number}'
            submitted_at[name] = clock.now()
            cluster.submit_job(fakecluster.job(name, step, queue=queue.name))
        await asyncio.sleep(0.1)
    return submitted_at


def _play_overload():
    """Return the workers and the submission time of each job."""
    sender = _SlowSender()
    workers = [
        _TicketedWorker(f'w{number}', sender=sender)
        for number in range(WORKER_COUNT)
    ]

    async def scenario(cluster):
        cluster.config = attrs.evolve(cluster.config, queues=(URGENT, BATCH))
        leader_term = await cluster.start_term()
        leader_term.leader.advice_client.routes['h1'] = (
            adviceclient.AdviceRoute('h1', _issue_tickets)
        )
        await asyncio.sleep(1)
        return await _submit_load(cluster)

    return workers, harness.run_scenario(scenario, *workers)


def test_starts_of_an_overloaded_leader_are_not_refused_for_old_tickets():
    workers, _ = _play_overload()
    refused = sum(worker.refusals for worker in workers)
    started = sum(len(worker.started) for worker in workers)
    assert started >= 0.9 * STARTS_PER_SECOND * SECONDS
    assert refused <= 0.05 * started


def test_urgent_starts_do_not_queue_behind_batch_in_an_overloaded_leader():
    workers, submitted_at = _play_overload()
    delays = sorted(
        at - submitted_at[task.job]
        for worker in workers
        for task, _, at in worker.start_times
        if task.job.startswith(URGENT.name)
    )
    assert len(delays) >= 0.95 * 10 * SECONDS * URGENT_STEP.tasks
    assert delays[int(0.9 * len(delays))] <= MAX_URGENT_DELAY_S
