"""Lets peers call workers where the leader is short of processor time.

Calls to one worker go through one deputy, in batches; what a deputy leaves
unanswered is unanswered for the leader, and the worker's next call goes
another way.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import math
import random
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, interfaces, logs, relaycodec

WORKERS_PER_CORE = 80  # that a leader calls itself
WORKERS_PER_DEPUTY = 20  # a tenth of a core at five starts a second each
EXCHANGE_COST = 0.0004  # seconds of a whole core, at the leader
EXCHANGE_SHARE = 0.3  # of the leader's processor time, at most
LEAST_PAUSE = 0.04  # seconds between two exchanges with a deputy
EXCHANGE_TIMEOUT = 0.8  # seconds
ORDER_LIMIT = 1.6  # seconds for an order: two exchanges, a worker's answer
HOLD_SLACK = 1.6  # seconds beyond the wait that a hold asked for
MOST_FAILURES = 2  # exchanges in a row after which a deputy is left
AVOID = 3.0  # seconds that a deputy which failed is left alone
SESSION_BITS = 64

Exchange = abc.Callable[[str, dict, float], abc.Awaitable[dict]]


@attrs.define(eq=False)
class Route:
    """Calls through one deputy."""

    address: str
    exchange: Exchange
    pause: abc.Callable[[], float]
    failed: bool = False
    payloads: relaycodec.Payloads = attrs.field(factory=relaycodec.Payloads)
    _session: str = attrs.field(
        factory=lambda: f'{random.getrandbits(SESSION_BITS):016x}'
    )
    _begun: bool = False
    _taken: int = 0
    _outbox: list = attrs.field(factory=list)
    _waiting: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _numbers: abc.Iterator[int] = attrs.field(factory=itertools.count)

    async def call(self, row: list, limit: float) -> list:
        """Have a call made; raises ``UnreachableError`` without an answer."""
        if self.failed:
            raise errors.UnreachableError(f'{self.address} helps no more')
        number = next(self._numbers)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        self._outbox.append([number, *row])
        try:
            async with asyncio.timeout(limit):
                return await fut
        except TimeoutError:
            raise errors.UnreachableError(
                f'no answer through {self.address} in {limit} s'
            ) from None
        finally:
            self._waiting.pop(number, None)

    async def run(self) -> None:
        """Exchange calls and answers until the deputy fails."""
        failures = 0
        try:
            while failures < MOST_FAILURES:
                await asyncio.sleep(self.pause())
                if self._waiting:
                    failures = await self._try(failures)
        finally:
            self._fail()

    async def _try(self, failures: int) -> int:
        """Exchange once; return how many exchanges have failed in a row."""
        try:
            await self._exchange()
        except errors.JujubebendError as exc:
            logs.belief('deputy_failed', deputy=self.address, why=str(exc))
            gone = isinstance(exc, errors.RefusedConnectionError)
            return MOST_FAILURES if gone else failures + 1
        return 0

    async def _exchange(self) -> None:
        batch = list(self._outbox)
        before = set(self._waiting) - {row[0] for row in batch}
        plain = {
            'session': self._session,
            'calls': batch,
            'taken': self._taken,
        }
        told = await self.exchange(self.address, plain, EXCHANGE_TIMEOUT)
        self._outbox = self._outbox[len(batch) :]
        if told['fresh'] and self._begun:
            # The deputy began anew: it knows nothing of earlier calls.
            self._give_up(before)
            self._taken = 0
            self.payloads = relaycodec.Payloads()
        self._begun = True
        self._taken += len(told['answers'])
        for number, answer in told['answers']:
            fut = self._waiting.get(number)
            if fut is not None and not fut.done():
                fut.set_result(answer)

    def _fail(self) -> None:
        self.failed = True
        self._give_up(set(self._waiting))

    def _give_up(self, numbers: abc.Iterable[int]) -> None:
        for number in numbers:
            fut = self._waiting.get(number)
            if fut is not None and not fut.done():
                exc = errors.UnreachableError(f'{self.address} failed')
                fut.set_exception(exc)


@attrs.define(eq=False)
class Router:
    """Chooses the way to each worker: direct, or through a deputy."""

    connect: abc.Callable[[str, str], interfaces.WorkerCalls]
    exchange: Exchange
    peers: abc.Callable[[], abc.Sequence[str]]
    spawn: abc.Callable[[abc.Coroutine], None]
    cores: float
    workers: set[str] = attrs.field(factory=set)
    _routes: dict[str, Route] = attrs.field(factory=dict)
    _chosen: dict[str, str] = attrs.field(factory=dict)
    _avoided: dict[str, float] = attrs.field(factory=dict)

    def connect_worker(
        self, worker: str, address: str
    ) -> interfaces.WorkerCalls:
        """Return the calls to a worker, whichever way they go."""
        self.workers.add(worker)
        return _Relayed(worker, address, self)

    def route(self, worker: str) -> Route | None:
        """Return the worker's route, None where it is called directly."""
        if len(self.workers) <= WORKERS_PER_CORE * self.cores:
            return None
        made = self._routes.get(self._chosen.get(worker, ''))
        if made is not None and not made.failed:
            return made
        return self._choose(worker)

    def leave(self, worker: str, route: Route) -> None:
        """Choose another route for a worker that this one did not reach."""
        if self._chosen.get(worker) == route.address:
            self._chosen.pop(worker)
        if route.failed:
            self._avoided[route.address] = clock.now() + AVOID
            # By now another route may lead through the same deputy.
            self._routes = {
                address: one
                for address, one in self._routes.items()
                if one is not route
            }

    def pause(self) -> float:
        """Return the seconds between two exchanges with one deputy."""
        cost = EXCHANGE_COST * len(self._routes)
        return max(LEAST_PAUSE, cost / (EXCHANGE_SHARE * self.cores))

    def _choose(self, worker: str) -> Route | None:
        now = clock.now()
        able = [
            address
            for address in self.peers()
            if now >= self._avoided.get(address, 0)
        ]
        wanted = math.ceil(len(self.workers) / WORKERS_PER_DEPUTY)
        able = able[:wanted]
        if not able:
            return None
        loads = collections.Counter(self._chosen.values())
        address = min(able, key=lambda one: (loads[one], random.random()))
        self._chosen[worker] = address
        return self._open(address)

    def _open(self, address: str) -> Route:
        made = self._routes.get(address)
        if made is None or made.failed:
            made = Route(address, self.exchange, self.pause)
            self._routes[address] = made
            self.spawn(made.run())
        return made


