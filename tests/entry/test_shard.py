"""A shard's journal in the store: recovery, fencing, lost answers."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubebend import errors, intent, records
from jujubebend_entry import shard
from tests import fakestore


def _accepted(name, at=1.0, spec=''):
    return records.Accepted(name, records.JOB, ['t'], spec, '', at)


def _finish(name, at):
    opened = intent.Intent(f'a-{name}', 'w', 'b', 1)
    ended = {'tag': 'failed', 'reason': 'no', 'worker': 'w'}
    return (
        records.Intended(name, 't', opened),
        records.Ended(name, 't', f'a-{name}', ended, True, at),
    )


@contextlib.asynccontextmanager
async def _held(kept, holder='one', retention=1e9):
    made = shard.Shard('a-0', kept, holder, 0, retention)
    await made.open()
    running = asyncio.create_task(made.run())
    try:
        yield made
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


def test_what_was_committed_is_recovered():
    async def scenario():
        kept = fakestore.FakeStore()
        async with _held(kept) as first:
            for number in range(200):
                await first.commit(_accepted(f'r{number}'))
            await first.commit(*_finish('r7', 2))
        async with _held(kept, 'two') as second:
            assert second.records.by_id == first.records.by_id

    asyncio.run(scenario())


def test_large_histories_are_split_and_recovered():
    async def scenario():
        kept = fakestore.FakeStore()
        async with _held(kept) as first:
            for number in range(120):
                name = f'r{number}'
                await first.commit(_accepted(name, spec='x' * 20_000))
                await first.commit(*_finish(name, 2))
            assert not first.is_full()
        async with _held(kept, 'two') as second:
            assert second.records.by_id == first.records.by_id

    asyncio.run(scenario())


def test_expired_records_are_forgotten_with_their_archives():
    async def scenario():
        kept = fakestore.FakeStore()
        async with _held(kept, retention=0) as first:
            for number in range(200):
                name = f'r{number}'
                await first.commit(_accepted(name, spec='x' * 9000))
                await first.commit(*_finish(name, 2))
            assert len(first.records.by_id) < 100
        archives = [key for key in kept.items if '/archive/' in key]
        assert len(archives) < 3

    asyncio.run(scenario())


def test_the_old_holder_is_fenced():
    async def scenario():
        kept = fakestore.FakeStore()
        async with _held(kept) as old, _held(kept, 'two') as new:
            with pytest.raises(errors.FencedError):
                await old.commit(_accepted('r'))
            await new.commit(_accepted('s'))
            assert list(new.records.by_id) == ['s']

    asyncio.run(scenario())


@pytest.mark.parametrize('fault', ['lose', 'drop'])
def test_a_write_whose_answer_is_lost_is_settled(fault):
    async def scenario():
        kept = fakestore.FakeStore()
        async with _held(kept) as first:
            setattr(kept, fault, 3)
            await first.commit(_accepted('r'))
        async with _held(kept, 'two') as second:
            assert list(second.records.by_id) == ['r']

    asyncio.run(scenario())


def test_entries_not_yet_written_are_withdrawn(monkeypatch):
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT', 0.05)
    monkeypatch.setattr(shard, 'RETRY_WAIT', 0.001)

    async def scenario():
        kept = fakestore.FakeStore()
        async with _held(kept) as first:
            kept.down = True
            writing = asyncio.create_task(first.commit(_accepted('r')))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            with pytest.raises(errors.RefusedError):
                await first.commit(_accepted('s'))
            with pytest.raises(errors.UnreachableError):
                await writing
            kept.down = False
            monkeypatch.undo()
            await first.commit(_accepted('u'))
            assert list(first.records.by_id) == ['r', 'u']

    asyncio.run(scenario())
