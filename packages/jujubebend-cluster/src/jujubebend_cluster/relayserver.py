"""Calls workers for a leader that is short of processor time.

A deputy decides nothing: each call says all there is to it, and the workers
refuse those of a former leader. A leader asks again and again; each time it
hands over new calls and takes the answers that have come since.
"""

from __future__ import annotations

import asyncio
from collections import abc

import attrs

from jujubebend_cluster import clock, interfaces, logs, relaycodec

SESSION_IDLE = 6.0  # seconds without a word after which a leader is gone


@attrs.define(eq=False)
class _Session:
    """One leader's calls.

    ``highest`` is the number of its newest call, ``taken`` how many answers
    it has confirmed; ``answers`` are those after.
    """

    used_at: float = 0
    highest: int = -1
    taken: int = 0
    answers: list = attrs.field(factory=list)
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    payloads: relaycodec.Payloads = attrs.field(factory=relaycodec.Payloads)

    def confirm(self, taken: int) -> None:
        """Drop the answers that the leader has."""
        self.answers = self.answers[max(0, taken - self.taken) :]
        self.taken = max(self.taken, taken)


@attrs.define(eq=False)
class RelayServer:
    """Keeps the connections to workers that leaders hand to this host.

    An exchange that was lost is repeated: calls that are known already are
    not made again, and answers are kept until the leader confirms them.
    """

    connect: abc.Callable[[str, str], interfaces.WorkerCalls]
    _workers: dict[tuple[str, str], interfaces.WorkerCalls] = attrs.field(
        factory=dict
    )
    _sessions: dict[str, _Session] = attrs.field(factory=dict)

    async def exchange(self, plain: dict) -> dict:
        """Begin the calls handed over; return what has been answered."""
        name = plain['session']
        fresh = name not in self._sessions
        if fresh:
            logs.belief('deputy', session=name)
            await self._drop_idle()
        session = self._sessions.setdefault(name, _Session())
        session.used_at = clock.now()
        session.confirm(plain['taken'])
        for number, kind, worker, address, *row in plain['calls']:
            if number <= session.highest:
                continue
            session.highest = number
            calls = self._calls(worker, address)
            task = asyncio.ensure_future(
                _answer(session, number, calls, kind, row)
            )
            session.tasks.add(task)
            task.add_done_callback(session.tasks.discard)
        return {'fresh': fresh, 'answers': session.answers}

    def _calls(self, worker: str, address: str) -> interfaces.WorkerCalls:
        key = (worker, address)
        if key not in self._workers:
            self._workers[key] = self.connect(worker, address)
        return self._workers[key]

    async def _drop_idle(self) -> None:
        now = clock.now()
        for name, session in list(self._sessions.items()):
            if now - session.used_at > SESSION_IDLE:
                self._sessions.pop(name)
                for task in session.tasks:
                    task.cancel()
        if not self._sessions:
            former = self._workers
            self._workers = {}
            for calls in former.values():
                await calls.close()


async def _answer(
    session: _Session,
    number: int,
    calls: interfaces.WorkerCalls,
    kind: str,
    row: list,
) -> None:
    answer = await relaycodec.make(calls, kind, row, session.payloads)
    session.answers.append([number, answer])
