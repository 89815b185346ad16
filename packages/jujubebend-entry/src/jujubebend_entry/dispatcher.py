"""Finds room for work, here or at a peer, and runs it there.

A request waits where it arrived. Room that a peer of the zone is known to
have is used at once; otherwise calls that wait at each peer stand for the
waiting work, and the best of it goes to whichever room comes free first.
"""

from __future__ import annotations

import asyncio
import random
import uuid

import attrs
import orjson

from jujubebend import (
    errors,
    membership,
    outcome,
    policy,
    queue,
    resources,
    retry,
)
from jujubebend_entry import grants, heartbeat, owner, peers, tasks
from jujubebend_platform import worker
from jujubebend_wire import entry_pb2

PROBE_PEERS = 2
WAITERS_PER_PEER = 4
PUMP_WAIT = 5.0
PUMP_PAUSE = 0.2
LEAST_TIME = 0.01
MILLI = 1000


@attrs.frozen
class Work:
    """What is to be run, before it has an attempt of its own.

    ``deadline`` is in seconds on the clock of this process.
    """

    service: str
    kind: str
    team: str
    demand: resources.Resources
    payload: object
    deadline: float
    placement_policy: policy.Policy = policy.Prompt()
    is_sheddable: bool = True

    def ticket(self, now: float) -> queue.Ticket:
        """Return a ticket for one attempt."""
        return queue.Ticket(
            uuid.uuid4().hex,
            self.kind,
            self.team,
            self.demand,
            self.placement_policy,
            self.deadline,
            now,
            is_sheddable=self.is_sheddable,
        )

    def task(self, attempt: str, home: str = '') -> worker.TaskStart:
        """Return what a worker is told for one attempt."""
        group = ''
        if isinstance(self.placement_policy, policy.Spread):
            group = self.placement_policy.group
        return worker.TaskStart(
            attempt,
            self.service,
            self.demand,
            self.payload,
            self.kind,
            self.team,
            group,
            home,
        )


