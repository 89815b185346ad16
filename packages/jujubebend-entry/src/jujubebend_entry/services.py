"""Reconciliation of running services with the operator configuration."""

from __future__ import annotations

import time
import typing

import attrs
import eliot
import orjson

from jujubebend import errors, manifest, records
from jujubebend_entry import background, callerapi

if typing.TYPE_CHECKING:
    from jujubebend_entry import heldshard

RECORD_PREFIX = 'svc.'


@attrs.define(eq=False)
class ServiceReconciler:
    """Reconciler of one held shard's services with the configuration.

    ``_updating_ids`` holds the record ids of services whose change is being
    recorded, so that only one change of a service is made at a time.
    """

    held_shard: heldshard.HeldShard
    _updating_ids: set[str] = attrs.field(factory=set)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    def reconcile(
        self, services_by_record: dict[str, manifest.Service]
    ) -> None:
        """Start, change or cancel services.

        ``services_by_record`` maps record ids to the configured services.
        """
        open_records = [
            record
            for record in self.held_shard.shard.records.by_id.values()
            if record.sort == records.SERVICE and not record.cancelled
        ]
        for record in open_records:
            service = services_by_record.get(record.id)
            if service is None or not service.replicas:
                self._group.spawn(self.held_shard.cancel_record(record))
        for record_id, service in services_by_record.items():
            if service.replicas and record_id not in self._updating_ids:
                self._updating_ids.add(record_id)
                self._group.spawn(
                    self._update_service_exclusively(record_id, service)
                )

    async def close(self) -> None:
        """Stop recording changes."""
        await self._group.close()

    async def _update_service_exclusively(
        self, record_id: str, service: manifest.Service
    ) -> None:
        try:
            await self._update_service(record_id, service)
        finally:
            self._updating_ids.discard(record_id)

    async def _update_service(
        self, record_id: str, service: manifest.Service
    ) -> None:
        spec = _encode_spec(service)
        names = [task.name for task in callerapi.parse_spec(spec).tasks]
        record = self.held_shard.shard.records.by_id.get(record_id)
        if record is not None and record.cancelled and record.open_tasks():
            return
        if record is not None and record.matches(spec):
            self.held_shard.resume_record(record)
            return
        try:
            if record is None:
                await self.held_shard.shard.commit(
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
                await self._rescale_record(record, spec, names)
        except errors.JujubebendError as exc:
            eliot.log_message(
                'service:not-matched', service=service.name, error=str(exc)
            )
            return
        self.held_shard.resume_record(
            self.held_shard.shard.records.by_id[record_id]
        )

    async def _rescale_record(
        self,
        record: records.Record,
        spec: str,
        names: list[str],
    ) -> None:
        job_task = self.held_shard.job_tasks.pop(record.id, None)
        if job_task is not None:
            job_task.cancel()
        is_redefined = _replica_definition(record.spec) != _replica_definition(
            spec
        )
        for name, task in list(record.tasks.items()):
            is_obsolete = is_redefined or name not in names
            if is_obsolete and task.intent is not None:
                await self.held_shard.attempts.stop_attempt(task.intent)
        await self.held_shard.shard.commit(
            records.Scaled(record.id, names, spec)
        )


def service_record_id(shard: str, service: str) -> str:
    """Return the id of a service's record."""
    return f'{shard}.{RECORD_PREFIX}{service}'


def _encode_spec(service: manifest.Service) -> str:
    task_documents = [
        {
            'name': f'r{number}',
            'payload': {'forever': True, 'service': service.name},
            'resources': service.resources.to_json(),
        }
        for number in range(service.replicas)
    ]
    document = {
        'service': service.name,
        'team': service.team,
        'policy': 'service',
        'tasks': task_documents,
    }
    return orjson.dumps(document).decode()


def _replica_definition(spec: str) -> object:
    """Return the properties of a replica that need a restart to change."""
    replica = callerapi.parse_spec(spec).tasks[0]
    return replica.resources, replica.payload
