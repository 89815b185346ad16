"""Group commit: fenced, settled after lost answers, late writes shut out."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import clock, committer, interfaces
from tests import fakecluster, virtualtime


@attrs.define(eq=False)
class _Entry:
    body: bytes
    told: int = 0

    def encode(self):
        return self.body

    def stored(self):
        self.told += 1


SOON = 0.3  # seconds


async def _begin(store, epoch=1):
    item = store.data.get(committer.LEADER_KEY)
    record = committer.LeaderRecord(f'h{epoch}', f'h{epoch}:1', epoch, 0)
    revision = await store.commit(
        interfaces.Transaction(
            expects={committer.LEADER_KEY: item.revision if item else 0},
            puts={committer.LEADER_KEY: record.encode()},
        )
    )
    made = committer.Committer(store, record, revision)
    return made, asyncio.create_task(made.run())


def _play(scenario):
    async def main():
        store = fakecluster.Store()
        made, running = await _begin(store)
        try:
            await scenario(store, made, running)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    virtualtime.run(main)


def test_many_records_share_a_commit():
    async def scenario(store, made, running):
        entries = [_Entry(b'x') for _ in range(committer.RECORDS_PER_COMMIT)]
        for number, entry in enumerate(entries):
            made.put(f'k{number}', entry)
        await made.flush()
        assert made.commits == 1
        assert {entry.told for entry in entries} == {1}

    _play(scenario)


def test_a_flush_waits_for_the_commit_under_way():
    async def scenario(store, made, running):
        store.refuse = True
        made.put('k', _Entry(b'x'))
        await asyncio.sleep(1)
        waiting = asyncio.create_task(made.flush())
        await asyncio.sleep(1)
        assert not waiting.done()
        store.refuse = False
        await asyncio.wait_for(waiting, 5)
        assert store.data['k'].body == b'x'

    _play(scenario)


def test_a_large_batch_is_split():
    async def scenario(store, made, running):
        for number in range(committer.RECORDS_PER_COMMIT * 2 + 1):
            made.put(f'k{number}', _Entry(b'x'))
        await made.flush()
        assert made.commits == 3
        assert sum(key.startswith('k') for key in store.data) == 61

    _play(scenario)


@pytest.mark.parametrize('fault', ['lose', 'hold_back', 'refuse', 'mute'])
def test_a_commit_survives_a_fault_of_the_store(fault):
    async def scenario(store, made, running):
        setattr(store, fault, 1 if fault == 'lose' else True)
        entry = _Entry(b'new')
        made.put('k', entry)
        waiting = asyncio.create_task(made.flush())
        await asyncio.sleep(2)
        store.refuse = False
        store.mute = False
        await asyncio.wait_for(waiting, 10)
        assert store.data['k'].body == b'new'
        assert entry.told == 1

    _play(scenario)


def test_a_lost_answer_is_settled_soon():
    async def scenario(store, made, running):
        store.lose = 1
        began = clock.now()
        made.put('k', _Entry(b'x'))
        await made.flush()
        assert round(clock.now() - began, 1) <= SOON

    _play(scenario)


def test_a_store_that_becomes_slow_gets_more_time():
    async def scenario(store, made, running):
        store.delay = 0.3
        made.put('k', _Entry(b'x'))
        await made.flush()
        before = store.calls
        for number in range(5):
            made.put(f'k{number}', _Entry(b'x'))
            await made.flush()
        assert store.calls - before <= 8

    _play(scenario)


def test_a_write_done_late_finds_its_condition_gone():
    async def scenario(store, made, running):
        store.hold_back = True
        made.put('k', _Entry(b'old'))
        await made.flush()
        made.put('k', _Entry(b'new'))
        await made.flush()
        assert len(store.late) == 1
        with pytest.raises(errors.ConflictError):
            store.apply(store.late[0])
        assert store.data['k'].body == b'new'

    _play(scenario)


def test_a_former_leader_writes_nothing():
    async def scenario(store, made, running):
        second, other = await _begin(store, epoch=2)
        made.put('k', _Entry(b'mine'))
        with pytest.raises(committer.DeposedError):
            await made.flush()
        with pytest.raises(committer.DeposedError):
            await running
        assert 'k' not in store.data
        second.put('k', _Entry(b'theirs'))
        await second.flush()
        assert store.data['k'].body == b'theirs'
        other.cancel()
        await asyncio.gather(other, return_exceptions=True)

    _play(scenario)


def test_an_idle_leader_still_shows_that_it_lives():
    async def scenario(store, made, running):
        await asyncio.sleep(5)
        assert 5 <= made.commits <= 10

    _play(scenario)


def test_a_store_that_is_away_is_not_flooded():
    async def scenario(store, made, running):
        store.refuse = True
        made.put('k', _Entry(b'x'))
        before = store.calls
        await asyncio.sleep(10)
        assert store.calls - before <= 60

    _play(scenario)
