"""Routes a leader's calls to workers, directly or through relays.

A leader that is short of processor time calls workers through other hosts.
Calls to one worker go through one relay, in batches. A call that a relay
leaves unanswered counts as unanswered by the worker, and the worker's next
call takes another route.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import math
import random
from collections import abc

import attrs

from jujubebend import decoding, errors
from jujubebend_cluster import clock, interfaces, jobspec, logs, relaycodec

WORKERS_PER_CORE = 80  # called directly; with more, relays call them all
WORKERS_PER_RELAY = 20  # cost 0.1 cores at five starts per second each
EXCHANGE_COST_S = 0.0004  # of one core, at the leader
MAX_EXCHANGE_SHARE = 0.3  # of the leader's processor time
MIN_EXCHANGE_INTERVAL_S = 0.02  # with few relays
EXCHANGE_TIMEOUT_S = 0.8
ORDER_TIMEOUT_S = 1.6  # two exchanges and the worker's answer
RENEWAL_SLACK_S = 1.6  # beyond the wait that a lease renewal asked for
MAX_FAILURES = 2  # consecutive failed exchanges before a relay is dropped
FAILED_RELAY_BACKOFF_S = 3.0
# Between two looks at the list of relays. A new leader knows few at first.
ASSIGNMENT_INTERVAL_S = 0.5
SESSION_BITS = 64

Exchange = abc.Callable[[str, dict, float], abc.Awaitable[dict]]


@attrs.define(eq=False)
class Route:
    """Route to workers through one relay.

    ``exchange_interval`` returns the seconds between two exchanges.
    """

    address: str
    exchange: Exchange
    exchange_interval: abc.Callable[[], float]
    has_failed: bool = False
    payloads: relaycodec.PayloadCache = attrs.field(
        factory=relaycodec.PayloadCache
    )
    _session: str = attrs.field(
        factory=lambda: f'{random.getrandbits(SESSION_BITS):016x}'
    )
    _has_session: bool = False
    _received: int = 0
    _outbox: list = attrs.field(factory=list)
    _pending: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _call_numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    async def call(self, row: list, timeout: float) -> list:
        """Make a call through the relay and return its answer.

        Raises ``UnreachableError`` if none arrives within ``timeout`` seconds.
        """
        if self.has_failed:
            raise errors.UnreachableError(f'relay {self.address} has failed')
        number = next(self._call_numbers)
        fut = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        self._outbox.append([number, *row])
        try:
            async with asyncio.timeout(timeout):
                return await fut
        except TimeoutError:
            raise errors.UnreachableError(
                f'no answer through relay {self.address} within {timeout} s'
            ) from None
        finally:
            self._pending.pop(number, None)

    async def run(self) -> None:
        """Exchange calls and answers until the relay fails."""
        failures = 0
        try:
            while failures < MAX_FAILURES:
                await asyncio.sleep(self.exchange_interval())
                if self._pending:
                    failures = await self._try_exchange(failures)
        finally:
            self._mark_failed()

    async def _try_exchange(self, failures: int) -> int:
        """Exchange once; return the number of consecutive failures."""
        try:
            await self._exchange_calls()
        except errors.JujubebendError as exc:
            logs.belief('deputy_failed', deputy=self.address, why=str(exc))
            is_refused = isinstance(exc, errors.RefusedConnectionError)
            return MAX_FAILURES if is_refused else failures + 1
        return 0

    async def _exchange_calls(self) -> None:
        batch = list(self._outbox)
        earlier_calls = set(self._pending) - {row[0] for row in batch}
        document = {
            'session': self._session,
            'calls': batch,
            'taken': self._received,
        }
        reply = await self.exchange(self.address, document, EXCHANGE_TIMEOUT_S)
        with decoding.reply_from(f'relay {self.address}'):
            is_fresh = bool(reply['fresh'])
            answers = [
                (decoding.to_count(number), answer)
                for number, answer in reply['answers']
            ]
        self._outbox = self._outbox[len(batch) :]
        if is_fresh and self._has_session:
            # The relay restarted and has lost the earlier calls.
            self._fail_calls(earlier_calls)
            self._received = 0
            self.payloads = relaycodec.PayloadCache()
        self._has_session = True
        self._received += len(answers)
        for number, answer in answers:
            fut = self._pending.get(number)
            if fut is not None and not fut.done():
                fut.set_result(answer)

    def _mark_failed(self) -> None:
        self.has_failed = True
        self._fail_calls(set(self._pending))

    def _fail_calls(self, numbers: abc.Iterable[int]) -> None:
        for number in numbers:
            fut = self._pending.get(number)
            if fut is not None and not fut.done():
                exc = errors.UnreachableError(f'relay {self.address} failed')
                fut.set_exception(exc)


@attrs.define(eq=False)
class Router:
    """Chooses the route to each worker: direct, or through a relay.

    ``list_relays`` returns the addresses of usable relays, the preferred first.
    ``cores`` is how many cores a leader on this host can make use of, see
    ``hostcapacity``. ``workers`` holds the IDs of the workers in use.

    Each worker has one relay at a time, by ``_relay_by_worker``; ``_loads``
    counts the workers of each relay.
    """

    connect_directly: abc.Callable[[str, str], interfaces.WorkerCalls]
    exchange: Exchange
    list_relays: abc.Callable[[], abc.Sequence[str]]
    spawn: abc.Callable[[abc.Coroutine], None]
    cores: float
    workers: set[str] = attrs.field(factory=set)
    _routes: dict[str, Route] = attrs.field(factory=dict)
    _relay_by_worker: dict[str, str] = attrs.field(factory=dict)
    _avoided_until: dict[str, float] = attrs.field(factory=dict)
    _loads: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _candidates: abc.Sequence[str] = ()
    _candidates_listed_at: float = -math.inf

    def connect_worker(
        self, worker: str, address: str
    ) -> interfaces.WorkerCalls:
        """Return the calls to a worker, made by its current route."""
        self.workers.add(worker)
        return _RoutedWorker(worker, address, self)

    def route_to(self, worker: str) -> Route | None:
        """Return the worker's route, None if it is called directly."""
        if len(self.workers) <= WORKERS_PER_CORE * self.cores:
            return None
        self._update_candidates()
        address = self._relay_by_worker.get(worker, '')
        route = self._routes.get(address)
        is_usable = route is not None and not route.has_failed
        if is_usable and not self._is_overloaded(address):
            return route
        return self._choose_route(worker)

    def remove_worker(self, worker: str) -> None:
        """Forget a worker that is not called again."""
        self.workers.discard(worker)
        self._assign(worker, '')

    def drop_route(self, worker: str, route: Route) -> None:
        """Drop a route that did not reach a worker; another will be chosen."""
        if self._relay_by_worker.get(worker) == route.address:
            self._assign(worker, '')
        if route.has_failed:
            self._avoided_until[route.address] = (
                clock.now() + FAILED_RELAY_BACKOFF_S
            )
            # A new route through the same relay may have replaced it by now.
            self._routes = {
                address: other_route
                for address, other_route in self._routes.items()
                if other_route is not route
            }

    def exchange_interval(self) -> float:
        """Return the seconds between two exchanges with one relay."""
        cost = EXCHANGE_COST_S * len(self._routes)
        return max(
            MIN_EXCHANGE_INTERVAL_S, cost / (MAX_EXCHANGE_SHARE * self.cores)
        )

    def _update_candidates(self) -> None:
        """List the relays to choose from, at intervals or if there is none."""
        now = clock.now()
        elapsed = now - self._candidates_listed_at
        if self._candidates and elapsed < ASSIGNMENT_INTERVAL_S:
            return
        relay_count = math.ceil(len(self.workers) / WORKERS_PER_RELAY)
        usable = [
            address
            for address in self.list_relays()
            if now >= self._avoided_until.get(address, 0)
        ]
        self._candidates = usable[:relay_count]
        self._candidates_listed_at = now

    def _is_overloaded(self, address: str) -> bool:
        """Return whether a relay has more than its share of the workers."""
        if not self._candidates:
            return False
        share = math.ceil(len(self.workers) / len(self._candidates))
        return self._loads[address] > share

    def _choose_route(self, worker: str) -> Route | None:
        now = clock.now()
        candidates = [
            address
            for address in self._candidates
            if now >= self._avoided_until.get(address, 0)
        ]
        if not candidates:
            return None
        address = min(
            candidates, key=lambda peer: (self._loads[peer], random.random())
        )
        self._assign(worker, address)
        return self._open_route(address)

    def _assign(self, worker: str, address: str) -> None:
        """Assign a worker to a relay, or to none if ``address`` is empty."""
        former_address = self._relay_by_worker.pop(worker, '')
        if former_address:
            self._loads[former_address] -= 1
        if address:
            self._relay_by_worker[worker] = address
            self._loads[address] += 1

    def _open_route(self, address: str) -> Route:
        route = self._routes.get(address)
        if route is None or route.has_failed:
            route = Route(address, self.exchange, self.exchange_interval)
            self._routes[address] = route
            self.spawn(route.run())
        return route


