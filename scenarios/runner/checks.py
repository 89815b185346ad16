"""Facts that must be true after a scenario, from the stand-ins' records."""

from __future__ import annotations

import asyncio

import attrs
import orjson

from scenarios.runner import cluster, load

WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
ENDED_AT_LAST = float('inf')
QUIET_AFTER = 4.0
START_SHARE = 0.1
MATCH_TRIES = 100
MATCH_WAIT = 0.2


@attrs.frozen
class Event:
    """One line of a worker's record."""

    what: str
    attempt: str
    identity: str
    at: float
    worker: str


@attrs.define(eq=False)
class Evidence:
    """All that a scenario has seen."""

    cell: cluster.Cell
    results: list[load.Result] = attrs.field(factory=list)
    jobs: dict[str, str] = attrs.field(factory=dict)
    job_states: dict[str, dict] = attrs.field(factory=dict)
    left_at: dict[str, float] = attrs.field(factory=dict)
    cancelled_at: dict[str, float] = attrs.field(factory=dict)
    race_winners: int = 0
    slow_revisions: list[str] = attrs.field(factory=list)
    went_back: list[str] = attrs.field(factory=list)
    replicas: dict[str, int] = attrs.field(factory=dict)

    def events(self) -> list[Event]:
        """Return what every worker has recorded, in order of time."""
        found = []
        for name in self.cell.worker_names():
            record = self.cell.record(name)
            if not record.exists():
                continue
            for line in record.read_bytes().splitlines():
                found.append(Event(**orjson.loads(line), worker=name))
        return sorted(found, key=lambda event: event.at)


async def check(fact: str, percent: int, seen: Evidence) -> list[str]:
    """Return what contradicts a fact; nothing when it holds."""
    match fact:
        case 'store-spared':
            return await _store_spared(seen)
        case 'replicas':
            return await _until_matched(seen)
        case 'served':
            return _served(seen, percent)
    return _CHECKS[fact](seen)


def _whole(seen: Evidence) -> list[str]:
    return [
        f'{one.identity}: its answer is not its own or not whole'
        for one in seen.results
        if not one.whole
    ]


def _once(seen: Evidence) -> list[str]:
    keyed = {one.identity for one in seen.results if one.keyed}
    starts: dict[str, int] = {}
    for event in seen.events():
        if event.what == 'start' and event.identity in keyed:
            starts[event.identity] = starts.get(event.identity, 0) + 1
    return [
        f'{identity}: started {count} times'
        for identity, count in starts.items()
        if count > 1
    ]


def _exclusive(seen: Evidence) -> list[str]:
    """Nothing recorded runs in two places at once."""
    exclusive = {one.identity for one in seen.results if one.keyed}
    for job in seen.job_states.values():
        exclusive.update(job.get('identities', ()))
    found = []
    running: dict[str, Event] = {}
    for event in seen.events():
        if event.what == 'killed':
            for identity, start in list(running.items()):
                if start.worker == event.worker:
                    running.pop(identity)
        if event.identity not in exclusive:
            continue
        if event.what == 'start':
            before = running.get(event.identity)
            if before is not None:
                found.append(
                    f'{event.identity}: on {before.worker} and '
                    f'{event.worker} at once',
                )
            running[event.identity] = event
        elif event.what.startswith('end'):
            running.pop(event.identity, None)
    return found


def _not_run_true(seen: Evidence) -> list[str]:
    started = {
        event.identity for event in seen.events() if event.what == 'start'
    }
    return [
        f'{one.identity}: told not_run only, yet it was started'
        for one in seen.results
        if one.outcomes
        and set(one.outcomes) == {'not_run'}
        and one.identity in started
    ]


def _not_overfilled(seen: Evidence) -> list[str]:
    return [
        f'{event.worker}: was sent more than it holds'
        for event in seen.events()
        if event.what == 'overfilled'
    ]


