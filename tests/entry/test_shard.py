"""Journal of a shard: recovery, fencing and lost store replies.

Guards against acknowledged records that are lost in a takeover, and
against writes of a host that no longer holds the shard.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubebend import errors, intent, records
from jujubebend_entry import shard
from tests import fakestore


def _accepted(name, at=1.0, spec=''):
    return records.Accepted(name, records.JOB, ['t'], spec, '', at)


def _finished(name, at):
    opened = intent.Intent(f'a-{name}', 'w', 'b', 1)
    ended = {'tag': 'failed', 'reason': 'no', 'worker': 'w'}
    return (
        records.Intended(name, 't', opened),
        records.Ended(name, 't', f'a-{name}', ended, True, at),
    )


@contextlib.asynccontextmanager
async def _open_shard(fake_store, holder='one', retention_seconds=1e9):
    opened_shard = shard.Shard('a-0', fake_store, holder, 0, retention_seconds)
    await opened_shard.open()
    run_task = asyncio.create_task(opened_shard.run())
    try:
        yield opened_shard
    finally:
        run_task.cancel()
        await asyncio.gather(run_task, return_exceptions=True)


def test_committed_records_are_recovered():
    async def scenario():
        fake_store = fakestore.FakeStore()
        async with _open_shard(fake_store) as first:
            for number in range(200):
                await first.commit(_accepted(f'r{number}'))
            await first.commit(*_finished('r7', 2))
        async with _open_shard(fake_store, 'two') as second:
            assert second.records.by_id == first.records.by_id

    asyncio.run(scenario())


def test_large_history_is_archived_in_parts_and_recovered():
    async def scenario():
        fake_store = fakestore.FakeStore()
        async with _open_shard(fake_store) as first:
            for number in range(120):
                name = f'r{number}'
                await first.commit(_accepted(name, spec='x' * 20_000))
                await first.commit(*_finished(name, 2))
            assert not first.is_full()
        async with _open_shard(fake_store, 'two') as second:
            assert second.records.by_id == first.records.by_id

    asyncio.run(scenario())


def test_expired_records_are_removed_with_their_archives():
    async def scenario():
        fake_store = fakestore.FakeStore()
        async with _open_shard(fake_store, retention_seconds=0) as first:
            for number in range(200):
                name = f'r{number}'
                await first.commit(_accepted(name, spec='x' * 9000))
                await first.commit(*_finished(name, 2))
            assert len(first.records.by_id) < 100
        archives = [key for key in fake_store.items if '/archive/' in key]
        assert len(archives) < 3

    asyncio.run(scenario())


def test_previous_holder_is_fenced():
    async def scenario():
        fake_store = fakestore.FakeStore()
        async with (
            _open_shard(fake_store) as previous,
            _open_shard(fake_store, 'two') as current,
        ):
            with pytest.raises(errors.FencedError):
                await previous.commit(_accepted('r'))
            await current.commit(_accepted('s'))
            assert list(current.records.by_id) == ['s']

    asyncio.run(scenario())


@pytest.mark.parametrize('fault', ['lose', 'drop'])
def test_write_with_a_lost_reply_is_recorded_once(fault):
    async def scenario():
        fake_store = fakestore.FakeStore()
        async with _open_shard(fake_store) as first:
            setattr(fake_store, fault, 3)
            await first.commit(_accepted('r'))
        async with _open_shard(fake_store, 'two') as second:
            assert list(second.records.by_id) == ['r']

    asyncio.run(scenario())


def test_pending_entries_are_refused_after_the_timeout(monkeypatch):
    monkeypatch.setattr(shard, 'COMMIT_TIMEOUT_SECONDS', 0.05)
    monkeypatch.setattr(shard, 'RETRY_WAIT_SECONDS', 0.001)

    async def scenario():
        fake_store = fakestore.FakeStore()
        async with _open_shard(fake_store) as first:
            fake_store.down = True
            blocked_commit = asyncio.create_task(first.commit(_accepted('r')))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            with pytest.raises(errors.RefusedError):
                await first.commit(_accepted('s'))
            with pytest.raises(errors.UnreachableError):
                await blocked_commit
            fake_store.down = False
            monkeypatch.undo()
            await first.commit(_accepted('u'))
            assert list(first.records.by_id) == ['r', 'u']

    asyncio.run(scenario())
