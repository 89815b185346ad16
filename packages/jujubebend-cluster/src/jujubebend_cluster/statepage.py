"""State of one host for ``jujubebend status`` and ``jujubebend state``."""

from __future__ import annotations

import attrs

from jujubebend_cluster import (
    clock,
    configwatcher,
    elector,
    fleet,
    jobtable,
    leadership,
    term,
)

MILLI_PER_CORE = 1_000


@attrs.define(eq=False)
class StatePage:
    """Describes a host; on the leader, also its workers and waiting groups."""

    host: str
    zone: str
    elector: elector.Elector
    leadership: leadership.Leadership
    config_watcher: configwatcher.ConfigWatcher

    def describe(self, *, ready: bool) -> dict:
        """Return the host's state as a JSON document."""
        config = self.config_watcher.config
        record = self.elector.record
        leader_term = self.leadership.current_term()
        document = {
            'name': self.host,
            'zone': self.zone,
            'ready': ready,
            'config_revision': config.version if config else None,
            'leader': record.host if record else None,
            'epoch': record.epoch if record else 0,
            'leads': leader_term is not None,
            'reaches_store': self.config_watcher.reaches_store(),
            'alive': self.leadership.followers.addresses_by_capacity(),
            'workers': {},
            'waiting': [],
        }
        if leader_term is not None:
            document['workers'] = _describe_workers(leader_term)
            document['waiting'] = _describe_waiting(leader_term)
        return document


def _describe_workers(leader_term: term.Term) -> dict:
    return {
        worker.name: {
            'held': {'slots': worker.used_cpu / MILLI_PER_CORE},
            'capacity': {
                'slots': worker.entry.capacity.cpu_milli / MILLI_PER_CORE
            },
            'pace': round(worker.speed, 2),
            'leaving': not worker.accepts_tasks(clock.now()),
        }
        for worker in leader_term.leader.workers.workers.values()
    }


def _describe_waiting(leader_term: term.Term) -> list[dict]:
    now = clock.now()
    listed_workers = leader_term.leader.workers.listed_workers()
    return [
        {
            'kind': group.job.spec.queue,
            'team': group.job.spec.job,
            'waited_seconds': round(now - group.ready_at, 1),
            'why': _waiting_reason(group, listed_workers),
        }
        for job in leader_term.leader.job_table.live_jobs.values()
        for group in job.groups.values()
        if group.ready_at is not None and group.waiting_count
    ]


def _waiting_reason(group: jobtable.Group, workers: list[fleet.Worker]) -> str:
    """Return why a group has not started, as far as it is known."""
    step = group.step
    suitable = [worker for worker in workers if worker.fits(step.demand)]
    if not suitable:
        return 'no worker has room for one of its tasks'
    if group.tickets.pending_workers:
        return 'waiting for an answer from the advice service'
    if step.gang:
        return 'no room for all tasks of its gang at once'
    return 'no worker that may run it has room'
