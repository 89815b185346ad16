"""The promises, checked from what workers ran and callers were told."""

from __future__ import annotations

import collections
from collections import abc

from jujubebend_standin.fleet import load, site, worker

SLACK = 0.05  # seconds; two clocks readings of one moment


def broken(place: site.Site, callers: load.Load) -> list[str]:
    """Return each promise that was broken, in words."""
    by_task: dict[str, list[worker.Run]] = collections.defaultdict(list)
    for one in place.workers:
        for run in one.runs:
            by_task[run.task].append(run)
    found = [
        f'{one.name} was given {one.most_cpu} of {one.cpu}'
        for one in place.workers
        if one.most_cpu > one.cpu
    ]
    for task, runs in by_task.items():
        found.extend(_twice(task, runs))
    for told in callers.jobs.values():
        found.extend(_untrue(told, by_task))
    return found


def _twice(task: str, runs: list[worker.Run]) -> abc.Iterator[str]:
    runs = sorted(runs, key=lambda run: run.begun)
    for before, after in zip(runs, runs[1:], strict=False):
        if before.ended is None or after.begun < before.ended - SLACK:
            yield f'{task}: runs {before.run} and {after.run} overlap'
        if before.how == 'done' and before.noted:
            yield f'{task}: run {after.run} began after it was done'


def _untrue(
    told: load.Told, by_task: dict[str, list[worker.Run]]
) -> abc.Iterator[str]:
    ran = {task for task in by_task if task.startswith(told.job)}
    if ran and not told.accepted and not told.unsure:
        yield f'{told.job}: refused, and it ran'
    if told.accepted and told.state == 'unknown to the system':
        yield f'{told.job}: accepted, and forgotten'
    if told.state == 'completed':
        done = {
            task
            for task in ran
            if any(run.how == 'done' for run in by_task[task])
        }
        if len(done) != told.tasks:
            yield f'{told.job}: {len(done)} of {told.tasks} done, completed'
