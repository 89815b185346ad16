"""Background tasks that belong to one owner and end with it."""

from __future__ import annotations

import asyncio
import traceback
from collections import abc

import attrs
import eliot


@attrs.define(eq=False)
class TaskGroup:
    """Keeps background tasks, logs what they raise, cancels them at close."""

    _running: set[asyncio.Task] = attrs.field(factory=set)

    def spawn(self, work: abc.Coroutine) -> asyncio.Task:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._done)
        return task

    async def close(self) -> None:
        """Cancel what still runs and wait for it."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            trace = traceback.format_exception(task.exception())
            eliot.log_message('task:failed', error=''.join(trace))
