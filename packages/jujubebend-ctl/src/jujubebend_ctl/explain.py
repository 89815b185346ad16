"""History of one job, reconstructed from the log lines of the daemons."""

from __future__ import annotations

import collections
import itertools
import math
from collections import abc

import attrs
import orjson

# Longer intervals between two lines of a job are pointed out.
GAP_SECONDS = 1.0
# A host tells how many lines it has left out when it writes again, which may be
# that much later.
LEFT_OUT_DELAY_S = 1.0
# Events that only a leader logs, once it has loaded the job.
LEADER_EVENTS = frozenset((
    'queued',
    'advice',
    'start',
    'ended',
    'stop',
    'released',
    'cancelled',
    'job_ended',
))


@attrs.frozen
class LogLine:
    """One log line of any host.

    ``timestamp`` is in Unix seconds. ``fields`` holds the fields other than
    the timestamp, the host and the event.
    """

    timestamp: float
    host: str
    event: str
    fields: dict

    def render(self, start: float) -> str:
        """Return the line as readable text, timed relative to ``start``."""
        details = ' '.join(
            f'{key}={field}'
            for key, field in self.fields.items()
            if key != 'job'
        )
        elapsed = self.timestamp - start
        return f'{elapsed:9.3f}  {self.host}  {self.event}  {details}'.rstrip()


@attrs.frozen
class JobHistory:
    """The log lines of one job by time, and the likely cause of its state.

    ``left_out`` counts the lines that each host left out of its log in that
    time. Some of them may be of this job.
    """

    lines: list[LogLine]
    cause: str
    left_out: abc.Mapping[str, int] = attrs.field(factory=dict)

    def render(self) -> list[str]:
        """Return the history as lines of text, with long gaps marked."""
        if not self.lines:
            return [self.cause]
        start = self.lines[0].timestamp
        rendered = [self.lines[0].render(start)]
        for previous, line in itertools.pairwise(self.lines):
            gap = line.timestamp - previous.timestamp
            if gap > GAP_SECONDS:
                rendered.append(f'           ... {gap:.3f} s without a line')
            rendered.append(line.render(start))
        rendered.extend(
            f'{host} left out {count} lines in this time'
            for host, count in sorted(self.left_out.items())
        )
        return [*rendered, f'likely cause: {self.cause}']


def parse_log(raw_lines: abc.Iterable[bytes]) -> list[LogLine]:
    """Return the log lines by time.

    Text before the JSON object of a line is ignored, and so are lines without
    one.
    """
    lines = []
    for raw_line in raw_lines:
        _, json_start, rest = raw_line.partition(b'{"timestamp"')
        if not json_start:
            continue
        try:
            document = orjson.loads(json_start + rest)
        except orjson.JSONDecodeError:
            # The last line of a host that was killed may be truncated.
            continue
        lines.append(
            LogLine(
                document.pop('timestamp') or 0,
                document.pop('host', ''),
                document.pop('event', ''),
                document,
            )
        )
    return sorted(lines, key=lambda line: line.timestamp)


def build_history(lines: abc.Iterable[LogLine], job: str) -> JobHistory:
    """Return the history of a job, given its ID."""
    all_lines = list(lines)
    job_lines = [line for line in all_lines if _mentions_job(line, job)]
    left_out = _count_left_out(all_lines, job_lines)
    cause = _find_cause(job_lines, is_complete=not left_out)
    return JobHistory(job_lines, cause, left_out)


def _mentions_job(line: LogLine, job: str) -> bool:
    if line.fields.get('job') == job:
        return True
    return str(line.fields.get('key', '')).endswith(f'/{job}')


def _count_left_out(
    all_lines: list[LogLine], job_lines: list[LogLine]
) -> dict[str, int]:
    """Count by host the lines left out while the job was under way.

    A job without its last line is taken to be under way until the logs end.
    """
    start = job_lines[0].timestamp if job_lines else -math.inf
    end = math.inf
    last = _find_last(job_lines, 'job_ended')
    if last is not None:
        end = last.timestamp + LEFT_OUT_DELAY_S
    counts: collections.Counter[str] = collections.Counter()
    for line in all_lines:
        if line.event == 'lines_left_out' and start <= line.timestamp <= end:
            counts[line.host] += line.fields.get('count', 0)
    return dict(counts)


def _find_cause(job_lines: list[LogLine], *, is_complete: bool) -> str:
    if not job_lines and is_complete:
        return 'no host has logged this job: it never arrived'
    if not job_lines:
        return 'unknown: no line names this job, but lines were left out'
    if not is_complete and not _has_leader_lines(job_lines):
        refusal = _explain_refusal(job_lines)
        return refusal or (
            'unknown: no line of a leader names this job, '
            'but lines were left out'
        )
    for find_explanation in (
        _explain_refusal,
        _explain_end,
        _explain_rerun,
        _explain_wait,
    ):
        cause = find_explanation(job_lines)
        if cause:
            return cause
    return 'no unusual events; check the gaps between the lines'


def _find_last(job_lines: list[LogLine], event: str) -> LogLine | None:
    return next(
        (line for line in reversed(job_lines) if line.event == event), None
    )


def _explain_refusal(job_lines: list[LogLine]) -> str:
    submissions = [line for line in job_lines if line.event == 'submitted']
    outcomes = {line.fields.get('outcome') for line in submissions}
    if not outcomes or 'stored' in outcomes:
        return ''
    if 'unknown' in outcomes:
        return 'the store did not answer its submission in time'
    return 'the store refused every submission; see its dependency lines'


def _explain_end(job_lines: list[LogLine]) -> str:
    if _find_last(job_lines, 'cancelled'):
        return 'its caller cancelled it'
    end = _find_last(job_lines, 'job_ended')
    if end is None or end.fields.get('state') != 'failed':
        return ''
    failed_runs = [
        line for line in job_lines if line.fields.get('how') == 'failed'
    ]
    workers = sorted({line.fields.get('worker', '') for line in failed_runs})
    return f'its runs failed {len(failed_runs)} times, on {", ".join(workers)}'


def _explain_rerun(job_lines: list[LogLine]) -> str:
    reasons = [
        f'{line.fields.get("task")} on {line.fields.get("worker")}: '
        f'{line.fields.get("why", line.fields.get("how"))}'
        for line in job_lines
        if line.event == 'released'
        or line.fields.get('how') in {'lapsed', 'stopped', 'broken', 'alone'}
    ]
    if not reasons:
        return ''
    return f'run again after {reasons[0]} ({len(reasons)} runs lost)'


def _has_leader_lines(job_lines: list[LogLine]) -> bool:
    return any(line.event in LEADER_EVENTS for line in job_lines)


def _explain_wait(job_lines: list[LogLine]) -> str:
    if not _has_leader_lines(job_lines):
        return 'accepted, but no leader has loaded it yet'
    # Without its line from the leader, the job waited since its submission.
    queued = _find_last(job_lines, 'queued') or job_lines[0]
    start = next((line for line in job_lines if line.event == 'start'), None)
    if start is None and (
        _find_last(job_lines, 'ended') or _find_last(job_lines, 'job_ended')
    ):
        return 'no unusual events, but its starts are missing from the logs'
    if start is None:
        advice = _find_last(job_lines, 'advice')
        if advice is not None and not advice.fields.get('good'):
            return 'advice allows it on none of the candidate workers'
        return 'no eligible worker had free capacity'
    wait = start.timestamp - queued.timestamp
    if wait > GAP_SECONDS:
        return f'it waited {wait:.3f} s for capacity or advice'
    return ''
