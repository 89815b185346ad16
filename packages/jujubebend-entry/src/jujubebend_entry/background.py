"""Groups of background asyncio tasks that are cancelled together."""

from __future__ import annotations

import asyncio
import traceback
from collections import abc

import attrs
import eliot


@attrs.define(eq=False)
class TaskGroup:
    """Holds background tasks, logs their exceptions and cancels them."""

    _running: set[asyncio.Task] = attrs.field(factory=set)

    def spawn(self, coroutine: abc.Coroutine) -> asyncio.Task:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self) -> None:
        """Cancel the running tasks and wait for them."""
        tasks = list(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            lines = traceback.format_exception(task.exception())
            eliot.log_message('task:failed', error=''.join(lines))