@attrs.define(eq=False)
class _Relayed:
    """The calls to one worker; see ``interfaces.WorkerCalls``."""

    worker: str
    address: str
    router: Router
    _direct: interfaces.WorkerCalls | None = None

    async def start(
        self, order: interfaces.StartOrder
    ) -> interfaces.OrderResult:
        """Order a start."""
        route = self.router.route(self.worker)
        if route is None:
            return await self._calls().start(order)
        row = relaycodec.start_row(order, route.payloads)
        return await self._ask(route, relaycodec.START, row, ORDER_LIMIT)

    async def stop(self, task, run: int, token: int) -> interfaces.OrderResult:
        """Order a stop."""
        route = self.router.route(self.worker)
        if route is None:
            return await self._calls().stop(task, run, token)
        row = [relaycodec.name_row(task), run, token]
        return await self._ask(route, relaycodec.STOP, row, ORDER_LIMIT)

    async def pace(
        self, task, run: int, percent: int, token: int
    ) -> interfaces.OrderResult:
        """Order a pace."""
        route = self.router.route(self.worker)
        if route is None:
            return await self._calls().pace(task, run, percent, token)
        row = [relaycodec.name_row(task), run, percent, token]
        return await self._ask(route, relaycodec.PACE, row, ORDER_LIMIT)

    async def renew_leases(
        self,
        token: int,
        seen: int,
        until: float | None,
        wait: float,
        *,
        list_runs: bool = True,
    ) -> interfaces.WorkerStatus | interfaces.OrderResult:
        """Extend leases and hear of ends."""
        route = self.router.route(self.worker)
        if route is None:
            return await self._calls().renew_leases(
                token, seen, until, wait, list_runs=list_runs
            )
        row = [token, seen, until, wait, list_runs]
        return await self._ask(route, relaycodec.HOLD, row, wait + HOLD_SLACK)

    async def close(self) -> None:
        """Close the direct connections; the worker is called no more."""
        self.router.workers.discard(self.worker)
        if self._direct is not None:
            await self._direct.close()

    def _calls(self) -> interfaces.WorkerCalls:
        if self._direct is None:
            self._direct = self.router.connect(self.worker, self.address)
        return self._direct

    async def _ask(
        self, route: Route, kind: str, row: list, limit: float
    ) -> interfaces.WorkerStatus | interfaces.OrderResult:
        try:
            answer = await route.call(
                [kind, self.worker, self.address, *row], limit
            )
            return relaycodec.read(answer)
        except errors.UnreachableError:
            self.router.leave(self.worker, route)
            raise
