"""HTTP API for callers: accepts, reports and cancels jobs.

A job is accepted once it is in the store. Its state comes from the leader,
or from the store if no leader answers.
"""

from __future__ import annotations

import asyncio
import http
from collections import abc
from typing import Protocol

import attrs

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    elector,
    interfaces,
    jobrecords,
    jobspec,
    jobwriter,
    keys,
    logs,
    peers,
    progress,
    term,
)
from jujubebend_http import httpmessage

DEFAULT_DEADLINE_S = 3.0  # for callers that set none
ANSWER_MARGIN_S = 0.15  # answer this long before the caller's deadline
MAX_MARGIN_SHARE = 0.3  # of the time until the caller's deadline
RETRY_AFTER_S = 1.0  # sent to callers while a request cannot be served
NO_CONFIG_MESSAGE = 'no configuration has been read yet'


class CallerFormat(Protocol):
    """Format of callers' requests and of the replies to them."""

    def parse_timeout(self, req: httpmessage.Request, default: float) -> float:
        """Return the seconds until the caller's deadline."""
        ...

    def parse_job(
        self, job: str, queue: str, body: bytes, now: float
    ) -> jobspec.JobSpec:
        """Parse a submitted job; raises ``InvalidInputError``."""
        ...

    def state_reply(self, state: str) -> httpmessage.Reply:
        """Return a reply with a job's state."""
        ...

    def count_reply(self, waiting: int) -> httpmessage.Reply:
        """Return a reply with the number of waiting jobs."""
        ...

    def accepted_reply(self) -> httpmessage.Reply:
        """Return the reply to a request that has been stored."""
        ...

    def error_reply(
        self, status: int, detail: str, retry_after: float = 0
    ) -> httpmessage.Reply:
        """Return a reply that states why the request was not served.

        ``retry_after`` is in seconds; zero omits it.
        """
        ...


@attrs.frozen
class _Call:
    """A request to a queue; ``answer_deadline`` is a time of ``clock.now``."""

    req: httpmessage.Request
    queue: jobspec.Queue
    job: str
    answer_deadline: float
    config_version: int

    def remaining_s(self) -> float:
        """Return the seconds left to answer."""
        return self.answer_deadline - clock.now()


