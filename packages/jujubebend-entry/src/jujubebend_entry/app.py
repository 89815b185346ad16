"""The daemon as one object, which owns its parts and their clean-up."""

from __future__ import annotations

import asyncio
import time
import uuid

import attrs
import eliot
import grpc

from jujubebend import errors, membership
from jujubebend_entry import (
    dispatcher,
    gateway,
    heartbeat,
    metrics,
    owner,
    peers,
    platformview,
    servicer,
    settings,
    settler,
    shardmanager,
    tasks,
)
from jujubebend_http import httpserver
from jujubebend_platform import hostlist, store, worker
from jujubebend_wire import entry_pb2_grpc

REASSIGN_INTERVAL = 1.0
START_STEP = 0.1
FOUND_WAIT = 1.2
DRAIN_STEP = 0.05
CLOSE_GRACE = 5.0
MILLI = 1000


@attrs.define(eq=False)
class App:
    """One daemon.

    app = App.from_settings(cfg)
    await app.start()
    await app.stop()
    """

    cfg: settings.Settings
    store: store.Store
    platform: platformview.PlatformView
    view: membership.View
    owner: owner.Owner
    peers: peers.Peers
    heartbeats: heartbeat.Heartbeats
    dispatcher: dispatcher.Dispatcher
    shard_manager: shardmanager.ShardManager
    settler: settler.Settler
    gateway: gateway.Gateway
    metrics: metrics.Metrics
    http: httpserver.Server
    grpc: grpc.aio.Server
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)
    _reassign_due: bool = False
    _started_at: float = 0

    async def start(self) -> None:
        """Listen, learn what there is, take up work, become ready."""
        self._started_at = time.time()
        port = self.cfg.grpc.port
        bound = self.grpc.add_insecure_port(f'{self.cfg.grpc.host}:{port}')
        self.view.own.address = f'{self.cfg.grpc.host}:{bound}'
        await self.grpc.start()
        await self.http.start(self.cfg.http.host, self.cfg.http.port)
        self._group.spawn(self.heartbeats.run())
        self._group.spawn(self._learn())
        self._group.spawn(self.settler.run())
        self._group.spawn(self._become_ready())
        eliot.log_message(
            'app:started',
            name=self.cfg.name,
            http=self.http.port,
            grpc=self.view.own.address,
        )

    async def wait_until_ready(self) -> None:
        """Return once the host serves."""
        while not self.gateway.ready:
            await asyncio.sleep(START_STEP)

    async def stop(self) -> None:
        """Drain: finish what is in flight, hand on the rest, let go."""
        eliot.log_message('app:draining', name=self.cfg.name)
        self.gateway.draining = True
        self.view.own.leaving = True
        self.shard_manager.draining = True
        self.http.begin_drain()
        await self.heartbeats.beat()
        await asyncio.sleep(self.cfg.drain_notice_ms / MILLI)
        self.owner.draining = True
        self.dispatcher.pump()
        await self._finish_requests()
        await self.http.stop(self.cfg.drain_ms / MILLI)
        await self.close()
        eliot.log_message('app:stopped', name=self.cfg.name)

    async def close(self) -> None:
        """Let go of everything."""
        self._reassign_due = True
        await self.shard_manager.close()
        await self.settler.close()
        await self.grpc.stop(CLOSE_GRACE)
        await self._group.close()
        await self.dispatcher.close()
        await self.owner.close()
        await self.heartbeats.close()
        await self.peers.close()
        await self.platform.hosts.close()
        await self.store.close()

    def changed(self) -> None:
        """Assign workers and shards anew soon."""
        if not self._reassign_due:
            self._reassign_due = True
            asyncio.get_running_loop().call_soon(self._reassign)

    def describe(self) -> dict:
        """Return the state of the whole process."""
        now = asyncio.get_running_loop().time()
        current = self.platform.register.current
        return {
            'name': self.cfg.name,
            'zone': self.cfg.zone,
            'boot': self.view.own.boot,
            'up_seconds': time.time() - self._started_at,
            'ready': self.gateway.ready,
            'draining': self.gateway.draining,
            'config_revision': current.number,
            'host_list_revision': self.platform.listed.revision,
            'alive': [one.name for one in self.view.alive(now)],
            'workers': self._describe_workers(now),
            'queues': self.owner.queue.waiting_by_kind(),
            'waiting': self._describe_waiting(now),
            'shards': self.shard_manager.describe(),
            'untold_ends': self.settler.untold(),
            'ejected': self.owner.ledger.ejector.ejected_workers(),
            'store_calls': getattr(self.store, 'calls', {}),
            'starts': self.owner.starts,
        }

    def _describe_workers(self, now: float) -> dict:
        return {
            name: {
                'held': place.allocated.to_json(),
                'capacity': place.capacity.to_json(),
                'leased': place.leased,
                'leaving': place.leaving,
                'pace': round(place.relative_duration, 3),
                'admits': self.owner.ledger.ejector.admits(name, now),
            }
            for name, place in self.owner.ledger.owned_workers.items()
        }

    def _describe_waiting(self, now: float) -> list[dict]:
        return [
            {
                'kind': ticket.kind,
                'team': ticket.team,
                'waited_seconds': round(now - ticket.queued_at, 3),
                'demand': ticket.demand.to_json(),
                'why': self.owner.why_waiting(ticket),
            }
            for ticket in self.owner.queue.heads()
        ]

    async def _learn(self) -> None:
        """Read from the platform, then follow it."""
        try:
            await self.platform.read_once()
        except errors.JujubebendError as exc:
            eliot.log_message('app:platform-unreachable', error=str(exc))
        self._group.spawn(self.platform.follow_config())
        self._group.spawn(self.platform.follow_hosts())
        while True:
            self.changed()
            await asyncio.sleep(REASSIGN_INTERVAL)

    async def _become_ready(self) -> None:
        """Serve once a configuration is known and peers had time to answer.

        Before that a host would take itself to be alone and claim all the
        workers of its zone.
        """
        while not self.platform.register.current.number:
            await asyncio.sleep(START_STEP)
        await asyncio.sleep(FOUND_WAIT)
        self.gateway.ready = True
        self.changed()

    def _reassign(self) -> None:
        self._reassign_due = False
        current = self.platform.register.current
        self.owner.queue.configure(current.manifest)
        if not self.gateway.ready:
            return
        own = self.view.own.name
        listed = self.platform.listed.workers()
        mine = {
            name: host
            for name, host in listed.items()
            if self.shard_manager.owner_of(name) == own
        }
        zone = [host for host in listed.values() if host.zone == self.cfg.zone]
        self.owner.ledger.ejector.workers = len(zone)
        if not self.owner.draining:
            self.owner.assign(mine)
        self.shard_manager.reassign()
        self.dispatcher.pump()

    def _config_changed(self) -> None:
        self.heartbeats.hurry()
        self.changed()

    async def _finish_requests(self) -> None:
        deadline = asyncio.get_running_loop().time()
        deadline += self.cfg.drain_ms / MILLI
        while self._busy() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(DRAIN_STEP)

    def _busy(self) -> bool:
        return bool(
            self.gateway.open_requests
            or self.owner.in_flight()
            or self.shard_manager.in_flight()
        )


