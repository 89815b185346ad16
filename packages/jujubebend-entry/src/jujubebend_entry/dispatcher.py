"""Placement of work on owned workers or at a peer, and its execution there.

A ticket waits at the host where it arrived. If a peer in the zone is known
to have enough free capacity, it is used at once. Otherwise this host keeps
reservation requests waiting at each peer on behalf of its waiting tickets,
and the first ticket in line gets whichever capacity becomes free first.
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
from jujubebend_entry import background, grants, heartbeat, owner, peers
from jujubebend_platform import worker
from jujubebend_wire import entry_pb2

MAX_PROBED_PEERS = 2
MAX_REQUESTS_PER_PEER = 4
PEER_RESERVE_WAIT_SECONDS = 5.0
PEER_RETRY_SECONDS = 0.2
MIN_TIME_LEFT_SECONDS = 0.01
MS_PER_SECOND = 1000


@attrs.frozen
class Work:
    """Work to be run, before an attempt is made of it.

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

    def make_ticket(self, now: float) -> queue.Ticket:
        """Return a queue ticket for a new attempt."""
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

    def make_task_start(self, attempt: str, home: str = '') -> worker.TaskStart:
        """Return the order that starts an attempt on a worker."""
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
    """Places work on a worker of the zone and runs it."""

    view: membership.View
    owner: owner.Owner
    peers: peers.Peers
    heartbeats: heartbeat.Heartbeats
    _rng: random.Random = attrs.field(factory=random.Random)
    _budgets: dict[tuple[str, str], retry.Budget] = attrs.field(factory=dict)
    _request_counts: dict[str, int] = attrs.field(factory=dict)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    async def run_with_retries(self, work: Work) -> outcome.Outcome:
        """Run idempotent work and return its outcome.

        It is retried until its deadline, within the retry budget of its team
        and service.
        """
        budget = self._budgets.setdefault(
            (work.team, work.service), retry.Budget()
        )
        budget.record_attempt()
        backoff = retry.Backoff(self._rng)
        may_have_run = False
        while True:
            work_outcome = await self._run_once(work)
            if isinstance(work_outcome, outcome.Answered):
                return work_outcome
            if (
                isinstance(work_outcome, outcome.NotRun)
                and work_outcome.retry_after
            ):
                return _downgrade_not_run(
                    work_outcome, may_have_run=may_have_run
                )
            may_have_run = may_have_run or not isinstance(
                work_outcome, outcome.NotRun
            )
            wait = backoff.draw_wait()
            time_left = work.deadline - _now()
            if time_left <= wait or not budget.spend_retry():
                return _downgrade_not_run(
                    work_outcome, may_have_run=may_have_run
                )
            await asyncio.sleep(wait)

    async def place(self, work: Work) -> grants.Grant:
        """Reserve capacity for one attempt.

        Raises ``errors.RefusedError`` if the ticket is not admitted or no
        capacity becomes free before the deadline.
        """
        now = _now()
        time_left = work.deadline - now
        if time_left <= MIN_TIME_LEFT_SECONDS:
            raise errors.RefusedError('the deadline has passed')
        if work.is_sheddable:
            refusal = self.owner.queue.find_refusal(
                work.kind, work.team, time_left, now
            )
            if refusal is not None:
                raise errors.RefusedError(refusal.reason, refusal.retry_after)
        ticket = work.make_ticket(now)
        waiter = self.owner.enqueue(ticket)
        if not waiter.done():
            await self._probe_peers(ticket, waiter)
        if not waiter.done():
            self.request_peer_capacity()
        return await self._await_grant(ticket, waiter, work.deadline)

    async def place_on_host(
        self, member: membership.Member, work: Work, wait: float
    ) -> grants.Grant | None:
        """Reserve capacity at one host, which may be in another zone.

        Returns None if none becomes free within ``wait`` seconds.
        """
        ticket = work.make_ticket(_now())
        if member is self.view.own:
            return await self.owner.reserve(ticket, wait)
        return await self._reserve_at(member, ticket, wait)

    def zone_capacities(self) -> set[resources.Resources]:
        """Return the distinct worker capacities in the zone.

        Empty until every live peer has announced its capacities.
        """
        capacities = {
            owned_worker.capacity
            for owned_worker in self.owner.ledger.owned_workers.values()
        }
        for member in self._zone_peers():
            summary = self.heartbeats.worker_summaries.get(member.name)
            if summary is None:
                return set()
            capacities |= summary.capacities
        return capacities

    async def run(self, grant: grants.Grant, work: Work) -> outcome.Outcome:
        """Run unrecorded work on its reservation and return the outcome.

        At the deadline, or if the caller is cancelled, the attempt is stopped.
        """
        task = work.make_task_start(grant.id)
        try:
            async with asyncio.timeout_at(work.deadline):
                return await self._run_at_owner(grant, task, work.deadline)
        except TimeoutError:
            self._group.spawn(self._stop_ignoring_errors(grant))
            return outcome.Unknown('the deadline passed while it ran')
        except asyncio.CancelledError:
            self._group.spawn(self._stop_ignoring_errors(grant))
            raise

    async def start(
        self,
        grant: grants.Grant,
        work: Work,
        home: str,
    ) -> outcome.NotRun | outcome.Unknown | None:
        """Start recorded work; its outcome is reported to the shard ``home``.

        Returns ``NotRun`` if it was certainly not started and ``Unknown`` if
        the owner of the worker did not answer. Returns None if it was started
        or if that is not known yet.
        """
        task = work.make_task_start(grant.id, home)
        if not grant.host:
            return await self.owner.start(task)
        return await self._run_at_peer(grant, task, peers.CALL_TIMEOUT_SECONDS)

    async def release(self, grant: grants.Grant) -> None:
        """Release a reservation that will not be used."""
        if not grant.host:
            self.owner.release(grant.id)
            return
        message = entry_pb2.ReservationName(id=grant.id)
        address = self._find_address(grant.host)
        try:
            await self.peers.call(
                address, 'Release', message, peers.CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return

    async def stop(
        self, host: str, worker_name: str, attempt: str, *, checkpoint: bool
    ) -> None:
        """Stop an attempt through the owner of its worker.

        Raises ``errors.UnreachableError`` if the owner cannot be reached.
        """
        if host in {'', self.view.own.name}:
            await self.owner.stop(worker_name, attempt, checkpoint=checkpoint)
            return
        query = entry_pb2.StopQuery(
            worker=worker_name, attempt=attempt, checkpoint=checkpoint
        )
        await self.peers.call(
            self._find_address(host), 'Stop', query, peers.CALL_TIMEOUT_SECONDS
        )

    async def close(self) -> None:
        """Cancel the background tasks."""
        await self._group.close()

    async def _run_once(self, work: Work) -> outcome.Outcome:
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
            raise errors.RefusedError(
                'no capacity became free before the deadline', 1
            ) from None
        except asyncio.CancelledError:
            if _has_grant(waiter):
                self._group.spawn(self.release(waiter.result()))
            else:
                self.owner.withdraw(ticket.id)
            raise

    async def _probe_peers(
        self, ticket: queue.Ticket, waiter: asyncio.Future
    ) -> None:
        """Reserve at a peer of the zone that is known to have free capacity."""
        suitable_peers = [
            member
            for member in self._zone_peers()
            if self._has_capacity_for(member.name, ticket.demand)
        ]
        self._rng.shuffle(suitable_peers)
        for member in suitable_peers[:MAX_PROBED_PEERS]:
            grant = await self._reserve_at(member, ticket, 0)
            if grant is None:
                continue
            if waiter.done():
                await self.release(grant)
            else:
                self.owner.hand_over(ticket.id, grant)
            return

    def request_peer_capacity(self) -> None:
        """Keep reservation requests waiting at peers for waiting tickets."""
        candidate_count = len(self.owner.queue.handover_candidates())
        for member in self._zone_peers():
            count = self._request_counts.get(member.name, 0)
            if count < min(MAX_REQUESTS_PER_PEER, candidate_count):
                self._request_counts[member.name] = count + 1
                self._group.spawn(self._request_capacity_from(member))

    async def _request_capacity_from(self, member: membership.Member) -> None:
        try:
            while self._is_live_peer(member):
                candidates = self.owner.queue.handover_candidates()
                if not candidates:
                    return
                index = self._request_counts[member.name] % len(candidates)
                await self._request_capacity_once(member, candidates[index])
        finally:
            self._request_counts[member.name] -= 1

    async def _request_capacity_once(
        self, member: membership.Member, candidate: queue.Ticket
    ) -> None:
        peer_ticket = attrs.evolve(
            candidate, id=uuid.uuid4().hex, is_waiting=True
        )
        grant = await self._reserve_at(
            member, peer_ticket, PEER_RESERVE_WAIT_SECONDS
        )
        if grant is None:
            await asyncio.sleep(PEER_RETRY_SECONDS)
            return
        ticket = self.owner.queue.take_for_peer(
            candidate.kind, candidate.team, candidate.demand
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
            demand=peers.encode_amounts(ticket.demand),
            policy=type(ticket.placement_policy).__name__,
            group=getattr(ticket.placement_policy, 'group', ''),
            wait_ms=round(wait * MS_PER_SECOND),
            sender=self.view.own.name,
        )
        try:
            reply = await self.peers.call(
                member.address,
                'Reserve',
                query,
                wait + peers.CALL_TIMEOUT_SECONDS,
            )
        except errors.UnreachableError:
            return None
        free_capacity = peers.decode_amounts(reply.largest_room)
        previous = self.heartbeats.worker_summaries.get(
            member.name, heartbeat.WorkerSummary(free_capacity)
        )
        self.heartbeats.worker_summaries[member.name] = attrs.evolve(
            previous, free_capacity=free_capacity
        )
        if not reply.granted:
            return None
        return grants.Grant(
            reply.id, reply.worker, reply.boot, reply.epoch, member.name
        )

    async def _run_at_owner(
        self, grant: grants.Grant, task: worker.TaskStart, deadline: float
    ) -> outcome.Outcome:
        if not grant.host:
            return await self.owner.run(task)
        return await self._run_at_peer(grant, task, deadline - _now())

    async def _run_at_peer(
        self, grant: grants.Grant, task: worker.TaskStart, timeout: float
    ) -> outcome.Outcome | None:
        """Run or start a task at the peer that owns the worker.

        Returns None if recorded work was started; its outcome is reported
        to its shard later.
        """
        document = worker.converter.unstructure(task)
        query = entry_pb2.RunQuery(
            reservation=grant.id,
            attempt=grant.id,
            home=task.home,
            work_json=orjson.dumps(document).decode(),
            deadline_ms=round(timeout * MS_PER_SECOND),
        )
        try:
            reply = await self.peers.call(
                self._find_address(grant.host), 'Run', query, timeout
            )
        except errors.UnreachableError as exc:
            return outcome.Unknown(str(exc))
        if not reply.outcome_json:
            return None
        return outcome.from_fields(orjson.loads(reply.outcome_json))

    async def _stop_ignoring_errors(self, grant: grants.Grant) -> None:
        try:
            await self.stop(
                grant.host, grant.worker, grant.id, checkpoint=False
            )
        except errors.JujubebendError:
            return

    def _zone_peers(self) -> list[membership.Member]:
        own = self.view.own
        live_members = self.view.live_hosts(_now(), own.zone)
        return [member for member in live_members if member.name != own.name]

    def _is_live_peer(self, member: membership.Member) -> bool:
        return any(peer.name == member.name for peer in self._zone_peers())

    def _has_capacity_for(self, name: str, demand: resources.Resources) -> bool:
        summary = self.heartbeats.worker_summaries.get(name)
        return summary is not None and demand.fits(summary.free_capacity)

    def _find_address(self, name: str) -> str:
        member = self.view.members.get(name)
        if member is None:
            raise errors.UnreachableError(
                f'entry host {name!r} is not a known member'
            )
        return member.address


def _downgrade_not_run(
    work_outcome: outcome.Outcome, *, may_have_run: bool
) -> outcome.Outcome:
    """Replace ``NotRun`` by ``Unknown`` if an earlier attempt may have run."""
    if may_have_run and isinstance(work_outcome, outcome.NotRun):
        return outcome.Unknown(
            f'an earlier attempt may have run; {work_outcome.reason}'
        )
    return work_outcome


def _has_grant(waiter: asyncio.Future) -> bool:
    if not waiter.done() or waiter.cancelled():
        return False
    return waiter.exception() is None


def _now() -> float:
    return asyncio.get_running_loop().time()