@attrs.define(eq=False)
class Gateway:
    """Serves callers' requests on one host."""

    store: interfaces.Store
    peer_client: peers.PeerClient
    elector: elector.Elector
    current_config: abc.Callable[[], jobspec.OperatorConfig | None]
    current_term: abc.Callable[[], term.Term | None]
    caller_format: CallerFormat
    record_answer: abc.Callable[[str, int, float], None]
    job_writer: jobwriter.JobWriter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the writer for the same store."""
        self.job_writer = jobwriter.JobWriter(
            self.store, self.peer_client, self.elector
        )

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request and record its answer."""
        started_at = clock.now()
        reply = await self._answer_request(req, started_at)
        self.record_answer(req.method, reply.status, clock.now() - started_at)
        return reply

    async def _answer_request(
        self, req: httpmessage.Request, started_at: float
    ) -> httpmessage.Reply:
        config = self.current_config()
        if config is None:
            return self.caller_format.error_reply(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                NO_CONFIG_MESSAGE,
                RETRY_AFTER_S,
            )
        hostname = req.headers.get('host', '').partition(':')[0]
        queue = config.match_queue(hostname, req.path)
        if queue is None:
            return self.caller_format.error_reply(
                http.HTTPStatus.NOT_FOUND, f'{req.path}: no such queue'
            )
        timeout = self.caller_format.parse_timeout(req, DEFAULT_DEADLINE_S)
        timeout -= min(ANSWER_MARGIN_S, timeout * MAX_MARGIN_SHARE)
        call = _Call(
            req=req,
            queue=queue,
            job=req.path.removeprefix(queue.prefix),
            answer_deadline=started_at + timeout,
            config_version=config.version,
        )
        return await self._handle_call(call)

    async def _handle_call(self, call: _Call) -> httpmessage.Reply:
        match call.req.method, bool(call.job):
            case 'GET', False:
                return await self._report_count(call)
            case 'GET', True:
                return await self._report_state(call)
            case 'POST', True:
                return await self._submit_job(call)
            case 'DELETE', True:
                return await self._cancel_job(call)
            case _:
                status = http.HTTPStatus.METHOD_NOT_ALLOWED
                return self.caller_format.error_reply(
                    status, 'use GET, POST or DELETE'
                )

    async def _submit_job(self, call: _Call) -> httpmessage.Reply:
        try:
            spec = self.caller_format.parse_job(
                call.job, call.queue.name, call.req.body, clock.unix()
            )
        except errors.InvalidInputError as exc:
            return self.caller_format.error_reply(
                http.HTTPStatus.BAD_REQUEST, str(exc)
            )
        outcome = await self.job_writer.create(
            spec.job, jobrecords.encode_job(spec), call.answer_deadline
        )
        logs.decision(
            'submitted',
            job=call.job,
            queue=call.queue.name,
            version=call.config_version,
            outcome=outcome.value,
            left=round(call.remaining_s(), 3),
        )
        return self._reply_to_write(outcome)

    async def _cancel_job(self, call: _Call) -> httpmessage.Reply:
        outcome = await self.job_writer.cancel(call.job, call.answer_deadline)
        logs.decision('cancel_asked', job=call.job, outcome=outcome.value)
        return self._reply_to_write(outcome)

    def _reply_to_write(
        self, outcome: jobwriter.WriteOutcome
    ) -> httpmessage.Reply:
        match outcome:
            case jobwriter.WriteOutcome.STORED:
                return self.caller_format.accepted_reply()
            case jobwriter.WriteOutcome.NO_SUCH_JOB:
                return self.caller_format.error_reply(
                    http.HTTPStatus.GONE, 'no such job'
                )
            case jobwriter.WriteOutcome.REFUSED:
                return self.caller_format.error_reply(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    'not accepted: the store takes no writes now',
                    RETRY_AFTER_S,
                )
        return self.caller_format.error_reply(
            http.HTTPStatus.GATEWAY_TIMEOUT,
            'unknown: the store did not answer in time; ask again',
        )

    async def _report_state(self, call: _Call) -> httpmessage.Reply:
        state = await self._fetch_state_from_leader(call.job)
        if state is None:
            try:
                state = await self._read_state_from_store(call.job)
            except errors.JujubebendError as exc:
                detail = f'the state cannot be read now: {exc}'
                return self.caller_format.error_reply(
                    http.HTTPStatus.SERVICE_UNAVAILABLE, detail, RETRY_AFTER_S
                )
        if state is None:
            return self.caller_format.error_reply(
                http.HTTPStatus.GONE, 'no such job'
            )
        return self.caller_format.state_reply(state.value)

    async def _fetch_state_from_leader(
        self, job: str
    ) -> progress.JobState | None:
        leader_term = self.current_term()
        if leader_term is not None and leader_term.is_up_to_date():
            return leader_term.find_job_state(job)
        leader_address = self.elector.leader_address
        if not leader_address or leader_address == self.peer_client.address:
            return None
        if self.elector.is_leader_busy:
            # The store has the same state; reading it spares the leader.
            return None
        try:
            return await self.peer_client.fetch_state(leader_address, job)
        except errors.JujubebendError:
            return None

    async def _read_state_from_store(
        self, job: str
    ) -> progress.JobState | None:
        item = await self.store.get(keys.progress(job))
        if item is not None and item.body is not None:
            return progress.decode_progress(item.body).state
        if await self.store.get(keys.job(job)) is not None:
            return progress.JobState.QUEUED
        # The job may have started and ended between the two reads.
        item = await self.store.get(keys.progress(job))
        return (
            progress.decode_progress(item.body).state
            if item and item.body
            else None
        )

    async def _report_count(self, call: _Call) -> httpmessage.Reply:
        leader_term = self.current_term()
        queue = call.queue.name
        while call.remaining_s() > 0:
            if leader_term is not None and leader_term.is_up_to_date():
                return self.caller_format.count_reply(
                    leader_term.count_waiting_jobs(queue)
                )
            try:
                waiting = await self.peer_client.count_waiting_jobs(
                    self.elector.leader_address, queue
                )
            except (errors.JujubebendError, ValueError):
                await asyncio.sleep(jobwriter.RETRY_PAUSE_S)
                leader_term = self.current_term()
                continue
            return self.caller_format.count_reply(waiting)
        detail = 'no leader answered with the number of waiting jobs'
        return self.caller_format.error_reply(
            http.HTTPStatus.SERVICE_UNAVAILABLE, detail, RETRY_AFTER_S
        )
