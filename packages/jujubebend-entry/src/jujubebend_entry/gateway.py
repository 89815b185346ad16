"""The HTTP interface towards callers, balancers and operators."""

from __future__ import annotations

import asyncio
import http
from collections import abc

import attrs
import eliot

from jujubebend import errors, outcome, resources
from jujubebend_entry import (
    callerapi,
    dispatcher,
    heldshard,
    metrics,
    shardmanager,
)
from jujubebend_http import httpmessage

JOB_SECONDS = 10.0
MILLI = 1000
TEXT_TYPE = 'text/plain; charset=utf-8'
JOBS = '/v1/jobs'
REQUESTS = '/v1/requests'

Page = abc.Callable[[], httpmessage.Reply]


@attrs.define(eq=False)
class Gateway:
    """Answers HTTP requests from the parts of this host.

    ``describe`` gives the state of the whole process.
    """

    dispatcher: dispatcher.Dispatcher
    shard_manager: shardmanager.ShardManager
    metrics: metrics.Metrics
    describe: abc.Callable[[], dict]
    ready: bool = False
    draining: bool = False
    open_requests: int = 0
    _pages: dict[str, Page] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """List the pages that are only read."""
        self._pages = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/metrics': self._exposition,
            '/state': self._state,
            '/v1/config': self._config,
        }

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer one request."""
        self.open_requests += 1
        try:
            reply = await self._route(req)
        except errors.InvalidInputError as exc:
            reply = callerapi.invalid(exc)
        except errors.JujubebendError as exc:
            reply = callerapi.unknown(str(exc))
        except Exception as exc:  # noqa: BLE001, WPS429
            error = f'{type(exc).__name__}: {exc}'
            eliot.log_message('door:error', error=error, path=req.path)
            reply = callerapi.unknown('an internal error; see the logs')
        finally:
            self.open_requests -= 1
        self.metrics.answered(req.method, reply.status)
        return reply

    async def _route(self, req: httpmessage.Request) -> httpmessage.Reply:
        match (req.method, req.path):
            case ('GET', path) if path in self._pages:
                return self._pages[path]()
            case ('POST', '/v1/requests'):
                return await self._request(req)
            case ('POST', '/v1/jobs'):
                return await self._submit_job(req)
            case ('GET' | 'DELETE', path) if path.startswith(f'{JOBS}/'):
                return await self._job(req)
        status = http.HTTPStatus.NOT_FOUND
        return httpmessage.problem_reply(
            status,
            f"{req.method} {req.path} does not exist; see the callers' page",
            outcome='not_run',
        )

    def _health(self) -> httpmessage.Reply:
        return httpmessage.json_reply(http.HTTPStatus.OK, {'status': 'alive'})

    def _exposition(self) -> httpmessage.Reply:
        rendered = self.metrics.render()
        return httpmessage.Reply(http.HTTPStatus.OK, rendered, TEXT_TYPE)

    def _state(self) -> httpmessage.Reply:
        return httpmessage.json_reply(http.HTTPStatus.OK, self.describe())

    def _readiness(self) -> httpmessage.Reply:
        if self.ready and not self.draining:
            return httpmessage.json_reply(
                http.HTTPStatus.OK, {'status': 'ready'}
            )
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        return httpmessage.problem_reply(status, 'starting or draining')

    def _config(self) -> httpmessage.Reply:
        current = self.shard_manager.platform.register.current
        plain = {'revision': current.number, 'text': current.text}
        return httpmessage.json_reply(http.HTTPStatus.OK, plain)

    async def _request(self, req: httpmessage.Request) -> httpmessage.Reply:
        body = callerapi.parse_request(req.body)
        key = req.headers.get('idempotency-key', '')
        if not body.idempotent:
            callerapi.check_idempotency_key(key)
        now = asyncio.get_running_loop().time()
        deadline = now + body.deadline_ms / MILLI
        work = heldshard.request_work(self.shard_manager.text(), body, deadline)
        self._check_size(body.resources, '$')
        if body.idempotent:
            # Such work stays in the zone, all of whose workers are known.
            zone = self.dispatcher.zone_capacities()
            _check_fits(body.resources, zone, '$')
        if not self.ready:
            return callerapi.not_run_reply('this host is starting', 1)
        if body.idempotent:
            return await self._serve(req, work)
        shard = self.shard_manager.shard_for_key(f'{body.team}/{key}')
        call = heldshard.Call(
            'POST',
            REQUESTS,
            f'{body.team}/{key}',
            req.body,
            shard,
            deadline,
        )
        return await self.shard_manager.route(call)

    async def _serve(
        self, req: httpmessage.Request, work: dispatcher.Work
    ) -> httpmessage.Reply:
        """Run idempotent work, unless its caller goes away first."""
        began = asyncio.get_running_loop().time()
        serving = asyncio.create_task(self.dispatcher.serve(work))
        gone = asyncio.create_task(req.disconnected.wait())
        try:
            await asyncio.wait(
                {serving, gone}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            gone.cancel()
            if not serving.done():
                serving.cancel()
        try:
            ended = await serving
        except asyncio.CancelledError:
            ended = outcome.Unknown('its caller went away')
        now = asyncio.get_running_loop().time()
        self.metrics.served(work.kind, ended.tag, now - began)
        return callerapi.outcome_reply(ended)

    async def _submit_job(self, req: httpmessage.Request) -> httpmessage.Reply:
        body = callerapi.parse_job(req.body)
        callerapi.resolve_kind(
            self.shard_manager.text(), body.service, body.team
        )
        for number, task in enumerate(body.tasks):
            self._check_size(task.resources, f'$.tasks[{number}]')
        if not self.ready:
            return callerapi.not_run_reply('this host is starting', 1)
        given = req.headers.get('idempotency-key', '')
        shard = self.shard_manager.choose_local_shard()
        key = shardmanager.generate_key()
        if given:
            callerapi.check_idempotency_key(given)
            shard = self.shard_manager.shard_for_key(f'{body.team}/{given}')
            key = callerapi.digest(f'{body.team}/{given}'.encode())
        call = heldshard.Call(
            'POST', JOBS, key, req.body, shard, _job_deadline()
        )
        return await self.shard_manager.route(call)

    async def _job(self, req: httpmessage.Request) -> httpmessage.Reply:
        job_id = req.path.rpartition('/')[2]
        shard = job_id.partition('.')[0]
        if shard not in self.shard_manager.cfg.shards():
            status = http.HTTPStatus.NOT_FOUND
            return httpmessage.problem_reply(
                status, f'job {job_id!r} does not exist'
            )
        call = heldshard.Call(
            req.method, req.path, '', b'', shard, _job_deadline()
        )
        return await self.shard_manager.route(call)

    def _check_size(self, demand: resources.Resources, path: str) -> None:
        """Refuse what the text says that no worker could hold."""
        largest = self.shard_manager.text().largest_worker
        if largest is not None:
            _check_fits(demand, {largest}, path)


def _check_fits(
    demand: resources.Resources,
    sizes: abc.Set[resources.Resources],
    path: str,
) -> None:
    """Raise if no worker of these sizes holds ``demand``, naming why."""
    if not sizes or any(demand.fits(one) for one in sizes):
        return
    short = min(demand.exceeded_dimension(one) for one in sizes)
    fault = errors.Fault(
        f'{path}.resources.{short}',
        f'no worker holds that many {short}',
        'ask for less',
    )
    raise errors.InvalidInputError('request', [fault])


def _job_deadline() -> float:
    return asyncio.get_running_loop().time() + JOB_SECONDS
