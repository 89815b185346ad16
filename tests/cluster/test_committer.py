"""Group commit: fencing, lost answers, late transactions, a slow store."""

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
    stored_count: int = 0

    def encode(self):
        return self.body

    def mark_stored(self):
        self.stored_count += 1


MAX_RESOLVE_TIME_S = 0.3  # from the put to a commit whose answer was lost


async def _start_committer(store, epoch=1):
    item = store.data.get(committer.LEADER_KEY)
    record = committer.LeaderRecord(f'h{epoch}', f'h{epoch}:1', epoch, 0)
    revision = await store.commit(
        interfaces.Transaction(
            expects={committer.LEADER_KEY: item.revision if item else 0},
            puts={committer.LEADER_KEY: record.encode()},
        )
    )
    term_committer = committer.Committer(store, record, revision)
    return term_committer, asyncio.create_task(term_committer.run())


def _run_scenario(scenario):
    async def main():
        store = fakecluster.Store()
        term_committer, committer_task = await _start_committer(store)
        try:
            await scenario(store, term_committer, committer_task)
        finally:
            committer_task.cancel()
            await asyncio.gather(committer_task, return_exceptions=True)

    virtualtime.run(main)


def test_records_are_batched_into_one_commit():
    async def scenario(store, term_committer, committer_task):
        entries = [
            _Entry(b'x') for _ in range(committer.MAX_RECORDS_PER_COMMIT)
        ]
        for number, entry in enumerate(entries):
            term_committer.put(f'k{number}', entry)
        await term_committer.flush()
        assert term_committer.commit_count == 1
        assert {entry.stored_count for entry in entries} == {1}

    _run_scenario(scenario)


def test_a_flush_waits_for_the_commit_in_progress():
    async def scenario(store, term_committer, committer_task):
        store.refuse = True
        term_committer.put('k', _Entry(b'x'))
        await asyncio.sleep(1)
        flushing = asyncio.create_task(term_committer.flush())
        await asyncio.sleep(1)
        assert not flushing.done()
        store.refuse = False
        await asyncio.wait_for(flushing, 5)
        assert store.data['k'].body == b'x'

    _run_scenario(scenario)


def test_a_large_batch_is_split():
    """The store limits the number of entries in a transaction."""

    async def scenario(store, term_committer, committer_task):
        for number in range(committer.MAX_RECORDS_PER_COMMIT * 2 + 1):
            term_committer.put(f'k{number}', _Entry(b'x'))
        await term_committer.flush()
        assert term_committer.commit_count == 3
        assert sum(key.startswith('k') for key in store.data) == 61

    _run_scenario(scenario)


@pytest.mark.parametrize('fault', ['lose', 'hold_back', 'refuse', 'mute'])
def test_a_commit_survives_a_fault_of_the_store(fault):
    async def scenario(store, term_committer, committer_task):
        setattr(store, fault, 1 if fault == 'lose' else True)
        entry = _Entry(b'new')
        term_committer.put('k', entry)
        flushing = asyncio.create_task(term_committer.flush())
        await asyncio.sleep(2)
        store.refuse = False
        store.mute = False
        await asyncio.wait_for(flushing, 10)
        assert store.data['k'].body == b'new'
        assert entry.stored_count == 1

    _run_scenario(scenario)


def test_a_commit_with_a_lost_answer_is_resolved_soon():
    async def scenario(store, term_committer, committer_task):
        store.lose = 1
        started_at = clock.now()
        term_committer.put('k', _Entry(b'x'))
        await term_committer.flush()
        assert round(clock.now() - started_at, 1) <= MAX_RESOLVE_TIME_S

    _run_scenario(scenario)


def test_the_timeout_grows_when_the_store_becomes_slow():
    """A fixed timeout would make every commit of a slow store time out.

    Each such commit costs another call to learn its outcome.
    """

    async def scenario(store, term_committer, committer_task):
        store.delay = 0.3
        term_committer.put('k', _Entry(b'x'))
        await term_committer.flush()
        calls_before = store.calls
        for number in range(5):
            term_committer.put(f'k{number}', _Entry(b'x'))
            await term_committer.flush()
        assert store.calls - calls_before <= 8

    _run_scenario(scenario)


def test_a_transaction_applied_late_conflicts():
    """The store applies a transaction after its retry has been committed.

    It must not overwrite newer records.
    """

    async def scenario(store, term_committer, committer_task):
        store.hold_back = True
        term_committer.put('k', _Entry(b'old'))
        await term_committer.flush()
        term_committer.put('k', _Entry(b'new'))
        await term_committer.flush()
        assert len(store.late) == 1
        with pytest.raises(errors.ConflictError):
            store.apply(store.late[0])
        assert store.data['k'].body == b'new'

    _run_scenario(scenario)


def test_a_deposed_leader_commits_nothing():
    async def scenario(store, term_committer, committer_task):
        second, second_task = await _start_committer(store, epoch=2)
        term_committer.put('k', _Entry(b'mine'))
        with pytest.raises(committer.DeposedError):
            await term_committer.flush()
        with pytest.raises(committer.DeposedError):
            await committer_task
        assert 'k' not in store.data
        second.put('k', _Entry(b'theirs'))
        await second.flush()
        assert store.data['k'].body == b'theirs'
        second_task.cancel()
        await asyncio.gather(second_task, return_exceptions=True)

    _run_scenario(scenario)


def test_an_idle_leader_keeps_committing_its_leader_record():
    """Other hosts take over when the leader record stays unchanged."""

    async def scenario(store, term_committer, committer_task):
        await asyncio.sleep(5)
        assert 5 <= term_committer.commit_count <= 10

    _run_scenario(scenario)


def test_retries_back_off_while_the_store_refuses():
    async def scenario(store, term_committer, committer_task):
        store.refuse = True
        term_committer.put('k', _Entry(b'x'))
        calls_before = store.calls
        await asyncio.sleep(10)
        assert store.calls - calls_before <= 60

    _run_scenario(scenario)
