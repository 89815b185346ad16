"""What other entry hosts may ask of this one, over gRPC."""

from __future__ import annotations

import asyncio

import attrs
import grpc
import orjson

from jujubebend import errors, intent, outcome, queue
from jujubebend_entry import (
    heartbeat,
    heldshard,
    owner,
    peers,
    platformview,
    shardmanager,
)
from jujubebend_platform import hostlist, worker
from jujubebend_wire import entry_pb2, entry_pb2_grpc

MILLI = 1000


@attrs.define(eq=False)
class Servicer(entry_pb2_grpc.EntryServicer):
    """Answers the calls of peers from the parts of this host."""

    heartbeats: heartbeat.Heartbeats
    platform: platformview.PlatformView
    owner: owner.Owner
    home: shardmanager.ShardManager

    async def Beat(self, request, context):  # noqa: N802
        """Take in a heartbeat and answer with this host's own."""
        self.heartbeats.heard(request)
        return self.heartbeats.message(request.sender.zone)

    async def FetchPlatform(self, request, context):  # noqa: N802
        """Return whatever the sender is behind on."""
        current = self.platform.register.current
        listed = self.platform.listed
        copy = entry_pb2.PlatformCopy(
            config_revision=current.number, host_list_revision=listed.revision
        )
        if current.number > request.config_revision:
            copy.config_text = current.text
        if listed.revision > request.host_list_revision:
            plain = hostlist.to_json(listed)
            copy.host_list_json = orjson.dumps(plain).decode()
        return copy

    async def Reserve(self, request, context):  # noqa: N802
        """Hold room for an attempt of a peer, waiting for it if asked."""
        now = asyncio.get_running_loop().time()
        wait = request.wait_ms / MILLI
        ticket = queue.Ticket(
            request.id,
            request.kind,
            request.team,
            peers.from_amounts(request.demand),
            owner.demand_policy(request.policy, request.group),
            now + wait,
            now,
            is_sheddable=False,
            is_from_peer=True,
        )
        grant = None
        if self.owner.ledger.owned_workers and not self.owner.draining:
            grant = await self.owner.reserve(ticket, wait)
        room = peers.to_amounts(self.owner.largest_room())
        if grant is None:
            return entry_pb2.Reservation(largest_room=room)
        return entry_pb2.Reservation(
            granted=True,
            id=grant.id,
            worker=grant.worker,
            boot=grant.boot,
            epoch=grant.epoch,
            largest_room=room,
        )

    async def Release(self, request, context):  # noqa: N802
        """Give back room."""
        self.owner.release(request.id)
        return entry_pb2.Done()

    async def Run(self, request, context):  # noqa: N802
        """Run unrecorded work to its end, or start recorded work."""
        plain = orjson.loads(request.work_json)
        task = worker.converter.structure(plain, worker.TaskStart)
        if task.home:
            ended = await self.owner.start(task)
        else:
            ended = await self.owner.run(task)
        if ended is None:
            return entry_pb2.RunReply()
        record = orjson.dumps(outcome.to_record(ended)).decode()
        return entry_pb2.RunReply(outcome_json=record)

    async def Inspect(self, request, context):  # noqa: N802
        """Ask the owned workers after attempts."""
        intents = [
            intent.Intent(one.attempt, one.worker, one.boot, one.epoch)
            for one in request.intents
        ]
        found = await shardmanager.inspect_owned_workers(self.owner, intents)
        reports = [
            entry_pb2.AttemptReport(
                attempt=attempt,
                verdict=verdict,
                outcome_json=orjson.dumps(ended).decode() if ended else '',
            )
            for attempt, (verdict, ended) in found.items()
        ]
        return entry_pb2.InspectReply(reports=reports)

    async def Stop(self, request, context):  # noqa: N802
        """Stop an attempt on an owned worker."""
        try:
            await self.owner.stop(
                request.worker, request.attempt, checkpoint=request.checkpoint
            )
        except errors.JujubebendError as exc:
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(exc))
        return entry_pb2.Done()

    async def Settle(self, request, context):  # noqa: N802
        """Record ends; name the attempts that may be forgotten."""
        settles = [
            self.home.settle(
                one.home,
                one.attempt,
                orjson.loads(one.outcome_json) if one.outcome_json else {},
            )
            for one in request.attempts
        ]
        settled = await asyncio.gather(*settles)
        names = [
            one.attempt
            for one, done in zip(request.attempts, settled, strict=True)
            if done
        ]
        return entry_pb2.AttemptNames(attempts=names)

    async def Forward(self, request, context):  # noqa: N802
        """Handle a caller's call on a shard that is held here."""
        now = asyncio.get_running_loop().time()
        call = heldshard.Call(
            request.method,
            request.path,
            request.key,
            request.body,
            request.shard,
            now + request.deadline_ms / MILLI,
        )
        reply = await self.home.handle(call)
        if reply is None:
            return entry_pb2.CallerReply(status=shardmanager.MISDIRECTED)
        after = float(reply.headers.get('retry-after', 0))
        return entry_pb2.CallerReply(
            status=reply.status,
            body=reply.body,
            retry_after_ms=round(after * MILLI),
        )
