"""One host's daemon: its servers, its place in the election, its stop."""

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

ROTATION_LAG = 2.6  # seconds until the balancer has noticed a host not ready
STOP_MARGIN = 0.8  # seconds of the grace period left for closing down
STATE_PATH = '/state'
LOG_FLUSH = 0.2  # seconds between attempts to write held-back lines


@attrs.frozen
class Addresses:
    """Where this host listens; each is ``host:port``."""

    front: str
    ready: str
    peer: str
    metrics: str
    ready_path: str


@attrs.define(eq=False)
class App:
    """Owns everything that runs on one host; ``grace`` is in seconds."""

    host: str
    addresses: Addresses
    context: context.Context
    config_feed: configwatcher.TextFeed
    advisor: interfaces.Advisor | None
    form: gateway.CallerFormat
    grace: float
    zone: str = ''
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    network: peers.Peers = attrs.field(init=False)
    election: elector.Elector = attrs.field(init=False)
    leading: leadership.Leading = attrs.field(init=False)
    _page: statepage.StatePage = attrs.field(init=False)
    _servers: list[httpserver.Server] = attrs.field(factory=list)
    _stop: asyncio.Event = attrs.field(factory=asyncio.Event)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        cores = self.context.cores
        self.network = peers.Peers(self.host, self.addresses.peer, cores)
        self.leading = leadership.Leading(
            self.context, self.advisor, self.metrics, self.network
        )
        self.election = elector.Elector(
            self.context.store, self.network, self.leading.lead, cores
        )
        self._page = statepage.StatePage(
            self.host, self.zone, self.election, self.leading, self.config_feed
        )

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        self._catch_signals()
        await self._listen()
        logs.lifecycle('start', addresses=attrs.asdict(self.addresses))
        tasks = [
            asyncio.create_task(self.config_feed.run()),
            asyncio.create_task(self.election.run()),
            asyncio.create_task(self._flush_logs()),
            asyncio.create_task(self.metrics.watch_lag()),
        ]
        stopped = asyncio.create_task(self._stop.wait())
        await asyncio.wait(
            [stopped, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        await self._shut_down(tasks)

    # Signals, start and stop.

    def _catch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        # Nothing in the settings may change while a process runs; a new
        # file takes effect at the next start.
        logs.lifecycle('reload')

    async def _listen(self) -> None:
        caller_door = gateway.Gateway(
            self.context.store,
            self.network,
            self.election,
            self.context.current_config,
            self.leading.current,
            self.form,
            self.metrics.answered,
        )
        answers = peerhandlers.PeerHandlers(
            self.context.store,
            self.network,
            self.advisor,
            self.leading.advice_client,
            self.leading.current,
            self.leading.followers,
            relayserver.RelayServer(self.context.connect),
        )
        inner = peers.PeerServer(answers.handlers())
        await self._serve(self.addresses.peer, inner.handle)
        await self._serve(self.addresses.ready, self._ready)
        await self._serve(self.addresses.metrics, self._observe)
        await self._serve(self.addresses.front, caller_door.handle)

    async def _serve(self, address: str, handler: httpserver.Handler) -> None:
        server = httpserver.Server(handler)
        host, _, port = address.rpartition(':')
        await server.start(host, int(port))
        self._servers.append(server)

    async def _shut_down(self, tasks: list[asyncio.Task]) -> None:
        logs.lifecycle('stop')
        self._stopping = True
        self.election.stopping = True
        self.leading.stop()
        front = self._servers[-1]
        front.begin_drain()
        linger = min(ROTATION_LAG, max(0, self.grace - STOP_MARGIN * 2))
        await asyncio.sleep(linger)
        await front.stop(max(0.1, self.grace - linger - STOP_MARGIN))
        for task in tasks:
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        for server in self._servers[:-1]:
            await server.stop(0)
        for outcome in outcomes:
            if isinstance(outcome, Exception):
                raise outcome

    async def _flush_logs(self) -> None:
        while True:
            await asyncio.sleep(LOG_FLUSH)
            logs.SINK.drain()

    # Readiness and metrics.

    async def _ready(self, req: httpmessage.Request) -> httpmessage.Reply:
        if req.path != self.addresses.ready_path:
            return httpmessage.problem_reply(
                http.HTTPStatus.NOT_FOUND, 'not here'
            )
        if not self._is_ready():
            return httpmessage.problem_reply(
                http.HTTPStatus.SERVICE_UNAVAILABLE, 'not ready'
            )
        return httpmessage.json_reply(http.HTTPStatus.OK, {})

    def _is_ready(self) -> bool:
        return self._can_serve() and not self._stopping

    def _can_serve(self) -> bool:
        """Say whether a caller is better served here than elsewhere.

        A host that is cut off from the store and from the leader can accept
        nothing; the balancer may know another that can.
        """
        if self.config_feed.text is None:
            return False
        if self.config_feed.reaches_store() or self.election.greeted:
            return True
        return self.leading.current() is not None

    async def _observe(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer operators: the host's state, or its metrics as text."""
        if req.path == STATE_PATH:
            ready = self._is_ready()
            plain = self._page.describe(ready=ready)
            return httpmessage.json_reply(http.HTTPStatus.OK, plain)
        self.leading.observe()
        body = self.metrics.render()
        return httpmessage.Reply(http.HTTPStatus.OK, body, 'text/plain')
