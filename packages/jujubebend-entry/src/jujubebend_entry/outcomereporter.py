"""Reporting of ended recorded tasks to the holders of their shards."""

from __future__ import annotations

import asyncio

import attrs
import orjson

from jujubebend import errors
from jujubebend_entry import background, owner, peers, shardmanager
from jujubebend_platform import worker
from jujubebend_wire import entry_pb2

RETRY_WAIT_SECONDS = 0.5
MAX_BATCH_SIZE = 200


@attrs.frozen
class _TaskReport:
    worker: str
    attempt: str
    home: str
    outcome_fields: dict[str, str]


@attrs.define(eq=False)
class OutcomeReporter:
    """Reports ended tasks until the holders of their shards confirm them.

    A task that was found running is reported too, without an outcome. It is
    stopped if its shard has no open attempt for it.
    """

    owner: owner.Owner
    shard_manager: shardmanager.ShardManager
    peers: peers.Peers
    _unreported: dict[str, _TaskReport] = attrs.field(factory=dict)
    _report_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _active_holders: set[str] = attrs.field(factory=set)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    def add_report(self, worker_name: str, entry: worker.EndedTask) -> None:
        """Queue the report of an ended task, or of a running one.

        A running task is an entry without an outcome.
        """
        self._unreported[entry.attempt] = _TaskReport(
            worker_name, entry.attempt, entry.home, entry.outcome
        )
        self._report_requested.set()

    async def run(self) -> None:
        """Report until cancelled.

        Each holder is served on its own, so a slow one delays no other.
        """
        while True:
            await self._report_requested.wait()
            self._report_requested.clear()
            for holder, batch in self._group_by_holder().items():
                if holder not in self._active_holders:
                    self._active_holders.add(holder)
                    self._group.spawn(
                        self._report_batch(holder, batch[:MAX_BATCH_SIZE])
                    )

    async def close(self) -> None:
        """Stop reporting."""
        await self._group.close()

    def count_unreported(self) -> int:
        """Return the number of reports that are not yet confirmed."""
        return len(self._unreported)

    def _group_by_holder(self) -> dict[str, list[_TaskReport]]:
        by_holder: dict[str, list[_TaskReport]] = {}
        for report in self._unreported.values():
            holder = self.shard_manager.find_holder(report.home)
            by_holder.setdefault(holder, []).append(report)
        return by_holder

    async def _report_batch(
        self, holder: str, batch: list[_TaskReport]
    ) -> None:
        try:
            await self._report_batch_once(holder, batch)
        finally:
            self._active_holders.discard(holder)
            if self._unreported:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    self._retry_delay(batch), self._report_requested.set
                )

    async def _report_batch_once(
        self, holder: str, batch: list[_TaskReport]
    ) -> None:
        if holder == self.shard_manager.view.own.name:
            confirmed = await self._report_locally(batch)
        else:
            confirmed = await self._report_to_peer(holder, batch)
        if confirmed is None:
            return
        for report in batch:
            if report.attempt in confirmed:
                self._complete_report(report)
            elif not report.outcome_fields:
                # The task runs, and its attempt is still open in the shard.
                self._discard_report(report)

    def _retry_delay(self, batch: list[_TaskReport]) -> float:
        """Return the seconds until the next batch: 0 after any progress."""
        remaining = sum(report.attempt in self._unreported for report in batch)
        return RETRY_WAIT_SECONDS if remaining == len(batch) else 0

    def _complete_report(self, report: _TaskReport) -> None:
        self._discard_report(report)
        if report.outcome_fields:
            self.owner.acknowledge(report.worker, report.attempt)
        else:
            self._group.spawn(self._stop_attempt(report))

    def _discard_report(self, report: _TaskReport) -> None:
        if self._unreported.get(report.attempt) is report:
            self._unreported.pop(report.attempt)

    async def _stop_attempt(self, report: _TaskReport) -> None:
        try:
            await self.owner.stop(
                report.worker, report.attempt, checkpoint=False
            )
        except errors.JujubebendError:
            return

    async def _report_locally(self, batch: list[_TaskReport]) -> set[str]:
        settle_calls = [
            self.shard_manager.settle(
                report.home, report.attempt, report.outcome_fields
            )
            for report in batch
        ]
        are_settled = await asyncio.gather(*settle_calls)
        pairs = zip(batch, are_settled, strict=True)
        return {report.attempt for report, is_settled in pairs if is_settled}

    async def _report_to_peer(
        self, holder: str, batch: list[_TaskReport]
    ) -> set[str] | None:
        member = self.shard_manager.view.members.get(holder)
        if member is None:
            return None
        message = entry_pb2.EndedAttempts(
            attempts=[
                entry_pb2.EndedAttempt(
                    attempt=report.attempt,
                    home=report.home,
                    outcome_json=orjson.dumps(report.outcome_fields).decode()
                    if report.outcome_fields
                    else '',
                )
                for report in batch
            ]
        )
        try:
            reply = await self.peers.call(
                member.address,
                'Settle',
                message,
                # The holder waits up to 5 s for its commit
                # (``shard.COMMIT_TIMEOUT_SECONDS``).
                peers.CALL_TIMEOUT_SECONDS + 5,
            )
        except errors.UnreachableError:
            return None
        return set(reply.attempts)
