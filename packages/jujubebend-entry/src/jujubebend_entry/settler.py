"""Tells homes of the ends of recorded tasks, until each has taken them."""

from __future__ import annotations

import asyncio

import attrs
import orjson

from jujubebend import errors
from jujubebend_entry import owner, peers, shardmanager, tasks
from jujubebend_platform import worker
from jujubebend_wire import entry_pb2

RETRY_WAIT = 0.5
BATCH = 200


@attrs.frozen
class _Told:
    worker: str
    attempt: str
    home: str
    ended: dict[str, str]


@attrs.define(eq=False)
class Settler:
    """Keeps ends until their home confirms that it has recorded them."""

    owner: owner.Owner
    home: shardmanager.ShardManager
    peers: peers.Peers
    _untold: dict[str, _Told] = attrs.field(factory=dict)
    _due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _telling: set[str] = attrs.field(factory=set)
    _group: tasks.TaskGroup = attrs.field(factory=tasks.TaskGroup)

    def ended(self, worker_name: str, entry: worker.EndedTask) -> None:
        """Take in an end; without an outcome, a task found running."""
        self._untold[entry.attempt] = _Told(
            worker_name, entry.attempt, entry.home, entry.outcome
        )
        self._due.set()

    async def run(self) -> None:
        """Tell until cancelled; a slow home holds up no other."""
        while True:
            await self._due.wait()
            self._due.clear()
            for holder, batch in self._by_holder().items():
                if holder not in self._telling:
                    self._telling.add(holder)
                    self._group.spawn(self._tell(holder, batch[:BATCH]))

    async def close(self) -> None:
        """Stop telling."""
        await self._group.close()

    def untold(self) -> int:
        """Return how many ends their homes have not confirmed."""
        return len(self._untold)

    def _by_holder(self) -> dict[str, list[_Told]]:
        by_holder: dict[str, list[_Told]] = {}
        for told in self._untold.values():
            holder = self.home.find_holder(told.home)
            by_holder.setdefault(holder, []).append(told)
        return by_holder

    async def _tell(self, holder: str, batch: list[_Told]) -> None:
        try:
            await self._tell_once(holder, batch)
        finally:
            self._telling.discard(holder)
            if self._untold:
                loop = asyncio.get_running_loop()
                loop.call_later(self._wait_for(batch), self._due.set)

    async def _tell_once(self, holder: str, batch: list[_Told]) -> None:
        if holder == self.home.view.own.name:
            settled = await self._tell_here(batch)
        else:
            settled = await self._tell_there(holder, batch)
        if settled is None:
            return
        for told in batch:
            if told.attempt in settled:
                self._forget(told)
            elif not told.ended:
                # It still runs and is wanted.
                self._drop(told)

    def _wait_for(self, batch: list[_Told]) -> float:
        """Go on at once after progress, else wait a little."""
        left = sum(told.attempt in self._untold for told in batch)
        return RETRY_WAIT if left == len(batch) else 0

    def _forget(self, told: _Told) -> None:
        self._drop(told)
        if told.ended:
            self.owner.acknowledge(told.worker, told.attempt)
        else:
            self._group.spawn(self._stop(told))

    def _drop(self, told: _Told) -> None:
        if self._untold.get(told.attempt) is told:
            self._untold.pop(told.attempt)

    async def _stop(self, told: _Told) -> None:
        try:
            await self.owner.stop(told.worker, told.attempt, checkpoint=False)
        except errors.JujubebendError:
            return

    async def _tell_here(self, batch: list[_Told]) -> set[str]:
        settles = [
            self.home.settle(told.home, told.attempt, told.ended)
            for told in batch
        ]
        done = await asyncio.gather(*settles)
        pairs = zip(batch, done, strict=True)
        return {told.attempt for told, is_done in pairs if is_done}

    async def _tell_there(
        self, holder: str, batch: list[_Told]
    ) -> set[str] | None:
        member = self.home.view.members.get(holder)
        if member is None:
            return None
        message = entry_pb2.EndedAttempts(
            attempts=[
                entry_pb2.EndedAttempt(
                    attempt=told.attempt,
                    home=told.home,
                    outcome_json=orjson.dumps(told.ended).decode()
                    if told.ended
                    else '',
                )
                for told in batch
            ]
        )
        try:
            reply = await self.peers.call(
                member.address, 'Settle', message, peers.CALL_TIMEOUT + 5
            )
        except errors.UnreachableError:
            return None
        return set(reply.attempts)
