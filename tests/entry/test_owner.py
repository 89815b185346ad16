"""Starts and ends of attempts at the owner of workers.

The tests guard against wrong outcomes and leaked allocations when replies
are lost, leases change or callers are cancelled.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors, intent, lease, outcome, policy, queue, resources
from jujubebend_entry import owner, workerlease
from jujubebend_platform import hostlist, worker

SLOT = resources.Resources(1, 1)
HOST = hostlist.Host('w', hostlist.WORKER, 'a', 'rack', '127.0.0.1:1')
ANSWER = outcome.to_fields(outcome.Answered(b'1', 'w'))


@attrs.define(eq=False)
class _FakeWorker:
    """A fake worker client.

    ``start`` records the attempt if ``accepts_starts`` is set. It then calls
    ``on_start`` and raises ``start_error``, each if set. ``settle`` likewise
    calls ``on_settle`` and raises ``settle_error``.
    """

    start_error: Exception | None = None
    accepts_starts: bool = True
    on_start: object = None
    settle_error: Exception | None = None
    on_settle: object = None
    started: list[str] = attrs.field(factory=list)

    async def start(self, epoch, boot, task):
        if self.accepts_starts:
            self.started.append(task.attempt)
        if self.on_start is not None:
            self.on_start(task)
        await asyncio.sleep(0)
        if self.start_error is not None:
            raise self.start_error

    async def settle(self, epoch, boot, attempt):
        if self.on_settle is not None:
            self.on_settle(attempt)
        if self.settle_error is not None:
            raise self.settle_error
        state = intent.AttemptState.ABSENT
        if attempt in self.started:
            state = intent.AttemptState.RUNNING
        return intent.Report('boot', epoch, state, refused=True), None

    async def stop(self, epoch, boot, attempt, *, checkpoint):
        """Do nothing; no task runs."""

    async def release(self, epoch, boot):
        """Do nothing; no lease is held."""

    async def close(self):
        """Do nothing; no connection is open."""


def _lease_reply(epoch=1, running=(), ended=()):
    capacity = resources.Resources(2, 8)
    return worker.LeaseReply(
        epoch, 'boot', capacity, list(running), list(ended)
    )


def _make_owner(client):
    host_owner = owner.Owner('host', 10, lambda host: client)
    now = asyncio.get_running_loop().time()
    worker_lease = workerlease.WorkerLease(HOST, client, 'host', 10, host_owner)
    worker_lease.held_lease = lease.HeldLease(1, 'boot', now + 100)
    host_owner.worker_leases['w'] = worker_lease
    host_owner.on_acquired(worker_lease, _lease_reply())
    return host_owner, worker_lease


async def _reserve(host_owner, name='a'):
    now = asyncio.get_running_loop().time()
    ticket = queue.Ticket(name, 'k', 't', SLOT, policy.Prompt(), now + 10, now)
    return await host_owner.reserve(ticket, 1)


def _task(name='a', home=''):
    return worker.TaskStart(name, 's', SLOT, None, 'k', 't', home=home)


def _run(scenario, client=None):
    async def main():
        worker_client = client or _FakeWorker()
        host_owner, worker_lease = _make_owner(worker_client)
        await asyncio.wait_for(
            scenario(host_owner, worker_lease, worker_client), 10
        )
        await host_owner.close()

    asyncio.run(main())


def test_task_may_end_before_start_is_answered():
    async def scenario(host_owner, worker_lease, client):
        client.on_start = lambda task: host_owner.on_ended(
            worker_lease, worker.EndedTask(task.attempt, ANSWER)
        )
        await _reserve(host_owner)
        ended = await host_owner.run(_task())
        assert isinstance(ended, outcome.Answered)
        assert host_owner.ledger.allocations == {}

    _run(scenario)


@pytest.mark.parametrize(
    'start_error',
    [
        errors.RefusedError('no'),
        errors.NotSentError('down'),
        worker.StaleLeaseError('old'),
    ],
)
def test_rejected_start_is_not_run(start_error):
    async def scenario(host_owner, worker_lease, client):
        client.accepts_starts = False
        client.start_error = start_error
        await _reserve(host_owner)
        assert isinstance(await host_owner.run(_task()), outcome.NotRun)
        assert host_owner.ledger.allocations == {}

    _run(scenario)


def test_start_with_lost_reply_is_settled():
    async def scenario(host_owner, worker_lease, client):
        client.start_error = errors.UnreachableError('lost')
        await _reserve(host_owner)
        running = asyncio.create_task(host_owner.run(_task()))
        while 'a' not in client.started:
            await asyncio.sleep(0)
        host_owner.on_ended(worker_lease, worker.EndedTask('a', ANSWER))
        assert isinstance(await running, outcome.Answered)
        client.accepts_starts = False
        await _reserve(host_owner, 'b')
        assert isinstance(await host_owner.run(_task('b')), outcome.NotRun)

    _run(scenario)


def test_start_requires_reservation():
    async def scenario(host_owner, worker_lease, client):
        assert isinstance(await host_owner.run(_task()), outcome.NotRun)
        await _reserve(host_owner)
        host_owner.release('a')
        assert isinstance(await host_owner.run(_task()), outcome.NotRun)
        assert client.started == []

    _run(scenario)


def test_reservation_ends_with_its_lease():
    async def scenario(host_owner, worker_lease, client):
        await _reserve(host_owner)
        host_owner.on_acquired(worker_lease, _lease_reply(epoch=2))
        assert isinstance(await host_owner.run(_task()), outcome.NotRun)

    _run(scenario)


def test_running_tasks_are_adopted_after_takeover():
    async def scenario(host_owner, worker_lease, client):
        adopted_attempts = []
        host_owner.on_task_adopted = lambda name, entry: (
            adopted_attempts.append(entry.attempt)
        )
        running_task = worker.RunningTask('old', SLOT, 'k', 't', '', 'a-0')
        host_owner.on_acquired(
            worker_lease, _lease_reply(running=[running_task, running_task])
        )
        assert host_owner.ledger.owned_workers['w'].allocated == SLOT
        assert adopted_attempts[0] == 'old'

    _run(scenario)


def test_lost_attempt_is_unknown_and_never_not_run():
    async def scenario(host_owner, worker_lease, client):
        await _reserve(host_owner)
        running = asyncio.create_task(host_owner.run(_task()))
        while 'a' not in client.started:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        host_owner.on_acquired(worker_lease, _lease_reply(epoch=2))
        assert isinstance(await running, outcome.Unknown)

    _run(scenario)


@pytest.mark.parametrize(
    ('next_epoch', 'expected'), [(2, outcome.NotRun), (3, outcome.Unknown)]
)
def test_absent_attempt_is_not_run_unless_another_owner_was_between(
    next_epoch, expected
):
    """An owner in between may have acknowledged the end of the attempt."""

    async def scenario(host_owner, worker_lease, client):
        client.start_error = errors.UnreachableError('lost')
        client.settle_error = worker.StaleLeaseError('old')
        await _reserve(host_owner)
        running = asyncio.create_task(host_owner.run(_task()))
        while 'a' not in client.started:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        worker_lease.held_lease.epoch = next_epoch
        host_owner.on_acquired(worker_lease, _lease_reply(epoch=next_epoch))
        assert isinstance(await running, expected)

    _run(scenario)


def test_end_reported_before_a_delayed_settle_is_kept():
    """By the time the settle arrives, the worker may have forgotten the end."""

    async def scenario(host_owner, worker_lease, client):
        client.start_error = errors.UnreachableError('lost')
        client.accepts_starts = False
        client.on_settle = lambda attempt: host_owner.on_ended(
            worker_lease, worker.EndedTask(attempt, ANSWER)
        )
        await _reserve(host_owner)
        assert isinstance(await host_owner.run(_task()), outcome.Answered)

    _run(scenario)


def test_cancelled_caller_does_not_leak_capacity():
    async def scenario(host_owner, worker_lease, client):
        await _reserve(host_owner)
        running = asyncio.create_task(host_owner.run(_task()))
        await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(0.01)
        if 'a' in client.started:
            host_owner.on_ended(worker_lease, worker.EndedTask('a', ANSWER))
        assert host_owner.ledger.allocations == {}

    _run(scenario)
