"""The callers' door: takes jobs, tells their state, cancels them.

A job is accepted once it is in the store. Its state is told by the leader,
or read from the store where no leader answers.
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

DEFAULT_WAIT = 3.0  # seconds a caller waits if it does not say
ANSWER_MARGIN = 0.15  # seconds before the caller gives up
MARGIN_SHARE = 0.3  # of a wait that is hardly longer than the margin
COME_BACK = 1.0  # seconds after which the store is worth another try
NO_TEXT_YET = 'no configuration has been read yet'


class CallerFormat(Protocol):
    """How callers spell their requests and read their answers."""

    def deadline(self, req: httpmessage.Request, default: float) -> float:
        """Return how many seconds the caller waits."""
        ...

    def parse_job(
        self, job: str, queue: str, body: bytes, now: float
    ) -> jobspec.JobSpec:
        """Read a submission."""
        ...

    def state_reply(self, state: str) -> httpmessage.Reply:
        """Answer with a job's state."""
        ...

    def count_reply(self, waiting: int) -> httpmessage.Reply:
        """Answer with a count of jobs."""
        ...

    def accepted_reply(self) -> httpmessage.Reply:
        """Answer that the request is stored."""
        ...

    def error_reply(
        self, status: int, found: str, retry_after: float = 0
    ) -> httpmessage.Reply:
        """Answer why the request is not served."""
        ...


@attrs.frozen
class _Call:
    req: httpmessage.Request
    queue: jobspec.Queue
    job: str
    due: float
    version: int

    def left(self) -> float:
        """Return the seconds left to answer in."""
        return self.due - clock.now()


@attrs.define(eq=False)
class Gateway:
    """Answers callers on one host."""

    store: interfaces.Store
    network: peers.Peers
    election: elector.Elector
    current_config: abc.Callable[[], jobspec.OperatorConfig | None]
    current_term: abc.Callable[[], term.Term | None]
    form: CallerFormat
    answered: abc.Callable[[str, int, float], None]
    acceptance: jobwriter.JobWriter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Accept jobs into the same store."""
        self.acceptance = jobwriter.JobWriter(
            self.store, self.network, self.election
        )

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer one request."""
        began = clock.now()
        reply = await self._answer(req, began)
        self.answered(req.method, reply.status, clock.now() - began)
        return reply

    async def _answer(
        self, req: httpmessage.Request, began: float
    ) -> httpmessage.Reply:
        text = self.current_config()
        if text is None:
            return self.form.error_reply(
                http.HTTPStatus.SERVICE_UNAVAILABLE, NO_TEXT_YET, COME_BACK
            )
        hostname = req.headers.get('host', '').partition(':')[0]
        queue = text.route(hostname, req.path)
        if queue is None:
            return self.form.error_reply(
                http.HTTPStatus.NOT_FOUND, f'{req.path}: no such queue'
            )
        wait = self.form.deadline(req, DEFAULT_WAIT)
        wait -= min(ANSWER_MARGIN, wait * MARGIN_SHARE)
        call = _Call(
            req=req,
            queue=queue,
            job=req.path.removeprefix(queue.prefix),
            due=began + wait,
            version=text.version,
        )
        return await self._dispatch(call)

    async def _dispatch(self, call: _Call) -> httpmessage.Reply:
        match call.req.method, bool(call.job):
            case 'GET', False:
                return await self._count(call)
            case 'GET', True:
                return await self._state(call)
            case 'POST', True:
                return await self._submit(call)
            case 'DELETE', True:
                return await self._cancel(call)
            case _:
                status = http.HTTPStatus.METHOD_NOT_ALLOWED
                return self.form.error_reply(status, 'use GET, POST or DELETE')

    async def _submit(self, call: _Call) -> httpmessage.Reply:
        try:
            spec = self.form.parse_job(
                call.job, call.queue.name, call.req.body, clock.unix()
            )
        except errors.InvalidInputError as exc:
            return self.form.error_reply(http.HTTPStatus.BAD_REQUEST, str(exc))
        outcome = await self.acceptance.create(
            spec.job, jobrecords.encode_job(spec), call.due
        )
        logs.decision(
            'submitted',
            job=call.job,
            queue=call.queue.name,
            version=call.version,
            outcome=outcome.value,
            left=round(call.left(), 3),
        )
        return self._write_reply(outcome)

    async def _cancel(self, call: _Call) -> httpmessage.Reply:
        outcome = await self.acceptance.cancel(call.job, call.due)
        logs.decision('cancel_asked', job=call.job, outcome=outcome.value)
        return self._write_reply(outcome)

    def _write_reply(self, outcome: jobwriter.Outcome) -> httpmessage.Reply:
        match outcome:
            case jobwriter.Outcome.STORED:
                return self.form.accepted_reply()
            case jobwriter.Outcome.NO_SUCH_JOB:
                return self.form.error_reply(
                    http.HTTPStatus.GONE, 'no such job'
                )
            case jobwriter.Outcome.REFUSED:
                return self.form.error_reply(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    'not accepted: the store takes no writes now',
                    COME_BACK,
                )
        return self.form.error_reply(
            http.HTTPStatus.GATEWAY_TIMEOUT,
            'unknown: the store did not answer in time; ask again',
        )

    async def _state(self, call: _Call) -> httpmessage.Reply:
        state = await self._state_by_leader(call.job)
        if state is None:
            try:
                state = await self._state_by_store(call.job)
            except errors.JujubebendError as exc:
                found = f'the state cannot be read now: {exc}'
                return self.form.error_reply(
                    http.HTTPStatus.SERVICE_UNAVAILABLE, found, COME_BACK
                )
        if state is None:
            return self.form.error_reply(http.HTTPStatus.GONE, 'no such job')
        return self.form.state_reply(state.value)

    async def _state_by_leader(self, job: str) -> progress.JobState | None:
        mine = self.current_term()
        if mine is not None and mine.speaks():
            return mine.state_of(job)
        leader = self.election.leader
        if not leader or leader == self.network.address:
            return None
        if self.election.leader_busy:
            # The store tells the same, without the leader's processor.
            return None
        try:
            return await self.network.state(leader, job)
        except errors.JujubebendError:
            return None

    async def _state_by_store(self, job: str) -> progress.JobState | None:
        told = await self.store.get(keys.progress(job))
        if told is not None and told.body is not None:
            return progress.parse(told.body).state
        if await self.store.get(keys.job(job)) is not None:
            return progress.JobState.QUEUED
        # It may have begun and ended between the two questions.
        told = await self.store.get(keys.progress(job))
        return progress.parse(told.body).state if told and told.body else None

    async def _count(self, call: _Call) -> httpmessage.Reply:
        mine = self.current_term()
        queue = call.queue.name
        while call.left() > 0:
            if mine is not None and mine.speaks():
                return self.form.count_reply(mine.count_waiting(queue))
            try:
                waiting = await self.network.count(self.election.leader, queue)
            except (errors.JujubebendError, ValueError):
                await asyncio.sleep(jobwriter.SETTLE_PAUSE)
                mine = self.current_term()
                continue
            return self.form.count_reply(waiting)
        found = 'nobody who knows the count answers'
        return self.form.error_reply(
            http.HTTPStatus.SERVICE_UNAVAILABLE, found, COME_BACK
        )
