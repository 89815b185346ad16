"""What a host does for its peers."""

from __future__ import annotations

import asyncio
import base64

import pytest

from jujubebend import errors
from jujubebend_cluster import adviceclient, followers, keys, peerhandlers
from tests.cluster import harness


def _build_handlers(store, current_term):
    return peerhandlers.PeerHandlers(
        store=store,
        peer_client=None,
        advisor=None,
        advice_client=adviceclient.AdviceClient(),
        current_term=current_term,
        followers=followers.Followers(),
        relay_server=None,
    )


def test_a_leader_that_lost_the_store_refuses_to_write_for_peers():
    """A write without an answer would leave the peer's caller in doubt."""

    async def scenario(cluster):
        term = await cluster.start_term()
        handlers = _build_handlers(cluster.store, lambda: term)
        document = {'job': 'j', 'body': base64.b64encode(b'x').decode()}
        cluster.store.mute = True
        await harness.wait_until(lambda: term.leader.commits.is_store_lost)
        with pytest.raises(errors.RefusedError):
            await handlers._store_job(document)
        cluster.store.mute = False
        await asyncio.sleep(2)
        assert keys.job('j') not in cluster.store.data
        assert (await handlers._store_job(document))['created']

    harness.run_scenario(scenario)
