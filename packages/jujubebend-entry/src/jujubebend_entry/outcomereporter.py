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
class _EndReport:
    worker: str
    attempt: str
    home: str
    outcome_record: dict[str, str]


@attrs.define(eq=False)
class OutcomeReporter:
    """Reports ended tasks until the holders of their shards confirm them.

    A task that was found running is reported too, without an outcome. If its
    shard no longer wants it, it is stopped.
    """

    owner: owner.Owner
    shard_manager: shardmanager.ShardManager
    peers: peers.Peers
    _unreported: dict[str, _EndReport] = attrs.field(factory=dict)
    _report_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _reporting: set[str] = attrs.field(factory=set)
    _group: background.TaskGroup = attrs.field(factory=background.TaskGroup)

    def add_ended_task(self, worker_name: str, entry: worker.EndedTask) -> None:
        """Queue an ended task, or a running one if it has no outcome."""
        self._unreported[entry.attempt] = _EndReport(
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
                if holder not in self._reporting:
                    self._reporting.add(holder)
                    self._group.spawn(
                        self._report_batch(holder, batch[:MAX_BATCH_SIZE])
                    )

    async def close(self) -> None:
        """Stop reporting."""
        await self._group.close()

    def unreported_count(self) -> int:
        """Return the number of reports that are not yet confirmed."""
        return len(self._unreported)

    def _group_by_holder(self) -> dict[str, list[_EndReport]]:
        by_holder: dict[str, list[_EndReport]] = {}
        for report in self._unreported.values():
            holder = self.shard_manager.find_holder(report.home)
            by_holder.setdefault(holder, []).append(report)
        return by_holder

    async def _report_batch(self, holder: str, batch: list[_EndReport]) -> None:
        try:
            await self._report_batch_once(holder, batch)
        finally:
            self._reporting.discard(holder)
            if self._unreported:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    self._retry_delay(batch), self._report_requested.set
                )

    async def _report_batch_once(
        self, holder: str, batch: list[_EndReport]
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
            elif not report.outcome_record:
                # The task still runs and is wanted.
                self._discard(report)

    def _retry_delay(self, batch: list[_EndReport]) -> float:
        """Return the delay before the next batch: 0 after any progress."""
        remaining = sum(report.attempt in self._unreported for report in batch)
        return RETRY_WAIT_SECONDS if remaining == len(batch) else 0

    def _complete_report(self, report: _EndReport) -> None:
        self._discard(report)
        if report.outcome_record:
            self.owner.acknowledge(report.worker, report.attempt)
        else:
            self._group.spawn(self._stop_attempt(report))

    def _discard(self, report: _EndReport) -> None:
        if self._unreported.get(report.attempt) is report:
            self._unreported.pop(report.attempt)

    async def _stop_attempt(self, report: _EndReport) -> None:
        try:
            await self.owner.stop(
                report.worker, report.attempt, checkpoint=False
            )
        except errors.JujubebendError:
            return

    async def _report_locally(self, batch: list[_EndReport]) -> set[str]:
        pending = [
            self.shard_manager.settle(
                report.home, report.attempt, report.outcome_record
            )
            for report in batch
        ]
        results = await asyncio.gather(*pending)
        pairs = zip(batch, results, strict=True)
        return {report.attempt for report, is_settled in pairs if is_settled}

    async def _report_to_peer(
        self, holder: str, batch: list[_EndReport]
    ) -> set[str] | None:
        member = self.shard_manager.view.members.get(holder)
        if member is None:
            return None
        message = entry_pb2.EndedAttempts(
            attempts=[
                entry_pb2.EndedAttempt(
                    attempt=report.attempt,
                    home=report.home,
                    outcome_json=orjson.dumps(report.outcome_record).decode()
                    if report.outcome_record
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
                peers.CALL_TIMEOUT_SECONDS + 5,
            )
        except errors.UnreachableError:
            return None
        return set(reply.attempts)
