"""Journal recovery against a naive list, over kills and lost answers."""

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
    def __init__(self, kept, name):
        self.shard = shard.Shard('a-0', kept, name, 0, 1e9)
        self.running = None

    async def open(self):
        await self.shard.open()
        self.running = asyncio.create_task(self.shard.run())

    async def close(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)


async def _play(drawn):
    kept = fakestore.FakeStore()
    holder = _Holder(kept, 'h0')
    await holder.open()
    acknowledged = []
    old = []
    for number, step in enumerate(drawn):
        match step:
            case ('commit', size):
                entry = records.Accepted(
                    f'r{number}', records.JOB, ['t'], 'x' * size, '', 1
                )
                await holder.shard.commit(entry)
                acknowledged.append(entry.id)
            case ('takeover',):
                old.append(holder)
                holder = _Holder(kept, f'h{number}')
                await holder.open()
            case (fault,):
                setattr(kept, fault, getattr(kept, fault) + 1)
    for replaced in old:
        entry = records.Accepted('late', records.JOB, ['t'], '', '', 1)
        try:
            await replaced.shard.commit(entry)
        except errors.FencedError:
            continue
        raise AssertionError('a replaced holder wrote')
    reader = _Holder(kept, 'reader')
    await reader.open()
    for one in (*old, holder, reader):
        await one.close()
    return acknowledged, list(reader.shard.records.by_id)


@hypothesis.settings(max_examples=60)
@hypothesis.given(steps)
def test_what_was_acknowledged_is_recovered(drawn):
    original = shard.RETRY_WAIT
    shard.RETRY_WAIT = 0
    try:
        acknowledged, recovered = asyncio.run(_play(drawn))
    finally:
        shard.RETRY_WAIT = original
    assert recovered == acknowledged
