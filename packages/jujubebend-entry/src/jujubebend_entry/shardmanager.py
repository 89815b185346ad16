"""Assignment of shards to entry hosts, and routing of calls to them."""

from __future__ import annotations

import asyncio
import http
import random
import uuid
from collections import abc

import attrs
import orjson

from jujubebend import (
    errors,
    intent,
    manifest,
    membership,
)
from jujubebend_entry import (
    attempts,
    background,
    callerapi,
    dispatcher,
    grants,
    heldshard,
    peers,
    platformview,
    services,
    settings,
    shard,
)
from jujubebend_http import httpmessage
from jujubebend_platform import store
from jujubebend_wire import entry_pb2

ROUTE_RETRY_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 5.0
REPLICA_WAIT_SECONDS = 1.0
MS_PER_SECOND = 1000
MISDIRECTED = 421  # HTTP status: the shard is not held by this host


@attrs.define(eq=False)
class ShardManager:
    """Manager of the shards of this host, and router to all other shards.

    The home of recorded work is the shard that it is recorded in.
    """

    cfg: settings.Settings
    store: store.Store
    view: membership.View
    platform: platformview.PlatformView
    dispatcher: dispatcher.Dispatcher
    peers: peers.Peers
    is_draining: bool = False
    _held_shards: dict[str, heldshard.HeldShard] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(factory=random.Random)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    # Shard and worker assignment.

    def reassign(self) -> None:
        """Open the shards assigned to this host and close all others."""
        own_name = self.view.own.name
        for name in self.cfg.shard_names():
            is_assigned_here = (
                self.find_holder(name) == own_name and not self.is_draining
            )
            if is_assigned_here and name not in self._held_shards:
                self._open_shard(name)
            elif not is_assigned_here and name in self._held_shards:
                held_shard = self._held_shards.pop(name)
                self._group.spawn(held_shard.close())
        self._reconcile_services()

    def find_holder(self, name: str) -> str:
        """Return the entry host that should hold a shard, or '' if none."""
        zone = name.rpartition('-')[0]
        return membership.choose_by_rendezvous(name, self._eligible_hosts(zone))

    def find_owner(self, worker_name: str) -> str:
        """Return the entry host that should own a worker, or '' if none."""
        host = self.platform.host_list.workers().get(worker_name)
        if host is None:
            return ''
        return membership.choose_by_rendezvous(
            worker_name, self._eligible_hosts(host.zone)
        )

    def shard_for_key(self, key: str) -> str:
        """Return the shard of a key; every host chooses the same one."""
        return membership.choose_by_rendezvous(key, self.cfg.shard_names())

    def choose_local_shard(self) -> str:
        """Return a random shard of this zone, for work without a key."""
        zone = self.cfg.zone
        local_shards = [
            name
            for name in self.cfg.shard_names()
            if name.rpartition('-')[0] == zone
        ]
        return self._rng.choice(local_shards)

    def count_in_flight(self) -> int:
        """Return the number of keyed requests that run on this host."""
        return sum(
            held_shard.keyed_requests.count_in_flight()
            for held_shard in self._held_shards.values()
        )

    def describe(self) -> dict:
        """Return the state of every held shard."""
        return {
            name: held_shard.describe()
            for name, held_shard in self._held_shards.items()
        }

    async def close(self) -> None:
        """Close every held shard."""
        held_shards = list(self._held_shards.values())
        self._held_shards.clear()
        await asyncio.gather(
            *(held_shard.close() for held_shard in held_shards)
        )
        await self._group.close()

    # Calls on recorded work.

    async def route_call(self, call: heldshard.Call) -> httpmessage.Reply:
        """Send a call to its shard's holder, retrying until its deadline."""
        may_be_handled = False
        while call.deadline > _now():
            holder = self.find_holder(call.shard)
            if holder == self.view.own.name:
                reply = await self.handle_call(call)
            else:
                reply, is_reply_lost = await self._forward_call(holder, call)
                may_be_handled = may_be_handled or is_reply_lost
            if reply is not None:
                return reply
            await asyncio.sleep(ROUTE_RETRY_SECONDS)
        if may_be_handled:
            return callerapi.unknown_reply(
                'the host that holds its shard did not answer'
            )
        return callerapi.not_run_reply(
            'the host that holds its shard cannot be reached', 2
        )

    async def handle_call(
        self, call: heldshard.Call
    ) -> httpmessage.Reply | None:
        """Handle a call; return None if its shard is not held here."""
        held_shard = self._held_shards.get(call.shard)
        return (
            None if held_shard is None else await held_shard.handle_call(call)
        )

    async def settle(
        self, shard_name: str, attempt: str, outcome_fields: dict[str, str]
    ) -> bool:
        """Record the end of an attempt that its worker's owner reports.

        Returns whether the owner may forget the attempt.
        """
        held_shard = self._held_shards.get(shard_name)
        if held_shard is None or not held_shard.is_open:
            return False
        return await held_shard.attempts.settle(attempt, outcome_fields)

    # Queries and placement for attempts and jobs.

    async def inspect(
        self, intents: list[intent.Intent]
    ) -> dict[str, tuple[str, dict[str, str] | None]]:
        """Ask the owners of the workers for the states of attempts.

        Returns the verdict and outcome by attempt. Attempts whose worker
        cannot be asked are left out.
        """
        by_owner: dict[str, list[intent.Intent]] = {}
        for open_intent in intents:
            by_owner.setdefault(self.find_owner(open_intent.worker), []).append(
                open_intent
            )
        inspections = [
            self._inspect_at(host, host_intents)
            for host, host_intents in by_owner.items()
        ]
        reports: dict[str, tuple[str, dict[str, str] | None]] = {}
        for host_reports in await asyncio.gather(*inspections):
            reports.update(host_reports)
        return reports

    def is_lost(self, worker_name: str) -> bool:
        """Return whether a worker has been gone for at least ``lost_ms``."""
        gone_seconds = self.platform.seconds_gone(worker_name)
        return gone_seconds * MS_PER_SECOND >= self.cfg.lost_ms

    def current_manifest(self) -> manifest.Manifest:
        """Return the operator configuration in force."""
        return self.platform.config_register.current.manifest

    async def is_job_done(self, job_id: str) -> bool:
        """Return whether a job has ended successfully."""
        document = await self._fetch_record(job_id)
        return document.get('state') == 'done'

    async def is_service_running(self, service: str) -> bool:
        """Return whether a service has a running replica or needs none."""
        configured = self.current_manifest().service(service)
        if configured is None or not configured.replicas:
            return True
        record_id = services.service_record_id(
            self._shard_for_service(service), service
        )
        document = await self._fetch_record(record_id)
        replicas = document.get('tasks', {}).values()
        return any(replica['state'] == 'running' for replica in replicas)

    async def place_replica(
        self, work: dispatcher.Work, number: int
    ) -> grants.Grant:
        """Reserve capacity for a replica.

        Replicas are spread over the zones by number; another zone is tried
        if the first has no free capacity.
        """
        zones = sorted(self.cfg.zones)
        offset = zones.index(self.cfg.zone) + number
        first_index = offset % len(zones)
        for zone in zones[first_index:] + zones[:first_index]:
            grant = await self._place_in_zone(zone, work, number)
            if grant is not None:
                return grant
        raise errors.RefusedError('no zone has free capacity for a replica', 1)

    # Internal helpers.

    def _eligible_hosts(self, zone: str) -> list[str]:
        zones_without_hosts = self.platform.host_list.zones_without_entry()
        members = self.view.eligible_owners(zone, zones_without_hosts, _now())
        return [member.name for member in members]

    def _open_shard(self, name: str) -> None:
        write_interval = (
            len(self.cfg.shard_names()) / self.cfg.store_writes_per_second
        )
        holder = f'{self.cfg.name}/{self.view.own.boot}'
        retention_seconds = self.cfg.retention_ms / MS_PER_SECOND
        opened_shard = shard.Shard(
            name, self.store, holder, write_interval, retention_seconds
        )
        shard_attempts = attempts.Attempts(opened_shard, self.dispatcher, self)
        held_shard = heldshard.HeldShard(opened_shard, shard_attempts, self)
        self._held_shards[name] = held_shard
        held_shard.start().add_done_callback(
            lambda _: self._forget_shard(name, held_shard)
        )

    def _forget_shard(self, name: str, held_shard: heldshard.HeldShard) -> None:
        """Drop a shard that this host no longer holds."""
        if self._held_shards.get(name) is held_shard:
            self._held_shards.pop(name)

    def _reconcile_services(self) -> None:
        """Reconcile the services of the held shards with the configuration."""
        if not self.platform.config_register.current.number:
            return
        services_by_shard: dict[str, dict[str, manifest.Service]] = {}
        for service in self.current_manifest().services:
            shard_name = self._shard_for_service(service.name)
            record_id = services.service_record_id(shard_name, service.name)
            services_by_shard.setdefault(shard_name, {})[record_id] = service
        for name, held_shard in self._held_shards.items():
            if held_shard.is_open:
                held_shard.services.reconcile(services_by_shard.get(name, {}))

    def _shard_for_service(self, service: str) -> str:
        return self.shard_for_key(f'service/{service}')

    async def _place_in_zone(
        self, zone: str, work: dispatcher.Work, number: int
    ) -> grants.Grant | None:
        live_members = self.view.live_hosts(_now(), zone)
        if not live_members:
            return None
        rotated_members = (
            live_members[number % len(live_members) :]
            + live_members[: number % len(live_members)]
        )
        for member in rotated_members:
            grant = await self.dispatcher.place_on_host(
                member, work, REPLICA_WAIT_SECONDS
            )
            if grant is not None:
                return grant
        return None

    async def _fetch_record(self, record_id: str) -> dict:
        shard_name = record_id.partition('.')[0]
        if shard_name not in self.cfg.shard_names():
            return {}
        call = heldshard.Call(
            'GET',
            f'/v1/jobs/{record_id}',
            '',
            b'',
            shard_name,
            _now() + CALL_TIMEOUT_SECONDS,
        )
        return (await self.route_call(call)).json()

    async def _forward_call(
        self, holder: str, call: heldshard.Call
    ) -> tuple[httpmessage.Reply | None, bool]:
        """Forward a call to the holder.

        Returns the reply, or None, and whether the holder may have handled
        the call although no reply arrived.
        """
        member = self.view.members.get(holder)
        if member is None:
            return None, False
        remaining_seconds = call.deadline - _now()
        query = entry_pb2.CallerQuery(
            method=call.method,
            path=call.path,
            key=call.key,
            body=call.body,
            deadline_ms=round(remaining_seconds * MS_PER_SECOND),
            shard=call.shard,
        )
        try:
            reply = await self.peers.call(
                member.address,
                'Forward',
                query,
                remaining_seconds + ROUTE_RETRY_SECONDS,
            )
        except errors.UnreachableError:
            return None, True
        if reply.status == MISDIRECTED:
            return None, False
        forwarded_reply = httpmessage.Reply(reply.status, reply.body)
        if reply.status >= http.HTTPStatus.BAD_REQUEST:
            retry_after = reply.retry_after_ms / MS_PER_SECOND
            headers = (
                {'retry-after': str(round(retry_after))} if retry_after else {}
            )
            forwarded_reply = httpmessage.Reply(
                reply.status, reply.body, httpmessage.PROBLEM_TYPE, headers
            )
        return forwarded_reply, False

    async def _inspect_at(
        self, host: str, intents: abc.Sequence[intent.Intent]
    ) -> dict[str, tuple[str, dict[str, str] | None]]:
        worker_owner = self.dispatcher.owner
        if host == self.view.own.name:
            return await inspect_owned_workers(worker_owner, intents)
        member = self.view.members.get(host)
        if member is None:
            return {}
        query = entry_pb2.InspectQuery(
            intents=[
                entry_pb2.AttemptIntent(**attrs.asdict(open_intent))
                for open_intent in intents
            ]
        )
        try:
            reply = await self.peers.call(
                member.address, 'Inspect', query, peers.CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return {}
        return {
            report.attempt: (
                report.verdict,
                orjson.loads(report.outcome_json or 'null'),
            )
            for report in reply.reports
        }


async def inspect_owned_workers(
    worker_owner,  # noqa: ANN001
    intents: abc.Iterable[intent.Intent],
) -> dict[str, tuple[str, dict[str, str] | None]]:
    """Return the states of attempts on owned workers.

    Attempts on unreachable workers are left out.
    """
    reports = {}
    for open_intent in intents:
        try:
            verdict, outcome_fields = await worker_owner.inspect(open_intent)
        except errors.UnreachableError:
            continue
        reports[open_intent.attempt] = (verdict.value, outcome_fields)
    return reports


def generate_key() -> str:
    """Return a random key for work that its caller sent without one."""
    return uuid.uuid4().hex


def _now() -> float:
    return asyncio.get_running_loop().time()
