"""The workers that the store lists, each with its link to the leader."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    cell,
    clock,
    feed,
    fleet,
    interfaces,
    jobspec,
    jobtable,
    link,
    logs,
    orders,
    reports,
)

GONE_AFTER = 30.0  # seconds without an entry; leases have long lapsed


@attrs.define(eq=False)
class Roster:
    """Follows the workers' entries."""

    cell: cell.Cell
    orders: orders.Orders
    reports: reports.Reports
    _lives: dict[str, int] = attrs.field(factory=dict)

    async def follow(self) -> None:
        """Follow the entries until cancelled."""
        around = self.cell.context
        follower = feed.Feed(around.store, around.workers_prefix, self._take)
        await follower.run()

    def release_orphans(self, job: jobtable.Job) -> None:
        """Release the job's runs at workers that no entry names."""
        for group in job.groups.values():
            for task in group.placed_tasks():
                if task.worker not in self.cell.workers.workers:
                    ghost = fleet.Worker(_ghost(task))
                    self.orders.release(ghost, task, 'its worker is gone')

    def drop_gone(self, now: float) -> None:
        """Drop the workers that left, or will not be back, and run nothing."""
        for name, known in list(self.cell.links.items()):
            worker = known.worker
            left = not worker.listed and now - worker.unlisted_at > GONE_AFTER
            if left and not (worker.tasks or worker.reached):
                known.stopped = True
                self._lives[name] = known.lives
                self.cell.links.pop(name)
                self.cell.workers.workers.pop(name)
                logs.belief('worker_dropped', worker=name)

    def _take(self, key: str, item: interfaces.Item | None) -> None:
        name = key.removeprefix(self.cell.context.workers_prefix)
        entry = None
        if item is not None and item.body is not None:
            entry = self.cell.context.parse_worker(name, item.body)
        known = self.cell.links.get(name)
        if entry is None:
            if known is not None and known.worker.listed:
                known.worker.listed = False
                known.worker.unlisted_at = clock.now()
                logs.belief('worker_unlisted', worker=name)
            return
        if known is None:
            self._add(entry)
        else:
            _renew(known, entry)
        self.cell.wake.set()

    def _add(self, entry: interfaces.WorkerEntry) -> None:
        worker = fleet.Worker(entry)
        made = link.Link(
            worker,
            self.cell.connect,
            self.reports,
            self.cell.epoch,
            self.cell.context.lease,
            self.cell.orphaned_until(),
            lives=self._lives.get(entry.worker, 0),
        )
        self.cell.workers.workers[entry.worker] = worker
        self.cell.links[entry.worker] = made
        for job in self.cell.book.live.values():
            self._adopt(job, worker)
        logs.belief('worker_listed', worker=entry.worker, born=entry.born)
        self.cell.spawn(made.run())

    def _adopt(self, job: jobtable.Job, worker: fleet.Worker) -> None:
        for group in job.groups.values():
            for task in group.placed_tasks():
                if task.worker != worker.name:
                    continue
                if task.life == worker.entry.born:
                    # Our first look shuts out every older order, so a run
                    # that it does not list was never and will never be.
                    task.answered_at = self.cell.began
                    task.moved_at = clock.now()
                    worker.occupy(task)
                else:
                    self.orders.release(
                        worker, task, 'its worker began a new life'
                    )


def _renew(known: link.Link, entry: interfaces.WorkerEntry) -> None:
    before = known.worker.entry.state
    known.worker.listed = True
    known.moved(entry)
    if before is not entry.state:
        logs.belief(
            'worker_state', worker=entry.worker, state=entry.state.value
        )


def _ghost(task: jobtable.Task) -> interfaces.WorkerEntry:
    return interfaces.WorkerEntry(
        worker=task.worker,
        born=task.life,
        service='',
        address='',
        zone='',
        state=interfaces.WorkerState.DRAINING,
        capacity=jobspec.Demand(),
        labels=(),
        rack='',
    )
