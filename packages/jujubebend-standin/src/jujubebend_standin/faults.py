"""Faults that a stand-in shows on request.

``POST /v1/faults`` on any stand-in sets them, ``{}`` clears them. Cuts
between hosts are made by relays; see ``relay``.
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
    """What is wrong with a stand-in; delays in seconds.

    ``down`` answers 503 to everything. ``lose_answers`` does what is asked
    and then closes without an answer. ``fail_work`` and the rest only mean
    something on a worker.
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
class Faulty:
    """Wraps a handler with the faults that are set.

    ``on_set`` is told of the faults that only the handler can show.
    """

    handler: httpserver.Handler
    on_set: abc.Callable[[Faults], None] = lambda _: None  # noqa: E731
    faults: Faults = attrs.field(factory=Faults)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Handle a request, or show a fault instead."""
        if req.path == FAULTS_PATH:
            plain = httpmessage.Reply(0, req.body).json()
            self.faults = structuring.build_object(
                _converter, Faults, plain, 'faults'
            )
            self.on_set(self.faults)
            return httpmessage.json_reply(http.HTTPStatus.OK, {})
        if self.faults.down:
            return httpmessage.problem_reply(
                http.HTTPStatus.SERVICE_UNAVAILABLE, 'down'
            )
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        reply = await self.handler(req)
        if self.faults.lose_answers and req.method != 'GET':
            raise ConnectionError('the answer is lost on purpose')
        return reply
