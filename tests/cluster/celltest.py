"""A leader over the fake cell, for the tests of this folder."""

from __future__ import annotations

import asyncio

from jujubebend_cluster import (
    adviceclient,
    cell,
    committer,
    context,
    interfaces,
    jobrecords,
    jobspec,
    keys,
    term,
)
from tests import fakecell, virtualtime

QUEUE = jobspec.Queue('q', 'host', '/q/', 'svc', 0, 3, 2.0, 1.0)
SOON = 20.0


class Cell:
    """Store, workers and the terms that tests begin and end."""

    def __init__(self, *workers):
        self.store = fakecell.Store()
        self.workers = {one.name: one for one in workers}
        self.text = jobspec.Text(
            version=1, queues=(QUEUE,), services=frozenset(('svc',))
        )
        for one in workers:
            self.list_worker(one)
        self.waves = ()
        self.machines = None
        self.tasks = []

    def list_worker(self, worker, state=interfaces.WorkerState.READY):
        self.workers[worker.name] = worker
        self.store.put(f'servers/{worker.name}', state.value.encode())

    def unlist(self, worker):
        gone = (f'servers/{worker.name}',)
        self.store.apply(interfaces.Transaction(deletes=gone))

    def submit(self, spec):
        self.store.put(keys.job(spec.job), jobrecords.encode_job(spec))

    def cancel(self, name):
        self.store.put(keys.cancel(name), b'1')

    def context(self):
        return context.Context(
            store=self.store,
            connect=lambda name, address: self.workers[name],
            parse_worker=self._parse,
            workers_prefix='servers/',
            current_config=lambda: self.text,
            current_waves=lambda: self.waves,
            machines=self.machines,
            lease=6.0,
            status_retention=120.0,
        )

    def _parse(self, name, body):
        if name not in self.workers:
            return None
        return self.workers[name].entry(interfaces.WorkerState(body.decode()))

    async def lead(self, epoch=1):
        """Begin a term, taking the leader record as an elector would."""
        item = self.store.data.get(committer.LEADER_KEY)
        record = committer.LeaderRecord(f'h{epoch}', f'h{epoch}:1', epoch, 0)
        revision = await self.store.commit(
            interfaces.Transaction(
                expects={committer.LEADER_KEY: item.revision if item else 0},
                puts={committer.LEADER_KEY: record.encode()},
            )
        )
        made = term.Term(
            cell.Cell(
                self.context(),
                committer.Committer(self.store, record, revision),
                adviceclient.AdviceDesk(),
            )
        )
        self.tasks.append(asyncio.create_task(made.run()))
        return made

    async def kill(self):
        """End a term as a killed process would: at once, with no last word."""
        at = self.tasks.pop()
        at.cancel()
        await asyncio.gather(at, return_exceptions=True)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def until(check, seconds=SOON):
    """Wait until ``check()`` holds; fail after ``seconds`` of virtual time."""
    for _ in range(round(seconds / 0.02)):
        if check():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f'not within {seconds} s')


def play(scenario, *workers):
    """Run ``scenario(cell)`` on virtual time and clean up."""

    async def main():
        made = workers or (fakecell.Worker('w1'), fakecell.Worker('w2'))
        cell = Cell(*made)
        try:
            return await scenario(cell)
        finally:
            await cell.close()

    return virtualtime.run(main)


def shown(made, name):
    """Return the state that callers are told, as text."""
    state = made.state_of(name)
    return state.value if state else None


def runs_of(cell, name):
    """Return every start of a job's tasks on any worker."""
    return [
        (worker.name, task, run)
        for worker in cell.workers.values()
        for task, run in worker.started
        if task.job == name
    ]
