"""Services kept running as the operators' text has them."""

from __future__ import annotations

import time
import typing

import attrs
import eliot
import orjson

from jujubebend import errors, manifest, records
from jujubebend_entry import callerapi, tasks

if typing.TYPE_CHECKING:
    from jujubebend_entry import heldshard

PREFIX = 'svc.'


@attrs.define(eq=False)
class Services:
    """Matches the services of one held shard with the text.

    ``matching`` are the services for which a change is being recorded; one
    change of a service is made at a time.
    """

    held: heldshard.HeldShard
    _matching: set[str] = attrs.field(factory=set)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    def reconcile(self, wanted: dict[str, manifest.Service]) -> None:
        """Start, change or withdraw services, given by record id."""
        known = [
            record
            for record in self.held.shard.records.by_id.values()
            if record.sort == records.SERVICE and not record.cancelled
        ]
        for record in known:
            service = wanted.get(record.id)
            if service is None or not service.replicas:
                self._group.spawn(self.held.withdraw(record))
        for record_id, service in wanted.items():
            if service.replicas and record_id not in self._matching:
                self._matching.add(record_id)
                self._group.spawn(self._match_once(record_id, service))

    async def close(self) -> None:
        """Stop recording changes."""
        await self._group.close()

    async def _match_once(
        self, record_id: str, service: manifest.Service
    ) -> None:
        try:
            await self._match(record_id, service)
        finally:
            self._matching.discard(record_id)

    async def _match(self, record_id: str, service: manifest.Service) -> None:
        spec = _service_spec(service)
        names = [task.name for task in callerapi.parse_spec(spec).tasks]
        record = self.held.shard.records.by_id.get(record_id)
        if record is not None and record.cancelled and record.open_tasks():
            return
        if record is not None and record.matches(spec):
            self.held.resume(record)
            return
        try:
            if record is None:
                await self.held.shard.commit(
                    records.Accepted(
                        record_id,
                        records.SERVICE,
                        names,
                        spec,
                        '',
                        time.time(),
                    )
                )
            else:
                await self._rescale(record, spec, names)
        except errors.JujubebendError as exc:
            eliot.log_message(
                'service:not-matched', service=service.name, error=str(exc)
            )
            return
        self.held.resume(self.held.shard.records.by_id[record_id])

    async def _rescale(
        self,
        record: records.Record,
        spec: str,
        names: list[str],
    ) -> None:
        running = self.held.jobs.pop(record.id, None)
        if running is not None:
            running.cancel()
        changed = _shape(record.spec) != _shape(spec)
        for name, task in list(record.tasks.items()):
            surplus = changed or name not in names
            if surplus and task.intent is not None:
                await self.held.attempts.stop_one(task.intent)
        await self.held.shard.commit(records.Scaled(record.id, names, spec))


def record_id(shard: str, service: str) -> str:
    """Return the id of the record of a service."""
    return f'{shard}.{PREFIX}{service}'


def _service_spec(service: manifest.Service) -> str:
    tasks_wanted = [
        {
            'name': f'r{number}',
            'payload': {'forever': True, 'service': service.name},
            'resources': service.resources.to_json(),
        }
        for number in range(service.replicas)
    ]
    plain = {
        'service': service.name,
        'team': service.team,
        'policy': 'service',
        'tasks': tasks_wanted,
    }
    return orjson.dumps(plain).decode()


def _shape(spec: str) -> object:
    """Return what makes a replica another one when it changes."""
    first = callerapi.parse_spec(spec).tasks[0]
    return first.resources, first.payload
