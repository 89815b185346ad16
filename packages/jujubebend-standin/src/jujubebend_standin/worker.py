"""Fake worker that simulates tasks under an ownership lease.

The payload of a task may set its behaviour: ``work_ms`` is its duration on a
worker of speed one, ``fail`` makes it fail, ``forever`` runs it until it is
stopped, ``uses`` is the resources it uses where they exceed its demand, and
``answer_bytes`` pads the answer. The answer echoes the payload with its
digest, so that a caller can check that it is complete and the caller's own.
The event record of a task carries the ``identity`` of its payload.
"""

from __future__ import annotations

import asyncio
import hashlib
import http
import time
import typing
import uuid

import attrs
import orjson

from jujubebend import errors, intent, lease, outcome, resources
from jujubebend_http import httpmessage
from jujubebend_platform import worker
from jujubebend_standin import faults

MS_PER_SECOND = 1000
USAGE_DELAY_SECONDS = 1.0
PADDING = 'x'


@attrs.frozen
class Event:
    """A task event, for checks after a scenario.

    ``what`` is ``start``, ``overfilled`` or ``end:`` and the outcome's tag.
    ``at`` is wall time in seconds.
    """

    what: str
    attempt: str
    identity: str
    at: float


@attrs.define(eq=False)
class _RunningAttempt:
    task: worker.TaskStart
    started_at: float
    runner: asyncio.Task | None = None
    saves_checkpoint: bool = False
    has_ended: bool = False


