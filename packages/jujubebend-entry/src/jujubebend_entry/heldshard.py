"""Handling of calls and recorded work for one shard held by this host."""

from __future__ import annotations

import asyncio
import http
import time

import attrs
import eliot

from jujubebend import errors, manifest, policy, records
from jujubebend_entry import (
    attempts,
    background,
    callerapi,
    dispatcher,
    jobs,
    keyedrequests,
    largeanswers,
    services,
    shard,
)
from jujubebend_http import httpmessage

OPEN_RETRY_SECONDS = 0.2


@attrs.frozen
class Call:
    """A caller's call on recorded work, to be handled by its shard's holder.

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
    """A shard that this host holds, with its requests, jobs and services."""

    shard: shard.Shard
    attempts: attempts.Attempts
    context: jobs.JobContext
    is_open: bool = False
    keyed_requests: keyedrequests.KeyedRequests = attrs.field(init=False)
    services: services.ServiceReconciler = attrs.field(init=False)
    job_tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _run_task: asyncio.Task | None = None
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    def __attrs_post_init__(self) -> None:
        """Create the components that handle keyed requests and services."""
        self.keyed_requests = keyedrequests.KeyedRequests(self.attempts)
        self.services = services.ServiceReconciler(self)

    def start(self) -> asyncio.Task:
        """Open the shard and run its work in the background."""
        self._run_task = self._group.spawn(self._run_shard())
        return self._run_task

    async def close(self) -> None:
        """Stop holding the shard; started work stays in the journal."""
        if self._run_task is not None:
            self._run_task.cancel()
            await asyncio.gather(self._run_task, return_exceptions=True)
        await self._stop_work()
        await self._group.close()

    async def handle_call(self, call: Call) -> httpmessage.Reply | None:
        """Handle a call; return None if the shard is not held or not open."""
        if not self.is_open:
            return None
        try:
            return await self._dispatch_call(call)
        except errors.FencedError:
            return None
        except errors.InvalidInputError as exc:
            return callerapi.invalid_input_reply(exc)

    def describe(self) -> dict:
        """Return the state of the shard for operators."""
        shard_records = self.shard.records
        return {
            'opened': self.is_open,
            'records': len(shard_records.by_id),
            'open_attempts': len(shard_records.by_attempt),
            'jobs': sorted(self.job_tasks),
            'flights': self.keyed_requests.describe(),
        }

    async def _run_shard(self) -> None:
        """Open the shard and run its work until another host holds it."""
        while not await self._try_open_shard():
            await asyncio.sleep(OPEN_RETRY_SECONDS)
        self.is_open = True
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.attempts.inspect_forever())
                for record in list(self.shard.records.by_id.values()):
                    self.resume_record(record)
                await self.shard.run()
                raise errors.FencedError(self.shard.name)
        except* errors.FencedError:
            eliot.log_message('home:fenced', shard=self.shard.name)
        finally:
            await self._stop_work()

    async def _try_open_shard(self) -> bool:
        try:
            await self.shard.open()
        except errors.UnreachableError:
            return False
        return True

    async def _dispatch_call(self, call: Call) -> httpmessage.Reply | None:
        match (call.method, call.path):
            case ('POST', '/v1/requests'):
                return await self._serve_keyed_request(call)
            case ('POST', '/v1/jobs'):
                return await self._accept_job(call)
            case ('GET', _):
                return await self._show_job(_last_path_segment(call.path))
            case ('DELETE', _):
                return await self._cancel_job(_last_path_segment(call.path))
        return httpmessage.problem_reply(
            http.HTTPStatus.METHOD_NOT_ALLOWED, 'use GET, POST or DELETE'
        )

    async def _serve_keyed_request(self, call: Call) -> httpmessage.Reply:
        body = callerapi.parse_request(call.body)
        work = work_from_request(
            self.context.current_manifest(), body, call.deadline
        )
        digest = callerapi.compute_digest(call.body)
        return await self.keyed_requests.serve_request(
            f'r.{call.key}', digest, work
        )

    async def _accept_job(self, call: Call) -> httpmessage.Reply:
        body = callerapi.parse_job(call.body)
        callerapi.resolve_kind(
            self.context.current_manifest(), body.service, body.team
        )
        job_id = f'{call.shard}.{call.key}'
        digest = callerapi.compute_digest(call.body)
        existing_record = self.shard.records.by_id.get(job_id)
        if existing_record is not None and existing_record.digest != digest:
            return httpmessage.problem_reply(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                keyedrequests.KEY_REUSED,
                outcome='not_run',
            )
        if existing_record is None:
            error_reply = await self._record_job(job_id, call.body, digest)
            if error_reply is not None:
                return error_reply
        self.resume_record(self.shard.records.by_id[job_id])
        return httpmessage.json_reply(http.HTTPStatus.ACCEPTED, {'id': job_id})

    async def _record_job(
        self, job_id: str, body: bytes, digest: str
    ) -> httpmessage.Reply | None:
        if self.shard.is_full():
            return callerapi.not_run_reply(
                'its shard has no space for new work', 5
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
            return callerapi.unknown_reply(
                f'{exc}; check whether job {job_id} exists'
            )
        return None

    async def _show_job(self, job_id: str) -> httpmessage.Reply:
        record = self.shard.records.by_id.get(job_id)
        if record is None or record.sort == records.REQUEST:
            return httpmessage.problem_reply(
                http.HTTPStatus.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        document = callerapi.describe_job(record)
        for name, task in record.tasks.items():
            if task.outcome is not None:
                complete_outcome = await largeanswers.load_answer(
                    self.shard.store, task.outcome
                )
                document['tasks'][name]['outcome'] = callerapi.describe_outcome(
                    complete_outcome
                )
        return httpmessage.json_reply(http.HTTPStatus.OK, document)

    async def _cancel_job(self, job_id: str) -> httpmessage.Reply:
        record = self.shard.records.by_id.get(job_id)
        if record is None or record.sort != records.JOB:
            return httpmessage.problem_reply(
                http.HTTPStatus.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        await self.cancel_record(record)
        return httpmessage.json_reply(
            http.HTTPStatus.OK, callerapi.describe_job(record)
        )

    async def cancel_record(self, record: records.Record) -> None:
        """Cancel a record and stop its running attempts."""
        if not record.cancelled and not record.is_ended():
            entry = records.Cancelled(record.id, time.time())
            await self.shard.commit(entry)
        job_task = self.job_tasks.pop(record.id, None)
        if job_task is not None:
            job_task.cancel()
        await self.attempts.stop_record(record.id)

    def resume_record(self, record: records.Record) -> None:
        """Run a job or service unless it already runs or has ended."""
        if record.sort == records.REQUEST or record.id in self.job_tasks:
            return
        if record.is_ended():
            return
        if record.cancelled:
            self._group.spawn(self.attempts.stop_record(record.id))
            return
        job = jobs.Job(record, self.attempts, self.context)
        task = self._group.spawn(self._run_job(job))
        self.job_tasks[record.id] = task

    async def _run_job(self, job: jobs.Job) -> None:
        try:
            await jobs.run_job(job)
        except* errors.FencedError:
            eliot.log_message('job:handed-on', job=job.record.id)
        finally:
            if self.job_tasks.get(job.record.id) is asyncio.current_task():
                self.job_tasks.pop(job.record.id)

    async def _stop_work(self) -> None:
        self.is_open = False
        self.shard.fenced.set()
        for task in self.job_tasks.values():
            task.cancel()
        await self.services.close()
        await self.keyed_requests.close()
        await self.attempts.close()


def work_from_request(
    current_manifest: manifest.Manifest,
    body: callerapi.RequestBody,
    deadline: float,
) -> dispatcher.Work:
    """Return the work of a request.

    Raises ``errors.InvalidInputError`` if the configuration does not allow
    the request.
    """
    kind = callerapi.resolve_kind(current_manifest, body.service, body.team)
    is_above_kind_class = (
        body.work_class == manifest.URGENT
        and kind.work_class == manifest.PATIENT
    )
    if is_above_kind_class:
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


def _last_path_segment(path: str) -> str:
    return path.rpartition('/')[2]
