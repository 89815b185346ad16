"""The conversation with one worker: holds that wait for ends, and orders."""

from __future__ import annotations

import asyncio
import random
from collections import abc
from typing import Protocol

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, fleet, interfaces, jobtable, logs

HOLD_WAIT = 1.0  # seconds that a hold waits for an end; the worker allows 2
LIST_EVERY = 0.4  # seconds between two readings of all that runs
HOLD_PAUSE = 0.4  # seconds between holds while ends wait to be stored
RETRY_PAUSE = 0.25  # seconds after a call without an answer
START_LIFE = 3.0  # seconds; a start carried out later is refused as late
START_TRIES = 3  # orders of one start before it is withdrawn
STOP_PAUSE = 0.2  # seconds between two orders of a stop
TOKENS_PER_EPOCH = 64  # lives of one worker that one leader tells apart


class Listener(Protocol):
    """What the leader does with what a worker says."""

    def may_order(self) -> bool:
        """Say whether this leader may still give orders."""
        ...

    async def looked(
        self, worker: fleet.Worker, look: interfaces.WorkerStatus, sent: float
    ) -> bool:
        """Take a look; True once all that it told is stored."""
        ...

    def life_ended(self, worker: fleet.Worker, why: str) -> None:
        """Hear that nothing of the worker's former life runs any more."""
        ...

    def life_began(self, worker: fleet.Worker, why: str) -> None:
        """Hear that a worker has begun a new life under its ID."""
        ...

    def fenced(self, worker: fleet.Worker) -> None:
        """Hear that a worker has seen a later leader."""
        ...


