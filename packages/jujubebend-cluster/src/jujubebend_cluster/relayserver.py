"""Relay that calls workers for a leader short of processor time.

A relay makes no decisions: each call is self-contained, and workers refuse
the calls of a former leader. The leader polls the relay; each exchange
transfers new calls and returns the answers received since the last one.
"""

from __future__ import annotations

import asyncio
from collections import abc

import attrs

from jujubebend import decoding
from jujubebend_cluster import clock, interfaces, logs, relaycodec

SESSION_TIMEOUT_S = 6.0  # without an exchange; the leader is gone by then


@attrs.define(eq=False)
class _Session:
    """The calls of one leader.

    ``highest_call`` is the number of its newest call. ``confirmed`` counts
    the answers that the leader has received; ``answers`` are the later ones.
    """

    last_used_at: float = 0
    highest_call: int = -1
    confirmed: int = 0
    answers: list = attrs.field(factory=list)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    payloads: relaycodec.PayloadCache = attrs.field(
        factory=relaycodec.PayloadCache
    )

    def drop_confirmed(self, confirmed: int) -> None:
        """Drop the answers that the leader has received.

        ``confirmed`` counts them from the start of the session.
        """
        self.answers = self.answers[max(0, confirmed - self.confirmed) :]
        self.confirmed = max(self.confirmed, confirmed)


@attrs.define(eq=False)
class RelayServer:
    """Makes calls to workers on behalf of leaders.

    Exchanges may be repeated after a lost answer: a known call is not made
    again, and answers are kept until the leader confirms them.
    """

    connect_worker: abc.Callable[[str, str], interfaces.WorkerCalls]
    _calls_by_worker: dict[tuple[str, str], interfaces.WorkerCalls] = (
        attrs.field(factory=dict)
    )
    _sessions: dict[str, _Session] = attrs.field(factory=dict)

    async def exchange(self, document: dict) -> dict:
        """Start the new calls; return the answers not yet confirmed.

        Raises one of ``decoding.DECODE_ERRORS`` if the document is malformed.
        """
        session_id = decoding.to_text(document['session'])
        taken = decoding.to_count(document['taken'])
        # All calls are decoded before any is made, so a malformed exchange has
        # no effect.
        calls_to_make = [_decode_call(row) for row in document['calls']]
        is_new = session_id not in self._sessions
        if is_new:
            logs.belief('deputy', session=session_id)
            await self._drop_idle_sessions()
        session = self._sessions.setdefault(session_id, _Session())
        session.last_used_at = clock.now()
        session.drop_confirmed(taken)
        for number, call_name, worker, address, row in calls_to_make:
            if number <= session.highest_call:
                continue
            session.highest_call = number
            calls = self._worker_calls(worker, address)
            task = asyncio.ensure_future(
                _execute_call(session, number, calls, call_name, row)
            )
            session.tasks.add(task)
            task.add_done_callback(session.tasks.discard)
        return {'fresh': is_new, 'answers': session.answers}

    def _worker_calls(
        self, worker: str, address: str
    ) -> interfaces.WorkerCalls:
        key = (worker, address)
        if key not in self._calls_by_worker:
            self._calls_by_worker[key] = self.connect_worker(worker, address)
        return self._calls_by_worker[key]

    async def _drop_idle_sessions(self) -> None:
        now = clock.now()
        for session_id, session in list(self._sessions.items()):
            if now - session.last_used_at > SESSION_TIMEOUT_S:
                self._sessions.pop(session_id)
                for task in session.tasks:
                    task.cancel()
        if not self._sessions:
            idle_calls = self._calls_by_worker
            self._calls_by_worker = {}
            for calls in idle_calls.values():
                await calls.close()


def _decode_call(row: list) -> tuple[int, str, str, str, list]:
    number, call_name, worker, address, *arguments = row
    return (
        decoding.to_count(number),
        decoding.to_text(call_name),
        decoding.to_text(worker),
        decoding.to_text(address),
        arguments,
    )


async def _execute_call(
    session: _Session,
    number: int,
    calls: interfaces.WorkerCalls,
    call_name: str,
    row: list,
) -> None:
    answer = await relaycodec.execute_call(
        calls, call_name, row, session.payloads
    )
    session.answers.append([number, answer])
