"""One host's time as the cell's leader, from its election to its end."""

from __future__ import annotations

import asyncio
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    advicedesk,
    book,
    clock,
    committer,
    feed,
    fleet,
    jobspec,
    keys,
    link,
    logs,
    planner,
    ports,
    records,
)

HOLD_ON = 8.0  # seconds a leader cut off from the store keeps leases alive
SPEAKS_FOR = 1.5  # seconds since a commit in which a leader answers as one
PASS_GAP = 0.012  # seconds between two planning passes
PASS_IDLE = 0.1  # seconds; occurrences and leases come due without an event
STALL_LIMIT = 3.0  # seconds without progress after which a run stands still
WHOLE = 100  # percent of a task's declared work
FORGET_SLACK = 30.0  # seconds an ended job is kept beyond what callers need
SWEEP_EVERY = 0.5  # seconds between looks at orphans and old jobs


class TermEndedError(Exception):
    """This host no longer leads."""


@attrs.define(eq=False)
class _JobRecord:
    """A job's progress on its way to the store."""

    job: book.Job
    state: book.JobState = book.JobState.QUEUED

    def encode(self) -> bytes:
        self.state = self.job.state
        return book.encode_progress(self.job)

    def stored(self) -> None:
        self.job.shown = self.state


@attrs.frozen
class Surroundings:
    """What a term works with."""

    store: ports.Store
    connect: abc.Callable[[str, str], ports.WorkerCalls]
    parse_worker: abc.Callable[[str, bytes], ports.WorkerEntry | None]
    workers_prefix: str
    current_text: abc.Callable[[], jobspec.Text | None]
    lease: float
    status_kept: float


