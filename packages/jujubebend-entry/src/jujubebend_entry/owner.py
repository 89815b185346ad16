"""The workers that this host owns: reservations, starts and ends of tasks."""

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

RESERVATION_TTL_SECONDS = 10.0
SETTLE_RETRY_SECONDS = 0.2
DURATION_SMOOTHING = 0.1
MS_PER_SECOND = 1000
STOPPED_REASON = 'stopped'
NO_LEASE_REASON = 'this host does not hold the lease of the worker'

EndedTaskCallback = abc.Callable[[str, worker.EndedTask], None]


@attrs.define(eq=False)
class _Attempt:
    """A started attempt.

    ``outcome_future`` gets the outcome; only unrecorded work waits for it.
    """

    task: worker.TaskStart
    worker_lease: workerlease.WorkerLease
    boot: str
    epoch: int
    outcome_future: asyncio.Future[outcome.Outcome]
    is_start_confirmed: bool = False


@attrs.define(eq=False)
class Owner:
    """Reserves capacity on the owned workers and runs work there.

    ``lease_ttl`` is in seconds. ``on_task_ended`` is called with the worker
    and each recorded task that ended. ``on_task_adopted`` is called likewise
    with each recorded task that was running when a lease was acquired.
    """

    name: str
    lease_ttl: float
    connect: abc.Callable[[hostlist.Host], worker.Worker]
    on_task_ended: EndedTaskCallback = lambda worker_name, entry: None  # noqa: E731
    on_task_adopted: EndedTaskCallback = lambda worker_name, entry: None  # noqa: E731
    ledger: ledger.Ledger = attrs.field(factory=ledger.Ledger)
    queue: queue.FairQueue = attrs.field(init=False)
    worker_leases: dict[str, workerlease.WorkerLease] = attrs.field(
        factory=dict
    )
    is_draining: bool = False
    start_count: int = 0
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)
    _lease_loops: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _waiters: dict[str, asyncio.Future] = attrs.field(factory=dict)
    _reservation_timers: dict[str, asyncio.TimerHandle] = attrs.field(
        factory=dict
    )
    _attempts: dict[str, _Attempt] = attrs.field(factory=dict)
    _mean_seconds_by_kind: dict[str, float] = attrs.field(factory=dict)
    _is_placement_due: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the queue of tickets that wait for capacity in the ledger."""
        self.queue = queue.FairQueue(self.ledger)

    # Ownership.

    def assign_workers(self, hosts: abc.Mapping[str, hostlist.Host]) -> None:
        """Own exactly these workers; release the others.

        A worker with attempts of unrecorded work is kept until they end.
        """
        for name in set(self.worker_leases) - set(hosts):
            if not self._has_unrecorded_attempts(name):
                self._drop_worker(name)
        for name, host in hosts.items():
            worker_lease = self.worker_leases.get(name)
            if (
                worker_lease is not None
                and worker_lease.host.address != host.address
            ):
                self._drop_worker(name)
                worker_lease = None
            if worker_lease is None:
                self._add_worker(host)
            else:
                worker_lease.host = host
                self._update_availability(worker_lease)

    async def close(self) -> None:
        """Release every lease and close the connections."""
        for loop_task in self._lease_loops.values():
            loop_task.cancel()
        await asyncio.gather(
            *self._lease_loops.values(), return_exceptions=True
        )
        worker_leases = list(self.worker_leases.values())
        await asyncio.gather(
            *(worker_lease.release() for worker_lease in worker_leases)
        )
        await asyncio.gather(
            *(worker_lease.client.close() for worker_lease in worker_leases)
        )
        await self._group.close()

    # Reservations.

    async def reserve(
        self, ticket: queue.Ticket, wait: float
    ) -> grants.Grant | None:
        """Reserve capacity within ``wait`` seconds, or return None."""
        waiter = self.enqueue(ticket)
        if not waiter.done() and wait <= 0:
            self.withdraw(ticket.id)
            return None
        try:
            return await asyncio.wait_for(asyncio.shield(waiter), wait)
        except TimeoutError:
            return self._take_grant_or_withdraw(ticket.id, waiter)
        except asyncio.CancelledError:
            if self._take_grant_or_withdraw(ticket.id, waiter) is not None:
                self.release(ticket.id)
            raise

    def enqueue(self, ticket: queue.Ticket) -> asyncio.Future:
        """Queue a ticket and return a future of its grant.

        The future raises ``errors.RefusedError`` if the ticket is shed.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[ticket.id] = waiter
        shed_ticket = self.queue.add(ticket)
        if shed_ticket is not None:
            self._refuse_shed_ticket(shed_ticket)
        self._place_waiting()
        return waiter

    def withdraw(self, ticket_id: str) -> None:
        """Remove a waiting ticket and cancel its future."""
        self.queue.cancel(ticket_id)
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is not None and not waiter.done():
            waiter.cancel()

    def hand_over(self, ticket_id: str, grant: grants.Grant) -> bool:
        """Give a waiting ticket the grant of a peer.

        Returns False if the ticket no longer waits.
        """
        self.queue.cancel(ticket_id)
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(grant)
        return True

    def release(self, ticket_id: str) -> None:
        """Release a reservation that has not been used."""
        timer = self._reservation_timers.pop(ticket_id, None)
        if timer is not None:
            timer.cancel()
            self._deallocate(ticket_id)

    def largest_free_capacity(self) -> resources.Resources:
        """Return the largest free amount on any usable worker, by dimension."""
        if self.is_draining:
            return resources.NOTHING
        return self.ledger.largest_room()

    def explain_waiting(self, ticket: queue.Ticket) -> str:
        """Return why a ticket waits, as text for operators."""
        if self.is_draining:
            return 'this host is draining; waiting for capacity at a peer'
        if not self.ledger.owned_workers:
            return 'this host owns no worker; waiting for capacity at a peer'
        if not self.ledger.fits_empty_worker(ticket.demand):
            return 'the demand exceeds the capacity of every worker owned here'
        if not ticket.demand.fits(self.largest_free_capacity()):
            dimension = ticket.demand.exceeded_dimension(
                self.largest_free_capacity()
            )
            return f'no worker has enough free {dimension}'
        return 'waiting because of a quota, the fair share or ejected workers'

    def schedule_placement(self) -> None:
        """Place waiting tickets in the next iteration of the event loop.

        Called when capacity may have become free.
        """
        if not self._is_placement_due:
            self._is_placement_due = True
            asyncio.get_running_loop().call_soon(self._place_waiting)

    # Attempts.

    async def run(self, task: worker.TaskStart) -> outcome.Outcome:
        """Run unrecorded work on its reservation and return the outcome."""
        attempt = self._begin_attempt(task)
        if isinstance(attempt, outcome.NotRun):
            return attempt
        not_run = await self._send_start_shielded(attempt)
        if not_run is not None:
            return not_run
        return await asyncio.shield(attempt.outcome_future)

    async def start(self, task: worker.TaskStart) -> outcome.NotRun | None:
        """Start work on its reservation.

        Returns None if it was started or if that is not known yet; its
        outcome is then determined from the worker's reports.
        """
        attempt = self._begin_attempt(task)
        if isinstance(attempt, outcome.NotRun):
            return attempt
        return await self._send_start_shielded(attempt)

    def _begin_attempt(
        self, task: worker.TaskStart
    ) -> _Attempt | outcome.NotRun:
        """Turn a reservation into an attempt, without sending anything."""
        worker_lease = self._claim_reservation(task)
        if isinstance(worker_lease, outcome.NotRun):
            return worker_lease
        held_lease = worker_lease.held_lease
        assert held_lease is not None
        outcome_future = asyncio.get_running_loop().create_future()
        attempt = _Attempt(
            task,
            worker_lease,
            held_lease.boot,
            held_lease.epoch,
            outcome_future,
        )
        self._attempts[task.attempt] = attempt
        self.ledger.ejector.started(worker_lease.host.name)
        self.start_count += 1
        return attempt

    async def _send_start_shielded(
        self, attempt: _Attempt
    ) -> outcome.NotRun | None:
        # A start in progress is completed even if its caller is cancelled,
        # because its allocation is released only once its outcome is known.
        start_task = self._group.spawn(self._send_start(attempt))
        return await asyncio.shield(start_task)

    async def _send_start(self, attempt: _Attempt) -> outcome.NotRun | None:
        worker_lease = attempt.worker_lease
        task = attempt.task
        try:
            await worker_lease.client.start(attempt.epoch, attempt.boot, task)
        except (
            errors.RefusedError,
            errors.NotSentError,
            worker.StaleLeaseError,
        ) as exc:
            return self._conclude_not_started(attempt, str(exc))
        except errors.UnreachableError:
            return await self._settle_start(attempt)
        attempt.is_start_confirmed = True
        return None

    async def stop(
        self, worker_name: str, attempt: str, *, checkpoint: bool
    ) -> None:
        """Stop an attempt; the worker refuses it if its start arrives later.

        Raises ``errors.UnreachableError`` if the lease is not held here.
        """
        worker_lease = self.worker_leases.get(worker_name)
        if worker_lease is None or worker_lease.held_lease is None:
            raise errors.UnreachableError(NO_LEASE_REASON)
        held_lease = worker_lease.held_lease
        await worker_lease.client.stop(
            held_lease.epoch, held_lease.boot, attempt, checkpoint=checkpoint
        )

    async def inspect(
        self, open_intent: intent.Intent
    ) -> tuple[intent.Verdict, dict[str, str] | None]:
        """Return the verdict on an intent and the outcome, if it ended.

        Raises ``errors.UnreachableError`` if its worker cannot be asked.
        """
        worker_lease = self.worker_leases.get(open_intent.worker)
        if worker_lease is None or worker_lease.held_lease is None:
            raise errors.UnreachableError(NO_LEASE_REASON)
        held_lease = worker_lease.held_lease
        try:
            report, ended_task = await worker_lease.client.settle(
                held_lease.epoch, held_lease.boot, open_intent.attempt
            )
        except worker.StaleLeaseError as exc:
            raise errors.UnreachableError(str(exc)) from exc
        verdict = intent.settle(open_intent, report)
        return verdict, ended_task and ended_task.outcome

    def acknowledge(self, worker_name: str, attempt: str) -> None:
        """Let the worker forget an ended task whose outcome is recorded."""
        worker_lease = self.worker_leases.get(worker_name)
        if worker_lease is not None:
            worker_lease.pending_acks.append(attempt)

    def count_in_flight(self) -> int:
        """Return the number of unrecorded attempts that have not ended."""
        return sum(
            not attempt.task.home and not attempt.outcome_future.done()
            for attempt in self._attempts.values()
        )

    # Events of the worker leases.

    def on_acquired(
        self, worker_lease: workerlease.WorkerLease, reply: worker.LeaseReply
    ) -> None:
        """Add a worker whose lease was acquired.

        Its allocations are rebuilt from the tasks that it reports as running.
        """
        name = worker_lease.host.name
        self._remove_from_ledger(name)
        owned_worker = ledger.OwnedWorker(
            name, worker_lease.host.rack, reply.capacity
        )
        self.ledger.add(owned_worker)
        running = {entry.attempt: entry for entry in reply.running}
        for entry in running.values():
            self._adopt_running_task(name, entry)
        for entry in reply.ended:
            self.on_ended(worker_lease, entry)
        self._conclude_absent_attempts(worker_lease, set(running))
        owned_worker.leaving = reply.leaving
        self._update_availability(worker_lease)
        eliot.log_message('owner:leased', worker=name, running=len(running))
        self.schedule_placement()

    def on_renewed(
        self, worker_lease: workerlease.WorkerLease, reply: worker.RenewalReply
    ) -> None:
        """Process the ended tasks and the usage that a worker reports."""
        owned_worker = self.ledger.owned_workers.get(worker_lease.host.name)
        if owned_worker is not None:
            self._update_availability(
                worker_lease, reports_leaving=reply.leaving
            )
        for entry in reply.ended:
            self.on_ended(worker_lease, entry)
        for usage in reply.usage:
            old_allocation = self.ledger.allocations.get(usage.attempt)
            new_allocation = self.ledger.record_usage(usage.attempt, usage.used)
            if old_allocation is not None and new_allocation is not None:
                self.queue.count_growth(old_allocation, new_allocation)

    def on_lost(self, worker_lease: workerlease.WorkerLease) -> None:
        """Place no more work on a worker whose lease was lost."""
        eliot.log_message('owner:lost', worker=worker_lease.host.name)
        owned_worker = self.ledger.owned_workers.get(worker_lease.host.name)
        if owned_worker is not None:
            self.ledger.set_availability(
                owned_worker.name, leased=False, leaving=owned_worker.leaving
            )

    def on_ended(
        self, worker_lease: workerlease.WorkerLease, entry: worker.EndedTask
    ) -> None:
        """Process the end of a task; idempotent."""
        attempt = self._attempts.pop(entry.attempt, None)
        allocation = self._deallocate(entry.attempt)
        attempt_outcome = outcome.from_fields(entry.outcome)
        if allocation is not None:
            self._record_run(
                worker_lease.host.name,
                allocation,
                attempt_outcome,
                entry.seconds,
            )
        if attempt is not None and not attempt.outcome_future.done():
            attempt.outcome_future.set_result(attempt_outcome)
        if entry.home:
            self.on_task_ended(worker_lease.host.name, entry)
        else:
            worker_lease.pending_acks.append(entry.attempt)

    # Internals.

    def _add_worker(self, host: hostlist.Host) -> None:
        client = self.connect(host)
        worker_lease = workerlease.WorkerLease(
            host, client, self.name, self.lease_ttl, self
        )
        self.worker_leases[host.name] = worker_lease
        self._lease_loops[host.name] = asyncio.create_task(worker_lease.run())

    def _drop_worker(self, name: str) -> None:
        worker_lease = self.worker_leases.pop(name)
        self._lease_loops.pop(name).cancel()
        self._remove_from_ledger(name)
        self._conclude_absent_attempts(
            worker_lease, set(), is_state_known=False
        )
        self._group.spawn(self._release_lease(worker_lease))

    async def _release_lease(
        self, worker_lease: workerlease.WorkerLease
    ) -> None:
        await worker_lease.release()
        await worker_lease.client.close()

    def _has_unrecorded_attempts(self, name: str) -> bool:
        return any(
            attempt.worker_lease.host.name == name and not attempt.task.home
            for attempt in self._attempts.values()
        )

    def _update_availability(
        self,
        worker_lease: workerlease.WorkerLease,
        *,
        reports_leaving: bool | None = None,
    ) -> None:
        owned_worker = self.ledger.owned_workers.get(worker_lease.host.name)
        if owned_worker is None:
            return
        if reports_leaving is None:
            reports_leaving = owned_worker.leaving
        leaving = reports_leaving or worker_lease.host.state == hostlist.LEAVING
        self.ledger.set_availability(
            owned_worker.name, leased=worker_lease.is_held(), leaving=leaving
        )

    def _remove_from_ledger(self, name: str) -> None:
        for allocation in self.ledger.remove(name):
            self.queue.count_deallocation(allocation)
            timer = self._reservation_timers.pop(allocation.id, None)
            if timer is not None:
                timer.cancel()

    def _adopt_running_task(self, name: str, entry: worker.RunningTask) -> None:
        allocation = ledger.Allocation(
            entry.attempt,
            name,
            entry.demand,
            entry.kind,
            entry.team,
            entry.group,
        )
        self.ledger.allocate(allocation)
        self.queue.count_allocation(allocation)
        if entry.home:
            self.on_task_adopted(
                name, worker.EndedTask(entry.attempt, {}, entry.home)
            )

    def _conclude_absent_attempts(
        self,
        worker_lease: workerlease.WorkerLease,
        running: set[str],
        *,
        is_state_known: bool = True,
    ) -> None:
        """Set the outcome of attempts that a worker does not list as running.

        If the start was not confirmed and the lease directly follows that of
        the attempt, the attempt never ran, and the new lease epoch makes the
        worker reject a start that arrives late. Otherwise the outcome is
        unknown: the worker may have restarted, or another owner may have
        acknowledged the end. It is also unknown if ``is_state_known`` is
        false, because the worker was not asked.
        """
        held_lease = worker_lease.held_lease
        for attempt_id, attempt in list(self._attempts.items()):
            if (
                attempt.worker_lease is not worker_lease
                or attempt_id in running
            ):
                continue
            self._attempts.pop(attempt_id)
            if attempt.outcome_future.done():
                continue
            is_next_lease = held_lease is not None and (
                (held_lease.boot, held_lease.epoch)
                == (attempt.boot, attempt.epoch + 1)
            )
            is_start_lost = is_next_lease and not attempt.is_start_confirmed
            if is_state_known and is_start_lost:
                not_run = outcome.NotRun('the worker did not receive the start')
                attempt.outcome_future.set_result(not_run)
            else:
                unknown = outcome.Unknown(
                    'the worker was lost before it reported an outcome'
                )
                attempt.outcome_future.set_result(unknown)

    def _place_waiting(self) -> None:
        self._is_placement_due = False
        if self.is_draining:
            return
        now = asyncio.get_running_loop().time()
        while True:
            placed = self.queue.place_next(now)
            if placed is None:
                return
            self._grant_ticket(placed)

    def _grant_ticket(self, placed: queue.Placed) -> None:
        ticket_id = placed.ticket.id
        worker_lease = self.worker_leases[placed.worker]
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is None or waiter.done() or worker_lease.held_lease is None:
            self._deallocate(ticket_id)
            return
        loop = asyncio.get_running_loop()
        self._reservation_timers[ticket_id] = loop.call_later(
            RESERVATION_TTL_SECONDS, self.release, ticket_id
        )
        held_lease = worker_lease.held_lease
        grant = grants.Grant(
            ticket_id, placed.worker, held_lease.boot, held_lease.epoch
        )
        waiter.set_result(grant)

    def _refuse_shed_ticket(self, ticket: queue.Ticket) -> None:
        waiter = self._waiters.pop(ticket.id, None)
        if waiter is not None and not waiter.done():
            refused = errors.RefusedError(
                'shed: the queue is full, and its team has the most tickets',
                1,
            )
            waiter.set_exception(refused)

    def _take_grant_or_withdraw(
        self, ticket_id: str, waiter: asyncio.Future
    ) -> grants.Grant | None:
        if waiter.done() and not waiter.cancelled():
            return waiter.result()
        self.withdraw(ticket_id)
        return None

    def _claim_reservation(
        self, task: worker.TaskStart
    ) -> workerlease.WorkerLease | outcome.NotRun:
        timer = self._reservation_timers.pop(task.attempt, None)
        if timer is None:
            return outcome.NotRun('the reservation was released or has expired')
        timer.cancel()
        allocation = self.ledger.allocations[task.attempt]
        worker_lease = self.worker_leases.get(allocation.worker)
        if worker_lease is None or not worker_lease.is_held():
            self._deallocate(task.attempt)
            return outcome.NotRun('the lease of the worker has expired')
        return worker_lease

    def _conclude_not_started(
        self, attempt: _Attempt, reason: str
    ) -> outcome.NotRun:
        attempt_id = attempt.task.attempt
        self._attempts.pop(attempt_id, None)
        self._deallocate(attempt_id)
        self.ledger.ejector.withdraw_probe(attempt.worker_lease.host.name)
        if not attempt.outcome_future.done():
            attempt.outcome_future.cancel()
        return outcome.NotRun(reason)

    async def _settle_start(self, attempt: _Attempt) -> outcome.NotRun | None:
        """Determine whether a start whose reply was lost took effect."""
        worker_lease = attempt.worker_lease
        while worker_lease.is_held() and not attempt.outcome_future.done():
            held_lease = worker_lease.held_lease
            assert held_lease is not None
            try:
                report, _ = await worker_lease.client.settle(
                    held_lease.epoch, held_lease.boot, attempt.task.attempt
                )
            except worker.StaleLeaseError:
                return None
            except errors.UnreachableError:
                await asyncio.sleep(SETTLE_RETRY_SECONDS)
                continue
            if attempt.outcome_future.done():
                # The worker may have forgotten the end that it reported.
                return None
            if report.state is intent.AttemptState.ABSENT:
                return self._conclude_not_started(
                    attempt, 'the worker did not receive the start'
                )
            attempt.is_start_confirmed = True
            return None
        return None

    def _deallocate(self, allocation_id: str) -> ledger.Allocation | None:
        allocation = self.ledger.deallocate(allocation_id)
        if allocation is not None:
            self.queue.count_deallocation(allocation)
            self.schedule_placement()
        return allocation

    def _record_run(
        self,
        name: str,
        allocation: ledger.Allocation,
        attempt_outcome: outcome.Outcome,
        seconds: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(attempt_outcome, outcome.Failed):
            if attempt_outcome.reason == STOPPED_REASON:
                self.ledger.ejector.withdraw_probe(name)
                return
            self.ledger.ejector.ended(name, failed=True, now=now)
            return
        self.ledger.ejector.ended(name, failed=False, now=now)
        mean = self._mean_seconds_by_kind.get(allocation.kind, seconds)
        if mean > 0:
            self.ledger.record_duration_ratio(name, seconds / mean)
        self._mean_seconds_by_kind[allocation.kind] = (
            mean + DURATION_SMOOTHING * (seconds - mean)
        )


def policy_from_name(name: str, group: str) -> policy.Policy:
    """Return the placement policy with the name given in a message."""
    match name:
        case 'Spread':
            return policy.Spread(group)
        case 'Batch':
            return policy.Batch()
        case _:
            return policy.Prompt()
