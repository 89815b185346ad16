"""HTTP API of an entry host for callers, load balancers and operators."""

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

JOB_CALL_TIMEOUT_SECONDS = 10.0
MS_PER_SECOND = 1000
TEXT_CONTENT_TYPE = 'text/plain; charset=utf-8'
JOBS_PATH = '/v1/jobs'
REQUESTS_PATH = '/v1/requests'

PageHandler = abc.Callable[[], httpmessage.Reply]


@attrs.define(eq=False)
class Gateway:
    """Handler of the HTTP requests of callers and operators.

    ``describe`` returns the state of the whole process.
    """

    dispatcher: dispatcher.Dispatcher
    shard_manager: shardmanager.ShardManager
    metrics: metrics.Metrics
    describe: abc.Callable[[], dict]
    is_ready: bool = False
    is_draining: bool = False
    open_requests: int = 0
    _pages: dict[str, PageHandler] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Map the paths of read-only pages to their handlers."""
        self._pages = {
            '/healthz': self._health_page,
            '/readyz': self._readiness_page,
            '/metrics': self._metrics_page,
            '/state': self._state_page,
            '/v1/config': self._config_page,
        }

    async def handle_request(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        """Handle one request."""
        self.open_requests += 1
        try:
            reply = await self._route_request(req)
        except errors.InvalidInputError as exc:
            reply = callerapi.invalid_input_reply(exc)
        except errors.JujubebendError as exc:
            reply = callerapi.unknown_reply(str(exc))
        except Exception as exc:  # noqa: BLE001, WPS429
            error = f'{type(exc).__name__}: {exc}'
            eliot.log_message('door:error', error=error, path=req.path)
            reply = callerapi.unknown_reply(
                'internal error; see the log of this host'
            )
        finally:
            self.open_requests -= 1
        self.metrics.count_response(req.method, reply.status)
        return reply

    async def _route_request(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        match (req.method, req.path):
            case ('GET', path) if path in self._pages:
                return self._pages[path]()
            case ('POST', '/v1/requests'):
                return await self._submit_request(req)
            case ('POST', '/v1/jobs'):
                return await self._submit_job(req)
            case ('GET' | 'DELETE', path) if path.startswith(f'{JOBS_PATH}/'):
                return await self._route_job_call(req)
        status = http.HTTPStatus.NOT_FOUND
        return httpmessage.problem_reply(
            status,
            f'{req.method} {req.path} does not exist;'
            ' see the documentation of the API',
            outcome='not_run',
        )

    def _health_page(self) -> httpmessage.Reply:
        return httpmessage.json_reply(http.HTTPStatus.OK, {'status': 'alive'})

    def _metrics_page(self) -> httpmessage.Reply:
        rendered = self.metrics.render()
        return httpmessage.Reply(
            http.HTTPStatus.OK, rendered, TEXT_CONTENT_TYPE
        )

    def _state_page(self) -> httpmessage.Reply:
        return httpmessage.json_reply(http.HTTPStatus.OK, self.describe())

    def _readiness_page(self) -> httpmessage.Reply:
        if self.is_ready and not self.is_draining:
            return httpmessage.json_reply(
                http.HTTPStatus.OK, {'status': 'ready'}
            )
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        return httpmessage.problem_reply(status, 'starting or draining')

    def _config_page(self) -> httpmessage.Reply:
        current = self.shard_manager.platform.config_register.current
        document = {'revision': current.number, 'text': current.text}
        return httpmessage.json_reply(http.HTTPStatus.OK, document)

    async def _submit_request(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        body = callerapi.parse_request(req.body)
        key = req.headers.get('idempotency-key', '')
        if not body.idempotent:
            callerapi.check_idempotency_key(key)
        now = asyncio.get_running_loop().time()
        deadline = now + body.deadline_ms / MS_PER_SECOND
        work = heldshard.work_from_request(
            self.shard_manager.current_manifest(), body, deadline
        )
        self._check_largest_worker(body.resources, '$')
        if body.idempotent:
            # Idempotent work stays in its zone, and this host knows the
            # capacity of every worker there.
            zone_capacities = self.dispatcher.zone_capacities()
            _check_fits_any(body.resources, zone_capacities, '$')
        if not self.is_ready:
            return callerapi.not_run_reply('this host is starting', 1)
        if body.idempotent:
            return await self._serve_idempotent(req, work)
        shard = self.shard_manager.shard_for_key(f'{body.team}/{key}')
        call = heldshard.Call(
            'POST',
            REQUESTS_PATH,
            f'{body.team}/{key}',
            req.body,
            shard,
            deadline,
        )
        return await self.shard_manager.route_call(call)

    async def _serve_idempotent(
        self, req: httpmessage.Request, work: dispatcher.Work
    ) -> httpmessage.Reply:
        """Run idempotent work; cancel it if the caller disconnects."""
        started_at = asyncio.get_running_loop().time()
        serve_task = asyncio.create_task(self.dispatcher.run_with_retries(work))
        disconnect_task = asyncio.create_task(req.disconnected.wait())
        try:
            await asyncio.wait(
                {serve_task, disconnect_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            disconnect_task.cancel()
            if not serve_task.done():
                serve_task.cancel()
        try:
            work_outcome = await serve_task
        except asyncio.CancelledError:
            work_outcome = outcome.Unknown('the caller disconnected')
        now = asyncio.get_running_loop().time()
        self.metrics.record_request(
            work.kind, work_outcome.tag, now - started_at
        )
        return callerapi.outcome_reply(work_outcome)

    async def _submit_job(self, req: httpmessage.Request) -> httpmessage.Reply:
        body = callerapi.parse_job(req.body)
        callerapi.resolve_kind(
            self.shard_manager.current_manifest(), body.service, body.team
        )
        for number, task in enumerate(body.tasks):
            self._check_largest_worker(task.resources, f'$.tasks[{number}]')
        if not self.is_ready:
            return callerapi.not_run_reply('this host is starting', 1)
        caller_key = req.headers.get('idempotency-key', '')
        shard = self.shard_manager.choose_local_shard()
        key = shardmanager.generate_key()
        if caller_key:
            callerapi.check_idempotency_key(caller_key)
            shard = self.shard_manager.shard_for_key(
                f'{body.team}/{caller_key}'
            )
            key = callerapi.compute_digest(f'{body.team}/{caller_key}'.encode())
        call = heldshard.Call(
            'POST', JOBS_PATH, key, req.body, shard, _job_call_deadline()
        )
        return await self.shard_manager.route_call(call)

    async def _route_job_call(
        self, req: httpmessage.Request
    ) -> httpmessage.Reply:
        job_id = req.path.rpartition('/')[2]
        shard = job_id.partition('.')[0]
        if shard not in self.shard_manager.cfg.shard_names():
            status = http.HTTPStatus.NOT_FOUND
            return httpmessage.problem_reply(
                status, f'job {job_id!r} does not exist'
            )
        call = heldshard.Call(
            req.method, req.path, '', b'', shard, _job_call_deadline()
        )
        return await self.shard_manager.route_call(call)

    def _check_largest_worker(
        self, demand: resources.Resources, path: str
    ) -> None:
        """Raise if ``demand`` exceeds the configured largest worker."""
        largest = self.shard_manager.current_manifest().largest_worker
        if largest is not None:
            _check_fits_any(demand, {largest}, path)


def _check_fits_any(
    demand: resources.Resources,
    capacities: abc.Set[resources.Resources],
    path: str,
) -> None:
    """Raise if ``demand`` fits none of these worker capacities."""
    if not capacities or any(demand.fits(capacity) for capacity in capacities):
        return
    dimension = min(
        demand.exceeded_dimension(capacity) for capacity in capacities
    )
    fault = errors.Fault(
        f'{path}.resources.{dimension}',
        f'no worker has that many {dimension}',
        'ask for less',
    )
    raise errors.InvalidInputError('request', [fault])


def _job_call_deadline() -> float:
    return asyncio.get_running_loop().time() + JOB_CALL_TIMEOUT_SECONDS
