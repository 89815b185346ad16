"""Accepting a text: races, and answers lost on the way."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend import errors
from jujubebend_ctl import client
from tests import fakestore


def test_of_racing_operators_one_wins():
    async def scenario():
        kept = fakestore.FakeStore()
        base = await client.apply_config(kept, 'teams: []\n', 0)
        await client.apply_config(kept, 'kinds: []\n', base)
        with pytest.raises(client.ConflictError) as caught:
            await client.apply_config(kept, 'services: []\n', base)
        assert '-kinds: []' in caught.value.diff
        current = await client.read_config(kept)
        assert current.text == 'kinds: []\n'

    asyncio.run(scenario())


@pytest.mark.parametrize('fault', ['lose', 'drop'])
def test_a_lost_answer_is_settled(monkeypatch, fault):
    monkeypatch.setattr(client, 'SETTLE_WAIT', 0)

    async def scenario():
        kept = fakestore.FakeStore()
        setattr(kept, fault, 2)
        revision = await client.apply_config(kept, 'teams: []\n', 0)
        current = await client.read_config(kept)
        assert current.revision == revision

    asyncio.run(scenario())


def test_a_faulty_text_is_never_written():
    async def scenario():
        kept = fakestore.FakeStore()
        with pytest.raises(errors.InvalidInputError):
            await client.apply_config(kept, 'teams: 1\n', 0)
        assert not kept.items

    asyncio.run(scenario())
