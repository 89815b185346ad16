"""One host's daemon: its servers, its place in the election, its stop."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    advicedesk,
    cell,
    clock,
    committer,
    door,
    elector,
    feed,
    jobspec,
    logs,
    measures,
    peers,
    ports,
    term,
)
from jujubebend_http import httpmessage, httpserver

PEER_SILENCE = 2.5  # seconds after its last hello that a peer may still help
ROTATION_LAG = 2.6  # seconds until the balancer has noticed a host not ready
STOP_MARGIN = 0.8  # seconds of the grace period left for closing down
STORE_STALE = 3.0  # seconds without the store or a leader: not ready


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
    """Owns everything that runs on one host."""

    host: str
    addresses: Addresses
    around: cell.Surroundings
    advisor: ports.Advisor | None
    form: door.CallerFormat
    text_key: str
    text_prefix: str
    parse_text: abc.Callable[[bytes], jobspec.Text]
    grace: float
    text: jobspec.Text | None = None
    term: term.Term | None = None
    numbers: measures.Measures = attrs.field(factory=measures.Measures)
    desk: advicedesk.AdviceDesk = attrs.field(factory=advicedesk.AdviceDesk)
    network: peers.Peers = attrs.field(init=False)
    election: elector.Elector = attrs.field(init=False)
    text_feed: feed.Feed = attrs.field(init=False)
    _helpers: dict[str, float] = attrs.field(factory=dict)
    _servers: list[httpserver.Server] = attrs.field(factory=list)
    _stop: asyncio.Event = attrs.field(factory=asyncio.Event)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Put the parts together."""
        store = self.around.store
        self.network = peers.Peers(self.host, self.addresses.peer)
        self.election = elector.Elector(store, self.network, self._lead)
        self.text_feed = feed.Feed(store, self.text_prefix, self._take_text)

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        self._catch_signals()
        await self._listen()
        logs.lifecycle('start', addresses=attrs.asdict(self.addresses))
        tasks = [
            asyncio.create_task(self.text_feed.run()),
            asyncio.create_task(self.election.run()),
            asyncio.create_task(self._flush_logs()),
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
        caller_door = door.Door(
            self.around.store,
            self.network,
            self.election,
            lambda: self.text,
            lambda: self.term,
            self.form,
            self.numbers.answered,
        )
        inner = peers.PeerServer({
            'hello': self._on_hello,
            'state': self._on_state,
            'count': self._on_count,
            'store': self._on_store,
            'advise': self._on_advise,
        })
        await self._serve(self.addresses.peer, inner.handle)
        await self._serve(self.addresses.ready, self._ready)
        await self._serve(self.addresses.metrics, self._metrics)
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
        if self.term is not None:
            self.term.resign()
        front = self._servers[-1]
        front.begin_stop()
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
            await asyncio.sleep(0.2)
            logs.SINK.drain()

    # Leading.

    async def _lead(self, commits: committer.Committer) -> None:
        self.term = term.begin(self.around, commits, self.desk)
        if self._stopping:
            return
        self.desk.callers.clear()
        if self.advisor is not None:
            self.desk.callers[self.addresses.peer] = advicedesk.Caller(
                self.addresses.peer, self.advisor.advise
            )
        try:
            await self.term.run()
        finally:
            self.term = None

    def _take_text(self, key: str, item: ports.Item | None) -> None:
        if key != self.text_key or item is None or item.body is None:
            return
        try:
            text = self.parse_text(item.body)
        except (ValueError, KeyError, TypeError) as exc:
            logs.lifecycle('error', what=f'{key}: {exc!r}')
            return
        if self.text is None or text.version > self.text.version:
            self.text = text
            logs.belief('text', version=text.version, queues=len(text.queues))

    # What peers ask.

    async def _on_hello(self, plain: dict) -> dict:
        speaks = self.term is not None and self.term.speaks()
        if self.term is not None:
            self._take_helper(plain['address'])
        epoch, silence = 0, 0.0
        if self.term is not None:
            epoch = self.term.cell.commits.record.epoch
            silence = clock.now() - self.term.cell.commits.committed_at
        return {'epoch': epoch, 'speaks': speaks, 'silence': silence}

    def _take_helper(self, address: str) -> None:
        now = clock.now()
        self._helpers[address] = now
        if self.advisor is not None and address not in self.desk.callers:
            self.desk.callers[address] = advicedesk.Caller(
                address,
                lambda step, workers, wait: self.network.advise(
                    address, step, workers, wait
                ),
            )
        for known, seen in list(self._helpers.items()):
            if now - seen > PEER_SILENCE:
                del self._helpers[known]
                self.desk.callers.pop(known, None)

    async def _on_state(self, plain: dict) -> dict:
        state = self._speaking_term().state_of(plain['job'])
        return {'state': state.value if state is not None else ''}

    async def _on_count(self, plain: dict) -> dict:
        return {'waiting': self._speaking_term().count_waiting(plain['queue'])}

    def _speaking_term(self) -> term.Term:
        if self.term is None or not self.term.speaks():
            raise errors.RefusedError('this host does not lead')
        return self.term

    async def _on_store(self, plain: dict) -> dict:
        wanted = ports.Transaction(
            expects={plain['key']: 0},
            puts={plain['key']: plain['body'].encode()},
        )
        try:
            await self.around.store.commit(wanted)
        except errors.ConflictError:
            return {'created': False}
        return {'created': True}

    async def _on_advise(self, plain: dict) -> dict:
        if self.advisor is None:
            raise errors.RefusedError('no advice service is set')
        good = await self.advisor.advise(
            plain['step'], plain['workers'], plain['wait']
        )
        return {'good': good}

    # Readiness and metrics.

    async def _ready(self, req: httpmessage.Request) -> httpmessage.Reply:
        if req.path != self.addresses.ready_path:
            return httpmessage.problem(404, 'not here')
        if self._stopping or self.text is None:
            return httpmessage.problem(503, 'not ready')
        return httpmessage.json_reply(200, {})

    async def _metrics(self, req: httpmessage.Request) -> httpmessage.Reply:
        with contextlib.suppress(AttributeError):
            self.numbers.observe_term(self.term)
        return httpmessage.Reply(200, self.numbers.render(), 'text/plain')
