"""When a host says that it is ready, and what it answers as it stops."""

from __future__ import annotations

import asyncio

from jujubebend_adapter import callerapi
from jujubebend_cluster import app, configwatcher, context, jobspec
from jujubebend_http import httpmessage
from tests import fakecluster, virtualtime

READY = '/ready'


def _no_wave(key, body):
    """Find no wave."""


def _app(store):
    texts = configwatcher.TextFeed(
        store,
        'op/config',
        'op/',
        lambda body: jobspec.OperatorConfig(int(body)),
        _no_wave,
    )
    term_context = context.Context(
        store=store,
        connect=None,
        parse_worker=None,
        workers_prefix='servers/',
        current_config=lambda: texts.text,
        current_waves=tuple,
        machines=None,
        lease=6.0,
        status_retention=120.0,
    )
    addresses = app.Addresses('f:1', 'r:1', 'p:1', 'm:1', READY)
    return app.App('h', addresses, term_context, texts, None, callerapi, 6.0)


async def _status(made):
    req = httpmessage.Request('GET', READY, {})
    return (await made._ready(req)).status


def test_a_host_is_ready_once_it_has_a_text_and_while_it_reaches_anyone():
    async def main():
        store = fakecluster.Store()
        made = _app(store)
        following = asyncio.create_task(made.config_feed.run())
        await asyncio.sleep(0.1)
        assert await _status(made) == 503
        store.put('op/config', b'1')
        await asyncio.sleep(0.1)
        assert await _status(made) == 200
        store.refuse = True
        await asyncio.sleep(2)
        assert await _status(made) == 503
        made.election.greeted = True
        assert await _status(made) == 200
        made.election.greeted = False
        store.refuse = False
        await asyncio.sleep(2)
        assert await _status(made) == 200
        following.cancel()

    virtualtime.run(main)


def test_a_host_describes_itself_to_operators():
    async def main():
        store = fakecluster.Store()
        made = _app(store)
        following = asyncio.create_task(made.config_feed.run())
        store.put('op/config', b'7')
        await asyncio.sleep(0.5)
        req = httpmessage.Request('GET', app.STATE_PATH, {})
        told = (await made._observe(req)).json()
        assert told['config_revision'] == 7
        assert (told['ready'], told['leads']) == (True, False)
        text = await made._observe(httpmessage.Request('GET', '/metrics', {}))
        assert b'jujubebend_leader' in text.body
        following.cancel()

    virtualtime.run(main)


def test_a_version_never_goes_back():
    async def main():
        store = fakecluster.Store()
        made = _app(store)
        following = asyncio.create_task(made.config_feed.run())
        store.put('op/config', b'7')
        await asyncio.sleep(0.1)
        store.put('op/config', b'5')
        store.forget_history()
        await asyncio.sleep(3)
        assert made.config_feed.text.version == 7
        store.put('op/config', b'9')
        await asyncio.sleep(0.1)
        assert made.config_feed.text.version == 9
        following.cancel()

    virtualtime.run(main)
