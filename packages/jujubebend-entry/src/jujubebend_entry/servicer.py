"""gRPC service for calls from the other entry hosts."""

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

MS_PER_SECOND = 1000


@attrs.define(eq=False)
class Servicer(entry_pb2_grpc.EntryServicer):
    """Dispatches the calls of peers to the components of this host."""

    heartbeats: heartbeat.Heartbeats
    platform: platformview.PlatformView
    owner: owner.Owner
    shard_manager: shardmanager.ShardManager

    async def Beat(self, request, context):  # noqa: N802
        """Process a heartbeat and reply with this host's own."""
        self.heartbeats.handle_heartbeat(request)
        return self.heartbeats.make_message(request.sender.zone)

    async def FetchPlatform(self, request, context):  # noqa: N802
        """Return the configuration and host list that the sender lacks."""
        current = self.platform.config_register.current
        host_list = self.platform.host_list
        platform_copy = entry_pb2.PlatformCopy(
            config_revision=current.number,
            host_list_revision=host_list.revision,
        )
        if current.number > request.config_revision:
            platform_copy.config_text = current.text
        if host_list.revision > request.host_list_revision:
            document = hostlist.to_json(host_list)
            platform_copy.host_list_json = orjson.dumps(document).decode()
        return platform_copy

    async def Reserve(self, request, context):  # noqa: N802
        """Reserve capacity for an attempt of a peer.

        Waits for up to ``wait_ms`` milliseconds until it becomes free.
        """
        now = asyncio.get_running_loop().time()
        wait = request.wait_ms / MS_PER_SECOND
        ticket = queue.Ticket(
            request.id,
            request.kind,
            request.team,
            peers.decode_amounts(request.demand),
            owner.policy_from_name(request.policy, request.group),
            now + wait,
            now,
            is_sheddable=False,
            is_from_peer=True,
        )
        grant = None
        if self.owner.ledger.owned_workers and not self.owner.is_draining:
            grant = await self.owner.reserve(ticket, wait)
        free_capacity = peers.encode_amounts(self.owner.largest_free_capacity())
        if grant is None:
            return entry_pb2.Reservation(largest_room=free_capacity)
        return entry_pb2.Reservation(
            granted=True,
            id=grant.id,
            worker=grant.worker,
            boot=grant.boot,
            epoch=grant.epoch,
            largest_room=free_capacity,
        )

    async def Release(self, request, context):  # noqa: N802
        """Release a reservation that has not been used."""
        self.owner.release(request.id)
        return entry_pb2.Done()

    async def Run(self, request, context):  # noqa: N802
        """Run unrecorded work to its outcome, or start recorded work."""
        document = orjson.loads(request.work_json)
        task = worker.converter.structure(document, worker.TaskStart)
        if task.home:
            task_outcome = await self.owner.start(task)
        else:
            task_outcome = await self.owner.run(task)
        if task_outcome is None:
            return entry_pb2.RunReply()
        outcome_json = orjson.dumps(outcome.to_fields(task_outcome)).decode()
        return entry_pb2.RunReply(outcome_json=outcome_json)

    async def Inspect(self, request, context):  # noqa: N802
        """Return the verdicts on attempts on the owned workers."""
        intents = [
            intent.Intent(
                message.attempt, message.worker, message.boot, message.epoch
            )
            for message in request.intents
        ]
        verdicts = await shardmanager.inspect_owned_workers(self.owner, intents)
        reports = [
            entry_pb2.AttemptReport(
                attempt=attempt,
                verdict=verdict,
                outcome_json=orjson.dumps(outcome_fields).decode()
                if outcome_fields
                else '',
            )
            for attempt, (verdict, outcome_fields) in verdicts.items()
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
        """Record outcomes; return the attempts that may be forgotten."""
        settle_calls = [
            self.shard_manager.settle(
                ended_attempt.home,
                ended_attempt.attempt,
                orjson.loads(ended_attempt.outcome_json)
                if ended_attempt.outcome_json
                else {},
            )
            for ended_attempt in request.attempts
        ]
        are_settled = await asyncio.gather(*settle_calls)
        settled_attempts = [
            ended_attempt.attempt
            for ended_attempt, is_settled in zip(
                request.attempts, are_settled, strict=True
            )
            if is_settled
        ]
        return entry_pb2.AttemptNames(attempts=settled_attempts)

    async def Forward(self, request, context):  # noqa: N802
        """Handle a caller's request on a shard that is held here."""
        now = asyncio.get_running_loop().time()
        call = heldshard.Call(
            request.method,
            request.path,
            request.key,
            request.body,
            request.shard,
            now + request.deadline_ms / MS_PER_SECOND,
        )
        reply = await self.shard_manager.handle_call(call)
        if reply is None:
            return entry_pb2.CallerReply(status=shardmanager.MISDIRECTED)
        retry_after = float(reply.headers.get('retry-after', 0))
        return entry_pb2.CallerReply(
            status=reply.status,
            body=reply.body,
            retry_after_ms=round(retry_after * MS_PER_SECOND),
        )
