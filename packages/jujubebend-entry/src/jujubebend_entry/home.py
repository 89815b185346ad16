"""The shards that this host holds, and the way to those that it does not."""

from __future__ import annotations

import asyncio
import http
import random
import time
import uuid
from collections import abc

import attrs
import eliot
import orjson

from jujubebend import (
    errors,
    intent,
    manifest,
    membership,
    policy,
    records,
)
from jujubebend_entry import (
    answers,
    attempts,
    callers,
    dispatcher,
    grants,
    jobs,
    keyed,
    peers,
    platformview,
    settings,
    shard,
    tasks,
)
from jujubebend_platform import httpmessage, store
from jujubebend_wire import entry_pb2

ROUTE_WAIT = 0.2
CALL_SECONDS = 5.0
SERVICE_PREFIX = 'svc.'
REPLICA_WAIT = 1.0
SERVICE_LOST_AFTER = 5.0
MILLI = 1000
MISDIRECTED = 421


@attrs.frozen
class Call:
    """A caller's call on recorded work, on its way to its shard.

    ``deadline`` is in seconds on the clock of this process.
    """

    method: str
    path: str
    key: str
    body: bytes
    shard: str
    deadline: float


@attrs.define(eq=False)
class _Held:
    """A shard that this host holds, with what runs for it."""

    shard: shard.Shard
    attempts: attempts.Attempts
    keyed: keyed.KeyedRequests
    opened: bool = False
    task: asyncio.Task | None = None
    jobs: dict[str, asyncio.Task] = attrs.field(factory=dict)
    matching: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class Home:
    """Holds shards and carries the work that is recorded in them."""

    cfg: settings.Settings
    store: store.Store
    view: membership.View
    platform: platformview.PlatformView
    dispatcher: dispatcher.Dispatcher
    peers: peers.Peers
    draining: bool = False
    _held: dict[str, _Held] = attrs.field(factory=dict)
    _unheard: dict[str, float] = attrs.field(factory=dict)
    _rng: random.Random = attrs.field(factory=random.Random)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    # Who holds what.

    def reassign(self) -> None:
        """Hold the shards that are this host's, give up the others."""
        own = self.view.own.name
        for name in self.cfg.shards():
            mine = self.holder(name) == own and not self.draining
            if mine and name not in self._held:
                self._hold(name)
            elif not mine and name in self._held:
                held = self._held.pop(name)
                self._group.spawn(self._let_go(held))
        for held in self._held.values():
            self._reconcile(held)

    def holder(self, name: str) -> str:
        """Return the entry host that should hold a shard, or ''."""
        zone = name.rpartition('-')[0]
        return membership.choose(name, self._candidates(zone))

    def owner_of(self, worker_name: str) -> str:
        """Return the entry host that should own a worker, or ''."""
        host = self.platform.listed.workers().get(worker_name)
        if host is None:
            return ''
        return membership.choose(worker_name, self._candidates(host.zone))

    def shard_of(self, key: str) -> str:
        """Return the shard of a key, the same on every host."""
        return membership.choose(key, self.cfg.shards())

    def own_shard(self) -> str:
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
        return {
            name: {
                'opened': held.opened,
                'records': len(held.shard.records.by_id),
                'open_attempts': len(held.shard.records.by_attempt),
                'jobs': sorted(held.jobs),
                'flights': held.keyed.describe(),
            }
            for name, held in self._held.items()
        }

    async def close(self) -> None:
        """Give up every shard."""
        held = list(self._held.values())
        self._held.clear()
        await asyncio.gather(*(self._let_go(one) for one in held))
        await self._group.close()

    # Calls.

    async def route(self, call: Call) -> httpmessage.Reply:
        """Take a call to the holder of its shard, here or elsewhere."""
        asked = False
        while call.deadline > _now():
            holder = self.holder(call.shard)
            if holder == self.view.own.name:
                reply = await self.handle(call)
            else:
                reply, lost = await self._forward(holder, call)
                asked = asked or lost
            if reply is not None:
                return reply
            await asyncio.sleep(ROUTE_WAIT)
        if asked:
            return callers.unknown('its home does not answer')
        return callers.not_run('its home cannot be reached', 2)

    async def handle(self, call: Call) -> httpmessage.Reply | None:
        """Handle a call on a held shard; None when it is not held."""
        held = self._held.get(call.shard)
        if held is None or not held.opened:
            return None
        try:
            return await self._handle_held(held, call)
        except errors.FencedError:
            return None
        except errors.InvalidInputError as exc:
            return callers.invalid(exc)

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
        for one in intents:
            if one.attempt in reports:
                self._unheard.pop(one.attempt, None)
            else:
                self._unheard.setdefault(one.attempt, _now())
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
        found = await self._show(self._service_id(service))
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
        found = self.view.candidates(zone, gone, _now())
        return [member.name for member in found]

    def _hold(self, name: str) -> None:
        pace = len(self.cfg.shards()) / self.cfg.store_writes_per_second
        holder = f'{self.cfg.name}/{self.view.own.boot}'
        retention = self.cfg.retention_ms / MILLI
        journal = shard.Shard(name, self.store, holder, pace, retention)
        tried = attempts.Attempts(journal, self.dispatcher, self)
        held = _Held(journal, tried, keyed.KeyedRequests(tried))
        self._held[name] = held
        held.task = self._group.spawn(self._carry(name, held))

    async def _carry(self, name: str, held: _Held) -> None:
        """Open a shard and carry its work until it is held elsewhere."""
        while True:
            try:
                await held.shard.open()
            except errors.UnreachableError:
                await asyncio.sleep(ROUTE_WAIT)
                continue
            break
        held.opened = True
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(held.attempts.inspect_forever())
                for record in list(held.shard.records.by_id.values()):
                    self._resume(held, record)
                self._reconcile(held)
                await held.shard.run()
                raise errors.FencedError(name)
        except* errors.FencedError:
            eliot.log_message('home:fenced', shard=name)
        finally:
            if self._held.get(name) is held:
                self._held.pop(name)
            await self._end(held)

    async def _let_go(self, held: _Held) -> None:
        if held.task is not None:
            held.task.cancel()
            await asyncio.gather(held.task, return_exceptions=True)
        await self._end(held)

    async def _end(self, held: _Held) -> None:
        held.opened = False
        held.shard.fenced.set()
        for task in held.jobs.values():
            task.cancel()
        await held.keyed.close()
        await held.attempts.close()

    def _resume(self, held: _Held, record: records.Record) -> None:
        if record.sort == records.REQUEST or record.id in held.jobs:
            return
        if record.is_ended():
            return
        if record.cancelled:
            self._group.spawn(held.attempts.stop(record.id))
            return
        job = jobs.Job(record, held.attempts, self)
        task = self._group.spawn(self._run_job(held, job))
        held.jobs[record.id] = task

    async def _run_job(self, held: _Held, job: jobs.Job) -> None:
        try:
            await jobs.run(job)
        except* errors.FencedError:
            eliot.log_message('job:handed-on', job=job.record.id)
        finally:
            if held.jobs.get(job.record.id) is asyncio.current_task():
                held.jobs.pop(job.record.id)

    async def _handle_held(
        self, held: _Held, call: Call
    ) -> httpmessage.Reply | None:
        match (call.method, call.path):
            case ('POST', '/v1/requests'):
                return await self._serve_keyed(held, call)
            case ('POST', '/v1/jobs'):
                return await self._accept_job(held, call)
            case ('GET', _):
                return await self._show_job(held, _last(call.path))
            case ('DELETE', _):
                return await self._cancel_job(held, _last(call.path))
        return httpmessage.problem(
            http.HTTPStatus.METHOD_NOT_ALLOWED, 'use GET, POST or DELETE'
        )

    async def _serve_keyed(self, held: _Held, call: Call) -> httpmessage.Reply:
        body = callers.read_request(call.body)
        work = self.request_work(body, call.deadline)
        digest = callers.digest(call.body)
        return await held.keyed.serve(f'r.{call.key}', digest, work)

    def request_work(
        self, body: callers.RequestBody, deadline: float
    ) -> dispatcher.Work:
        """Return a request as work, or raise for what no text allows."""
        kind = callers.check_names(self.text(), body.service, body.team)
        is_raised = (
            body.work_class == manifest.URGENT
            and kind.work_class == manifest.PATIENT
        )
        if is_raised:
            fault = errors.Fault(
                '$.class',
                f'kind {kind.name!r} is not urgent',
                'send it as patient',
            )
            raise errors.InvalidInputError('request', [fault])
        return dispatcher.Work(
            body.service,
            kind.name,
            body.team,
            body.resources,
            body.payload,
            deadline,
            policy.Prompt(),
        )

    async def _accept_job(self, held: _Held, call: Call) -> httpmessage.Reply:
        body = callers.read_job(call.body)
        callers.check_names(self.text(), body.service, body.team)
        job_id = f'{call.shard}.{call.key}'
        digest = callers.digest(call.body)
        known = held.shard.records.by_id.get(job_id)
        if known is not None and known.digest != digest:
            return httpmessage.problem(
                http.HTTPStatus.UNPROCESSABLE_ENTITY,
                keyed.MISMATCH,
                outcome='not_run',
            )
        if known is None:
            refused = await self._record_job(held, job_id, call.body, digest)
            if refused is not None:
                return refused
        self._resume(held, held.shard.records.by_id[job_id])
        return httpmessage.json_reply(http.HTTPStatus.ACCEPTED, {'id': job_id})

    async def _record_job(
        self, held: _Held, job_id: str, body: bytes, digest: str
    ) -> httpmessage.Reply | None:
        if held.shard.is_full():
            return callers.not_run('its shard can record no more now', 5)
        names = [task.name for task in callers.read_job(body).tasks]
        spec = body.decode()
        accepted = records.Accepted(
            job_id, records.JOB, names, spec, digest, time.time()
        )
        try:
            await held.shard.commit(accepted)
        except errors.RefusedError as exc:
            return callers.not_run(exc.reason, exc.retry_after)
        except errors.UnreachableError as exc:
            return callers.unknown(f'{exc}; look for job {job_id}')
        return None

    async def _show_job(self, held: _Held, job_id: str) -> httpmessage.Reply:
        record = held.shard.records.by_id.get(job_id)
        if record is None or record.sort == records.REQUEST:
            return httpmessage.problem(
                http.HTTPStatus.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        described = callers.describe_job(record)
        for name, task in record.tasks.items():
            if task.outcome is not None:
                whole = await answers.bring_back(self.store, task.outcome)
                described['tasks'][name]['outcome'] = callers.describe_outcome(
                    whole
                )
        return httpmessage.json_reply(http.HTTPStatus.OK, described)

    async def _cancel_job(self, held: _Held, job_id: str) -> httpmessage.Reply:
        record = held.shard.records.by_id.get(job_id)
        if record is None or record.sort != records.JOB:
            return httpmessage.problem(
                http.HTTPStatus.NOT_FOUND, f'job {job_id!r} does not exist'
            )
        await self._withdraw(held, record)
        return httpmessage.json_reply(
            http.HTTPStatus.OK, callers.describe_job(record)
        )

    async def _withdraw(self, held: _Held, record: records.Record) -> None:
        if not record.cancelled and not record.is_ended():
            entry = records.Cancelled(record.id, time.time())
            await held.shard.commit(entry)
        running = held.jobs.pop(record.id, None)
        if running is not None:
            running.cancel()
        await held.attempts.stop(record.id)

    def _service_id(self, service: str) -> str:
        shard_name = self.shard_of(f'service/{service}')
        return f'{shard_name}.{SERVICE_PREFIX}{service}'

    def _reconcile(self, held: _Held) -> None:
        """Make the held services match the operators' text."""
        if not held.opened or not self.platform.register.current.number:
            return
        wanted = {}
        for service in self.text().services:
            record_id = self._service_id(service.name)
            if record_id.startswith(f'{held.shard.name}.{SERVICE_PREFIX}'):
                wanted[record_id] = service
        known = {
            record.id: record
            for record in held.shard.records.by_id.values()
            if record.sort == records.SERVICE and not record.cancelled
        }
        for record_id, record in known.items():
            if record_id not in wanted or not wanted[record_id].replicas:
                self._group.spawn(self._withdraw(held, record))
        for record_id, service in wanted.items():
            if service.replicas and record_id not in held.matching:
                held.matching.add(record_id)
                self._group.spawn(self._match_once(held, record_id, service))

    async def _match_once(
        self, held: _Held, record_id: str, service: manifest.Service
    ) -> None:
        try:
            await self._match(held, record_id, service)
        finally:
            held.matching.discard(record_id)

    async def _match(
        self, held: _Held, record_id: str, service: manifest.Service
    ) -> None:
        spec = _service_spec(service)
        names = [task.name for task in callers.read_spec(spec).tasks]
        record = held.shard.records.by_id.get(record_id)
        if record is not None and record.cancelled:
            return
        if record is not None and record.spec == spec:
            self._resume(held, record)
            return
        try:
            if record is None:
                await held.shard.commit(
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
                await self._rescale(held, record, spec, names)
        except errors.JujubebendError as exc:
            eliot.log_message(
                'service:not-matched', service=service.name, error=str(exc)
            )
            return
        self._resume(held, held.shard.records.by_id[record_id])

    async def _rescale(
        self,
        held: _Held,
        record: records.Record,
        spec: str,
        names: list[str],
    ) -> None:
        running = held.jobs.pop(record.id, None)
        if running is not None:
            running.cancel()
        changed = _shape(record.spec) != _shape(spec)
        for name, task in list(record.tasks.items()):
            surplus = changed or name not in names
            if surplus and task.intent is not None:
                await held.attempts.stop_one(task.intent)
        await held.shard.commit(records.Scaled(record.id, names, spec))

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
        call = Call(
            'GET',
            f'/v1/jobs/{record_id}',
            '',
            b'',
            shard_name,
            _now() + CALL_SECONDS,
        )
        return (await self.route(call)).json()

    async def _forward(
        self, holder: str, call: Call
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
            return await inspect_owned(own, intents)
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


async def inspect_owned(
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


def new_key() -> str:
    """Return a key for work whose caller gave none."""
    return uuid.uuid4().hex


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
    first = callers.read_spec(spec).tasks[0]
    return first.resources, first.payload


def _last(path: str) -> str:
    return path.rpartition('/')[2]


def _now() -> float:
    return asyncio.get_running_loop().time()
