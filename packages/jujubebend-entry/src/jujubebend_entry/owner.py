"""The workers that this host owns: room, starts and ends of work on them."""

from __future__ import annotations

import asyncio
from collections import abc

import attrs
import eliot

from jujubebend import (
    errors,
    intent,
    ledger,
    outcome,
    policy,
    queue,
    resources,
)
from jujubebend_entry import background, grants, workerlease
from jujubebend_platform import hostlist, worker

RESERVATION_TTL = 10.0
SETTLE_WAIT = 0.2
MEAN_WEIGHT = 0.1
MILLI = 1000
STOPPED = 'stopped'
NO_LEASE = 'the worker has no lease at its owner'

Offer = abc.Callable[[str, worker.EndedTask], None]


@attrs.define(eq=False)
class _Attempt:
    """A started attempt; ``ended`` is set for work that is not recorded."""

    task: worker.TaskStart
    keeper: workerlease.Keeper
    boot: str
    epoch: int
    ended: asyncio.Future[outcome.Outcome]
    is_certain: bool = False


@attrs.define(eq=False)
class Owner:
    """Grants room on the owned workers and runs work there.

    ``offer`` is told of each recorded task that ended, with its worker, and
    of each that was found running under a new lease.
    """

    name: str
    lease_ttl: float
    connect: abc.Callable[[hostlist.Host], worker.Worker]
    offer: Offer = lambda worker_name, ended: None  # noqa: E731
    adopted: Offer = lambda worker_name, ended: None  # noqa: E731
    ledger: ledger.Ledger = attrs.field(factory=ledger.Ledger)
    queue: queue.FairQueue = attrs.field(init=False)
    keepers: dict[str, workerlease.Keeper] = attrs.field(factory=dict)
    draining: bool = False
    starts: int = 0
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)
    _loops: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _waiters: dict[str, asyncio.Future] = attrs.field(factory=dict)
    _reserved: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)
    _attempts: dict[str, _Attempt] = attrs.field(factory=dict)
    _means: dict[str, float] = attrs.field(factory=dict)
    _kick_due: bool = False

    def __attrs_post_init__(self) -> None:
        """Queue work for the ledger."""
        self.queue = queue.FairQueue(self.ledger)

    # Which workers are owned.

    def assign(self, hosts: abc.Mapping[str, hostlist.Host]) -> None:
        """Own these workers from now on; give the others back."""
        for name in set(self.keepers) - set(hosts):
            if not self._has_requests(name):
                self._drop(name)
        for name, host in hosts.items():
            known = self.keepers.get(name)
            if known is not None and known.host.address != host.address:
                self._drop(name)
                known = None
            if known is None:
                self._keep(host)
            else:
                known.host = host
                self._check_usable(known)

    async def close(self) -> None:
        """Give back every lease."""
        for loop_task in self._loops.values():
            loop_task.cancel()
        await asyncio.gather(*self._loops.values(), return_exceptions=True)
        kept = list(self.keepers.values())
        await asyncio.gather(*(one.release() for one in kept))
        await asyncio.gather(*(one.client.close() for one in kept))
        await self._group.close()

    # Room.

    async def reserve(
        self, ticket: queue.Ticket, wait: float
    ) -> grants.Grant | None:
        """Hold room for a ticket; None when none came free in time."""
        waiter = self.enqueue(ticket)
        if not waiter.done() and wait <= 0:
            self.withdraw(ticket.id)
            return None
        try:
            return await asyncio.wait_for(asyncio.shield(waiter), wait)
        except TimeoutError:
            return self._late_grant(ticket.id, waiter)
        except asyncio.CancelledError:
            if self._late_grant(ticket.id, waiter) is not None:
                self.release(ticket.id)
            raise

    def enqueue(self, ticket: queue.Ticket) -> asyncio.Future:
        """Queue a ticket; the future gets its grant, or a refusal."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.id] = waiter
        shed = self.queue.add(ticket)
        if shed is not None:
            self._refuse(shed)
        self._pick()
        return waiter

    def withdraw(self, ticket_id: str) -> None:
        """Take a waiting ticket out of the queue."""
        self.queue.cancel(ticket_id)
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is not None and not waiter.done():
            waiter.cancel()

    def hand_over(self, ticket_id: str, grant: grants.Grant) -> bool:
        """Give a waiting ticket room that a peer granted."""
        self.queue.cancel(ticket_id)
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(grant)
        return True

    def release(self, ticket_id: str) -> None:
        """Give back room that was reserved and not used."""
        timer = self._reserved.pop(ticket_id, None)
        if timer is not None:
            timer.cancel()
            self._free(ticket_id)

    def largest_room(self) -> resources.Resources:
        """Return the largest room on any usable worker, by dimension."""
        if self.draining:
            return resources.NOTHING
        return self.ledger.largest_room()

    def why_waiting(self, ticket: queue.Ticket) -> str:
        """Say why a ticket waits, for a person."""
        if self.draining:
            return 'this host is draining; a peer is to take it'
        if not self.ledger.owned_workers:
            return 'this host owns no worker; a peer is to take it'
        if not self.ledger.fits_empty_worker(ticket.demand):
            return 'no worker owned here is large enough'
        if not ticket.demand.fits(self.largest_room()):
            short = ticket.demand.exceeded_dimension(self.largest_room())
            return f'no room: {short} is short'
        return 'quota, share or ejection keeps it waiting'

    def kick(self) -> None:
        """Place waiting work soon: room may have come free."""
        if not self._kick_due:
            self._kick_due = True
            asyncio.get_running_loop().call_soon(self._pick)

    # Work.

    async def run(self, task: worker.TaskStart) -> outcome.Outcome:
        """Run unrecorded work on the room reserved for it, to its end."""
        attempt = self._begin(task)
        if isinstance(attempt, outcome.NotRun):
            return attempt
        refused = await self._carry_start(attempt)
        if refused is not None:
            return refused
        return await asyncio.shield(attempt.ended)

    async def start(self, task: worker.TaskStart) -> outcome.NotRun | None:
        """Start work on the room reserved for it.

        Returns None when it was started or when that cannot be told yet;
        what became of it then follows from the worker.
        """
        attempt = self._begin(task)
        if isinstance(attempt, outcome.NotRun):
            return attempt
        return await self._carry_start(attempt)

    def _begin(self, task: worker.TaskStart) -> _Attempt | outcome.NotRun:
        """Turn a reservation into an attempt; nothing is sent yet."""
        kept = self._claim(task)
        if isinstance(kept, outcome.NotRun):
            return kept
        held = kept.holding
        assert held is not None
        ended = asyncio.get_running_loop().create_future()
        attempt = _Attempt(task, kept, held.boot, held.epoch, ended)
        self._attempts[task.attempt] = attempt
        self.ledger.ejector.started(kept.host.name)
        self.starts += 1
        return attempt

    async def _carry_start(self, attempt: _Attempt) -> outcome.NotRun | None:
        # A start that was begun is carried through even if its caller goes:
        # what it holds must be freed by its outcome.
        sending = self._group.spawn(self._send_start(attempt))
        return await asyncio.shield(sending)

    async def _send_start(self, attempt: _Attempt) -> outcome.NotRun | None:
        kept = attempt.keeper
        task = attempt.task
        try:
            await kept.client.start(attempt.epoch, attempt.boot, task)
        except (
            errors.RefusedError,
            errors.NotSentError,
            worker.StaleLeaseError,
        ) as exc:
            return self._not_started(attempt, str(exc))
        except errors.UnreachableError:
            return await self._settle_start(attempt)
        attempt.is_certain = True
        return None

    async def stop(
        self, worker_name: str, attempt: str, *, checkpoint: bool
    ) -> None:
        """Stop an attempt, or refuse it if it comes late."""
        kept = self.keepers.get(worker_name)
        if kept is None or kept.holding is None:
            raise errors.UnreachableError(NO_LEASE)
        await kept.client.stop(
            kept.holding.epoch, attempt, checkpoint=checkpoint
        )

    async def inspect(
        self, wanted: intent.Intent
    ) -> tuple[intent.Verdict, dict[str, str] | None]:
        """Ask the worker of an intent what became of it.

        Raises ``errors.UnreachableError`` when it cannot be asked.
        """
        kept = self.keepers.get(wanted.worker)
        if kept is None or kept.holding is None:
            raise errors.UnreachableError(NO_LEASE)
        epoch = kept.holding.epoch
        try:
            report, ended = await kept.client.settle(epoch, wanted.attempt)
        except worker.StaleLeaseError as exc:
            raise errors.UnreachableError(str(exc)) from exc
        verdict = intent.settle(wanted, report)
        return verdict, ended and ended.outcome

    def acknowledge(self, worker_name: str, attempt: str) -> None:
        """Let the worker forget an end that is recorded at its home."""
        kept = self.keepers.get(worker_name)
        if kept is not None:
            kept.acks.append(attempt)

    def in_flight(self) -> int:
        """Return how many requests wait for an end of unrecorded work."""
        return sum(
            not attempt.task.home and not attempt.ended.done()
            for attempt in self._attempts.values()
        )

    # What keepers report.

    def leased(
        self, kept: workerlease.Keeper, found: worker.LeaseReply
    ) -> None:
        """Take in a worker: what runs there now is what is held there."""
        name = kept.host.name
        self._forget_place(name)
        place = ledger.OwnedWorker(name, kept.host.rack, found.capacity)
        self.ledger.add(place)
        running = {entry.attempt: entry for entry in found.running}
        for entry in running.values():
            self._hold_running(name, entry)
        for entry in found.ended:
            self.ended(kept, entry)
        self._settle_absent(kept, set(running))
        place.leaving = found.leaving
        self._check_usable(kept)
        eliot.log_message('owner:leased', worker=name, running=len(running))
        self.kick()

    def reported(
        self, kept: workerlease.Keeper, synced: worker.SyncReply
    ) -> None:
        """Take in ends and usage."""
        place = self.ledger.owned_workers.get(kept.host.name)
        if place is not None:
            self._check_usable(kept, says_leaving=synced.leaving)
        for entry in synced.ended:
            self.ended(kept, entry)
        for usage in synced.usage:
            before = self.ledger.allocations.get(usage.attempt)
            after = self.ledger.record_usage(usage.attempt, usage.used)
            if before is not None and after is not None:
                self.queue.count_growth(before, after)

    def lost(self, kept: workerlease.Keeper) -> None:
        """Note that a worker's lease is held no longer."""
        eliot.log_message('owner:lost', worker=kept.host.name)
        place = self.ledger.owned_workers.get(kept.host.name)
        if place is not None:
            self.ledger.set_usable(
                place.name, leased=False, leaving=place.leaving
            )

    def ended(self, kept: workerlease.Keeper, entry: worker.EndedTask) -> None:
        """Take in the end of a task; repeated ends change nothing."""
        attempt = self._attempts.pop(entry.attempt, None)
        hold = self._free(entry.attempt)
        ended = outcome.from_record(entry.outcome)
        if hold is not None:
            self._learn(kept.host.name, hold, ended, entry.seconds)
        if attempt is not None and not attempt.ended.done():
            attempt.ended.set_result(ended)
        if entry.home:
            self.offer(kept.host.name, entry)
        else:
            kept.acks.append(entry.attempt)

    # Inside.

    def _keep(self, host: hostlist.Host) -> None:
        client = self.connect(host)
        kept = workerlease.Keeper(host, client, self.name, self.lease_ttl, self)
        self.keepers[host.name] = kept
        self._loops[host.name] = asyncio.create_task(kept.run())

    def _drop(self, name: str) -> None:
        kept = self.keepers.pop(name)
        self._loops.pop(name).cancel()
        self._forget_place(name)
        self._settle_absent(kept, set(), is_known=False)
        self._group.spawn(self._let_go(kept))

    async def _let_go(self, kept: workerlease.Keeper) -> None:
        await kept.release()
        await kept.client.close()

    def _has_requests(self, name: str) -> bool:
        return any(
            attempt.keeper.host.name == name and not attempt.task.home
            for attempt in self._attempts.values()
        )

    def _check_usable(
        self, kept: workerlease.Keeper, *, says_leaving: bool | None = None
    ) -> None:
        place = self.ledger.owned_workers.get(kept.host.name)
        if place is None:
            return
        if says_leaving is None:
            says_leaving = place.leaving
        leaving = says_leaving or kept.host.state == hostlist.LEAVING
        self.ledger.set_usable(
            place.name, leased=kept.is_held(), leaving=leaving
        )

    def _forget_place(self, name: str) -> None:
        for hold in self.ledger.remove(name):
            self.queue.count_deallocation(hold)
            timer = self._reserved.pop(hold.id, None)
            if timer is not None:
                timer.cancel()

    def _hold_running(self, name: str, entry: worker.RunningTask) -> None:
        hold = ledger.Allocation(
            entry.attempt,
            name,
            entry.demand,
            entry.kind,
            entry.team,
            entry.group,
        )
        self.ledger.allocate(hold)
        self.queue.count_allocation(hold)
        if entry.home:
            self.adopted(name, worker.EndedTask(entry.attempt, {}, entry.home))

    def _settle_absent(
        self,
        kept: workerlease.Keeper,
        running: set[str],
        *,
        is_known: bool = True,
    ) -> None:
        """End the attempts that a worker under a new lease does not know.

        In the same boot they never ran: the new epoch refuses them.
        """
        held = kept.holding
        for attempt_id, attempt in list(self._attempts.items()):
            if attempt.keeper is not kept or attempt_id in running:
                continue
            self._attempts.pop(attempt_id)
            if attempt.ended.done():
                continue
            same_boot = held is not None and held.boot == attempt.boot
            if is_known and same_boot and not attempt.is_certain:
                missed = outcome.NotRun('its worker never got it')
                attempt.ended.set_result(missed)
            else:
                lost = outcome.Unknown('its worker was lost')
                attempt.ended.set_result(lost)

    def _pick(self) -> None:
        self._kick_due = False
        if self.draining:
            return
        now = asyncio.get_running_loop().time()
        while True:
            placed = self.queue.place_next(now)
            if placed is None:
                return
            self._grant(placed)

    def _grant(self, placed: queue.Placed) -> None:
        ticket_id = placed.ticket.id
        kept = self.keepers[placed.worker]
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is None or waiter.done() or kept.holding is None:
            self._free(ticket_id)
            return
        loop = asyncio.get_running_loop()
        self._reserved[ticket_id] = loop.call_later(
            RESERVATION_TTL, self.release, ticket_id
        )
        held = kept.holding
        grant = grants.Grant(ticket_id, placed.worker, held.boot, held.epoch)
        waiter.set_result(grant)

    def _refuse(self, ticket: queue.Ticket) -> None:
        waiter = self._waiters.pop(ticket.id, None)
        if waiter is not None and not waiter.done():
            refused = errors.RefusedError('shed for other teams', 1)
            waiter.set_exception(refused)

    def _late_grant(
        self, ticket_id: str, waiter: asyncio.Future
    ) -> grants.Grant | None:
        if waiter.done() and not waiter.cancelled():
            return waiter.result()
        self.withdraw(ticket_id)
        return None

    def _claim(
        self, task: worker.TaskStart
    ) -> workerlease.Keeper | outcome.NotRun:
        timer = self._reserved.pop(task.attempt, None)
        if timer is None:
            return outcome.NotRun('its reservation has ended')
        timer.cancel()
        hold = self.ledger.allocations[task.attempt]
        kept = self.keepers.get(hold.worker)
        if kept is None or not kept.is_held():
            self._free(task.attempt)
            return outcome.NotRun('the lease of its worker has lapsed')
        return kept

    def _not_started(self, attempt: _Attempt, reason: str) -> outcome.NotRun:
        attempt_id = attempt.task.attempt
        self._attempts.pop(attempt_id, None)
        self._free(attempt_id)
        self.ledger.ejector.withdraw_probe(attempt.keeper.host.name)
        if not attempt.ended.done():
            attempt.ended.cancel()
        return outcome.NotRun(reason)

    async def _settle_start(self, attempt: _Attempt) -> outcome.NotRun | None:
        """Find out whether a start whose answer was lost took effect."""
        kept = attempt.keeper
        while kept.is_held() and not attempt.ended.done():
            held = kept.holding
            assert held is not None
            try:
                report, _ = await kept.client.settle(
                    held.epoch, attempt.task.attempt
                )
            except worker.StaleLeaseError:
                return None
            except errors.UnreachableError:
                await asyncio.sleep(SETTLE_WAIT)
                continue
            if report.state is intent.AttemptState.ABSENT:
                return self._not_started(attempt, 'its worker never got it')
            attempt.is_certain = True
            return None
        return None

    def _free(self, allocation_id: str) -> ledger.Allocation | None:
        hold = self.ledger.deallocate(allocation_id)
        if hold is not None:
            self.queue.count_deallocation(hold)
            self.kick()
        return hold

    def _learn(
        self,
        name: str,
        hold: ledger.Allocation,
        ended: outcome.Outcome,
        seconds: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(ended, outcome.Failed):
            if ended.reason == STOPPED:
                self.ledger.ejector.withdraw_probe(name)
                return
            self.ledger.ejector.ended(name, failed=True, now=now)
            return
        self.ledger.ejector.ended(name, failed=False, now=now)
        mean = self._means.get(hold.kind, seconds)
        if mean > 0:
            self.ledger.record_duration_ratio(name, seconds / mean)
        self._means[hold.kind] = mean + MEAN_WEIGHT * (seconds - mean)


def demand_policy(name: str, group: str) -> policy.Policy:
    """Return the policy that a message names."""
    match name:
        case 'Spread':
            return policy.Spread(group)
        case 'Batch':
            return policy.Batch()
        case _:
            return policy.Prompt()
