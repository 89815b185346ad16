"""Communicates with one worker: lease renewal, status, and orders.

A renewal is a long poll. It extends the leases of all runs on the worker,
acknowledges the ends that are stored, and returns the worker's status. Calls are
meant for the incarnation of the worker that answered last, and reach no other one.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import abc
from typing import Protocol

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, fleet, interfaces, jobtable, logs

RENEWAL_WAIT_S = 1.0  # how long a renewal waits for an end; workers allow 2 s
RUN_LIST_INTERVAL_S = 0.4  # between two statuses that list all runs
RENEWAL_PAUSE_S = 0.4  # between renewals while ends wait to be stored
RETRY_DELAY_S = 0.25  # after a call without an answer
START_TTL_S = 3.0  # a worker refuses a start that arrives later
MAX_START_ATTEMPTS = 3  # calls for one start before it is withdrawn
STOP_RETRY_DELAY_S = 0.2
# Distance of the fencing tokens of two epochs. Leaders of earlier builds count the
# restarts of a worker between them.
TOKENS_PER_EPOCH = 64


class StatusListener(Protocol):
    """Handles a worker's status and the changes of its incarnation."""

    def may_send_orders(self) -> bool:
        """Return whether this leader may still send orders."""
        ...

    def may_extend_lease(self, worker: fleet.Worker) -> bool:
        """Return whether a worker may be granted a longer lease."""
        ...

    async def handle_status(
        self,
        worker: fleet.Worker,
        status: interfaces.WorkerStatus,
        sent_at: float,
    ) -> bool:
        """Apply a worker's status; return True once its ends are stored."""
        ...

    def release_runs(
        self, worker: fleet.Worker, tasks: list[jobtable.Task], why: str
    ) -> None:
        """Release runs of a worker that have certainly ended."""
        ...

    def handle_fencing(self, worker: fleet.Worker) -> None:
        """Handle that a worker has seen a higher fencing token."""
        ...


