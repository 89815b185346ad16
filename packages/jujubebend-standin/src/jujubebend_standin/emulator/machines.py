"""Emulated machine service: list of machines and their maintenance.

Maintenance takes a machine down abruptly and replaces its worker.
"""

from __future__ import annotations

import asyncio
import http
from collections import abc

import attrs
import orjson

from jujubebend_http import httpmessage
from jujubebend_standin.emulator import worker

MAINTENANCE_SECONDS = 1.0
PAGE_MACHINES = 2  # few enough that listings take several pages


@attrs.define(eq=False)
class Machine:
    """A machine, its present worker and the waves it was maintained in."""

    name: str
    current_worker: worker.EmulatedWorker
    is_down: bool = False
    waves: set[int] = attrs.field(factory=set)


@attrs.define(eq=False)
class MachineService:
    """Serves requests on machines.

    ``delete_worker_entry`` removes a worker from the store and
    ``replace_worker`` starts its successor. ``peak_down`` is the largest
    number of machines that were down at once. ``fencing_tokens`` holds the
    lease holder and the fencing token of each maintenance request.
    """

    delete_worker_entry: abc.Callable[[worker.EmulatedWorker], None]
    replace_worker: abc.Callable[
        [worker.EmulatedWorker], abc.Awaitable[worker.EmulatedWorker]
    ]
    machines: dict[str, Machine] = attrs.field(factory=dict)
    peak_down: int = 0
    fencing_tokens: list[tuple[str, int]] = attrs.field(factory=list)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def add_machine(self, machine_worker: worker.EmulatedWorker) -> None:
        """Add a machine that runs a worker."""
        name = f'm-{len(self.machines):05x}'
        self.machines[name] = Machine(name, machine_worker)

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request."""
        if req.method == 'GET':
            return self._list_machines(req.target.partition('page_token=')[2])
        return self._begin_maintenance(req)

    def _list_machines(self, page_token: str) -> httpmessage.Reply:
        first = int(page_token or 0)
        machines = list(self.machines.values())
        page = [
            _build_row(machine)
            for machine in machines[first : first + PAGE_MACHINES]
        ]
        end = first + PAGE_MACHINES
        next_token = str(end) if end < len(machines) else None
        document = {'machines': page, 'next_token': next_token}
        return httpmessage.json_reply(http.HTTPStatus.OK, document)

    def _begin_maintenance(self, req: httpmessage.Request) -> httpmessage.Reply:
        document = orjson.loads(req.body)
        machine = self.machines.get(document['machine'])
        if machine is None:
            return httpmessage.json_reply(http.HTTPStatus.BAD_REQUEST, {})
        holder = req.headers['x-lease-holder']
        self.fencing_tokens.append((
            holder,
            int(req.headers['x-fencing-token']),
        ))
        if document['wave'] not in machine.waves:
            if machine.is_down:
                refusal = {'reason': 'busy'}
                return httpmessage.json_reply(http.HTTPStatus.CONFLICT, refusal)
            machine.waves.add(document['wave'])
            self._take_down(machine)
        return httpmessage.json_reply(http.HTTPStatus.OK, {})

    def _take_down(self, machine: Machine) -> None:
        machine.is_down = True
        down_count = sum(other.is_down for other in self.machines.values())
        self.peak_down = max(self.peak_down, down_count)
        machine.current_worker.crash()
        machine.current_worker.faults.silent = True
        self.delete_worker_entry(machine.current_worker)
        task = asyncio.ensure_future(
            self._replace_worker_after_maintenance(machine)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace_worker_after_maintenance(self, machine: Machine) -> None:
        await asyncio.sleep(MAINTENANCE_SECONDS)
        machine.current_worker = await self.replace_worker(
            machine.current_worker
        )
        machine.is_down = False


def _build_row(machine: Machine) -> dict:
    return {
        'machine': machine.name,
        'pool': 'svc',
        'state': 'upkeep' if machine.is_down else 'up',
        'zone': 'z',
        'labels': ['a', 'r1'],
        'capacity': {
            'cpu': machine.current_worker.cpu,
            'mem_mb': 1_000_000,
            'gpu': 0,
        },
        'id': machine.current_worker.name,
    }
