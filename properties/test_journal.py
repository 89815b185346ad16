"""Journal recovery over takeovers, failed writes and lost answers.

A new holder must recover exactly the acknowledged entries, in order, and
a replaced holder must not be able to write.
"""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import strategies

from jujubebend import errors, records
from jujubebend_entry import shard
from tests import fakestore

steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('commit'), strategies.integers(0, 2000)
        ),
        strategies.sampled_from((('lose',), ('drop',), ('takeover',))),
    ),
    max_size=60,
)


class _Holder:
    def __init__(self, fake_store, name):
        self.shard = shard.Shard('a-0', fake_store, name, 0, 1e9)
        self.running = None

    async def open(self):
        await self.shard.open()
        self.running = asyncio.create_task(self.shard.run())

    async def close(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)


async def _play_steps(drawn_steps):
    fake_store = fakestore.FakeStore()
    holder = _Holder(fake_store, 'h0')
    await holder.open()
    acknowledged = []
    replaced_holders = []
    for number, step in enumerate(drawn_steps):
        match step:
            case ('commit', size):
                entry = records.Accepted(
                    f'r{number}', records.JOB, ['t'], 'x' * size, '', 1
                )
                await holder.shard.commit(entry)
                acknowledged.append(entry.id)
            case ('takeover',):
                replaced_holders.append(holder)
                holder = _Holder(fake_store, f'h{number}')
                await holder.open()
            case (fault,):
                setattr(fake_store, fault, getattr(fake_store, fault) + 1)
    for replaced in replaced_holders:
        entry = records.Accepted('late', records.JOB, ['t'], '', '', 1)
        try:
            await replaced.shard.commit(entry)
        except errors.FencedError:
            continue
        raise AssertionError('a replaced holder could still write')
    reader = _Holder(fake_store, 'reader')
    await reader.open()
    for opened in (*replaced_holders, holder, reader):
        await opened.close()
    return acknowledged, list(reader.shard.records.by_id)


@hypothesis.settings(max_examples=60)
@hypothesis.given(steps)
def test_acknowledged_entries_are_recovered(drawn_steps):
    original_wait = shard.RETRY_WAIT_SECONDS
    shard.RETRY_WAIT_SECONDS = 0
    try:
        acknowledged, recovered = asyncio.run(_play_steps(drawn_steps))
    finally:
        shard.RETRY_WAIT_SECONDS = original_wait
    assert recovered == acknowledged