def build(cfg: settings.Settings) -> App:
    """Return a daemon put together from its settings."""
    own = membership.Member(cfg.name, cfg.zone, '', uuid.uuid4().hex)
    view = membership.View(own)
    for peer in cfg.peers:
        never = float('-inf')
        view.members[peer.name] = membership.Member(
            peer.name, peer.zone, peer.address, heard=never
        )
    kept = store.HttpStore(cfg.store)
    hosts = hostlist.HttpHostSource(cfg.host_list)
    platform = platformview.PlatformView(kept, hosts, view)
    owned = owner.Owner(
        cfg.name,
        cfg.lease_ms / MILLI,
        lambda host: worker.HttpWorker(host.address),
    )
    calls = peers.Peers()
    beats = heartbeat.Heartbeats(
        view,
        platform,
        calls,
        lambda: heartbeat.Digest(
            owned.largest_room(),
            len(owned.queue.tickets),
            owned.ledger.distinct_capacities(),
        ),
        fixed_addresses={peer.name: peer.address for peer in cfg.peers},
    )
    dispatch = dispatcher.Dispatcher(view, owned, calls, beats)
    recorded = shardmanager.ShardManager(
        cfg, kept, view, platform, dispatch, calls
    )
    return _assemble(
        cfg, kept, platform, view, owned, calls, beats, dispatch, recorded
    )


def _assemble(  # noqa: PLR0913
    cfg: settings.Settings,
    kept: store.Store,
    platform: platformview.PlatformView,
    view: membership.View,
    owned: owner.Owner,
    calls: peers.Peers,
    beats: heartbeat.Heartbeats,
    dispatch: dispatcher.Dispatcher,
    recorded: shardmanager.ShardManager,
) -> App:
    told = settler.Settler(owned, recorded, calls)
    counted = metrics.Metrics()
    front = gateway.Gateway(dispatch, recorded, counted, dict)
    limits = httpserver.Limits(
        body_bytes=cfg.limits.body_bytes,
        header_bytes=cfg.limits.header_bytes,
        connections=cfg.limits.connections,
    )
    served = grpc.aio.server(options=peers.OPTIONS)
    answers = servicer.Servicer(beats, platform, owned, recorded)
    entry_pb2_grpc.add_EntryServicer_to_server(answers, served)
    app = App(
        cfg,
        kept,
        platform,
        view,
        owned,
        calls,
        beats,
        dispatch,
        recorded,
        told,
        front,
        counted,
        httpserver.Server(front.handle, limits),
        served,
    )
    owned.offer = told.ended
    owned.adopted = told.ended
    platform.changed = app._config_changed
    beats.changed = app.changed
    front.describe = app.describe
    return app
