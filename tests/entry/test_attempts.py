"""Attempts start only under an intent in the journal and end once.

The tests guard against starts whose intent was not written, against lost or
repeated outcomes and against intents that are never settled.
"""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors, intent, outcome, records, resources
from jujubebend_entry import attempts, dispatcher, grants, shard
from tests import fakestore

ANSWER = outcome.to_fields(outcome.Answered(b'"x"', 'w'))


@attrs.define(eq=False)
class _FakeDispatcher:
    rejects_starts: bool = False
    started: list[str] = attrs.field(factory=list)
    released: list[str] = attrs.field(factory=list)

    async def start(self, grant, work, home):
        if self.rejects_starts:
            return outcome.NotRun('no')
        self.started.append(grant.id)
        return None

    async def release(self, grant):
        self.released.append(grant.id)


@attrs.define(eq=False)
class _FakeLocator:
    reports: dict = attrs.field(factory=dict)
    lost: bool = False

    async def inspect(self, intents):
        return {
            open_intent.attempt: self.reports[open_intent.attempt]
            for open_intent in intents
            if open_intent.attempt in self.reports
        }

    def find_owner(self, worker):
        return 'host'

    def is_lost(self, worker):
        return self.lost


def _make_launch(name):
    work = dispatcher.Work('s', 'k', 't', resources.Resources(1, 1), None, 1e9)
    return attempts.Launch('run', work, grants.Grant(name, 'w', 'b', 1))


def _make_accepted():
    return records.Accepted('r', records.REQUEST, ['run'], '', '', 1)


def _run_scenario(scenario):
    async def main():
        fake_store = fakestore.FakeStore()
        open_shard = shard.Shard('a-0', fake_store, 'one', 0, 1e9)
        await open_shard.open()
        running = asyncio.create_task(open_shard.run())
        shard_attempts = attempts.Attempts(
            open_shard, _FakeDispatcher(), _FakeLocator()
        )
        try:
            await asyncio.wait_for(scenario(shard_attempts, fake_store), 20)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await shard_attempts.close()

    asyncio.run(main())


def test_attempt_ends_once():
    async def scenario(shard_attempts, fake_store):
        (outcome_future,) = await shard_attempts.launch(
            'r', [_make_launch('a')], [_make_accepted()]
        )
        assert shard_attempts.dispatcher.started == ['a']
        assert await shard_attempts.settle('a', ANSWER)
        assert isinstance(await outcome_future, outcome.Answered)
        assert await shard_attempts.settle('a', ANSWER)
        assert (
            shard_attempts.shard.records.by_id['r'].tasks['run'].attempts == 1
        )

    _run_scenario(scenario)


@pytest.mark.parametrize('outcome_fields', [ANSWER, {}])
def test_former_holder_confirms_no_report(outcome_fields):
    """Else the worker forgets an end that the holder does not know yet.

    A report without an outcome is of a running task, which is then stopped.
    """

    async def scenario(shard_attempts, fake_store):
        next_shard = shard.Shard('a-0', fake_store, 'two', 0, 1e9)
        await next_shard.open()
        running = asyncio.create_task(next_shard.run())
        next_attempts = attempts.Attempts(
            next_shard, _FakeDispatcher(), _FakeLocator()
        )
        await next_attempts.launch('r', [_make_launch('a')], [_make_accepted()])
        assert not await shard_attempts.settle('a', outcome_fields)
        assert next_shard.records.by_attempt
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    _run_scenario(scenario)


def test_report_of_closed_attempt_is_confirmed_once_the_store_answers(
    monkeypatch,
):
    """Until then this host may have been replaced without noticing."""
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT_SECONDS', 0.2)
    monkeypatch.setattr(shard, 'RETRY_WAIT_SECONDS', 0.01)

    async def scenario(shard_attempts, fake_store):
        fake_store.down = True
        assert not await shard_attempts.settle('a', {})
        fake_store.down = False
        assert await shard_attempts.settle('a', {})

    _run_scenario(scenario)


def test_ignored_intent_starts_nothing():
    async def scenario(shard_attempts, fake_store):
        await shard_attempts.launch(
            'r', [_make_launch('a')], [_make_accepted()]
        )
        with pytest.raises(errors.RefusedError):
            await shard_attempts.launch(
                'r', [_make_launch('b')], [_make_accepted()]
            )
        await asyncio.sleep(0)
        assert shard_attempts.dispatcher.started == ['a']
        assert shard_attempts.dispatcher.released == ['b']

    _run_scenario(scenario)


def test_unwritten_intent_starts_nothing(monkeypatch):
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT_SECONDS', 0.05)

    async def scenario(shard_attempts, fake_store):
        fake_store.down = True
        with pytest.raises(errors.UnreachableError):
            await shard_attempts.launch(
                'r', [_make_launch('a')], [_make_accepted()]
            )
        await asyncio.sleep(0)
        assert not shard_attempts.dispatcher.started
        assert shard_attempts.dispatcher.released == ['a']

    _run_scenario(scenario)


def test_waiter_gets_outcome_after_commit_timeout(monkeypatch):
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT_SECONDS', 0.05)

    async def scenario(shard_attempts, fake_store):
        (outcome_future,) = await shard_attempts.launch(
            'r', [_make_launch('a')], [_make_accepted()]
        )
        fake_store.down = True
        assert not await shard_attempts.settle('a', ANSWER)
        fake_store.down = False
        assert isinstance(await outcome_future, outcome.Answered)

    _run_scenario(scenario)


def test_rejected_start_is_recorded_as_not_run():
    async def scenario(shard_attempts, fake_store):
        shard_attempts.dispatcher.rejects_starts = True
        (outcome_future,) = await shard_attempts.launch(
            'r', [_make_launch('a')], [_make_accepted()]
        )
        assert isinstance(await outcome_future, outcome.NotRun)
        assert (
            shard_attempts.shard.records.by_id['r'].tasks['run'].outcome is None
        )

    _run_scenario(scenario)


@pytest.mark.parametrize(
    ('verdict', 'lost', 'expected'),
    [
        (intent.Verdict.NEVER_RAN, False, outcome.NotRun),
        (intent.Verdict.UNKNOWN, False, outcome.Unknown),
        (None, True, outcome.Unknown),
    ],
)
def test_open_intent_is_settled(monkeypatch, verdict, lost, expected):
    monkeypatch.setattr(attempts, 'INSPECT_INTERVAL_SECONDS', 0.01)
    monkeypatch.setattr(attempts, 'REINSPECT_DELAY_SECONDS', 0)

    async def scenario(shard_attempts, fake_store):
        (outcome_future,) = await shard_attempts.launch(
            'r', [_make_launch('a')], [_make_accepted()]
        )
        shard_attempts.locator.lost = lost
        if verdict is not None:
            shard_attempts.locator.reports['a'] = (verdict.value, None)
        inspecting = asyncio.create_task(shard_attempts.inspect_forever())
        assert isinstance(await outcome_future, expected)
        inspecting.cancel()

    _run_scenario(scenario)


def test_large_answer_is_stored_outside_the_journal():
    async def scenario(shard_attempts, fake_store):
        (outcome_future,) = await shard_attempts.launch(
            'r', [_make_launch('a')], [_make_accepted()]
        )
        body = b'"' + b'x' * 700_000 + b'"'
        large = outcome.to_fields(outcome.Answered(body, 'w'))
        assert await shard_attempts.settle('a', large)
        assert (await outcome_future).body == body
        recorded = shard_attempts.shard.records.by_id['r'].tasks['run'].outcome
        assert 'body' not in recorded

    _run_scenario(scenario)
