"""A stand-in of a worker: it runs tasks under a lease and keeps a record.

A task's payload may say how it behaves: ``work_ms`` is how long it takes on
a worker of speed one, ``fail`` makes it fail, ``answer_bytes`` pads the
answer, ``forever`` runs until it is stopped. The answer carries the payload
back with its digest, so that a caller can check that it is whole and its
own.
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

MILLI = 1000
USAGE_LAG = 1.0
PAD = 'x'


@attrs.frozen
class Event:
    """A start or end, for checks after a scenario; ``at`` is wall time."""

    what: str
    attempt: str
    identity: str
    at: float


@attrs.define(eq=False)
class _Running:
    task: worker.TaskStart
    began: float
    runner: asyncio.Task | None = None
    checkpoint: bool = False
    has_ended: bool = False


@attrs.define(eq=False)
class WorkerFake:
    """Runs tasks; ``speed`` divides the time that they take."""

    name: str
    capacity: resources.Resources
    speed: float = 1.0
    faults: faults.Faults = attrs.field(factory=faults.Faults)
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    events: list[Event] = attrs.field(factory=list)
    record: typing.IO[str] | None = None
    overfilled: int = 0
    refused_stale: int = 0
    _referee: lease.Grantor = attrs.field(factory=lease.Grantor)
    _running: dict[str, _Running] = attrs.field(factory=dict)
    _ended: dict[str, worker.EndedTask] = attrs.field(factory=dict)
    _sent: set[str] = attrs.field(factory=set)
    _refused: set[str] = attrs.field(factory=set)
    _news: asyncio.Event = attrs.field(factory=asyncio.Event)
    _checkpoints: dict[str, object] = attrs.field(factory=dict)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one call."""
        if req.path == '/v1/events':
            return httpmessage.json_reply(http.HTTPStatus.OK, self._describe())
        body = httpmessage.Reply(0, req.body).json()
        self._stop_orphans()
        try:
            return await self._dispatch(req.path, body)
        except lease.StaleEpochError as exc:
            self.refused_stale += 1
            return httpmessage.problem_reply(http.HTTPStatus.CONFLICT, str(exc))
        except errors.RefusedError as exc:
            return httpmessage.problem_reply(
                http.HTTPStatus.UNPROCESSABLE_ENTITY, exc.reason
            )

    def set_faults(self, wanted: faults.Faults) -> None:
        """Show these faults from now on."""
        self.faults = wanted
        self._wake()

    def sweep(self) -> None:
        """Stop tasks that have been without an owner for too long."""
        self._stop_orphans()

    def close(self) -> None:
        """Stop everything that runs."""
        for running in self._running.values():
            if running.runner is not None:
                running.runner.cancel()

    async def _dispatch(self, path: str, body: dict) -> httpmessage.Reply:
        if path == '/v1/lease':
            return self._lease(body)
        if path == '/v1/release':
            self._referee.release(body['epoch'], time.monotonic())
            return httpmessage.json_reply(http.HTTPStatus.OK, {})
        self._referee.check(body['epoch'], time.monotonic())
        match path:
            case '/v1/sync':
                return await self._sync(body)
            case '/v1/start':
                return self._start(body)
            case '/v1/settle':
                return self._settle(body['attempt'])
            case '/v1/stop':
                self._stop(body['attempt'], checkpoint=body['checkpoint'])
                return httpmessage.json_reply(http.HTTPStatus.OK, {})
            case '/v1/throttle':
                return httpmessage.json_reply(http.HTTPStatus.OK, {})
        return httpmessage.problem_reply(
            http.HTTPStatus.NOT_FOUND, 'no such path'
        )

    def _lease(self, body: dict) -> httpmessage.Reply:
        grant = self._referee.acquire(
            body['holder'], body['ttl_ms'] / MILLI, time.monotonic()
        )
        if grant is None:
            return httpmessage.problem_reply(
                http.HTTPStatus.LOCKED, 'another owner has the lease'
            )
        self._refused.clear()
        self._wake()
        leased = worker.LeaseReply(
            grant.epoch,
            self.boot,
            self.capacity,
            [_to_running(entry.task) for entry in self._running.values()],
            list(self._ended.values()),
            leaving=self.faults.leaving,
        )
        return httpmessage.json_reply(
            http.HTTPStatus.OK, worker.converter.unstructure(leased)
        )

    async def _sync(self, body: dict) -> httpmessage.Reply:
        epoch = body['epoch']
        ttl = body['ttl_ms'] / MILLI
        self._referee.renew(epoch, ttl, time.monotonic())
        for attempt in body['acks']:
            self._ended.pop(attempt, None)
            self._sent.discard(attempt)
        waiting = self._unsent()
        if not waiting and body['wait_ms']:
            await self._wait_news(body['wait_ms'] / MILLI)
            self._referee.check(epoch, time.monotonic())
        ended = self._unsent()
        if not self.faults.double_ends:
            self._sent.update(entry.attempt for entry in ended)
        synced = worker.SyncReply(
            self.boot, self.faults.leaving, ended, self._usage()
        )
        return httpmessage.json_reply(
            http.HTTPStatus.OK, worker.converter.unstructure(synced)
        )

    def _unsent(self) -> list[worker.EndedTask]:
        return [
            entry
            for entry in self._ended.values()
            if entry.attempt not in self._sent
        ]

    async def _wait_news(self, wait: float) -> None:
        try:
            await asyncio.wait_for(self._news.wait(), wait)
        except TimeoutError:
            return

    def _start(self, body: dict) -> httpmessage.Reply:
        task = worker.converter.structure(body['task'], worker.TaskStart)
        if body['boot'] != self.boot:
            raise errors.RefusedError('the worker was restarted')
        if task.attempt in self._refused:
            raise errors.RefusedError('the attempt was refused for good')
        known = task.attempt in self._running or task.attempt in self._ended
        if known:
            return httpmessage.json_reply(http.HTTPStatus.OK, {})
        held = sum(
            (entry.task.demand for entry in self._running.values()),
            resources.NOTHING,
        )
        if not (held + task.demand).fits(self.capacity):
            self.overfilled += 1
            self._note('overfilled', task)
            raise errors.RefusedError('the worker is full')
        running = _Running(task, time.monotonic())
        self._running[task.attempt] = running
        self._note('start', task)
        running.runner = asyncio.create_task(self._run(running))
        running.runner.add_done_callback(lambda _: self._swept(running))
        return httpmessage.json_reply(http.HTTPStatus.OK, {})

    async def _run(self, running: _Running) -> None:
        task = running.task
        payload = task.payload if isinstance(task.payload, dict) else {}
        try:
            await self._work(running, payload)
        except asyncio.CancelledError:
            self._finish(running, outcome.Failed('stopped', self.name))
            return
        if self.faults.fail_work or payload.get('fail'):
            self._finish(running, outcome.Failed('it failed', self.name))
            return
        body = _answer(task, payload)
        self._finish(running, outcome.Answered(body, self.name))

    async def _work(self, running: _Running, payload: dict) -> None:
        if self.faults.fail_work:
            return
        if payload.get('forever'):
            await asyncio.Event().wait()
        wait = payload.get('work_ms', 1) / MILLI / self.speed
        done = running.task.checkpoint
        if isinstance(done, (int, float)):
            wait = max(0, wait - done)
        await asyncio.sleep(wait)

    def _finish(self, running: _Running, ended: outcome.Outcome) -> None:
        task = running.task
        running.has_ended = True
        seconds = time.monotonic() - running.began
        record = outcome.to_record(ended)
        if running.checkpoint:
            record['checkpoint'] = str(seconds)
        entry = worker.EndedTask(task.attempt, record, task.home, seconds)
        self._note(f'end:{ended.tag}', task)
        if self.faults.hold_ends:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.hold_ends, self._publish, entry)
        else:
            self._publish(entry)

    def _swept(self, running: _Running) -> None:
        """End a task that was stopped before it took its first step."""
        if not running.has_ended:
            self._finish(running, outcome.Failed('stopped', self.name))

    def _publish(self, entry: worker.EndedTask) -> None:
        # Until its end is told a task counts as running: it is not absent.
        self._running.pop(entry.attempt, None)
        self._ended[entry.attempt] = entry
        self._wake()

    def _wake(self) -> None:
        news = self._news
        self._news = asyncio.Event()
        news.set()

    def _settle(self, attempt: str) -> httpmessage.Reply:
        ended = self._ended.get(attempt)
        known = intent.AttemptState.ABSENT
        if attempt in self._running:
            known = intent.AttemptState.RUNNING
        elif ended is None:
            self._refused.add(attempt)
        else:
            known = intent.AttemptState.ENDED
        plain = {
            'boot': self.boot,
            'epoch': self._referee.epoch,
            'known': known.value,
            'refused': attempt in self._refused,
            'ended': ended and worker.converter.unstructure(ended),
        }
        return httpmessage.json_reply(http.HTTPStatus.OK, plain)

    def _stop(self, attempt: str, *, checkpoint: bool) -> None:
        running = self._running.get(attempt)
        if running is None:
            self._refused.add(attempt)
            return
        running.checkpoint = checkpoint
        if running.runner is not None:
            running.runner.cancel()

    def _stop_orphans(self) -> None:
        """Stop tasks whose lease ran out while the worker had no owner."""
        now = time.monotonic()
        every = tuple(self._running.values())
        for running in every:
            limit = self._referee.expires + running.task.lease_ms / MILLI
            if now > limit and running.runner is not None:
                running.runner.cancel()

    def _usage(self) -> list[worker.Usage]:
        now = time.monotonic()
        return [
            worker.Usage(task.attempt, _used(task))
            for task in (
                entry.task
                for entry in self._running.values()
                if now - entry.began > USAGE_LAG
            )
            if _used(task) != task.demand
        ]

    def _note(self, what: str, task: worker.TaskStart) -> None:
        payload = task.payload if isinstance(task.payload, dict) else {}
        identity = str(payload.get('identity', ''))
        event = Event(what, task.attempt, identity, time.time())
        self.events.append(event)
        if self.record is not None:
            # Written at once, so that the record outlives a kill.
            line = orjson.dumps(attrs.asdict(event)).decode()
            self.record.write(f'{line}\n')
            self.record.flush()

    def _describe(self) -> dict:
        return {
            'name': self.name,
            'events': [attrs.asdict(event) for event in self.events],
            'overfilled': self.overfilled,
            'refused_stale': self.refused_stale,
            'running': sorted(self._running),
            'epoch': self._referee.epoch,
        }


def _used(task: worker.TaskStart) -> resources.Resources:
    """Return what a task uses: its payload may say other than declared."""
    payload = task.payload if isinstance(task.payload, dict) else {}
    used = payload.get('uses')
    if not isinstance(used, dict):
        return task.demand
    return task.demand.elementwise_max(resources.from_json(used))


def _to_running(task: worker.TaskStart) -> worker.RunningTask:
    return worker.RunningTask(
        task.attempt, task.demand, task.kind, task.team, task.group, task.home
    )


def _answer(task: worker.TaskStart, payload: dict) -> bytes:
    sent = orjson.dumps(task.payload, option=orjson.OPT_SORT_KEYS)
    plain = {
        'service': task.service,
        'echo': task.payload,
        'digest': hashlib.sha256(sent).hexdigest(),
    }
    if payload.get('answer_bytes'):
        plain['pad'] = PAD * int(payload['answer_bytes'])
    return orjson.dumps(plain)
