"""Construction, start and draining of the daemon of an entry host."""

from __future__ import annotations

import asyncio
import time
import uuid

import attrs
import eliot
import grpc

from jujubebend import errors, membership
from jujubebend_entry import (
    background,
    dispatcher,
    gateway,
    heartbeat,
    metrics,
    outcomereporter,
    owner,
    peers,
    platformview,
    servicer,
    settings,
    shardmanager,
)
from jujubebend_http import httpserver
from jujubebend_platform import hostlist, store, worker
from jujubebend_wire import entry_pb2_grpc

REASSIGN_INTERVAL_SECONDS = 1.0
START_POLL_SECONDS = 0.1
PEER_DISCOVERY_SECONDS = 1.2
DRAIN_POLL_SECONDS = 0.05
GRPC_STOP_GRACE_SECONDS = 5.0
MS_PER_SECOND = 1000


@attrs.define(eq=False)
class App:
    """One daemon and the components that it owns.

    app = build(cfg)
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
    outcome_reporter: outcomereporter.OutcomeReporter
    gateway: gateway.Gateway
    metrics: metrics.Metrics
    http: httpserver.Server
    grpc: grpc.aio.Server
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)
    _is_reassign_due: bool = False
    _started_at: float = 0

    async def start(self) -> None:
        """Start the servers and background tasks.

        Returns before the host is ready; see ``wait_until_ready``.
        """
        self._started_at = time.time()
        port = self.cfg.grpc.port
        bound_port = self.grpc.add_insecure_port(f'{self.cfg.grpc.host}:{port}')
        self.view.own.address = f'{self.cfg.grpc.host}:{bound_port}'
        await self.grpc.start()
        await self.http.start(self.cfg.http.host, self.cfg.http.port)
        self._group.spawn(self.heartbeats.run())
        self._group.spawn(self._follow_platform())
        self._group.spawn(self.outcome_reporter.run())
        self._group.spawn(self._mark_ready())
        eliot.log_message(
            'app:started',
            name=self.cfg.name,
            http=self.http.port,
            grpc=self.view.own.address,
        )

    async def wait_until_ready(self) -> None:
        """Wait until the host accepts work."""
        while not self.gateway.is_ready:
            await asyncio.sleep(START_POLL_SECONDS)

    async def stop(self) -> None:
        """Drain: finish open requests, hand over the shards, then close."""
        eliot.log_message('app:draining', name=self.cfg.name)
        self.gateway.is_draining = True
        self.view.own.leaving = True
        self.shard_manager.is_draining = True
        self.http.begin_drain()
        await self.heartbeats.send_heartbeats()
        await asyncio.sleep(self.cfg.drain_notice_ms / MS_PER_SECOND)
        self.owner.is_draining = True
        self.dispatcher.request_peer_capacity()
        await self._finish_requests()
        await self.http.stop(self.cfg.drain_ms / MS_PER_SECOND)
        await self.close()
        eliot.log_message('app:stopped', name=self.cfg.name)

    async def close(self) -> None:
        """Close every component and release its resources."""
        # Keeps ``schedule_reassign`` from scheduling another reassignment.
        self._is_reassign_due = True
        await self.shard_manager.close()
        await self.outcome_reporter.close()
        await self.grpc.stop(GRPC_STOP_GRACE_SECONDS)
        await self._group.close()
        await self.dispatcher.close()
        await self.owner.close()
        await self.heartbeats.close()
        await self.peers.close()
        await self.platform.host_source.close()
        await self.store.close()

    def schedule_reassign(self) -> None:
        """Schedule a reassignment of workers and shards."""
        if not self._is_reassign_due:
            self._is_reassign_due = True
            asyncio.get_running_loop().call_soon(self._reassign)

    def describe(self) -> dict:
        """Return the state of the whole process."""
        now = asyncio.get_running_loop().time()
        current = self.platform.config_register.current
        return {
            'name': self.cfg.name,
            'zone': self.cfg.zone,
            'boot': self.view.own.boot,
            'up_seconds': time.time() - self._started_at,
            'ready': self.gateway.is_ready,
            'draining': self.gateway.is_draining,
            'config_revision': current.number,
            'host_list_revision': self.platform.host_list.revision,
            'alive': [member.name for member in self.view.live_hosts(now)],
            'workers': self._describe_workers(now),
            'queues': self.owner.queue.waiting_by_kind(),
            'waiting': self._describe_waiting(now),
            'shards': self.shard_manager.describe(),
            'untold_ends': self.outcome_reporter.count_unreported(),
            'ejected': self.owner.ledger.ejector.ejected_workers(),
            'store_calls': getattr(self.store, 'calls', {}),
            'starts': self.owner.start_count,
        }

    def _describe_workers(self, now: float) -> dict:
        return {
            name: {
                'held': owned_worker.allocated.to_json(),
                'capacity': owned_worker.capacity.to_json(),
                'leased': owned_worker.leased,
                'leaving': owned_worker.leaving,
                'pace': round(owned_worker.relative_duration, 3),
                'admits': self.owner.ledger.ejector.admits(name, now),
            }
            for name, owned_worker in self.owner.ledger.owned_workers.items()
        }

    def _describe_waiting(self, now: float) -> list[dict]:
        return [
            {
                'kind': ticket.kind,
                'team': ticket.team,
                'waited_seconds': round(now - ticket.queued_at, 3),
                'demand': ticket.demand.to_json(),
                'why': self.owner.explain_waiting(ticket),
            }
            for ticket in self.owner.queue.heads()
        ]

    async def _follow_platform(self) -> None:
        """Read the platform once, then watch it and reassign periodically."""
        try:
            await self.platform.read_config_and_hosts()
        except errors.JujubebendError as exc:
            eliot.log_message('app:platform-unreachable', error=str(exc))
        self._group.spawn(self.platform.follow_config())
        self._group.spawn(self.platform.follow_hosts())
        while True:
            self.schedule_reassign()
            await asyncio.sleep(REASSIGN_INTERVAL_SECONDS)

    async def _mark_ready(self) -> None:
        """Mark the host ready once it has a configuration and knows its peers.

        Before its peers answer, a host would consider itself the only one
        and claim every worker of its zone.
        """
        while not self.platform.config_register.current.number:
            await asyncio.sleep(START_POLL_SECONDS)
        await asyncio.sleep(PEER_DISCOVERY_SECONDS)
        self.gateway.is_ready = True
        self.schedule_reassign()

    def _reassign(self) -> None:
        self._is_reassign_due = False
        current = self.platform.config_register.current
        self.owner.queue.configure(current.manifest)
        if not self.gateway.is_ready:
            return
        own_name = self.view.own.name
        listed_workers = self.platform.host_list.workers()
        own_workers = {
            name: host
            for name, host in listed_workers.items()
            if self.shard_manager.find_owner(name) == own_name
        }
        zone_workers = [
            host
            for host in listed_workers.values()
            if host.zone == self.cfg.zone
        ]
        self.owner.ledger.ejector.workers = len(zone_workers)
        if not self.owner.is_draining:
            self.owner.assign_workers(own_workers)
        self.shard_manager.reassign()
        self.dispatcher.request_peer_capacity()

    def _handle_config_change(self) -> None:
        self.heartbeats.send_soon()
        self.schedule_reassign()

    async def _finish_requests(self) -> None:
        deadline = asyncio.get_running_loop().time()
        deadline += self.cfg.drain_ms / MS_PER_SECOND
        while self._is_busy() and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _is_busy(self) -> bool:
        return bool(
            self.gateway.open_requests
            or self.owner.count_in_flight()
            or self.shard_manager.count_in_flight()
        )


def build(cfg: settings.Settings) -> App:
    """Return a daemon built from its settings."""
    own_member = membership.Member(cfg.name, cfg.zone, '', uuid.uuid4().hex)
    view = membership.View(own_member)
    for peer in cfg.peers:
        never_heard = float('-inf')
        view.members[peer.name] = membership.Member(
            peer.name, peer.zone, peer.address, heard=never_heard
        )
    store_client = store.HttpStore(cfg.store)
    hosts = hostlist.HttpHostSource(cfg.host_list)
    platform = platformview.PlatformView(store_client, hosts, view)
    worker_owner = owner.Owner(
        cfg.name,
        cfg.lease_ms / MS_PER_SECOND,
        lambda host: worker.HttpWorker(host.address),
    )
    peer_calls = peers.Peers()
    heartbeats = heartbeat.Heartbeats(
        view,
        platform,
        peer_calls,
        lambda: heartbeat.WorkerSummary(
            worker_owner.largest_free_capacity(),
            len(worker_owner.queue.tickets),
            worker_owner.ledger.distinct_capacities(),
        ),
        fixed_addresses={peer.name: peer.address for peer in cfg.peers},
    )
    work_dispatcher = dispatcher.Dispatcher(
        view, worker_owner, peer_calls, heartbeats
    )
    shard_manager = shardmanager.ShardManager(
        cfg, store_client, view, platform, work_dispatcher, peer_calls
    )
    return _assemble(
        cfg,
        store_client,
        platform,
        view,
        worker_owner,
        peer_calls,
        heartbeats,
        work_dispatcher,
        shard_manager,
    )


def _assemble(  # noqa: PLR0913
    cfg: settings.Settings,
    store_client: store.Store,
    platform: platformview.PlatformView,
    view: membership.View,
    worker_owner: owner.Owner,
    peer_calls: peers.Peers,
    heartbeats: heartbeat.Heartbeats,
    work_dispatcher: dispatcher.Dispatcher,
    shard_manager: shardmanager.ShardManager,
) -> App:
    outcome_reporter = outcomereporter.OutcomeReporter(
        worker_owner, shard_manager, peer_calls
    )
    app_metrics = metrics.Metrics()
    # ``dict`` stands in for ``App.describe`` until the app exists.
    app_gateway = gateway.Gateway(
        work_dispatcher, shard_manager, app_metrics, dict
    )
    limits = httpserver.Limits(
        body_bytes=cfg.limits.body_bytes,
        header_bytes=cfg.limits.header_bytes,
        connections=cfg.limits.connections,
    )
    grpc_server = grpc.aio.server(options=peers.GRPC_OPTIONS)
    peer_servicer = servicer.Servicer(
        heartbeats, platform, worker_owner, shard_manager
    )
    entry_pb2_grpc.add_EntryServicer_to_server(peer_servicer, grpc_server)
    app = App(
        cfg,
        store_client,
        platform,
        view,
        worker_owner,
        peer_calls,
        heartbeats,
        work_dispatcher,
        shard_manager,
        outcome_reporter,
        app_gateway,
        app_metrics,
        httpserver.Server(app_gateway.handle_request, limits),
        grpc_server,
    )
    worker_owner.on_task_ended = outcome_reporter.add_report
    worker_owner.on_task_adopted = outcome_reporter.add_report
    platform.on_change = app._handle_config_change
    heartbeats.on_change = app.schedule_reassign
    app_gateway.describe = app.describe
    return app
