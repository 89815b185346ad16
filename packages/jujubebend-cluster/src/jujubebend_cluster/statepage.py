"""What ``jujubebend status`` and ``jujubebend state`` show of one host."""

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

MILLI = 1_000  # thousandths of a core


@attrs.define(eq=False)
class StatePage:
    """Describes a host; the leader knows workers and what waits besides."""

    host: str
    zone: str
    election: elector.Elector
    leading: leadership.Leading
    config_feed: configwatcher.TextFeed

    def describe(self, *, ready: bool) -> dict:
        """Return the host's state as plain values."""
        text = self.config_feed.text
        record = self.election.record
        current = self.leading.current()
        plain = {
            'name': self.host,
            'zone': self.zone,
            'ready': ready,
            'config_revision': text.version if text else None,
            'leader': record.host if record else None,
            'epoch': record.epoch if record else 0,
            'leads': current is not None,
            'reaches_store': self.config_feed.reaches_store(),
            'alive': self.leading.followers.addresses_by_cores(),
            'workers': {},
            'waiting': [],
        }
        if current is not None:
            plain['workers'] = _workers(current)
            plain['waiting'] = _waiting(current)
        return plain


def _workers(current: term.Term) -> dict:
    return {
        worker.name: {
            'held': {'slots': worker.used_cpu / MILLI},
            'capacity': {'slots': worker.entry.capacity.cpu_milli / MILLI},
            'pace': round(worker.speed, 2),
            'leaving': not worker.takes(clock.now()),
        }
        for worker in current.cell.workers.workers.values()
    }


def _waiting(current: term.Term) -> list[dict]:
    now = clock.now()
    usable = current.cell.workers.listed()
    return [
        {
            'kind': group.job.spec.queue,
            'team': group.job.spec.job,
            'waited_seconds': round(now - group.ready_at, 1),
            'why': _why(group, usable),
        }
        for job in current.cell.job_table.live.values()
        for group in job.groups.values()
        if group.ready_at is not None and group.waiting_count
    ]


def _why(group: jobtable.Group, workers: list[fleet.Worker]) -> str:
    """Return what keeps a group from starting, as far as it is known."""
    step = group.step
    fitting = [worker for worker in workers if worker.fits(step.demand)]
    if not fitting:
        return 'no worker has room for one of its tasks'
    if group.tickets.is_request_pending:
        return 'advice has been asked for'
    if step.gang:
        return 'its gang does not fit whole'
    return 'no worker that it may run on has room'
