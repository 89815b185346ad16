"""Daemon of one host: starts, connects and stops its components."""

from __future__ import annotations

import asyncio
import http
import signal

import attrs

from jujubebend_cluster import (
    configwatcher,
    context,
    elector,
    gateway,
    interfaces,
    leadership,
    logs,
    metrics,
    peerhandlers,
    peers,
    relayserver,
    statepage,
)
from jujubebend_http import httpmessage, httpserver

BALANCER_DELAY_S = 2.6  # until the load balancer drops an unready host
SHUTDOWN_MARGIN_S = 0.8  # of the grace period, for the steps after the drain
STATE_PATH = '/state'
LOG_FLUSH_INTERVAL_S = 0.2  # between attempts to write the backlog


@attrs.frozen
class Addresses:
    """Addresses at which this host listens, each as ``host:port``."""

    front: str
    ready: str
    peer: str
    metrics: str
    ready_path: str


@attrs.define(eq=False)
class App:
    """Owns the servers and background tasks of one host.

    ``grace`` is the seconds allowed between the stop signal and the exit.
    """

    host: str
    addresses: Addresses
    context: context.Context
    config_watcher: configwatcher.ConfigWatcher
    advisor: interfaces.Advisor | None
    caller_format: gateway.CallerFormat
    grace: float
    zone: str = ''
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    peer_client: peers.PeerClient = attrs.field(init=False)
    elector: elector.Elector = attrs.field(init=False)
    leadership: leadership.Leadership = attrs.field(init=False)
    _gateway: gateway.Gateway = attrs.field(init=False)
    _state_page: statepage.StatePage = attrs.field(init=False)
    _servers: list[httpserver.Server] = attrs.field(factory=list)
    _stop_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _is_stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the components and connect them."""
        capacity = self.context.capacity
        self.peer_client = peers.PeerClient(
            self.host, self.addresses.peer, capacity, self.metrics
        )
        self.leadership = leadership.Leadership(
            self.context, self.advisor, self.metrics, self.peer_client
        )
        self.elector = elector.Elector(
            self.context.store,
            self.peer_client,
            self.leadership.run_term,
            capacity,
        )
        self._gateway = gateway.Gateway(
            self.context.store,
            self.peer_client,
            self.elector,
            self.context.current_config,
            self.leadership.current_term,
            self.caller_format,
            self.metrics.record_answer,
        )
        self._state_page = statepage.StatePage(
            self.host,
            self.zone,
            self.elector,
            self.leadership,
            self.config_watcher,
        )

    async def run(self) -> None:
        """Serve until a signal asks the daemon to stop."""
        self._catch_signals()
        await self._start_servers()
        logs.lifecycle('start', addresses=attrs.asdict(self.addresses))
        tasks = [
            asyncio.create_task(self.config_watcher.run()),
            asyncio.create_task(self.elector.run()),
            asyncio.create_task(self._gateway.job_writer.run()),
            asyncio.create_task(self._flush_logs()),
            asyncio.create_task(self.metrics.measure_lag()),
        ]
        stop_waiter = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait(
            [stop_waiter, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        await self._shut_down(tasks)

    # Signals, startup and shutdown.

    def _catch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        # Settings do not change while the process runs; a new file takes
        # effect at the next start.
        logs.lifecycle('reload')

    async def _start_servers(self) -> None:
        peer_handlers = peerhandlers.PeerHandlers(
            self.context.store,
            self.peer_client,
            self.advisor,
            self.leadership.advice_client,
            self.leadership.current_term,
            self.leadership.followers,
            relayserver.RelayServer(self.context.connect_worker),
        )
        peer_server = peers.PeerServer(peer_handlers.handlers())
        await self._start_server(self.addresses.peer, peer_server.handle)
        await self._start_server(self.addresses.ready, self._handle_readiness)
        await self._start_server(
            self.addresses.metrics, self._handle_operator_request
        )
        await self._start_server(
            self.addresses.front, self._gateway.handle, self._reply_to_fault
        )

    async def _start_server(
        self,
        address: str,
        handler: httpserver.Handler,
        reply_to_error: httpserver.ErrorHandler = httpserver.reply_to_error,
    ) -> None:
        def handle_error(
            req: httpmessage.Request, exc: Exception
        ) -> httpmessage.Reply:
            logs.lifecycle('error', what=f'{req.method} {req.path}: {exc!r}')
            self.metrics.count('faults', where=address)
            return reply_to_error(req, exc)

        server = httpserver.Server(handler, handle_error=handle_error)
        host, _, port = address.rpartition(':')
        await server.start(host, int(port))
        self._servers.append(server)

    def _reply_to_fault(
        self, req: httpmessage.Request, exc: Exception
    ) -> httpmessage.Reply:
        """Tell a caller that its request may have taken effect."""
        return self.caller_format.error_reply(
            http.HTTPStatus.GATEWAY_TIMEOUT,
            f'unknown: the request met a fault ({type(exc).__name__}); '
            'ask again',
        )

    async def _shut_down(self, tasks: list[asyncio.Task]) -> None:
        logs.lifecycle('stop')
        self._is_stopping = True
        self.elector.is_stopping = True
        self.leadership.stop()
        front = self._servers[-1]
        front.begin_drain()
        drain_delay = min(
            BALANCER_DELAY_S, max(0, self.grace - SHUTDOWN_MARGIN_S * 2)
        )
        await asyncio.sleep(drain_delay)
        await front.stop(max(0.1, self.grace - drain_delay - SHUTDOWN_MARGIN_S))
        for task in tasks:
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        for server in self._servers[:-1]:
            await server.stop(0)
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                logs.lifecycle('error', what=f'the daemon ends: {outcome!r}')
                raise outcome

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH_INTERVAL_S)
            logs.SINK.write_backlog()

    # Readiness and metrics.

    async def _handle_readiness(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        if req.path != self.addresses.ready_path:
            return httpmessage.problem_reply(
                http.HTTPStatus.NOT_FOUND, 'unknown path'
            )
        if not self._is_ready():
            return httpmessage.problem_reply(
                http.HTTPStatus.SERVICE_UNAVAILABLE, 'not ready'
            )
        return httpmessage.json_reply(http.HTTPStatus.OK, {})

    def _is_ready(self) -> bool:
        return self._can_serve() and not self._is_stopping

    def _can_serve(self) -> bool:
        """Return whether this host can serve callers.

        A host that reaches neither the store nor the leader cannot accept
        jobs; the load balancer should use another host.
        """
        if self.config_watcher.config is None:
            return False
        if (
            self.config_watcher.reaches_store()
            or self.elector.is_leader_reachable
        ):
            return True
        return self.leadership.current_term() is not None

    async def _handle_operator_request(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        """Serve operators the host's state or, on other paths, its metrics."""
        if req.path == STATE_PATH:
            ready = self._is_ready()
            document = self._state_page.describe(ready=ready)
            return httpmessage.json_reply(http.HTTPStatus.OK, document)
        self.leadership.update_gauges()
        body = self.metrics.render()
        return httpmessage.Reply(http.HTTPStatus.OK, body, 'text/plain')