@attrs.define(eq=False)
class Link:
    """Talks to one worker until cancelled or ``stopped``.

    ``lives`` counts the new lives of the worker that this leader has seen.
    """

    worker: fleet.Worker
    connect: abc.Callable[[str, str], interfaces.WorkerCalls]
    listener: Listener
    epoch: int
    lease: float
    orphaned_until: float
    calls: interfaces.WorkerCalls = attrs.field(init=False)
    seen: int = 0
    lives: int = 0
    stopped: bool = False
    _former: list[interfaces.WorkerCalls] = attrs.field(factory=list)
    _cleared: bool = False
    _listed_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Open the first connection on demand."""
        entry = self.worker.entry
        self.calls = self.connect(entry.worker, entry.address)
        self._renew_token()

    async def run(self) -> None:
        """Hold the worker's leases and hear of ends until cancelled."""
        try:
            while not self.stopped:
                while self._former:
                    await self._former.pop().close()
                if not self.listener.may_order():
                    await asyncio.sleep(RETRY_PAUSE)
                    continue
                await self._hold()
        finally:
            await self.calls.close()

    def moved(self, entry: interfaces.WorkerEntry) -> None:
        """Take a newer entry of the worker, perhaps of another life."""
        old = self.worker.entry
        if entry.born != old.born:
            self._begin_life(entry.born, 'its entry tells of a new life')
        self.worker.entry = entry
        if entry.address != old.address:
            self._former.append(self.calls)
            self.calls = self.connect(entry.worker, entry.address)

    async def start(
        self, task: jobtable.Task, ticket: str
    ) -> interfaces.OrderResult | None:
        """Order a start; None where its fate is not known."""
        run = task.run
        for _ in range(START_TRIES):
            now = clock.now()
            until = self.worker.lease_until(now, START_LIFE)
            if until is None or not task.stands(run) or task.stopping:
                return None
            order = interfaces.StartOrder(
                task=task.name,
                run=run,
                payload=task.group.job.spec.payload,
                until=until,
                token=self.worker.token,
                checkpoint=task.checkpoint,
                ticket=ticket,
            )
            try:
                return await self.calls.start(order)
            except errors.UnreachableError as exc:
                logs.run_decision(
                    'start_unanswered',
                    task.name,
                    run,
                    self.worker.name,
                    why=str(exc),
                )
        return None

    async def stop(self, task: jobtable.Task) -> None:
        """Order a stop until the worker answers or the run is over."""
        run, worker = task.run, self.worker
        while task.stands(run) and task.worker == worker.name:
            if not self.listener.may_order():
                await asyncio.sleep(STOP_PAUSE)
                continue
            try:
                verdict = await self.calls.stop(task.name, run, worker.token)
            except errors.UnreachableError:
                await asyncio.sleep(STOP_PAUSE)
                continue
            if verdict is interfaces.OrderResult.UNHEALTHY:
                await asyncio.sleep(STOP_PAUSE)
                continue
            if task.run == run:
                task.answered_at = clock.now()
            return

    async def pace(self, task: jobtable.Task, percent: int) -> None:
        """Order a pace; one that is not accepted is ordered again later."""
        run = task.run
        try:
            verdict = await self.calls.pace(
                task.name, run, percent, self.worker.token
            )
        except errors.UnreachableError as exc:
            logs.run_decision(
                'pace_unanswered',
                task.name,
                run,
                self.worker.name,
                why=str(exc),
            )
            return
        if verdict is interfaces.OrderResult.ACCEPTED and task.run == run:
            task.paced = percent

    async def drop(self, running: interfaces.ActiveRun) -> None:
        """Stop a run that the book does not know."""
        try:
            await self.calls.stop(running.task, running.run, self.worker.token)
        except errors.UnreachableError as exc:
            logs.run_decision(
                'stop_unanswered',
                running.task,
                running.run,
                self.worker.name,
                why=str(exc),
            )

    async def _hold(self) -> None:
        worker = self.worker
        sent = clock.now()
        until = None
        if worker.unreached_since is None:
            until = worker.lease_until(sent, self.lease)
        # A silent worker may still hear us: without an end to its leases,
        # what it runs could never be started elsewhere.
        # The first look brings the clock, and a stored end must be
        # acknowledged before the worker would wait for another.
        wait = HOLD_WAIT if self._cleared and worker.reached else 0
        list_runs = not self._cleared or sent - self._listed_at > LIST_EVERY
        try:
            answer = await self.calls.renew_leases(
                worker.token, self.seen, until, wait, list_runs=list_runs
            )
        except errors.UnreachableError as exc:
            # A refused connection proves nothing: a cut path may refuse too.
            await self._silent(str(exc))
            return
        if isinstance(answer, interfaces.OrderResult):
            await self._turned_away(answer)
            return
        await self._looked(answer, sent)

    async def _looked(self, look: interfaces.WorkerStatus, sent: float) -> None:
        worker = self.worker
        received = clock.now()
        if look.born and look.born != worker.entry.born:
            self._begin_life(look.born, 'it answers as a new life')
        worker.read_clock(look.clock, sent, received)
        if look.running is not None:
            self._listed_at = sent
        worker.unreached_since = None
        if not worker.reached:
            worker.reached = True
            logs.belief('worker_reached', worker=worker.name, born=look.born)
        last = max((end.number for end in look.ended), default=self.seen)
        life = worker.entry.born
        stored = asyncio.ensure_future(self.listener.looked(worker, look, sent))
        stored.add_done_callback(_log_failure)
        done, _ = await asyncio.wait({stored}, timeout=HOLD_PAUSE)
        self._cleared = bool(done) and stored.result()
        if self._cleared and worker.entry.born == life:
            self.seen = max(self.seen, last)

    async def _silent(self, why: str) -> None:
        worker = self.worker
        now = clock.now()
        self._note_unreached(why)
        if worker.clock_read is None:
            lapsed = now > self.orphaned_until
        else:
            lapsed = worker.is_lapsed(now)
        if lapsed and worker.tasks:
            self.listener.life_ended(worker, 'every lease given has lapsed')
        await asyncio.sleep(RETRY_PAUSE * random.uniform(0.5, 1))

    async def _turned_away(self, verdict: interfaces.OrderResult) -> None:
        if verdict is interfaces.OrderResult.FENCED:
            self.listener.fenced(self.worker)
        if verdict is interfaces.OrderResult.OTHER_INCARNATION:
            self.worker.reached = False
            self.listener.life_ended(self.worker, 'another worker answers')
        self._note_unreached(verdict.value)
        await asyncio.sleep(RETRY_PAUSE)

    def _note_unreached(self, why: str) -> None:
        worker = self.worker
        self._cleared = False
        if worker.unreached_since is None:
            worker.unreached_since = clock.now()
            logs.belief('worker_unreached', worker=worker.name, why=why)
        worker.reached = False

    def _begin_life(self, born: int, why: str) -> None:
        worker = self.worker
        logs.belief(
            'worker_reborn',
            worker=worker.name,
            born=born,
            before=worker.entry.born,
            why=why,
        )
        worker.entry = attrs.evolve(worker.entry, born=born)
        worker.clock_read = None
        worker.leased_until = 0
        worker.reached = False
        self.seen = 0
        self._cleared = False
        self.lives += 1
        self._renew_token()
        self.listener.life_began(worker, why)

    def _renew_token(self) -> None:
        # A later life has seen no token: a higher one keeps orders that
        # were meant for the former life out once it has been looked at.
        lives = min(self.lives, TOKENS_PER_EPOCH - 1)
        self.worker.token = self.epoch * TOKENS_PER_EPOCH + lives


def _log_failure(stored: asyncio.Future) -> None:
    if stored.cancelled():
        return
    exc = stored.exception()
    # A deposed leader hears of it from its committer as well.
    if exc is not None and not isinstance(exc, errors.FencedError):
        logs.lifecycle('error', what=repr(exc))