@attrs.define(eq=False)
class WorkerController:
    """Communicates with one worker until cancelled or ``is_stopped``.

    The ends of the worker's incarnation up to ``acknowledged`` are stored.
    ``_answered_address`` is where the worker has answered this leader last.
    ``lease`` is in seconds. Leases that former leaders granted have expired
    after ``former_leases_expire_at``.
    """

    worker: fleet.Worker
    connect_worker: abc.Callable[[str, str], interfaces.WorkerCalls]
    listener: StatusListener
    epoch: int
    lease: float
    former_leases_expire_at: float
    calls: interfaces.WorkerCalls = attrs.field(init=False)
    acknowledged: int = 0
    is_stopped: bool = False
    _replaced_calls: list[interfaces.WorkerCalls] = attrs.field(factory=list)
    _is_status_stored: bool = False
    _runs_listed_at: float = 0
    _answered_address: str = ''

    def __attrs_post_init__(self) -> None:
        """Create the connection; it is opened on demand."""
        entry = self.worker.entry
        self.calls = self.connect_worker(entry.worker, entry.address)
        self.worker.token = self.epoch * TOKENS_PER_EPOCH

    async def run(self) -> None:
        """Renew the worker's leases and read its status until cancelled."""
        try:
            while not self.is_stopped:
                while self._replaced_calls:
                    await self._replaced_calls.pop().close()
                if not self.listener.may_send_orders():
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                await self._renew_leases()
        finally:
            await self.calls.close()

    def update_entry(self, entry: interfaces.WorkerEntry) -> None:
        """Apply a newer entry of the worker.

        An entry of another incarnation ends no run: it may be older than the
        worker's last answer, and runs may have started since the restart that
        it tells of. The worker's next answer decides.
        """
        old_entry = self.worker.entry
        self.worker.entry = entry
        if entry.born != old_entry.born and not self.worker.is_entry_current:
            logs.belief(
                'worker_entry_differs',
                worker=entry.worker,
                born=entry.born,
                known=self.worker.incarnation,
            )
        if entry.address != old_entry.address:
            self._replaced_calls.append(self.calls)
            self.calls = self.connect_worker(entry.worker, entry.address)

    async def start_run(
        self, task: jobtable.Task, ticket: str
    ) -> interfaces.OrderResult | None:
        """Order a start; return None if its outcome is not known.

        A worker that restarts meanwhile gets no further order.
        """
        run = task.run
        for _ in range(MAX_START_ATTEMPTS):
            if (
                not self.listener.may_send_orders()
                or not task.is_current_run(run)
                or task.is_stopping
                or task.incarnation != self.worker.incarnation
            ):
                return None
            until = self._extend_lease(START_TTL_S)
            if until is None:
                return None
            order = interfaces.StartOrder(
                task=task.name,
                run=run,
                payload=task.group.job.spec.payload,
                until=until,
                token=self.worker.token,
                incarnation=task.incarnation,
                checkpoint=task.checkpoint,
                ticket=ticket,
            )
            try:
                with _unanswered_on_error():
                    return await self.calls.start(order)
            except errors.UnreachableError as exc:
                logs.run_decision(
                    'start_unanswered',
                    task.name,
                    run,
                    self.worker.name,
                    born=task.incarnation,
                    why=str(exc),
                )
        return None

    async def stop_run(self, task: jobtable.Task) -> None:
        """Order a stop until the worker answers or the run is over."""
        run, worker = task.run, self.worker
        while task.is_current_run(run) and task.worker == worker.name:
            if not self.listener.may_send_orders():
                await asyncio.sleep(STOP_RETRY_DELAY_S)
                continue
            try:
                with _unanswered_on_error():
                    order_result = await self.calls.stop(
                        task.name, run, worker.token, worker.incarnation
                    )
            except errors.UnreachableError:
                await asyncio.sleep(STOP_RETRY_DELAY_S)
                continue
            if order_result is not interfaces.OrderResult.ACCEPTED:
                await asyncio.sleep(STOP_RETRY_DELAY_S)
                continue
            if task.run == run:
                task.answered_at = clock.now()
            return

    async def set_pace(self, task: jobtable.Task, percent: int) -> None:
        """Set the pace of a run; the caller retries if it is not accepted."""
        run, worker = task.run, self.worker
        try:
            with _unanswered_on_error():
                order_result = await self.calls.pace(
                    task.name, run, percent, worker.token, worker.incarnation
                )
        except errors.UnreachableError as exc:
            logs.run_decision(
                'pace_unanswered',
                task.name,
                run,
                worker.name,
                why=str(exc),
            )
            return
        if order_result is interfaces.OrderResult.ACCEPTED and task.run == run:
            task.acknowledged_pace = percent

    async def stop_unknown_run(self, active_run: interfaces.ActiveRun) -> None:
        """Stop a run that is not in the job table."""
        worker = self.worker
        try:
            with _unanswered_on_error():
                await self.calls.stop(
                    active_run.task,
                    active_run.run,
                    worker.token,
                    worker.incarnation,
                )
        except errors.UnreachableError as exc:
            logs.run_decision(
                'stop_unanswered',
                active_run.task,
                active_run.run,
                worker.name,
                why=str(exc),
            )

    async def _renew_leases(self) -> None:
        worker = self.worker
        sent_at = clock.now()
        until = None
        if worker.unreached_since is None:
            until = self._extend_lease(self.lease)
        # A worker that does not answer may still receive renewals. If they
        # extended its leases, its tasks could never be started elsewhere, so
        # the renewal carries no lease.
        #
        # The call does not wait for an end before the first status, which
        # brings the worker's clock, nor while stored ends are not yet
        # acknowledged.
        wait_s = (
            RENEWAL_WAIT_S
            if self._is_status_stored and worker.is_reachable
            else 0
        )
        should_list_runs = (
            not self._is_status_stored
            or sent_at - self._runs_listed_at > RUN_LIST_INTERVAL_S
        )
        # Before the first answer the incarnation is not known: the entry may be
        # of an earlier one.
        renewal = interfaces.Renewal(
            worker.token,
            None if worker.clock_read_at is None else worker.incarnation,
            self.acknowledged,
            until,
            wait_s,
            should_list_runs,
        )
        address = worker.entry.address
        try:
            with _unanswered_on_error():
                answer = await self.calls.renew_leases(renewal)
        except errors.UnreachableError as exc:
            # A refused connection is no proof that the worker is dead: a
            # broken network path may refuse too.
            await self._handle_no_answer(str(exc))
            return
        if isinstance(answer, interfaces.OrderResult):
            await self._handle_refusal(answer, address)
            return
        self._answered_address = address
        await self._handle_status(answer, sent_at)

    def _extend_lease(self, seconds: float) -> float | None:
        """Return the end of a new lease, None if none may be granted."""
        if not self.listener.may_extend_lease(self.worker):
            return None
        return self.worker.extend_lease(clock.now(), seconds)

    async def _handle_status(
        self, status: interfaces.WorkerStatus, sent_at: float
    ) -> None:
        worker = self.worker
        received_at = clock.now()
        if status.born != worker.incarnation:
            self._start_incarnation(status.born)
        if worker.clock_read_at is None:
            # The status shuts out former leaders, whose leases may last longer
            # than those that this leader grants first.
            worker.leased_until = status.clock + self.lease
        worker.record_clock(status.clock, sent_at, received_at)
        if status.running is not None:
            self._runs_listed_at = sent_at
        worker.unreached_since = None
        if not worker.is_reachable:
            worker.is_reachable = True
            logs.belief('worker_reached', worker=worker.name, born=status.born)
        incarnation = worker.incarnation
        handler_task = asyncio.ensure_future(
            self.listener.handle_status(worker, status, sent_at)
        )
        handler_task.add_done_callback(_log_handler_failure)
        done, _ = await asyncio.wait({handler_task}, timeout=RENEWAL_PAUSE_S)
        self._is_status_stored = bool(done) and handler_task.result()
        if self._is_status_stored and worker.incarnation == incarnation:
            last_end = max((end.number for end in status.ended), default=0)
            self.acknowledged = max(self.acknowledged, last_end)

    async def _handle_no_answer(self, why: str) -> None:
        worker = self.worker
        now = clock.now()
        self._mark_unreached(why)
        if worker.clock_read_at is None:
            has_expired = now > self.former_leases_expire_at
        else:
            has_expired = worker.is_lease_expired(now)
        if has_expired:
            self.listener.release_runs(
                worker,
                list(worker.tasks.values()),
                'every lease granted to it has expired',
            )
        await asyncio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1))

    async def _handle_refusal(
        self, order_result: interfaces.OrderResult, address: str
    ) -> None:
        is_other = order_result is interfaces.OrderResult.OTHER_WORKER
        if is_other and address == self._answered_address:
            # Where the worker has answered, another one shows that it is gone.
            # Elsewhere it shows that the entry is wrong.
            self.worker.is_reachable = False
            self.listener.release_runs(
                self.worker,
                list(self.worker.tasks.values()),
                'another worker answers at its address',
            )
        if order_result is interfaces.OrderResult.FENCED:
            self.listener.handle_fencing(self.worker)
        await self._handle_no_answer(order_result.value)

    def _mark_unreached(self, why: str) -> None:
        worker = self.worker
        self._is_status_stored = False
        if worker.unreached_since is None:
            worker.unreached_since = clock.now()
            logs.belief('worker_unreached', worker=worker.name, why=why)
        worker.is_reachable = False

    def _start_incarnation(self, born: int) -> None:
        worker = self.worker
        logs.belief(
            'worker_reborn',
            worker=worker.name,
            born=born,
            before=worker.incarnation,
        )
        worker.incarnation = born
        worker.clock_read_at = None
        worker.leased_until = 0
        worker.speed_estimate.forget()
        worker.is_reachable = False
        self.acknowledged = 0
        self._is_status_stored = False


@contextlib.contextmanager
def _unanswered_on_error() -> abc.Generator[None, None, None]:
    """Turn an unexpected error of a call into a call without an answer.

    What one worker's entry or answers can cause must not end the term, which
    would stop the work on all workers.
    """
    try:
        yield
    except errors.UnreachableError:
        raise
    except Exception as exc:
        logs.lifecycle('error', what=repr(exc))
        raise errors.UnreachableError(f'the call failed: {exc!r}') from exc


def _log_handler_failure(handler_task: asyncio.Future) -> None:
    if handler_task.cancelled():
        return
    exc = handler_task.exception()
    # The committer reports a deposed leader as well, so that is not logged.
    if exc is not None and not isinstance(exc, errors.FencedError):
        logs.lifecycle('error', what=repr(exc))