@attrs.define(eq=False)
class Term:
    """Schedules the cell under one epoch."""

    around: Surroundings
    commits: committer.Committer
    desk: advicedesk.AdviceDesk
    book: book.Book = attrs.field(factory=book.Book)
    cell: fleet.Fleet = attrs.field(factory=fleet.Fleet)
    links: dict[str, link.Link] = attrs.field(factory=dict)
    loaded: bool = False
    began: float = attrs.field(factory=lambda: clock.now())
    starts: int = 0
    _queues: dict[str, jobspec.Queue] = attrs.field(factory=dict)
    _cancelled_early: set[str] = attrs.field(factory=set)
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)
    _ended: asyncio.Future = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the future that ends the term."""
        self._ended = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Lead until another host does."""
        logs.belief('leading', epoch=self.commits.record.epoch)
        self._spawn(self._commit())
        try:
            await self._load()
            self._spawn(self._follow_workers())
            self._spawn(self._plan_forever())
            self._spawn(self._sweep_forever())
            await self._ended
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            logs.belief('led', epoch=self.commits.record.epoch)

    def resign(self) -> None:
        """End the term at this host's own wish."""
        self._end('this host stops')

    def speaks(self) -> bool:
        """Say whether this leader's answers are current."""
        recent = clock.now() - self.commits.committed_at < SPEAKS_FOR
        return self.loaded and recent and not self.commits.deposed

    def may_order(self) -> bool:
        """Say whether this leader may still give orders to workers."""
        if self.commits.deposed:
            return False
        return clock.now() - self.commits.committed_at < HOLD_ON

    def state_of(self, job: str) -> book.JobState | None:
        """Return the recorded state of a job, None if it is not known."""
        known = self.book.jobs.get(job)
        return known.shown if known is not None else None

    def count_waiting(self, queue: str) -> int:
        """Return how many of a queue's jobs have started no task."""
        return sum(
            job.spec.queue == queue and not job.begun
            for job in self.book.live.values()
        )

    async def looked(
        self, worker: fleet.Worker, look: ports.Look, sent: float
    ) -> bool:
        """Take what a worker tells; True once all of it is stored."""
        for end in look.ended:
            self._take_end(worker, end)
        self._take_running(worker, look, sent)
        self._wake.set()
        await self.commits.flush()
        return True

    def life_ended(self, worker: fleet.Worker, why: str) -> None:
        """Release all that ran in a worker's former life."""
        lost = list(worker.tasks.values())
        if lost:
            logs.belief(
                'worker_lost', worker=worker.name, why=why, tasks=len(lost)
            )
        for task in lost:
            self._release(worker, task, why)
        self._wake.set()

    def fenced(self, worker: fleet.Worker) -> None:
        """End the term: a worker has seen a later leader."""
        self._end(f'{worker.name} has seen a later token')

    # Loading and following the store.

    async def _load(self) -> None:
        inbox, revision = await self._insist(keys.INBOX)
        progress, _ = await self._insist(keys.PROGRESS)
        told = {item.key: item.body for item in progress}
        for item in inbox:
            if item.key.startswith(keys.JOBS) and item.body is not None:
                spec = records.decode_job(item.body)
                self.book.add(spec, told.get(keys.progress(spec.job)))
        for item in inbox:
            self._take_inbox(item.key, item)
        follower = feed.Feed(
            self.around.store,
            keys.INBOX,
            self._take_inbox,
            items={item.key: item.revision for item in inbox},
            revision=revision,
        )
        self._spawn(follower.run())
        self.loaded = True
        logs.belief(
            'loaded', jobs=len(self.book.jobs), live=len(self.book.live)
        )

    async def _insist(self, prefix: str) -> tuple[list[ports.Item], int]:
        while True:
            try:
                return await self.around.store.scan(prefix)
            except errors.JujubebendError as exc:
                logs.dependency('store', lost=True, why=str(exc))
                await asyncio.sleep(committer.RETRY_MOST)

    def _take_inbox(self, key: str, item: ports.Item | None) -> None:
        if item is None or item.body is None:
            return
        if key.startswith(keys.JOBS):
            self._take_job(records.decode_job(item.body))
        elif key.startswith(keys.CANCELS):
            self._take_cancel(key.removeprefix(keys.CANCELS))

    def _take_job(self, spec: jobspec.JobSpec) -> None:
        if spec.job in self.book.jobs:
            return
        job = self.book.add(spec)
        logs.decision('queued', job=spec.job, queue=spec.queue)
        if spec.job in self._cancelled_early:
            self._cancel(job)
        self._wake.set()

    def _take_cancel(self, name: str) -> None:
        job = self.book.jobs.get(name)
        if job is None:
            self._cancelled_early.add(name)
        elif not job.is_ended:
            self._cancel(job)

    def _cancel(self, job: book.Job) -> None:
        self.book.cancel(job, clock.now())
        logs.decision('cancelled', job=job.spec.job)
        self._withdraw(job)
        self._save(job)

    async def _follow_workers(self) -> None:
        follower = feed.Feed(
            self.around.store, self.around.workers_prefix, self._take_worker
        )
        await follower.run()

    def _take_worker(self, key: str, item: ports.Item | None) -> None:
        name = key.removeprefix(self.around.workers_prefix)
        entry = None
        if item is not None and item.body is not None:
            entry = self.around.parse_worker(name, item.body)
        known = self.links.get(name)
        if entry is None:
            if known is not None and known.worker.listed:
                known.worker.listed = False
                logs.belief('worker_unlisted', worker=name)
            return
        if known is not None:
            self._renew_worker(known, entry)
        else:
            self._add_worker(entry)
        self._wake.set()

    def _renew_worker(self, known: link.Link, entry: ports.WorkerEntry) -> None:
        before = known.worker.entry.state
        known.worker.listed = True
        known.moved(entry)
        if before is not entry.state:
            logs.belief(
                'worker_state', worker=entry.worker, state=entry.state.value
            )

    def _add_worker(self, entry: ports.WorkerEntry) -> None:
        worker = fleet.Worker(entry)
        made = link.Link(
            worker,
            self.around.connect,
            self,
            self.commits.record.epoch,
            self.around.lease,
            self._orphaned_until(),
        )
        self.cell.workers[entry.worker] = worker
        self.links[entry.worker] = made
        for job in self.book.live.values():
            self._adopt(job, worker)
        logs.belief('worker_listed', worker=entry.worker, born=entry.born)
        self._spawn(made.run())

    def _adopt(self, job: book.Job, worker: fleet.Worker) -> None:
        for group in job.groups.values():
            for task in group.placed_tasks():
                if task.worker != worker.name:
                    continue
                if task.life == worker.entry.born:
                    # Our first look shuts out every older order, so a run
                    # that it does not list was never and will never be.
                    task.answered_at = self.began
                    task.moved_at = clock.now()
                    worker.occupy(task)
                else:
                    self._release(worker, task, 'its worker began a new life')

    def _orphaned_until(self) -> float:
        lease = self.around.lease / fleet.SLOWEST_CLOCK
        return self.began + HOLD_ON + lease + fleet.LEASE_MARGIN

    # What workers tell.

    def _take_end(self, worker: fleet.Worker, end: ports.Ended) -> None:
        task = worker.tasks.get(end.task)
        if task is None or task.run != end.run:
            return
        now = clock.now()
        group = task.group
        job = group.job
        logs.decision(
            'ended',
            job=end.task.job,
            task=end.task.label,
            run=end.run,
            how=end.ending.value,
            worker=worker.name,
            number=end.number,
            seconds=round(now - task.placed_at, 3),
        )
        self._judge(worker, task, end.ending, now)
        queue = self._queue_of(job)
        attempts = queue.attempts if queue is not None else 1
        released = self.book.ended(task, end.ending, end.checkpoint, attempts)
        for one in released:
            self._vacate(one, worker)
        if group.step.gang and not group.is_done:
            self._withdraw_group(group)
        self.book.settle(job, now)
        if job.is_ended:
            self._end_job(job, now)
        self._save(job)

    def _end_job(self, job: book.Job, now: float) -> None:
        if not job.ended_at:
            job.ended_at = now
        self._withdraw(job)
        logs.decision('job_ended', job=job.spec.job, state=job.state.value)

    def _judge(
        self,
        worker: fleet.Worker,
        task: book.Task,
        ending: ports.Ending,
        now: float,
    ) -> None:
        if ending is ports.Ending.DONE:
            worker.succeeded()
            whole = not task.checkpoint and not task.group.step.gang
            if whole and task.placed_at:
                worker.ran(task.group.step.estimate, now - task.placed_at)
        elif ending is ports.Ending.FAILED:
            # A task that fails everywhere says nothing of its workers.
            blames = not task.failed_on
            task.failed_on.add(worker.name)
            if blames and worker.failed(now):
                self._suspend(worker, 'it fails what it starts')

    def _suspend(self, worker: fleet.Worker, why: str) -> None:
        now = clock.now()
        if now < worker.suspended_until:
            return
        if self.cell.may_suspend(worker, now):
            worker.suspend(now)
            logs.belief('worker_suspended', worker=worker.name, why=why)

    def _take_running(
        self, worker: fleet.Worker, look: ports.Look, sent: float
    ) -> None:
        listed: set[jobspec.TaskName] = set()
        now = clock.now()
        for row in look.running:
            task = worker.tasks.get(row.task)
            if task is None or task.run != row.run:
                self._take_stray(worker, row)
                continue
            listed.add(row.task)
            self._take_progress(worker, task, row, now)
        ended = {end.task for end in look.ended}
        for task in list(worker.tasks.values()):
            name = task.name
            answered = task.answered_at
            if name in listed or name in ended or answered is None:
                continue
            if sent > answered:
                self._release(worker, task, 'the worker does not list it')

    def _take_stray(self, worker: fleet.Worker, row: ports.Running) -> None:
        known = self.book.find(row.task)
        if known is not None and known.state is book.TaskState.DONE:
            # Another member's end stood for its gang: this one ends too.
            return
        worker.refused_until = clock.now() + link.HOLD_WAIT
        logs.decision(
            'stray_stopped',
            job=row.task.job,
            task=row.task.label,
            run=row.run,
            worker=worker.name,
        )
        self._spawn(self.links[worker.name].drop(row))

    def _take_progress(
        self,
        worker: fleet.Worker,
        task: book.Task,
        row: ports.Running,
        now: float,
    ) -> None:
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.percent != task.percent:
            task.percent = row.percent
            task.moved_at = now
        stalled = now - task.moved_at > STALL_LIMIT
        # The figure is of the declared work: a task that takes longer than
        # it declared stays at its most, and is no sign of a fault.
        judged = row.percent < WHOLE and not task.group.step.lasting
        if stalled and judged and not task.stopping:
            self._suspend(worker, 'its tasks stand still')
            self._stop(task, 'it stands still')

    # Starting and stopping.

    async def _plan_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(PASS_IDLE):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self.commits.store_lost or not self.speaks():
                await asyncio.sleep(PASS_GAP)
                continue
            self._plan()
            await asyncio.sleep(PASS_GAP)

    def _plan(self) -> None:
        now, unix = clock.now(), clock.unix()
        ready = self._ready_groups(now, unix)
        made = planner.plan(ready, self.cell, now)
        for group in made.unadvised:
            self._ask_advice(group, now)
        if not made.placements:
            return
        jobs: dict[str, book.Job] = {}
        runs = self._next_runs(made.placements)
        for placement in made.placements:
            task, worker = placement.task, placement.worker
            self.book.place(
                task, worker.name, worker.entry.born, runs[task.name]
            )
            task.placed_at = now
            task.moved_at = now
            worker.occupy(task)
            jobs[task.name.job] = task.group.job
        for job in jobs.values():
            self._save(job)
        self._spawn(self._start_all(made.placements))

    def _next_runs(
        self, placements: list[planner.Placement]
    ) -> dict[jobspec.TaskName, int]:
        runs: dict[jobspec.TaskName, int] = {}
        for placement in placements:
            task = placement.task
            run = task.run
            if task.group.step.gang:
                run = max(one.run for one in task.group.tasks)
            runs[task.name] = run + 1
        return runs

    def _ready_groups(
        self, now: float, unix: float
    ) -> list[tuple[jobspec.Queue, book.Group]]:
        ready = []
        for job in self.book.live.values():
            queue = self._queue_of(job)
            if queue is None or job.is_ended:
                continue
            self.book.open_due(job, unix, now)
            for group in job.groups.values():
                if group.ready_at is not None and group.waiting:
                    key = planner.urgency(queue, group, unix)
                    ready.append((key, len(ready), queue, group))
        ready.sort()
        return [(queue, group) for _, _, queue, group in ready]

    def _queue_of(self, job: book.Job) -> jobspec.Queue | None:
        text = self.around.current_text()
        queue = text.queue(job.spec.queue) if text is not None else None
        if queue is None:
            # The text may drop a queue while its accepted jobs go on.
            return self._queues.get(job.spec.queue)
        self._queues[queue.name] = queue
        return queue

    async def _start_all(self, placements: list[planner.Placement]) -> None:
        await self.commits.flush()
        await asyncio.gather(*(self._start(one) for one in placements))

    async def _start(self, placement: planner.Placement) -> None:
        task, worker = placement.task, placement.worker
        run = task.run
        if task.state is not book.TaskState.PLACED or task.stopping:
            if task.stopping and task.run == run:
                self._release(worker, task, 'withdrawn before its start')
            return
        if not self._is_current(task, worker):
            self._release(worker, task, 'its worker changed before its start')
            return
        task.ordered = True
        self.starts += 1
        verdict = await self.links[worker.name].start(task, placement.ticket)
        if task.run != run or task.state is not book.TaskState.PLACED:
            return
        self._log_start(task, worker, verdict)
        self._take_verdict(task, worker, verdict)

    def _is_current(self, task: book.Task, worker: fleet.Worker) -> bool:
        draining = worker.entry.state is not ports.WorkerState.READY
        return task.life == worker.entry.born and not draining

    def _log_start(
        self,
        task: book.Task,
        worker: fleet.Worker,
        verdict: ports.Verdict | None,
    ) -> None:
        age = clock.now() - (worker.clock_read or 0)
        logs.decision(
            'start',
            job=task.name.job,
            task=task.name.label,
            run=task.run,
            worker=worker.name,
            token=worker.token,
            report_age=round(age, 3),
            outcome=verdict.value if verdict is not None else 'unknown',
        )

    def _take_verdict(
        self,
        task: book.Task,
        worker: fleet.Worker,
        verdict: ports.Verdict | None,
    ) -> None:
        now = clock.now()
        if verdict is ports.Verdict.ACCEPTED:
            task.answered_at = now
            return
        if verdict is None:
            self._stop(task, 'its start was not answered')
            return
        if verdict is ports.Verdict.FENCED:
            self.fenced(worker)
            return
        if verdict is ports.Verdict.NO_TICKET:
            task.group.tickets.good[worker.name] = ('', 0)
        elif verdict is ports.Verdict.UNHEALTHY:
            self._suspend(worker, 'it refuses starts')
        elif verdict is not ports.Verdict.SUPERSEDED:
            worker.refused_until = now + link.HOLD_PAUSE
        # An earlier try of the same start may still arrive: a stop that is
        # answered keeps it out for good.
        self._stop(task, f'its start was refused: {verdict.value}')

    def _stop(self, task: book.Task, why: str) -> None:
        if task.state is not book.TaskState.PLACED or task.stopping:
            return
        task.stopping = True
        logs.decision(
            'stop',
            job=task.name.job,
            task=task.name.label,
            run=task.run,
            worker=task.worker,
            percent=task.percent,
            why=why,
        )
        made = self.links.get(task.worker)
        if made is not None and task.ordered:
            self._spawn(made.stop(task))

    def _withdraw(self, job: book.Job) -> None:
        for group in job.groups.values():
            self._withdraw_group(group)

    def _withdraw_group(self, group: book.Group) -> None:
        for task in group.placed_tasks():
            self._stop(task, f'its job is {group.job.state.value}')

    def _release(self, worker: fleet.Worker, task: book.Task, why: str) -> None:
        worker.vacate(task)
        self.book.release(task)
        logs.decision(
            'released',
            job=task.name.job,
            task=task.name.label,
            run=task.run,
            worker=worker.name,
            why=why,
        )
        if task.group.step.gang:
            self._withdraw_group(task.group)
        self._save(task.group.job)

    def _vacate(self, task: book.Task, reporter: fleet.Worker) -> None:
        holder = self.cell.workers.get(task.worker, reporter)
        holder.vacate(task)
        if holder is not reporter:
            holder.refused_until = clock.now() + link.HOLD_PAUSE

    def _ask_advice(self, group: book.Group, now: float) -> None:
        queue = self._queue_of(group.job)
        if queue is None or queue.advice is None:
            return
        usable = self.cell.usable(queue.service, now)
        named = self.desk.candidates(group, usable, now)
        if not named or group.tickets.asking:
            return
        caller = self.desk.choose(queue.advice, len(named), now)
        if caller is None:
            return
        group.tickets.asking = True
        self._spawn(self._advise(group, queue.advice, named, caller))

    async def _advise(
        self,
        group: book.Group,
        policy: jobspec.AdvicePolicy,
        named: list[fleet.Worker],
        caller: advicedesk.Caller,
    ) -> None:
        await self.desk.renew(group, policy, named, caller)
        self._wake.set()

    # Housekeeping.

    def _save(self, job: book.Job) -> None:
        self.book.dirty.pop(job.spec.job, None)
        self.commits.put(keys.progress(job.spec.job), _JobRecord(job))

    async def _commit(self) -> None:
        try:
            await self.commits.run()
        except committer.DeposedError as exc:
            self._end(str(exc))

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_EVERY)
            now = clock.now()
            if now - self.commits.committed_at > HOLD_ON:
                self._end('the store was away for too long')
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        orphaned = now > self._orphaned_until()
        for job in list(self.book.live.values()):
            if orphaned:
                self._release_orphans(job)
            placed = any(group.placed for group in job.groups.values())
            if job.is_ended and not placed:
                self.book.live.pop(job.spec.job)
        for job in list(self.book.jobs.values()):
            kept = self.around.status_kept + FORGET_SLACK
            if job.is_ended and now - max(job.ended_at, self.began) > kept:
                self._forget(job)

    def _release_orphans(self, job: book.Job) -> None:
        for group in job.groups.values():
            for task in group.placed_tasks():
                if task.worker not in self.cell.workers:
                    ghost = fleet.Worker(_ghost(task))
                    self._release(ghost, task, 'its worker is gone')

    def _forget(self, job: book.Job) -> None:
        name = job.spec.job
        self.book.forget(job)
        for key in (keys.job(name), keys.cancel(name), keys.progress(name)):
            self.commits.put(key, committer.Deletion())

    def _end(self, why: str) -> None:
        if not self._ended.done():
            logs.belief('deposed', epoch=self.commits.record.epoch, why=why)
            self._ended.set_result(None)

    def _spawn(self, work: abc.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if isinstance(exc, committer.DeposedError):
            self._end(str(exc))
        elif exc is not None:
            logs.lifecycle('error', what=repr(exc))
            self._end(f'a part of the leader failed: {exc!r}')


def _ghost(task: book.Task) -> ports.WorkerEntry:
    return ports.WorkerEntry(
        worker=task.worker,
        born=task.life,
        service='',
        address='',
        zone='',
        state=ports.WorkerState.DRAINING,
        capacity=jobspec.Demand(),
        labels=(),
        rack='',
    )
