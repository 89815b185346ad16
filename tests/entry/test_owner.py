"""The owner of workers: starts, ends, and what is lost on the way."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors, intent, lease, outcome, policy, queue, resources
from jujubebend_entry import owner, workerlease
from jujubebend_platform import hostlist, worker

SLOT = resources.Resources(1, 1)
HOST = hostlist.Host('w', hostlist.WORKER, 'a', 'rack', '127.0.0.1:1')
ANSWER = outcome.to_record(outcome.Answered(b'1', 'w'))


@attrs.define(eq=False)
class _Worker:
    """A worker's client; ``fail`` is raised by a start after it took."""

    fail: Exception | None = None
    takes: bool = True
    before_answer: object = None
    started: list[str] = attrs.field(factory=list)

    async def start(self, epoch, boot, task):
        if self.takes:
            self.started.append(task.attempt)
        if self.before_answer is not None:
            self.before_answer(task)
        await asyncio.sleep(0)
        if self.fail is not None:
            raise self.fail

    async def settle(self, epoch, attempt):
        known = intent.AttemptState.ABSENT
        if attempt in self.started:
            known = intent.AttemptState.RUNNING
        return intent.Report('boot', epoch, known, refused=True), None

    async def stop(self, epoch, attempt, *, checkpoint):
        """Nothing runs for real."""

    async def release(self, epoch):
        """Nothing is leased for real."""

    async def close(self):
        """Nothing is open."""


def _leased(epoch=1, running=(), ended=()):
    size = resources.Resources(2, 8)
    return worker.LeaseReply(epoch, 'boot', size, list(running), list(ended))


def _own(client):
    made = owner.Owner('host', 10, lambda host: client)
    now = asyncio.get_running_loop().time()
    kept = workerlease.Keeper(HOST, client, 'host', 10, made)
    kept.holding = lease.HeldLease(1, 'boot', now + 100)
    made.keepers['w'] = kept
    made.leased(kept, _leased())
    return made, kept


async def _reserve(made, name='a'):
    now = asyncio.get_running_loop().time()
    ticket = queue.Ticket(name, 'k', 't', SLOT, policy.Prompt(), now + 10, now)
    return await made.reserve(ticket, 1)


def _task(name='a', home=''):
    return worker.TaskStart(name, 's', SLOT, None, 'k', 't', home=home)


def _run(scenario, client=None):
    async def main():
        client_used = client or _Worker()
        made, kept = _own(client_used)
        await asyncio.wait_for(scenario(made, kept, client_used), 10)
        await made.close()

    asyncio.run(main())


def test_an_end_may_come_before_the_answer_to_the_start():
    async def scenario(made, kept, client):
        client.before_answer = lambda task: made.ended(
            kept, worker.EndedTask(task.attempt, ANSWER)
        )
        await _reserve(made)
        ended = await made.run(_task())
        assert isinstance(ended, outcome.Answered)
        assert made.ledger.allocations == {}

    _run(scenario)


@pytest.mark.parametrize(
    'fail',
    [
        errors.RefusedError('no'),
        errors.NotSentError('down'),
        worker.StaleLeaseError('old'),
    ],
)
def test_a_start_that_was_refused_is_not_run(fail):
    async def scenario(made, kept, client):
        client.takes = False
        client.fail = fail
        await _reserve(made)
        assert isinstance(await made.run(_task()), outcome.NotRun)
        assert made.ledger.allocations == {}

    _run(scenario)


def test_a_start_whose_answer_was_lost_is_settled():
    async def scenario(made, kept, client):
        client.fail = errors.UnreachableError('lost')
        await _reserve(made)
        running = asyncio.create_task(made.run(_task()))
        while 'a' not in client.started:
            await asyncio.sleep(0)
        made.ended(kept, worker.EndedTask('a', ANSWER))
        assert isinstance(await running, outcome.Answered)
        client.takes = False
        await _reserve(made, 'b')
        assert isinstance(await made.run(_task('b')), outcome.NotRun)

    _run(scenario)


def test_no_reservation_no_start():
    async def scenario(made, kept, client):
        assert isinstance(await made.run(_task()), outcome.NotRun)
        await _reserve(made)
        made.release('a')
        assert isinstance(await made.run(_task()), outcome.NotRun)
        assert client.started == []

    _run(scenario)


def test_a_reservation_does_not_outlive_its_lease():
    async def scenario(made, kept, client):
        await _reserve(made)
        made.leased(kept, _leased(epoch=2))
        assert isinstance(await made.run(_task()), outcome.NotRun)

    _run(scenario)


def test_what_runs_is_held_after_takeover():
    async def scenario(made, kept, client):
        told = []
        made.adopted = lambda name, entry: told.append(entry.attempt)
        found = worker.RunningTask('old', SLOT, 'k', 't', '', 'a-0')
        made.leased(kept, _leased(running=[found, found]))
        assert made.ledger.owned_workers['w'].allocated == SLOT
        assert told[0] == 'old'

    _run(scenario)


def test_lost_work_is_unknown_and_never_not_run():
    async def scenario(made, kept, client):
        await _reserve(made)
        running = asyncio.create_task(made.run(_task()))
        while 'a' not in client.started:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        made.leased(kept, _leased(epoch=2))
        assert isinstance(await running, outcome.Unknown)

    _run(scenario)


def test_a_caller_that_goes_does_not_leak_room():
    async def scenario(made, kept, client):
        await _reserve(made)
        running = asyncio.create_task(made.run(_task()))
        await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.sleep(0.01)
        if 'a' in client.started:
            made.ended(kept, worker.EndedTask('a', ANSWER))
        assert made.ledger.allocations == {}

    _run(scenario)
