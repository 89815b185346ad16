"""Attempts: nothing starts but under an intent that the journal took."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors, intent, outcome, records, resources
from jujubebend_entry import attempts, dispatcher, grants, shard
from tests import fakestore

ANSWER = outcome.to_record(outcome.Answered(b'"x"', 'w'))


@attrs.define(eq=False)
class _Dispatcher:
    refuse: bool = False
    started: list[str] = attrs.field(factory=list)
    released: list[str] = attrs.field(factory=list)

    async def start(self, grant, work, home):
        if self.refuse:
            return outcome.NotRun('no')
        self.started.append(grant.id)
        return None

    async def release(self, grant):
        self.released.append(grant.id)


@attrs.define(eq=False)
class _Locator:
    reports: dict = attrs.field(factory=dict)
    lost: bool = False

    async def inspect(self, intents):
        return {
            one.attempt: self.reports[one.attempt]
            for one in intents
            if one.attempt in self.reports
        }

    def owner_of(self, worker):
        return 'host'

    def is_lost(self, worker):
        return self.lost


def _launch(name):
    work = dispatcher.Work('s', 'k', 't', resources.Resources(1, 1), None, 1e9)
    return attempts.Launch('run', work, grants.Grant(name, 'w', 'b', 1))


def _accepted():
    return records.Accepted('r', records.REQUEST, ['run'], '', '', 1)


def _run(scenario):
    async def main():
        kept = fakestore.FakeStore()
        made = shard.Shard('a-0', kept, 'one', 0, 1e9)
        await made.open()
        running = asyncio.create_task(made.run())
        tried = attempts.Attempts(made, _Dispatcher(), _Locator())
        try:
            await asyncio.wait_for(scenario(tried, kept), 20)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await tried.close()

    asyncio.run(main())


def test_an_attempt_ends_once():
    async def scenario(tried, kept):
        (end,) = await tried.launch('r', [_launch('a')], [_accepted()])
        assert tried.dispatcher.started == ['a']
        assert await tried.settle('a', ANSWER)
        assert isinstance(await end, outcome.Answered)
        assert await tried.settle('a', ANSWER)
        assert tried.shard.records.by_id['r'].tasks['run'].attempts == 1

    _run(scenario)


def test_nothing_starts_under_an_intent_that_the_journal_ignored():
    async def scenario(tried, kept):
        await tried.launch('r', [_launch('a')], [_accepted()])
        with pytest.raises(errors.RefusedError):
            await tried.launch('r', [_launch('b')], [_accepted()])
        await asyncio.sleep(0)
        assert tried.dispatcher.started == ['a']
        assert tried.dispatcher.released == ['b']

    _run(scenario)


def test_nothing_starts_while_the_store_is_down(monkeypatch):
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT', 0.05)

    async def scenario(tried, kept):
        kept.down = True
        with pytest.raises(errors.UnreachableError):
            await tried.launch('r', [_launch('a')], [_accepted()])
        await asyncio.sleep(0)
        assert not tried.dispatcher.started
        assert tried.dispatcher.released == ['a']

    _run(scenario)


def test_a_waiter_is_told_of_an_end_whose_writer_gave_up(monkeypatch):
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT', 0.05)

    async def scenario(tried, kept):
        (end,) = await tried.launch('r', [_launch('a')], [_accepted()])
        kept.down = True
        assert not await tried.settle('a', ANSWER)
        kept.down = False
        assert isinstance(await end, outcome.Answered)

    _run(scenario)


def test_a_refused_start_is_recorded_as_not_run():
    async def scenario(tried, kept):
        tried.dispatcher.refuse = True
        (end,) = await tried.launch('r', [_launch('a')], [_accepted()])
        assert isinstance(await end, outcome.NotRun)
        assert tried.shard.records.by_id['r'].tasks['run'].outcome is None

    _run(scenario)


@pytest.mark.parametrize(
    ('verdict', 'lost', 'expected'),
    [
        (intent.Verdict.NEVER_RAN, False, outcome.NotRun),
        (intent.Verdict.UNKNOWN, False, outcome.Unknown),
        (None, True, outcome.Unknown),
    ],
)
def test_an_open_intent_is_settled(monkeypatch, verdict, lost, expected):
    monkeypatch.setattr(attempts, 'INSPECT_INTERVAL', 0.01)
    monkeypatch.setattr(attempts, 'INSPECT_QUIET_INTERVAL', 0)

    async def scenario(tried, kept):
        (end,) = await tried.launch('r', [_launch('a')], [_accepted()])
        tried.locator.lost = lost
        if verdict is not None:
            tried.locator.reports['a'] = (verdict.value, None)
        inspecting = asyncio.create_task(tried.inspect_forever())
        assert isinstance(await end, expected)
        inspecting.cancel()

    _run(scenario)


def test_large_answers_stand_by_themselves():
    async def scenario(tried, kept):
        (end,) = await tried.launch('r', [_launch('a')], [_accepted()])
        body = b'"' + b'x' * 700_000 + b'"'
        large = outcome.to_record(outcome.Answered(body, 'w'))
        assert await tried.settle('a', large)
        assert (await end).body == body
        recorded = tried.shard.records.by_id['r'].tasks['run'].outcome
        assert 'body' not in recorded

    _run(scenario)
