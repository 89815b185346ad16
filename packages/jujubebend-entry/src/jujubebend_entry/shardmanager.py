"""The shards that this host holds, and the way to those that it does not."""

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
    callerapi,
    dispatcher,
    grants,
    heldshard,
    peers,
    platformview,
    services,
    settings,
    shard,
    tasks,
)
from jujubebend_http import httpmessage
from jujubebend_platform import store
from jujubebend_wire import entry_pb2

ROUTE_WAIT = 0.2
CALL_SECONDS = 5.0
REPLICA_WAIT = 1.0
MILLI = 1000
MISDIRECTED = 421


@attrs.define(eq=False)
class ShardManager:
    """Holds shards and carries the work that is recorded in them."""

    cfg: settings.Settings
    store: store.Store
    view: membership.View
    platform: platformview.PlatformView
    dispatcher: dispatcher.Dispatcher
    peers: peers.Peers
    draining: bool = False
    _held: dict[str, heldshard.HeldShard] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(factory=random.Random)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    # Who holds what.

    def reassign(self) -> None:
        """Hold the shards that are this host's, give up the others."""
        own = self.view.own.name
        for name in self.cfg.shards():
            mine = self.find_holder(name) == own and not self.draining
            if mine and name not in self._held:
                self._hold(name)
            elif not mine and name in self._held:
                held = self._held.pop(name)
                self._group.spawn(held.close())
        self._reconcile()

    def find_holder(self, name: str) -> str:
        """Return the entry host that should hold a shard, or ''."""
        zone = name.rpartition('-')[0]
        return membership.choose_by_rendezvous(name, self._candidates(zone))

    def owner_of(self, worker_name: str) -> str:
        """Return the entry host that should own a worker, or ''."""
        host = self.platform.listed.workers().get(worker_name)
        if host is None:
            return ''
        return membership.choose_by_rendezvous(
            worker_name, self._candidates(host.zone)
        )

    def shard_for_key(self, key: str) -> str:
        """Return the shard of a key, the same on every host."""
        return membership.choose_by_rendezvous(key, self.cfg.shards())

    def choose_local_shard(self) -> str:
        """Return a shard of this zone for work without a key."""
        zone = self.cfg.zone
        own = [
            name
            for name in self.cfg.shards()
            if name.rpartition('-')[0] == zone
        ]
        return self._rng.choice(own)

    def in_flight(self) -> int:
        """Return how many keyed requests are being run here."""
        return sum(held.keyed.in_flight() for held in self._held.values())

    def describe(self) -> dict:
        """Return the state of the held shards."""
        return {name: held.describe() for name, held in self._held.items()}

    async def close(self) -> None:
        """Give up every shard."""
        held = list(self._held.values())
        self._held.clear()
        await asyncio.gather(*(one.close() for one in held))
        await self._group.close()

    # Calls.

    async def route(self, call: heldshard.Call) -> httpmessage.Reply:
        """Take a call to the holder of its shard, here or elsewhere."""
        asked = False
        while call.deadline > _now():
            holder = self.find_holder(call.shard)
            if holder == self.view.own.name:
                reply = await self.handle(call)
            else:
                reply, lost = await self._forward(holder, call)
                asked = asked or lost
            if reply is not None:
                return reply
            await asyncio.sleep(ROUTE_WAIT)
        if asked:
            return callerapi.unknown('its home does not answer')
        return callerapi.not_run_reply('its home cannot be reached', 2)

    async def handle(self, call: heldshard.Call) -> httpmessage.Reply | None:
        """Handle a call on a held shard; None when it is not held."""
        held = self._held.get(call.shard)
        return None if held is None else await held.handle(call)

    async def settle(
        self, shard_name: str, attempt: str, ended: dict[str, str]
    ) -> bool:
        """Record an end that an owner reports; say whether to forget it."""
        held = self._held.get(shard_name)
        if held is None or not held.opened:
            return False
        return await held.attempts.settle(attempt, ended)

    # For attempts and jobs.

    async def inspect(
        self, intents: list[intent.Intent]
    ) -> dict[str, tuple[str, dict[str, str] | None]]:
        """Ask the owners of the workers that intents name."""
        by_owner: dict[str, list[intent.Intent]] = {}
        for one in intents:
            by_owner.setdefault(self.owner_of(one.worker), []).append(one)
        asked = [
            self._inspect_at(host, asking) for host, asking in by_owner.items()
        ]
        reports: dict[str, tuple[str, dict[str, str] | None]] = {}
        for found in await asyncio.gather(*asked):
            reports.update(found)
        return reports

    def is_lost(self, worker_name: str) -> bool:
        """Say whether the list has called a worker gone for long enough."""
        gone = self.platform.gone_for(worker_name)
        return gone * MILLI >= self.cfg.lost_ms

    def text(self) -> manifest.Manifest:
        """Return the operators' text in force."""
        return self.platform.register.current.manifest

    async def is_done(self, job_id: str) -> bool:
        """Say whether a job has ended well."""
        found = await self._show(job_id)
        return found.get('state') == 'done'

    async def is_running(self, service: str) -> bool:
        """Say whether a service has a running replica, or needs none."""
        wanted = self.text().service(service)
        if wanted is None or not wanted.replicas:
            return True
        record_id = services.record_id(self._service_shard(service), service)
        found = await self._show(record_id)
        described = found.get('tasks', {}).values()
        return any(task['state'] == 'running' for task in described)

    async def place_replica(
        self, work: dispatcher.Work, number: int
    ) -> grants.Grant:
        """Hold room for a replica in its zone, else in another."""
        zones = sorted(self.cfg.zones)
        first = zones.index(self.cfg.zone) + number
        turn = first % len(zones)
        for zone in zones[turn:] + zones[:turn]:
            grant = await self._place_in(zone, work, number)
            if grant is not None:
                return grant
        raise errors.RefusedError('no zone has room for a replica', 1)

    # Inside.

    def _candidates(self, zone: str) -> list[str]:
        gone = self.platform.listed.zones_without_entry()
        found = self.view.eligible_owners(zone, gone, _now())
        return [member.name for member in found]

    def _hold(self, name: str) -> None:
        pace = len(self.cfg.shards()) / self.cfg.store_writes_per_second
        holder = f'{self.cfg.name}/{self.view.own.boot}'
        retention = self.cfg.retention_ms / MILLI
        journal = shard.Shard(name, self.store, holder, pace, retention)
        tried = attempts.Attempts(journal, self.dispatcher, self)
        held = heldshard.HeldShard(journal, tried, self)
        self._held[name] = held
        held.start().add_done_callback(lambda _: self._ended(name, held))

    def _ended(self, name: str, held: heldshard.HeldShard) -> None:
        """Forget a shard that is held elsewhere now."""
        if self._held.get(name) is held:
            self._held.pop(name)

    def _reconcile(self) -> None:
        """Make the services of the held shards match the text."""
        if not self.platform.register.current.number:
            return
        wanted: dict[str, dict[str, manifest.Service]] = {}
        for service in self.text().services:
            shard_name = self._service_shard(service.name)
            record_id = services.record_id(shard_name, service.name)
            wanted.setdefault(shard_name, {})[record_id] = service
        for name, held in self._held.items():
            if held.opened:
                held.services.reconcile(wanted.get(name, {}))

    def _service_shard(self, service: str) -> str:
        return self.shard_for_key(f'service/{service}')

    async def _place_in(
        self, zone: str, work: dispatcher.Work, number: int
    ) -> grants.Grant | None:
        alive = self.view.alive(_now(), zone)
        if not alive:
            return None
        turn = alive[number % len(alive) :] + alive[: number % len(alive)]
        for member in turn:
            grant = await self.dispatcher.place_at(member, work, REPLICA_WAIT)
            if grant is not None:
                return grant
        return None

    async def _show(self, record_id: str) -> dict:
        shard_name = record_id.partition('.')[0]
        if shard_name not in self.cfg.shards():
            return {}
        call = heldshard.Call(
            'GET',
            f'/v1/jobs/{record_id}',
            '',
            b'',
            shard_name,
            _now() + CALL_SECONDS,
        )
        return (await self.route(call)).json()

    async def _forward(
        self, holder: str, call: heldshard.Call
    ) -> tuple[httpmessage.Reply | None, bool]:
        """Ask the holder; also say whether the answer may be lost."""
        member = self.view.members.get(holder)
        if member is None:
            return None, False
        left = call.deadline - _now()
        query = entry_pb2.CallerQuery(
            method=call.method,
            path=call.path,
            key=call.key,
            body=call.body,
            deadline_ms=round(left * MILLI),
            shard=call.shard,
        )
        try:
            reply = await self.peers.call(
                member.address, 'Forward', query, left + ROUTE_WAIT
            )
        except errors.UnreachableError:
            return None, True
        if reply.status == MISDIRECTED:
            return None, False
        plain = httpmessage.Reply(reply.status, reply.body)
        if reply.status >= http.HTTPStatus.BAD_REQUEST:
            after = reply.retry_after_ms / MILLI
            headers = {'retry-after': str(round(after))} if after else {}
            plain = httpmessage.Reply(
                reply.status, reply.body, httpmessage.PROBLEM_TYPE, headers
            )
        return plain, False

    async def _inspect_at(
        self, host: str, intents: abc.Sequence[intent.Intent]
    ) -> dict[str, tuple[str, dict[str, str] | None]]:
        own = self.dispatcher.owner
        if host == self.view.own.name:
            return await inspect_owned_workers(own, intents)
        member = self.view.members.get(host)
        if member is None:
            return {}
        query = entry_pb2.InspectQuery(
            intents=[
                entry_pb2.AttemptIntent(**attrs.asdict(one)) for one in intents
            ]
        )
        try:
            reply = await self.peers.call(
                member.address, 'Inspect', query, peers.CALL_TIMEOUT
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
    own,
    intents: abc.Iterable[intent.Intent],  # noqa: ANN001
) -> dict[str, tuple[str, dict[str, str] | None]]:
    """Ask the owned workers after attempts; leave out the unreachable."""
    reports = {}
    for one in intents:
        try:
            verdict, ended = await own.inspect(one)
        except errors.UnreachableError:
            continue
        reports[one.attempt] = (verdict.value, ended)
    return reports


def generate_key() -> str:
    """Return a key for work whose caller gave none."""
    return uuid.uuid4().hex


def _now() -> float:
    return asyncio.get_running_loop().time()