@attrs.define(eq=False)
class _RoutedWorker:
    """Routed calls to one worker; see ``interfaces.WorkerCalls``."""

    worker: str
    address: str
    router: Router
    _opened_calls: interfaces.WorkerCalls | None = None

    async def start(
        self, order: interfaces.StartOrder
    ) -> interfaces.OrderResult:
        """Order the start of a run."""
        route = self.router.route_to(self.worker)
        if route is None:
            return await self._direct_calls().start(order)
        row = relaycodec.encode_start(order, route.payloads)
        return await self._call_through_relay(
            route, relaycodec.START, row, ORDER_TIMEOUT_S
        )

    async def stop(
        self, task: jobspec.TaskName, run: int, token: int, incarnation: int
    ) -> interfaces.OrderResult:
        """Order a run to stop."""
        route = self.router.route_to(self.worker)
        if route is None:
            return await self._direct_calls().stop(
                task, run, token, incarnation
            )
        row = [relaycodec.encode_task_name(task), run, token, incarnation]
        return await self._call_through_relay(
            route, relaycodec.STOP, row, ORDER_TIMEOUT_S
        )

    async def pace(
        self,
        task: jobspec.TaskName,
        run: int,
        percent: int,
        token: int,
        incarnation: int,
    ) -> interfaces.OrderResult:
        """Limit a run to a percentage of its full speed."""
        route = self.router.route_to(self.worker)
        if route is None:
            return await self._direct_calls().pace(
                task, run, percent, token, incarnation
            )
        name = relaycodec.encode_task_name(task)
        row = [name, run, percent, token, incarnation]
        return await self._call_through_relay(
            route, relaycodec.PACE, row, ORDER_TIMEOUT_S
        )

    async def renew_leases(
        self, renewal: interfaces.Renewal
    ) -> interfaces.WorkerStatus | interfaces.OrderResult:
        """Extend leases, acknowledge ends and list runs."""
        route = self.router.route_to(self.worker)
        if route is None:
            return await self._direct_calls().renew_leases(renewal)
        row = list(attrs.astuple(renewal))
        return await self._call_through_relay(
            route, relaycodec.RENEW, row, renewal.wait + RENEWAL_SLACK_S
        )

    async def close(self) -> None:
        """Close the direct connections; the worker is not called again."""
        self.router.remove_worker(self.worker)
        if self._opened_calls is not None:
            await self._opened_calls.close()

    def _direct_calls(self) -> interfaces.WorkerCalls:
        if self._opened_calls is None:
            self._opened_calls = self.router.connect_directly(
                self.worker, self.address
            )
        return self._opened_calls

    async def _call_through_relay(
        self, route: Route, call_name: str, row: list, timeout: float
    ) -> interfaces.WorkerStatus | interfaces.OrderResult:
        try:
            answer = await route.call(
                [call_name, self.worker, self.address, *row], timeout
            )
            return relaycodec.decode_answer(answer)
        except errors.UnreachableError:
            self.router.drop_route(self.worker, route)
            raise
