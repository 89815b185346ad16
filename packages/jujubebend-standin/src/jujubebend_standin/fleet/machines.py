"""The platform's machines: their list, and upkeep that ends all at once."""

from __future__ import annotations

import asyncio
import http
from collections import abc

import attrs
import orjson

from jujubebend_http import httpmessage
from jujubebend_standin.fleet import worker

UPKEEP_SECONDS = 1.0
PAGE = 2  # machines of one answer, few enough that lists take pages


@attrs.define(eq=False)
class Machine:
    """A machine, the worker that is its present life, its upkeeps so far."""

    name: str
    life: worker.FleetWorker
    is_down: bool = False
    waves: set[int] = attrs.field(factory=set)


@attrs.define(eq=False)
class MachineService:
    """Answers the calls on machines.

    ``retire`` and ``replace`` take a worker off the store's list and bring
    its successor; ``most_down`` is the most machines that were down at once.
    """

    retire: abc.Callable[[worker.FleetWorker], None]
    replace: abc.Callable[
        [worker.FleetWorker], abc.Awaitable[worker.FleetWorker]
    ]
    machines: dict[str, Machine] = attrs.field(factory=dict)
    most_down: int = 0
    fences: list[tuple[str, int]] = attrs.field(factory=list)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def add(self, life: worker.FleetWorker) -> None:
        """Add a machine for a worker."""
        name = f'm-{len(self.machines):05x}'
        self.machines[name] = Machine(name, life)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer one call."""
        if req.method == 'GET':
            return self._list(req.target.partition('page_token=')[2])
        return self._begin_upkeep(req)

    def _list(self, token: str) -> httpmessage.Reply:
        first = int(token or 0)
        rows = list(self.machines.values())
        page = [_row(one) for one in rows[first : first + PAGE]]
        last = first + PAGE
        following = str(last) if last < len(rows) else None
        plain = {'machines': page, 'next_token': following}
        return httpmessage.json_reply(http.HTTPStatus.OK, plain)

    def _begin_upkeep(self, req: httpmessage.Request) -> httpmessage.Reply:
        plain = orjson.loads(req.body)
        one = self.machines.get(plain['machine'])
        if one is None:
            return httpmessage.json_reply(http.HTTPStatus.BAD_REQUEST, {})
        holder = req.headers['x-lease-holder']
        self.fences.append((holder, int(req.headers['x-fencing-token'])))
        if plain['wave'] not in one.waves:
            if one.is_down:
                refusal = {'reason': 'busy'}
                return httpmessage.json_reply(http.HTTPStatus.CONFLICT, refusal)
            one.waves.add(plain['wave'])
            self._take_down(one)
        return httpmessage.json_reply(http.HTTPStatus.OK, {})

    def _take_down(self, one: Machine) -> None:
        one.is_down = True
        down = sum(each.is_down for each in self.machines.values())
        self.most_down = max(self.most_down, down)
        one.life.crash()
        one.life.faults.silent = True
        self.retire(one.life)
        task = asyncio.ensure_future(self._bring_back(one))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring_back(self, one: Machine) -> None:
        await asyncio.sleep(UPKEEP_SECONDS)
        one.life = await self.replace(one.life)
        one.is_down = False


def _row(one: Machine) -> dict:
    return {
        'machine': one.name,
        'pool': 'svc',
        'state': 'upkeep' if one.is_down else 'up',
        'zone': 'z',
        'labels': ['a', 'r1'],
        'capacity': {'cpu': one.life.cpu, 'mem_mb': 1_000_000, 'gpu': 0},
        'id': one.life.name,
    }
