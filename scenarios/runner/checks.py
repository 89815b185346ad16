"""Checks of what was observed in a scenario against its expectations.

The observations are the events that the fake workers write, the outcomes
that callers received and the state of entry hosts and store. Each check
returns a line per violation.
"""

from __future__ import annotations

import asyncio

import attrs
import orjson

from scenarios.runner import cluster, load

MAX_WRITES_PER_SECOND = 400
MAX_READS_PER_SECOND = 2000
NEVER = float('inf')
START_GRACE_SECONDS = 4.0
MAX_FAILED_START_SHARE = 0.1
REPLICA_CHECK_ATTEMPTS = 100
REPLICA_CHECK_INTERVAL_SECONDS = 0.2


@attrs.frozen
class Event:
    """An event that a worker has recorded; ``at`` is in Unix seconds."""

    what: str
    attempt: str
    identity: str
    at: float
    worker: str


@attrs.define(eq=False)
class Observations:
    """What has been observed in a scenario so far.

    ``jobs`` holds job ids and ``job_states`` the latest states, by the name of
    the job in the script. ``left_at`` and ``cancelled_at`` hold Unix times in
    seconds by worker and by job name. ``replicas`` is the configured number
    by service.
    """

    cluster: cluster.Cluster
    results: list[load.Result] = attrs.field(factory=list)
    jobs: dict[str, str] = attrs.field(factory=dict)
    job_states: dict[str, dict] = attrs.field(factory=dict)
    left_at: dict[str, float] = attrs.field(factory=dict)
    cancelled_at: dict[str, float] = attrs.field(factory=dict)
    race_winner_count: int = 0
    late_revisions: list[str] = attrs.field(factory=list)
    revision_regressions: list[str] = attrs.field(factory=list)
    replicas: dict[str, int] = attrs.field(factory=dict)

    def read_events(self) -> list[Event]:
        """Return the recorded events of all workers, ordered by time."""
        events = []
        for name in self.cluster.worker_names():
            path = self.cluster.record_path(name)
            if not path.exists():
                continue
            for line in path.read_bytes().splitlines():
                events.append(Event(**orjson.loads(line), worker=name))
        return sorted(events, key=lambda event: event.at)


async def find_violations(
    fact: str, percent: int, observations: Observations
) -> list[str]:
    """Return the violations of an expected fact, empty if it holds.

    ``percent`` is the share of requests that ``served`` requires.
    """
    match fact:
        case 'store-spared':
            return await _check_store_spared(observations)
        case 'replicas':
            return await _check_replicas(observations)
        case 'served':
            return _check_served(observations, percent)
    return _CHECKS[fact](observations)


def _check_whole(observations: Observations) -> list[str]:
    return [
        f'{result.identity}: the answer is truncated or not for this request'
        for result in observations.results
        if not result.whole
    ]


def _check_once(observations: Observations) -> list[str]:
    keyed_identities = {
        result.identity for result in observations.results if result.keyed
    }
    starts: dict[str, int] = {}
    for event in observations.read_events():
        if event.what == 'start' and event.identity in keyed_identities:
            starts[event.identity] = starts.get(event.identity, 0) + 1
    return [
        f'{identity}: started {count} times'
        for identity, count in starts.items()
        if count > 1
    ]


def _check_exclusive(observations: Observations) -> list[str]:
    """Check that no task runs in two places at the same time.

    This holds for keyed requests and for the tasks of jobs, which the entry
    hosts record in their journal.
    """
    exclusive_identities = {
        result.identity for result in observations.results if result.keyed
    }
    for job in observations.job_states.values():
        exclusive_identities.update(job.get('identities', ()))
    violations = []
    running: dict[str, Event] = {}
    for event in observations.read_events():
        if event.what == 'killed':
            for identity, start in list(running.items()):
                if start.worker == event.worker:
                    running.pop(identity)
        if event.identity not in exclusive_identities:
            continue
        if event.what == 'start':
            previous = running.get(event.identity)
            if previous is not None:
                violations.append(
                    f'{event.identity}: on {previous.worker} and '
                    f'{event.worker} at the same time',
                )
            running[event.identity] = event
        elif event.what.startswith('end'):
            running.pop(event.identity, None)
    return violations


def _check_not_run_true(observations: Observations) -> list[str]:
    started_identities = {
        event.identity
        for event in observations.read_events()
        if event.what == 'start'
    }
    return [
        f'{result.identity}: only answered not_run, but was started'
        for result in observations.results
        if result.outcomes
        and set(result.outcomes) == {'not_run'}
        and result.identity in started_identities
    ]


def _check_not_overfilled(observations: Observations) -> list[str]:
    return [
        f'{event.worker}: was sent tasks beyond its capacity'
        for event in observations.read_events()
        if event.what == 'overfilled'
    ]


