"""Applying a configuration with concurrent edits and lost replies."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend import errors
from jujubebend_ctl import client
from tests import fakestore


def test_an_edit_of_an_old_revision_is_rejected():
    """Two operators edit one revision; the second must not overwrite."""

    async def scenario():
        config_store = fakestore.FakeStore()
        base = await client.apply_config(config_store, 'teams: []\n', 0)
        await client.apply_config(config_store, 'kinds: []\n', base)
        with pytest.raises(client.ConflictError) as caught:
            await client.apply_config(config_store, 'services: []\n', base)
        assert '-kinds: []' in caught.value.diff
        current = await client.read_config(config_store)
        assert current.text == 'kinds: []\n'

    asyncio.run(scenario())


@pytest.mark.parametrize('fault', ['lose', 'drop'])
def test_a_write_without_a_reply_is_retried(monkeypatch, fault):
    """The store takes a write but its reply is lost, or the write is lost.

    In both cases the configuration must be accepted exactly once.
    """
    monkeypatch.setattr(client, 'RETRY_INTERVAL_SECONDS', 0)

    async def scenario():
        config_store = fakestore.FakeStore()
        setattr(config_store, fault, 2)
        revision = await client.apply_config(config_store, 'teams: []\n', 0)
        current = await client.read_config(config_store)
        assert current.revision == revision

    asyncio.run(scenario())


def test_an_invalid_configuration_is_not_written():
    async def scenario():
        config_store = fakestore.FakeStore()
        with pytest.raises(errors.InvalidInputError):
            await client.apply_config(config_store, 'teams: 1\n', 0)
        assert not config_store.items

    asyncio.run(scenario())
