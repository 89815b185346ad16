"""Tracks the workers listed in the store, with a controller for each."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    clock,
    dispatcher,
    fleet,
    interfaces,
    jobspec,
    jobtable,
    leaderstate,
    logs,
    reconciler,
    watcher,
    workercontroller,
)

# Time from the deletion of a worker's entry to the worker's removal. All of its
# leases have expired by then.
REMOVAL_DELAY_S = 30.0


@attrs.define(eq=False)
class WorkerRegistry:
    """Follows the workers' entries in the store."""

    leader: leaderstate.LeaderState
    dispatcher: dispatcher.Dispatcher
    reconciler: reconciler.Reconciler

    async def watch_entries(self) -> None:
        """Follow the entries until cancelled."""
        context = self.leader.context
        entry_watcher = watcher.PrefixWatcher(
            context.store, context.workers_prefix, self._apply_change
        )
        await entry_watcher.run()

    def release_orphaned_runs(self, job: jobtable.Job, now: float) -> None:
        """Release the job's runs on workers without an entry.

        A worker without one may live, so its leases must have expired.
        """
        for group in job.groups.values():
            for task in group.placed_tasks():
                if task.worker in self.leader.workers.workers:
                    continue
                expires_at = self.leader.former_leases_expire_at(
                    task.worker, task.incarnation
                )
                if now > expires_at:
                    placeholder = fleet.Worker(_placeholder_entry(task))
                    self.dispatcher.release_run(
                        placeholder, task, 'its worker is gone'
                    )

    def remove_unlisted_workers(self, now: float) -> None:
        """Remove the workers that were unlisted long ago and run nothing."""
        for name, controller in list(self.leader.controllers.items()):
            worker = controller.worker
            is_removable = (
                not worker.is_listed
                and now - worker.unlisted_at > REMOVAL_DELAY_S
            )
            if is_removable and not (worker.tasks or worker.is_reachable):
                controller.is_stopped = True
                self.leader.controllers.pop(name)
                self.leader.workers.workers.pop(name)
                logs.belief('worker_dropped', worker=name)

    def _apply_change(self, key: str, item: interfaces.Item | None) -> None:
        name = key.removeprefix(self.leader.context.workers_prefix)
        entry = None
        if item is not None and item.body is not None:
            entry = self.leader.context.parse_worker(name, item.body)
        controller = self.leader.controllers.get(name)
        if entry is None:
            if item is not None and item.body is not None:
                logs.belief('worker_entry_malformed', worker=name)
            if controller is not None and controller.worker.is_listed:
                controller.worker.is_listed = False
                controller.worker.unlisted_at = clock.now()
                logs.belief('worker_unlisted', worker=name)
            return
        if controller is None:
            self._add_worker(entry)
        else:
            _update_worker(controller, entry)
        self.leader.wake_event.set()

    def _add_worker(self, entry: interfaces.WorkerEntry) -> None:
        worker = fleet.Worker(entry)
        controller = workercontroller.WorkerController(
            worker,
            self.leader.connect_worker,
            self.reconciler,
            self.leader.epoch,
            self.leader.context.lease,
            self.leader.former_leases_expire_at(entry.worker, entry.born),
        )
        self.leader.workers.workers[entry.worker] = worker
        self.leader.controllers[entry.worker] = controller
        for job in self.leader.job_table.live_jobs.values():
            self._adopt_runs(job, worker)
        logs.belief('worker_listed', worker=entry.worker, born=entry.born)
        self.leader.spawn(controller.run())

    def _adopt_runs(self, job: jobtable.Job, worker: fleet.Worker) -> None:
        """Take the recorded runs on a worker for running until it answers.

        The worker refuses older orders from the first renewal on, since that
        brings a higher fencing token. A run that its first status does not
        list has ended or will never start.

        The entry is no evidence: the record may be of a later incarnation, if
        the worker answered the former leader but could not reach the store, or
        of an earlier one, if a restarted worker answered the start of a leader
        of a former build.
        """
        for group in job.groups.values():
            for task in group.placed_tasks():
                if task.worker == worker.name:
                    task.answered_at = self.leader.started_at
                    task.progressed_at = clock.now()
                    worker.allocate(task)


def _update_worker(
    controller: workercontroller.WorkerController, entry: interfaces.WorkerEntry
) -> None:
    old_state = controller.worker.entry.state
    controller.worker.is_listed = True
    controller.update_entry(entry)
    if old_state is not entry.state:
        logs.belief(
            'worker_state', worker=entry.worker, state=entry.state.value
        )


def _placeholder_entry(task: jobtable.Task) -> interfaces.WorkerEntry:
    return interfaces.WorkerEntry(
        worker=task.worker,
        born=task.incarnation,
        service='',
        address='',
        zone='',
        state=interfaces.WorkerState.DRAINING,
        capacity=jobspec.Demand(),
        labels=(),
        rack='',
    )