@attrs.define(eq=False)
class Dispatcher:
    """Places work in the zone and runs it."""

    view: membership.View
    owner: owner.Owner
    peers: peers.Peers
    heartbeats: heartbeat.Heartbeats
    _rng: random.Random = attrs.field(factory=random.Random)
    _budgets: dict[tuple[str, str], retry.Budget] = attrs.field(factory=dict)
    _pumps: dict[str, int] = attrs.field(factory=dict)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    async def serve(self, work: Work) -> outcome.Outcome:
        """Run idempotent work to its end, trying again within the budget."""
        budget = self._budgets.setdefault(
            (work.team, work.service), retry.Budget()
        )
        budget.record_attempt()
        backoff = retry.Backoff(self._rng)
        has_run = False
        while True:
            ended = await self._serve_once(work)
            if isinstance(ended, outcome.Answered):
                return ended
            if isinstance(ended, outcome.NotRun) and ended.retry_after:
                return _honest(ended, has_run=has_run)
            has_run = has_run or not isinstance(ended, outcome.NotRun)
            wait = backoff.draw_wait()
            left = work.deadline - _now()
            if left <= wait or not budget.spend_retry():
                return _honest(ended, has_run=has_run)
            await asyncio.sleep(wait)

    async def place(self, work: Work) -> grants.Grant:
        """Hold room for one attempt.

        Raises ``errors.RefusedError`` when none came free in time or none
        ever could.
        """
        now = _now()
        left = work.deadline - now
        if left <= LEAST_TIME:
            raise errors.RefusedError('its deadline has passed')
        if work.is_sheddable:
            refusal = self.owner.queue.find_refusal(
                work.kind, work.team, left, now
            )
            if refusal is not None:
                raise errors.RefusedError(refusal.reason, refusal.retry_after)
        ticket = work.ticket(now)
        waiter = self.owner.enqueue(ticket)
        if not waiter.done():
            await self._probe(ticket, waiter)
        if not waiter.done():
            self.pump()
        return await self._await_grant(ticket, waiter, work.deadline)

    async def place_at(
        self, member: membership.Member, work: Work, wait: float
    ) -> grants.Grant | None:
        """Hold room at one host, which may be of another zone."""
        ticket = work.ticket(_now())
        if member is self.view.own:
            return await self.owner.reserve(ticket, wait)
        return await self._reserve_at(member, ticket, wait)

    def zone_capacities(self) -> set[resources.Resources]:
        """Return the sizes of the zone's workers, empty while not all known."""
        found = {
            place.capacity for place in self.owner.ledger.owned_workers.values()
        }
        for member in self._zone_peers():
            digest = self.heartbeats.digests.get(member.name)
            if digest is None:
                return set()
            found |= digest.capacities
        return found

    async def run(self, grant: grants.Grant, work: Work) -> outcome.Outcome:
        """Run unrecorded work on reserved room, to its end or deadline."""
        task = work.task(grant.id)
        try:
            async with asyncio.timeout_at(work.deadline):
                return await self._run_on(grant, task, work.deadline)
        except TimeoutError:
            self._group.spawn(self._stop_quietly(grant))
            return outcome.Unknown('its deadline passed while it ran')
        except asyncio.CancelledError:
            self._group.spawn(self._stop_quietly(grant))
            raise

    async def start(
        self,
        grant: grants.Grant,
        work: Work,
        home: str,
    ) -> outcome.NotRun | outcome.Unknown | None:
        """Start recorded work; its end is told to its home.

        Returns ``NotRun`` if it was certainly not started and ``Unknown``
        if its owner did not answer.
        """
        task = work.task(grant.id, home)
        if not grant.host:
            return await self.owner.start(task)
        return await self._run_remote(grant, task, peers.CALL_TIMEOUT)

    async def release(self, grant: grants.Grant) -> None:
        """Give back room that will not be used."""
        if not grant.host:
            self.owner.release(grant.id)
            return
        message = entry_pb2.ReservationName(id=grant.id)
        address = self._address(grant.host)
        try:
            await self.peers.call(
                address, 'Release', message, peers.CALL_TIMEOUT
            )
        except errors.UnreachableError:
            return

    async def stop(
        self, host: str, worker_name: str, attempt: str, *, checkpoint: bool
    ) -> None:
        """Stop an attempt through the owner of its worker."""
        if host in {'', self.view.own.name}:
            await self.owner.stop(worker_name, attempt, checkpoint=checkpoint)
            return
        query = entry_pb2.StopQuery(
            worker=worker_name, attempt=attempt, checkpoint=checkpoint
        )
        await self.peers.call(
            self._address(host), 'Stop', query, peers.CALL_TIMEOUT
        )

    async def close(self) -> None:
        """Stop what runs in the background."""
        await self._group.close()

    async def _serve_once(self, work: Work) -> outcome.Outcome:
        try:
            grant = await self.place(work)
        except errors.RefusedError as exc:
            return outcome.NotRun(exc.reason, exc.retry_after or 1)
        return await self.run(grant, work)

    async def _await_grant(
        self, ticket: queue.Ticket, waiter: asyncio.Future, deadline: float
    ) -> grants.Grant:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(waiter)
        except TimeoutError:
            if _has_grant(waiter):
                return waiter.result()
            self.owner.withdraw(ticket.id)
            raise errors.RefusedError('no room in time', 1) from None
        except asyncio.CancelledError:
            if _has_grant(waiter):
                self._group.spawn(self.release(waiter.result()))
            else:
                self.owner.withdraw(ticket.id)
            raise

    async def _probe(
        self, ticket: queue.Ticket, waiter: asyncio.Future
    ) -> None:
        """Use room at once that a peer of the zone is known to have."""
        known = [
            member
            for member in self._zone_peers()
            if self._has_room(member.name, ticket.demand)
        ]
        self._rng.shuffle(known)
        for member in known[:PROBE_PEERS]:
            grant = await self._reserve_at(member, ticket, 0)
            if grant is None:
                continue
            if waiter.done():
                await self.release(grant)
            else:
                self.owner.hand_over(ticket.id, grant)
            return

    def pump(self) -> None:
        """Let calls wait at each peer on behalf of what waits here."""
        own = len(self.owner.queue.handover_candidates())
        for member in self._zone_peers():
            count = self._pumps.get(member.name, 0)
            if count < min(WAITERS_PER_PEER, own):
                self._pumps[member.name] = count + 1
                self._group.spawn(self._pump_from(member))

    async def _pump_from(self, member: membership.Member) -> None:
        try:
            while self._is_staying(member):
                own = self.owner.queue.handover_candidates()
                if not own:
                    return
                turn = self._pumps[member.name] % len(own)
                await self._pump_once(member, own[turn])
        finally:
            self._pumps[member.name] -= 1

    async def _pump_once(
        self, member: membership.Member, best: queue.Ticket
    ) -> None:
        stand_in = attrs.evolve(best, id=uuid.uuid4().hex, is_waiting=True)
        grant = await self._reserve_at(member, stand_in, PUMP_WAIT)
        if grant is None:
            await asyncio.sleep(PUMP_PAUSE)
            return
        ticket = self.owner.queue.take_for_peer(
            best.kind, best.team, best.demand
        )
        if ticket is None or not self.owner.hand_over(ticket.id, grant):
            await self.release(grant)

    async def _reserve_at(
        self, member: membership.Member, ticket: queue.Ticket, wait: float
    ) -> grants.Grant | None:
        query = entry_pb2.ReserveQuery(
            id=uuid.uuid4().hex,
            kind=ticket.kind,
            team=ticket.team,
            demand=peers.to_amounts(ticket.demand),
            policy=type(ticket.placement_policy).__name__,
            group=getattr(ticket.placement_policy, 'group', ''),
            wait_ms=round(wait * MILLI),
            sender=self.view.own.name,
        )
        try:
            reply = await self.peers.call(
                member.address, 'Reserve', query, wait + peers.CALL_TIMEOUT
            )
        except errors.UnreachableError:
            return None
        room = peers.from_amounts(reply.largest_room)
        known = self.heartbeats.digests.get(member.name, heartbeat.Digest(room))
        self.heartbeats.digests[member.name] = attrs.evolve(known, room=room)
        if not reply.granted:
            return None
        return grants.Grant(
            reply.id, reply.worker, reply.boot, reply.epoch, member.name
        )

    async def _run_on(
        self, grant: grants.Grant, task: worker.TaskStart, deadline: float
    ) -> outcome.Outcome:
        if not grant.host:
            return await self.owner.run(task)
        return await self._run_remote(grant, task, deadline - _now())

    async def _run_remote(
        self, grant: grants.Grant, task: worker.TaskStart, timeout: float
    ) -> outcome.Outcome | None:
        plain = worker.converter.unstructure(task)
        query = entry_pb2.RunQuery(
            reservation=grant.id,
            attempt=grant.id,
            home=task.home,
            work_json=orjson.dumps(plain).decode(),
            deadline_ms=round(timeout * MILLI),
        )
        try:
            reply = await self.peers.call(
                self._address(grant.host), 'Run', query, timeout
            )
        except errors.UnreachableError as exc:
            return outcome.Unknown(str(exc))
        if not reply.outcome_json:
            return None
        return outcome.from_record(orjson.loads(reply.outcome_json))

    async def _stop_quietly(self, grant: grants.Grant) -> None:
        try:
            await self.stop(
                grant.host, grant.worker, grant.id, checkpoint=False
            )
        except errors.JujubebendError:
            return

    def _zone_peers(self) -> list[membership.Member]:
        own = self.view.own
        alive = self.view.alive(_now(), own.zone)
        return [member for member in alive if member.name != own.name]

    def _is_staying(self, member: membership.Member) -> bool:
        return any(one.name == member.name for one in self._zone_peers())

    def _has_room(self, name: str, demand: resources.Resources) -> bool:
        digest = self.heartbeats.digests.get(name)
        return digest is not None and demand.fits(digest.room)

    def _address(self, name: str) -> str:
        member = self.view.members.get(name)
        if member is None:
            raise errors.UnreachableError(f'host {name} is not known')
        return member.address


def _honest(ended: outcome.Outcome, *, has_run: bool) -> outcome.Outcome:
    """Never say that work was not run after an attempt that may have."""
    if has_run and isinstance(ended, outcome.NotRun):
        return outcome.Unknown(
            f'an earlier attempt may have run; {ended.reason}'
        )
    return ended


def _has_grant(waiter: asyncio.Future) -> bool:
    if not waiter.done() or waiter.cancelled():
        return False
    return waiter.exception() is None


def _now() -> float:
    return asyncio.get_running_loop().time()