def _jobs_done(seen: Evidence) -> list[str]:
    return [
        f'job {name}: {seen.job_states.get(name, {}).get("state")}'
        for name in seen.jobs
        if name not in seen.cancelled_at
        and seen.job_states.get(name, {}).get('state') != 'done'
    ]


def _cancelled(seen: Evidence) -> list[str]:
    """Nothing of a cancelled job starts after, and all of it ends."""
    found = []
    for name, at in seen.cancelled_at.items():
        state = seen.job_states.get(name, {}).get('state')
        if state != 'cancelled':
            found.append(f'job {name}: {state}')
        for event in seen.events():
            is_late = event.at > at + QUIET_AFTER
            mine = event.identity.startswith(f'{name}-')
            if mine and is_late and event.what == 'start':
                found.append(f'{event.identity}: started after its cancel')
    return found


def _served(seen: Evidence, percent: int) -> list[str]:
    answered = sum(one.last() == 'answered' for one in seen.results)
    share = 100 * answered / max(1, len(seen.results))
    if share >= percent:
        return []
    return [f'{answered} of {len(seen.results)} answered: {share:.1f}%']


def _none_lost(seen: Evidence) -> list[str]:
    return [
        f'{one.identity}: {one.outcomes}'
        for one in seen.results
        if 'lost' in one.outcomes or one.last() == 'unsent'
    ] + [
        f'{name}: exit code {code}'
        for name, code in seen.cell.exit_codes.items()
        if code != 0
    ]


async def _store_spared(seen: Evidence) -> list[str]:
    counts = await seen.cell.store_counts()
    reads = max((one[0] for one in counts['by_second']), default=0)
    writes = max((one[1] for one in counts['by_second']), default=0)
    found = []
    if reads > READS_PER_SECOND:
        found.append(f'{reads} reads in a second')
    if writes > WRITES_PER_SECOND:
        found.append(f'{writes} writes in a second')
    return found


def _in_force(seen: Evidence) -> list[str]:
    return seen.slow_revisions + seen.went_back


def _one_winner(seen: Evidence) -> list[str]:
    if seen.race_winners == 1:
        return []
    return [f'{seen.race_winners} operators were told that they won']


def _replicas(seen: Evidence) -> list[str]:
    running: dict[str, int] = {}
    for event in seen.events():
        if event.identity:
            continue
        change = {'start': 1}.get(event.what, 0)
        if event.what.startswith('end'):
            change = -1
        running[event.worker] = running.get(event.worker, 0) + change
        if event.what == 'killed':
            running[event.worker] = 0
    total = sum(running.values())
    wanted = sum(seen.replicas.values())
    if total == wanted:
        return []
    return [f'{total} replicas run, {wanted} are wanted']


async def _until_matched(seen: Evidence) -> list[str]:
    """Give the system a while to match the text: no time is promised."""
    for _ in range(MATCH_TRIES):
        found = _replicas(seen)
        if not found:
            break
        await asyncio.sleep(MATCH_WAIT)
    return found


def _quiet_leaver(seen: Evidence) -> list[str]:
    return [
        f'{event.worker}: a start {event.at - left:.1f} s after it left'
        for event in seen.events()
        for left in (seen.left_at.get(event.worker, ENDED_AT_LAST),)
        if event.what == 'start' and event.at > left + QUIET_AFTER
    ]


def _few_failed_starts(seen: Evidence) -> list[str]:
    events = seen.events()
    failed = sum(event.what == 'end:failed' for event in events)
    starts = sum(event.what == 'start' for event in events)
    if failed <= START_SHARE * starts:
        return []
    return [f'{failed} of {starts} starts failed']


_CHECKS = {
    'whole': _whole,
    'once': _once,
    'exclusive': _exclusive,
    'not-run-true': _not_run_true,
    'not-overfilled': _not_overfilled,
    'jobs-done': _jobs_done,
    'cancelled': _cancelled,
    'none-lost': _none_lost,
    'in-force': _in_force,
    'one-winner': _one_winner,
    'quiet-leaver': _quiet_leaver,
    'few-failed-starts': _few_failed_starts,
}
