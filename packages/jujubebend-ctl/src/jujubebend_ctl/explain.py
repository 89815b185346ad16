"""Tells one job's story from the daemons' log lines."""

from __future__ import annotations

import itertools
from collections import abc

import attrs
import orjson

GAP = 1.0  # seconds between two lines that are worth pointing out


@attrs.frozen
class Line:
    """One log line of any host; ``fields`` are its own beside the rest."""

    timestamp: float
    host: str
    event: str
    fields: dict

    def render(self, began: float) -> str:
        """Return the line for a person, timed from the story's begin."""
        told = ' '.join(
            f'{key}={field}'
            for key, field in self.fields.items()
            if key != 'job'
        )
        after = self.timestamp - began
        return f'{after:9.3f}  {self.host}  {self.event}  {told}'.rstrip()


@attrs.frozen
class Story:
    """The lines of one job in order, and what most likely decided it."""

    lines: list[Line]
    cause: str

    def render(self) -> list[str]:
        """Return the story as lines of text, gaps included."""
        if not self.lines:
            return [self.cause]
        began = self.lines[0].timestamp
        told = [self.lines[0].render(began)]
        for before, line in itertools.pairwise(self.lines):
            gap = line.timestamp - before.timestamp
            if gap > GAP:
                told.append(f'           ... {gap:.3f} s without a line')
            told.append(line.render(began))
        return [*told, f'likely cause: {self.cause}']


def read(raw: abc.Iterable[bytes]) -> list[Line]:
    """Read log lines; a prefix before the JSON and other text is skipped."""
    lines = []
    for text in raw:
        _, brace, rest = text.partition(b'{"timestamp"')
        if not brace:
            continue
        try:
            plain = orjson.loads(brace + rest)
        except orjson.JSONDecodeError:
            # The last line of a host that was killed may be cut off.
            continue
        lines.append(
            Line(
                plain.pop('timestamp') or 0,
                plain.pop('host', ''),
                plain.pop('event', ''),
                plain,
            )
        )
    return sorted(lines, key=lambda line: line.timestamp)


def tell(lines: abc.Iterable[Line], job: str) -> Story:
    """Return the story of a job."""
    own = [line for line in lines if _concerns(line, job)]
    return Story(own, _cause(own))


def _concerns(line: Line, job: str) -> bool:
    if line.fields.get('job') == job:
        return True
    return str(line.fields.get('key', '')).endswith(f'/{job}')


def _cause(own: list[Line]) -> str:
    if not own:
        return 'no host has a line on this job: it never arrived'
    for judge in (_refused, _ended, _rerun, _unplaced):
        found = judge(own)
        if found:
            return found
    return 'nothing out of the ordinary; look at the gaps'


def _last(own: list[Line], event: str) -> Line | None:
    return next((line for line in reversed(own) if line.event == event), None)


def _refused(own: list[Line]) -> str:
    submitted = [line for line in own if line.event == 'submitted']
    outcomes = {line.fields.get('outcome') for line in submitted}
    if not outcomes or 'stored' in outcomes:
        return ''
    if 'unknown' in outcomes:
        return 'the store did not answer its submission in time'
    return 'the store refused each submission; see its dependency lines'


def _ended(own: list[Line]) -> str:
    if _last(own, 'cancelled'):
        return 'its caller cancelled it'
    end = _last(own, 'job_ended')
    if end is None or end.fields.get('state') != 'failed':
        return ''
    failed = [line for line in own if line.fields.get('how') == 'failed']
    where = sorted({line.fields.get('worker', '') for line in failed})
    return f'its runs failed {len(failed)} times, on {", ".join(where)}'


def _rerun(own: list[Line]) -> str:
    reasons = [
        f'{line.fields.get("task")} on {line.fields.get("worker")}: '
        f'{line.fields.get("why", line.fields.get("how"))}'
        for line in own
        if line.event == 'released'
        or line.fields.get('how') in {'lapsed', 'stopped', 'broken', 'alone'}
    ]
    if not reasons:
        return ''
    return f'run again after {reasons[0]} ({len(reasons)} runs lost)'


def _unplaced(own: list[Line]) -> str:
    queued = _last(own, 'queued')
    start = next((line for line in own if line.event == 'start'), None)
    if queued is None:
        return 'accepted, but no leader has read it yet'
    if start is None:
        advised = _last(own, 'advice')
        if advised is not None and not advised.fields.get('good'):
            return 'advice allows it on none of the workers named'
        return 'no worker that it may run on had room'
    waited = start.timestamp - queued.timestamp
    if waited > GAP:
        return f'it waited {waited:.3f} s for room or advice'
    return ''