@attrs.define(eq=False)
class FakeWorker:
    """Simulates tasks; ``speed`` divides their duration.

    ``boot`` identifies this incarnation of the worker. ``record`` is a file
    that events are also appended to. ``overfilled`` counts starts rejected
    for lack of capacity, ``refused_stale`` requests with a stale
    epoch or boot.
    """

    name: str
    capacity: resources.Resources
    speed: float = 1.0
    faults: faults.Faults = attrs.field(factory=faults.Faults)
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    events: list[Event] = attrs.field(factory=list)
    record: typing.IO[str] | None = None
    overfilled: int = 0
    refused_stale: int = 0
    _grantor: lease.Grantor = attrs.field(factory=lease.Grantor)
    _running: dict[str, _RunningAttempt] = attrs.field(factory=dict)
    _ended: dict[str, worker.EndedTask] = attrs.field(factory=dict)
    _reported: set[str] = attrs.field(factory=set)
    _refused: set[str] = attrs.field(factory=set)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _checkpoints: dict[str, object] = attrs.field(factory=dict)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request."""
        if req.path == '/v1/events':
            return httpmessage.json_reply(
                http.HTTPStatus.OK, self._describe_state()
            )
        body = httpmessage.Reply(0, req.body).json()
        self._stop_expired_tasks()
        try:
            return await self._dispatch_request(req.path, body)
        except lease.StaleEpochError as exc:
            self.refused_stale += 1
            return httpmessage.problem_reply(http.HTTPStatus.CONFLICT, str(exc))
        except errors.RefusedError as exc:
            return httpmessage.problem_reply(
                http.HTTPStatus.UNPROCESSABLE_ENTITY, exc.reason
            )

    def set_faults(self, new_faults: faults.Faults) -> None:
        """Apply these faults from now on."""
        self.faults = new_faults
        self._notify_waiters()

    def stop_orphans(self) -> None:
        """Stop tasks that have been without an owner for too long."""
        self._stop_expired_tasks()

    def cancel_tasks(self) -> None:
        """Cancel every running task."""
        for running in self._running.values():
            if running.runner is not None:
                running.runner.cancel()

    async def _dispatch_request(
        self, path: str, body: dict
    ) -> httpmessage.Reply:
        if path == '/v1/lease':
            return self._grant_lease(body)
        self._check_boot(body['boot'])
        if path == '/v1/release':
            self._grantor.release(body['epoch'], time.monotonic())
            return httpmessage.json_reply(http.HTTPStatus.OK, {})
        self._grantor.check_epoch(body['epoch'], time.monotonic())
        match path:
            case '/v1/sync':
                return await self._sync_with_owner(body)
            case '/v1/start':
                return self._start_attempt(body)
            case '/v1/settle':
                return self._settle_attempt(body['attempt'])
            case '/v1/stop':
                self._stop_attempt(
                    body['attempt'], checkpoint=body['checkpoint']
                )
                return httpmessage.json_reply(http.HTTPStatus.OK, {})
            case '/v1/throttle':
                return httpmessage.json_reply(http.HTTPStatus.OK, {})
        return httpmessage.problem_reply(
            http.HTTPStatus.NOT_FOUND, 'path not found'
        )

    def _check_boot(self, boot: str) -> None:
        """Raise if a call is meant for another incarnation of the worker."""
        if boot != self.boot:
            raise lease.StaleEpochError(
                'the worker has restarted since it granted the lease; '
                'acquire it again',
            )

    def _grant_lease(self, body: dict) -> httpmessage.Reply:
        grant = self._grantor.acquire(
            body['holder'], body['ttl_ms'] / MS_PER_SECOND, time.monotonic()
        )
        if grant is None:
            return httpmessage.problem_reply(
                http.HTTPStatus.LOCKED, 'the lease is held by another owner'
            )
        self._refused.clear()
        self._notify_waiters()
        reply = worker.LeaseReply(
            grant.epoch,
            self.boot,
            self.capacity,
            [
                _build_running_task(running.task)
                for running in self._running.values()
            ],
            list(self._ended.values()),
            leaving=self.faults.leaving,
        )
        return httpmessage.json_reply(
            http.HTTPStatus.OK, worker.converter.unstructure(reply)
        )

    async def _sync_with_owner(self, body: dict) -> httpmessage.Reply:
        epoch = body['epoch']
        ttl_seconds = body['ttl_ms'] / MS_PER_SECOND
        self._grantor.renew(epoch, ttl_seconds, time.monotonic())
        for attempt in body['acks']:
            self._ended.pop(attempt, None)
            self._reported.discard(attempt)
        unreported = self._list_unreported()
        if not unreported and body['wait_ms']:
            await self._wait_for_change(body['wait_ms'] / MS_PER_SECOND)
            self._grantor.check_epoch(epoch, time.monotonic())
        ended = self._list_unreported()
        if not self.faults.double_ends:
            self._reported.update(end.attempt for end in ended)
        reply = worker.RenewalReply(
            self.boot, self.faults.leaving, ended, self._measure_usage()
        )
        return httpmessage.json_reply(
            http.HTTPStatus.OK, worker.converter.unstructure(reply)
        )

    def _list_unreported(self) -> list[worker.EndedTask]:
        return [
            ended
            for ended in self._ended.values()
            if ended.attempt not in self._reported
        ]

    async def _wait_for_change(self, wait_seconds: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), wait_seconds)
        except TimeoutError:
            return

    def _start_attempt(self, body: dict) -> httpmessage.Reply:
        task = worker.converter.structure(body['task'], worker.TaskStart)
        if task.attempt in self._refused:
            raise errors.RefusedError(
                'the attempt was refused earlier and may not start'
            )
        is_known = task.attempt in self._running or task.attempt in self._ended
        if is_known:
            return httpmessage.json_reply(http.HTTPStatus.OK, {})
        allocated = sum(
            (running.task.demand for running in self._running.values()),
            resources.NOTHING,
        )
        if not (allocated + task.demand).fits(self.capacity):
            self.overfilled += 1
            self._record_event('overfilled', task)
            raise errors.RefusedError(
                'the demand exceeds the free capacity of the worker'
            )
        running = _RunningAttempt(task, time.monotonic())
        self._running[task.attempt] = running
        self._record_event('start', task)
        running.runner = asyncio.create_task(self._run_attempt(running))
        running.runner.add_done_callback(
            lambda _: self._end_if_never_ran(running)
        )
        return httpmessage.json_reply(http.HTTPStatus.OK, {})

    async def _run_attempt(self, running: _RunningAttempt) -> None:
        task = running.task
        payload = task.payload if isinstance(task.payload, dict) else {}
        try:
            await self._simulate_work(running, payload)
        except asyncio.CancelledError:
            self._end_attempt(running, outcome.Failed('stopped', self.name))
            return
        if self.faults.fail_work or payload.get('fail'):
            self._end_attempt(
                running, outcome.Failed('the task failed', self.name)
            )
            return
        body = _build_answer(task, payload)
        self._end_attempt(running, outcome.Answered(body, self.name))

    async def _simulate_work(
        self, running: _RunningAttempt, payload: dict
    ) -> None:
        if self.faults.fail_work:
            return
        if payload.get('forever'):
            await asyncio.Event().wait()
        work_seconds = payload.get('work_ms', 1) / MS_PER_SECOND / self.speed
        checkpoint = running.task.checkpoint
        if isinstance(checkpoint, (int, float)):
            work_seconds = max(0, work_seconds - checkpoint)
        await asyncio.sleep(work_seconds)

    def _end_attempt(
        self, running: _RunningAttempt, task_outcome: outcome.Outcome
    ) -> None:
        task = running.task
        running.has_ended = True
        seconds = time.monotonic() - running.started_at
        outcome_fields = outcome.to_fields(task_outcome)
        if running.saves_checkpoint:
            outcome_fields['checkpoint'] = str(seconds)
        ended = worker.EndedTask(
            task.attempt, outcome_fields, task.home, seconds
        )
        self._record_event(f'end:{task_outcome.tag}', task)
        if self.faults.hold_ends:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.hold_ends, self._publish_end, ended)
        else:
            self._publish_end(ended)

    def _end_if_never_ran(self, running: _RunningAttempt) -> None:
        """End an attempt that was cancelled before its coroutine began."""
        if not running.has_ended:
            self._end_attempt(running, outcome.Failed('stopped', self.name))

    def _publish_end(self, ended: worker.EndedTask) -> None:
        # A task counts as running until its end is reported: a settle request
        # in between must not find it absent.
        self._running.pop(ended.attempt, None)
        self._ended[ended.attempt] = ended
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def _settle_attempt(self, attempt: str) -> httpmessage.Reply:
        ended = self._ended.get(attempt)
        state = intent.AttemptState.ABSENT
        if attempt in self._running:
            state = intent.AttemptState.RUNNING
        elif ended is None:
            self._refused.add(attempt)
        else:
            state = intent.AttemptState.ENDED
        document = {
            'boot': self.boot,
            'epoch': self._grantor.epoch,
            'known': state.value,
            'refused': attempt in self._refused,
            'ended': ended and worker.converter.unstructure(ended),
        }
        return httpmessage.json_reply(http.HTTPStatus.OK, document)

    def _stop_attempt(self, attempt: str, *, checkpoint: bool) -> None:
        running = self._running.get(attempt)
        if running is None:
            self._refused.add(attempt)
            return
        running.saves_checkpoint = checkpoint
        if running.runner is not None:
            running.runner.cancel()

    def _stop_expired_tasks(self) -> None:
        """Stop tasks once their ``lease_ms`` has passed after lease expiry."""
        now = time.monotonic()
        running_attempts = tuple(self._running.values())
        for running in running_attempts:
            expires_at = (
                self._grantor.expires_at + running.task.lease_ms / MS_PER_SECOND
            )
            if now > expires_at and running.runner is not None:
                running.runner.cancel()

    def _measure_usage(self) -> list[worker.Usage]:
        now = time.monotonic()
        return [
            worker.Usage(task.attempt, _find_usage(task))
            for task in (
                running.task
                for running in self._running.values()
                if now - running.started_at > USAGE_DELAY_SECONDS
            )
            if _find_usage(task) != task.demand
        ]

    def _record_event(self, what: str, task: worker.TaskStart) -> None:
        payload = task.payload if isinstance(task.payload, dict) else {}
        identity = str(payload.get('identity', ''))
        event = Event(what, task.attempt, identity, time.time())
        self.events.append(event)
        if self.record is not None:
            # Flushed at once, so that the record survives SIGKILL.
            line = orjson.dumps(attrs.asdict(event)).decode()
            self.record.write(f'{line}\n')
            self.record.flush()

    def _describe_state(self) -> dict:
        return {
            'name': self.name,
            'events': [attrs.asdict(event) for event in self.events],
            'overfilled': self.overfilled,
            'refused_stale': self.refused_stale,
            'running': sorted(self._running),
            'epoch': self._grantor.epoch,
        }


def _find_usage(task: worker.TaskStart) -> resources.Resources:
    """Return the resources used: the demand, or ``uses`` where it is larger."""
    payload = task.payload if isinstance(task.payload, dict) else {}
    used = payload.get('uses')
    if not isinstance(used, dict):
        return task.demand
    return task.demand.elementwise_max(resources.from_json(used))


def _build_running_task(task: worker.TaskStart) -> worker.RunningTask:
    return worker.RunningTask(
        task.attempt, task.demand, task.kind, task.team, task.group, task.home
    )


def _build_answer(task: worker.TaskStart, payload: dict) -> bytes:
    payload_json = orjson.dumps(task.payload, option=orjson.OPT_SORT_KEYS)
    document = {
        'service': task.service,
        'echo': task.payload,
        'digest': hashlib.sha256(payload_json).hexdigest(),
    }
    if payload.get('answer_bytes'):
        document['pad'] = PADDING * int(payload['answer_bytes'])
    return orjson.dumps(document)
