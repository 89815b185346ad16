"""One held shard: the calls on its recorded work, and what runs for it."""

from __future__ import annotations

import asyncio
import http
import time

import attrs
import eliot

from jujubebend import errors, manifest, policy, records
from jujubebend_entry import (
    attempts,
    callerapi,
    dispatcher,
    jobs,
    keyedrequests,
    largeanswers,
    services,
    shard,
    tasks,
)
from jujubebend_http import httpmessage

OPEN_RETRY_WAIT = 0.2


@attrs.frozen
class Call:
    """A caller's call on recorded work, on its way to its shard.

    ``deadline`` is in seconds on the clock of this process.
    """

    method: str
    path: str
    key: str
    body: bytes
    shard: str
    deadline: float


@attrs.define(eq=False)
class HeldShard:
    """A shard that this host holds, from its opening until it is given up."""

    shard: shard.Shard
    attempts: attempts.Attempts
    context: jobs.JobContext
    opened: bool = False
    keyed: keyedrequests.KeyedRequests = attrs.field(init=False)
    services: services.Services = attrs.field(init=False)
    jobs: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _task: asyncio.Task | None = None
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    def __attrs_post_init__(self) -> None:
        """Put the parts of the shard together."""
        self.keyed = keyedrequests.KeyedRequests(self.attempts)
        self.services = services.Services(self)

    def start(self) -> asyncio.Task:
        """Open the shard and carry its work in the background."""
        self._task = self._group.spawn(self._carry())
        return self._task

    async def close(self) -> None:
        """Give the shard up; the journal keeps what was begun."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._end()
        await self._group.close()

    async def handle(self, call: Call) -> httpmessage.Reply | None:
        """Handle a call; None when the shard is not held any longer."""
        if not self.opened:
            return None
        try:
            return await self._dispatch(call)
        except errors.FencedError:
            return None
        except errors.InvalidInputError as exc:
            return callerapi.invalid(exc)

    def describe(self) -> dict:
        """Return the state of the shard for a person."""
        kept = self.shard.records
        return {
            'opened': self.opened,
            'records': len(kept.by_id),
            'open_attempts': len(kept.by_attempt),
            'jobs': sorted(self.jobs),
            'flights': self.keyed.describe(),
        }

    async def _carry(self) -> None:
        """Open the shard and carry its work until it is held elsewhere."""
        while not await self._open():
            await asyncio.sleep(OPEN_RETRY_WAIT)
        self.opened = True
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.attempts.inspect_forever())
                for record in list(self.shard.records.by_id.values()):
                    self.resume(record)
                await self.shard.run()
                raise errors.FencedError(self.shard.name)
        except* errors.FencedError:
            eliot.log_message('home:fenced', shard=self.shard.name)
        finally:
            await self._end()

    async def _open(self) -> bool:
        try:
            await self.shard.open()
        except errors.UnreachableError:
            return False
        return True

    async def _dispatch(self, call: Call) -> httpmessage.Reply | None:
        match (call.method, call.path):
            case ('POST', '/v1/requests'):
                return await self._serve_keyed(call)
            case ('POST', '/v1/jobs'):
                return await self._accept_job(call)
            case ('GET', _):
                return await self._show_job(_last(call.path))
            case ('DELETE', _):
                return await self._cancel_job(_last(call.path))
        return httpmessage.problem_reply(
            http.HTTPStatus.METHOD_NOT_ALLOWED, 'use GET, POST or DELETE'
        )

    async def _serve_keyed(self, call: Call) -> httpmessage.Reply:
        body = callerapi.parse_request(call.body)
        work = request_work(self.context.text(), body, call.deadline)
        digest = callerapi.digest(call.body)
        return await self.keyed.serve(f'r.{call.key}', digest, work)

    async def _accept_job(self, call: Call) -> httpmessage.Reply:
        body = callerapi.parse_job(call.body)
        callerapi.resolve_kind(self.context.text(), body.service, body.team)
        job_id = f'{call.shard}.{call.key}'
        digest = callerapi.digest(call.body)
        known = self.shard.records.by_id.get(job_id)
        if known is not None and known.digest != digest:
            return httpmessage.problem_reply(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                keyedrequests.MISMATCH,
                outcome='not_run',
            )
        if known is None:
            refused = await self._record_job(job_id, call.body, digest)
            if refused is not None:
                return refused
        self.resume(self.shard.records.by_id[job_id])
        return httpmessage.json_reply(http.HTTPStatus.ACCEPTED, {'id': job_id})

    async def _record_job(
        self, job_id: str, body: bytes, digest: str
    ) -> httpmessage.Reply | None:
        if self.shard.is_full():
            return callerapi.not_run_reply(
                'its shard can record no more now', 5
            )
        names = [task.name for task in callerapi.parse_job(body).tasks]
        spec = body.decode()
        accepted = records.Accepted(
            job_id, records.JOB, names, spec, digest, time.time()
        )
        try:
            await self.shard.commit(accepted)
        except errors.RefusedError as exc:
            return callerapi.not_run_reply(exc.reason, exc.retry_after)
        except errors.UnreachableError as exc:
            return callerapi.unknown(f'{exc}; look for job {job_id}')
        return None

    async def _show_job(self, job_id: str) -> httpmessage.Reply:
        record = self.shard.records.by_id.get(job_id)
        if record is None or record.sort == records.REQUEST:
            return httpmessage.problem_reply(
                http.HTTPStatus.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        described = callerapi.describe_job(record)
        for name, task in record.tasks.items():
            if task.outcome is not None:
                whole = await largeanswers.load_answer(
                    self.shard.store, task.outcome
                )
                described['tasks'][name]['outcome'] = (
                    callerapi.describe_outcome(whole)
                )
        return httpmessage.json_reply(http.HTTPStatus.OK, described)

    async def _cancel_job(self, job_id: str) -> httpmessage.Reply:
        record = self.shard.records.by_id.get(job_id)
        if record is None or record.sort != records.JOB:
            return httpmessage.problem_reply(
                http.HTTPStatus.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        await self.withdraw(record)
        return httpmessage.json_reply(
            http.HTTPStatus.OK, callerapi.describe_job(record)
        )

    async def withdraw(self, record: records.Record) -> None:
        """Cancel a record and stop what runs of it."""
        if not record.cancelled and not record.is_ended():
            entry = records.Cancelled(record.id, time.time())
            await self.shard.commit(entry)
        running = self.jobs.pop(record.id, None)
        if running is not None:
            running.cancel()
        await self.attempts.stop(record.id)

    def resume(self, record: records.Record) -> None:
        """Carry a job or service on, if nothing does yet."""
        if record.sort == records.REQUEST or record.id in self.jobs:
            return
        if record.is_ended():
            return
        if record.cancelled:
            self._group.spawn(self.attempts.stop(record.id))
            return
        job = jobs.Job(record, self.attempts, self.context)
        task = self._group.spawn(self._run_job(job))
        self.jobs[record.id] = task

    async def _run_job(self, job: jobs.Job) -> None:
        try:
            await jobs.run(job)
        except* errors.FencedError:
            eliot.log_message('job:handed-on', job=job.record.id)
        finally:
            if self.jobs.get(job.record.id) is asyncio.current_task():
                self.jobs.pop(job.record.id)

    async def _end(self) -> None:
        self.opened = False
        self.shard.fenced.set()
        for task in self.jobs.values():
            task.cancel()
        await self.services.close()
        await self.keyed.close()
        await self.attempts.close()


def request_work(
    text: manifest.Manifest, body: callerapi.RequestBody, deadline: float
) -> dispatcher.Work:
    """Return a request as work, or raise for what the text rules out."""
    kind = callerapi.resolve_kind(text, body.service, body.team)
    is_raised = (
        body.work_class == manifest.URGENT
        and kind.work_class == manifest.PATIENT
    )
    if is_raised:
        fault = errors.Fault(
            '$.class',
            f'kind {kind.name!r} is not urgent',
            'send it as patient',
        )
        raise errors.InvalidInputError('request', [fault])
    return dispatcher.Work(
        body.service,
        kind.name,
        body.team,
        body.resources,
        body.payload,
        deadline,
        policy.Prompt(),
    )


def _last(path: str) -> str:
    return path.rpartition('/')[2]
