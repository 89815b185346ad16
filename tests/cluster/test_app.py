"""Readiness of a host, its state page and its configuration version."""

from __future__ import annotations

import asyncio

from jujubebend_adapter import callerapi
from jujubebend_cluster import app, configwatcher, context, jobspec
from jujubebend_http import httpmessage
from tests import fakecluster, virtualtime

READY = '/ready'


def _no_wave(key, body):
    """Parse no wave."""


def _build_daemon(store):
    watcher = configwatcher.ConfigWatcher(
        store,
        'op/config',
        'op/',
        lambda body: jobspec.OperatorConfig(int(body)),
        _no_wave,
    )
    term_context = context.Context(
        store=store,
        connect_worker=None,
        parse_worker=None,
        workers_prefix='servers/',
        current_config=lambda: watcher.config,
        current_waves=tuple,
        machines=None,
        lease=6.0,
        status_retention=120.0,
    )
    addresses = app.Addresses('f:1', 'r:1', 'p:1', 'm:1', READY)
    return app.App('h', addresses, term_context, watcher, None, callerapi, 6.0)


async def _readiness_status(daemon):
    req = httpmessage.Request('GET', READY, {})
    return (await daemon._handle_readiness(req)).status


def test_a_host_is_ready_with_a_config_and_a_store_or_leader_in_reach():
    async def main():
        store = fakecluster.Store()
        daemon = _build_daemon(store)
        watching = asyncio.create_task(daemon.config_watcher.run())
        await asyncio.sleep(0.1)
        assert await _readiness_status(daemon) == 503
        store.put('op/config', b'1')
        await asyncio.sleep(0.1)
        assert await _readiness_status(daemon) == 200
        store.refuse = True
        await asyncio.sleep(2)
        assert await _readiness_status(daemon) == 503
        daemon.elector.is_leader_reachable = True
        assert await _readiness_status(daemon) == 200
        daemon.elector.is_leader_reachable = False
        store.refuse = False
        await asyncio.sleep(2)
        assert await _readiness_status(daemon) == 200
        watching.cancel()

    virtualtime.run(main)


def test_a_host_serves_its_state_and_metrics_to_operators():
    async def main():
        store = fakecluster.Store()
        daemon = _build_daemon(store)
        watching = asyncio.create_task(daemon.config_watcher.run())
        store.put('op/config', b'7')
        await asyncio.sleep(0.5)
        req = httpmessage.Request('GET', app.STATE_PATH, {})
        document = (await daemon._handle_operator_request(req)).json()
        assert document['config_revision'] == 7
        assert (document['ready'], document['leads']) == (True, False)
        metrics_page = await daemon._handle_operator_request(
            httpmessage.Request('GET', '/metrics', {})
        )
        assert b'jujubebend_leader' in metrics_page.body
        watching.cancel()

    virtualtime.run(main)


def test_the_config_version_never_decreases():
    async def main():
        store = fakecluster.Store()
        daemon = _build_daemon(store)
        watching = asyncio.create_task(daemon.config_watcher.run())
        store.put('op/config', b'7')
        await asyncio.sleep(0.1)
        store.put('op/config', b'5')
        store.compact_history()
        await asyncio.sleep(3)
        assert daemon.config_watcher.config.version == 7
        store.put('op/config', b'9')
        await asyncio.sleep(0.1)
        assert daemon.config_watcher.config.version == 9
        watching.cancel()

    virtualtime.run(main)