def _check_jobs_done(observations: Observations) -> list[str]:
    return [
        f'job {name}: expected state done, '
        f'found {observations.job_states.get(name, {}).get("state")}'
        for name in observations.jobs
        if name not in observations.cancelled_at
        and observations.job_states.get(name, {}).get('state') != 'done'
    ]


def _check_cancelled(observations: Observations) -> list[str]:
    """Check that cancelled jobs end and start no more tasks.

    Starts within a grace period after the cancellation are allowed.
    """
    violations = []
    for name, cancelled_at in observations.cancelled_at.items():
        state = observations.job_states.get(name, {}).get('state')
        if state != 'cancelled':
            violations.append(
                f'job {name}: expected state cancelled, found {state}'
            )
        for event in observations.read_events():
            is_late = event.at > cancelled_at + START_GRACE_SECONDS
            is_of_job = event.identity.startswith(f'{name}-')
            if is_of_job and is_late and event.what == 'start':
                violations.append(
                    f'{event.identity}: started after its job was cancelled'
                )
    return violations


def _check_served(observations: Observations, percent: int) -> list[str]:
    answered_count = sum(
        result.last_outcome() == 'answered' for result in observations.results
    )
    share = 100 * answered_count / max(1, len(observations.results))
    if share >= percent:
        return []
    return [
        f'{answered_count} of {len(observations.results)} requests answered '
        f'({share:.1f}%), expected {percent}%'
    ]


def _check_none_lost(observations: Observations) -> list[str]:
    return [
        f'{result.identity}: lost or never sent, outcomes {result.outcomes}'
        for result in observations.results
        if 'lost' in result.outcomes or result.last_outcome() == 'unsent'
    ] + [
        f'{name}: expected exit code 0, found {code}'
        for name, code in observations.cluster.exit_codes.items()
        if code != 0
    ]


async def _check_store_spared(observations: Observations) -> list[str]:
    counts = await observations.cluster.fetch_store_counts()
    reads = max((row[0] for row in counts['by_second']), default=0)
    writes = max((row[1] for row in counts['by_second']), default=0)
    violations = []
    if reads > MAX_READS_PER_SECOND:
        violations.append(
            f'store: {reads} reads in one second, limit {MAX_READS_PER_SECOND}'
        )
    if writes > MAX_WRITES_PER_SECOND:
        violations.append(
            f'store: {writes} writes in one second, '
            f'limit {MAX_WRITES_PER_SECOND}'
        )
    return violations


def _check_in_force(observations: Observations) -> list[str]:
    return observations.late_revisions + observations.revision_regressions


def _check_one_winner(observations: Observations) -> list[str]:
    if observations.race_winner_count == 1:
        return []
    return [
        f'{observations.race_winner_count} operators had their edit accepted, '
        'expected 1'
    ]


def _compare_replica_count(observations: Observations) -> list[str]:
    running: dict[str, int] = {}
    for event in observations.read_events():
        if event.identity:
            continue
        change = {'start': 1}.get(event.what, 0)
        if event.what.startswith('end'):
            change = -1
        running[event.worker] = running.get(event.worker, 0) + change
        if event.what == 'killed':
            running[event.worker] = 0
    total = sum(running.values())
    expected = sum(observations.replicas.values())
    if total == expected:
        return []
    return [f'{total} replicas run, expected {expected}']


async def _check_replicas(observations: Observations) -> list[str]:
    """Check the number of running replicas, with retries for about 20 s.

    The script sets no limit on the time until the number is reached.
    """
    for _ in range(REPLICA_CHECK_ATTEMPTS):
        violations = _compare_replica_count(observations)
        if not violations:
            break
        await asyncio.sleep(REPLICA_CHECK_INTERVAL_SECONDS)
    return violations


def _check_quiet_leaver(observations: Observations) -> list[str]:
    return [
        f'{event.worker}: got a start {event.at - left_at:.1f} s after it was '
        'set to leave'
        for event in observations.read_events()
        for left_at in (observations.left_at.get(event.worker, NEVER),)
        if event.what == 'start' and event.at > left_at + START_GRACE_SECONDS
    ]


def _check_few_failed_starts(observations: Observations) -> list[str]:
    events = observations.read_events()
    failed = sum(event.what == 'end:failed' for event in events)
    starts = sum(event.what == 'start' for event in events)
    if failed <= MAX_FAILED_START_SHARE * starts:
        return []
    return [
        f'{failed} of {starts} starts failed, '
        f'limit {MAX_FAILED_START_SHARE:.0%}'
    ]


_CHECKS = {
    'whole': _check_whole,
    'once': _check_once,
    'exclusive': _check_exclusive,
    'not-run-true': _check_not_run_true,
    'not-overfilled': _check_not_overfilled,
    'jobs-done': _check_jobs_done,
    'cancelled': _check_cancelled,
    'none-lost': _check_none_lost,
    'in-force': _check_in_force,
    'one-winner': _check_one_winner,
    'quiet-leaver': _check_quiet_leaver,
    'few-failed-starts': _check_few_failed_starts,
}
