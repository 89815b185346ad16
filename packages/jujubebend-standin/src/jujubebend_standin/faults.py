"""Fault injection for fakes, controlled over HTTP.

``POST /v1/faults`` on any fake sets its faults; ``{}`` clears them. Network
partitions between hosts are made by relays; see ``relay``.
"""

from __future__ import annotations

import asyncio
import http
from collections import abc

import attrs

from jujubebend import structuring
from jujubebend_http import httpmessage, httpserver

FAULTS_PATH = '/v1/faults'


@attrs.frozen
class Faults:
    """The faults of a fake.

    ``down`` answers every request with 503. ``delay`` is the delay of each
    answer in seconds. ``lose_answers`` processes a request other than GET,
    then closes the connection without an answer. The others apply to workers
    only: ``fail_work`` makes tasks fail, ``double_ends`` reports the end of a
    task until it is acknowledged instead of once, ``hold_ends`` delays that
    report in seconds, ``leaving`` reports that the worker is leaving.
    """

    down: bool = False
    delay: float = 0
    lose_answers: bool = False
    fail_work: bool = False
    double_ends: bool = False
    hold_ends: float = 0
    leaving: bool = False


_converter = structuring.make_converter()


@attrs.define(eq=False)
class FaultInjector:
    """Wraps a request handler and injects the faults that are set.

    ``on_set`` is called with the new faults, for those that the handler has
    to apply itself.
    """

    handler: httpserver.Handler
    on_set: abc.Callable[[Faults], None] = lambda _: None  # noqa: E731
    faults: Faults = attrs.field(factory=Faults)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Handle a request, with the faults that are set."""
        if req.path == FAULTS_PATH:
            document = httpmessage.Reply(0, req.body).json()
            self.faults = structuring.build_object(
                _converter, Faults, document, 'faults'
            )
            self.on_set(self.faults)
            return httpmessage.json_reply(http.HTTPStatus.OK, {})
        if self.faults.down:
            return httpmessage.problem_reply(
                http.HTTPStatus.SERVICE_UNAVAILABLE, 'injected fault: down'
            )
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        reply = await self.handler(req)
        if self.faults.lose_answers and req.method != 'GET':
            raise ConnectionError(
                'injected fault: connection closed without an answer'
            )
        return reply
