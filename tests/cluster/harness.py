"""Test harness: leader terms over an in-memory store and workers."""

from __future__ import annotations

import asyncio

import attrs

from jujubebend_cluster import (
    adviceclient,
    committer,
    context,
    interfaces,
    jobrecords,
    jobspec,
    keys,
    leaderstate,
    term,
)
from tests import fakecluster, virtualtime

QUEUE = jobspec.Queue('q', 'host', '/q/', 'svc', 0, 3, 2.0, 1.0)
DEFAULT_TIMEOUT_S = 20.0  # of virtual time


class Cluster:
    """A store, workers, and the leader terms that a test starts and kills."""

    def __init__(self, *workers):
        self.store = fakecluster.Store()
        self.workers = {worker.name: worker for worker in workers}
        self.config = jobspec.OperatorConfig(
            version=1, queues=(QUEUE,), services=frozenset(('svc',))
        )
        for worker in workers:
            self.list_worker(worker)
        self.waves = ()
        self.machines = None
        self.tasks = []

    def list_worker(
        self, worker, state=interfaces.WorkerState.READY, address=''
    ):
        """Write the entry of a worker in its present incarnation.

        At any other ``address`` than its own another worker answers.
        """
        self.workers[worker.name] = worker
        body = f'{state.value} {worker.born} {address or worker.name}'
        self.store.put(f'servers/{worker.name}', body.encode())

    def unlist_worker(self, worker):
        deletes = (f'servers/{worker.name}',)
        self.store.apply(interfaces.Transaction(deletes=deletes))

    def submit_job(self, spec):
        self.store.put(keys.job(spec.job), jobrecords.encode_job(spec))

    def cancel(self, name):
        self.store.put(keys.cancel(name), b'1')

    def context(self):
        return context.Context(
            store=self.store,
            connect_worker=self._connect_worker,
            parse_worker=self._parse_worker,
            workers_prefix='servers/',
            current_config=lambda: self.config,
            current_waves=lambda: self.waves,
            machines=self.machines,
            lease=6.0,
            status_retention=120.0,
        )

    def _parse_worker(self, name, body):
        if name not in self.workers:
            return None
        state, born, address = body.decode().split()
        entry = self.workers[name].entry(interfaces.WorkerState(state))
        return attrs.evolve(entry, born=int(born), address=address)

    def _connect_worker(self, name, address):
        if address == name:
            return self.workers[name]
        return fakecluster.Worker(
            address, refusal=interfaces.OrderResult.OTHER_WORKER
        )

    async def start_term(self, epoch=1):
        """Claim the leader record as an elector does and start a term."""
        item = self.store.data.get(committer.LEADER_KEY)
        record = committer.LeaderRecord(f'h{epoch}', f'h{epoch}:1', epoch, 0)
        revision = await self.store.commit(
            interfaces.Transaction(
                expects={committer.LEADER_KEY: item.revision if item else 0},
                puts={committer.LEADER_KEY: record.encode()},
            )
        )
        new_term = term.Term(
            leaderstate.LeaderState(
                self.context(),
                committer.Committer(self.store, record, revision),
                adviceclient.AdviceClient(),
            )
        )
        self.tasks.append(asyncio.create_task(new_term.run()))
        return new_term

    async def kill_leader(self):
        """Cancel the newest term at once, as if its process was killed."""
        task = self.tasks.pop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def wait_until(condition, seconds=DEFAULT_TIMEOUT_S):
    """Wait until ``condition()`` is true; fail after ``seconds``."""
    for _ in range(round(seconds / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f'the condition was not met within {seconds} s')


def run_scenario(scenario, *workers):
    """Run ``scenario(cluster)`` on virtual time and clean up.

    Without ``workers`` the cluster has two.
    """

    async def main():
        cluster_workers = workers or (
            fakecluster.Worker('w1'),
            fakecluster.Worker('w2'),
        )
        cluster = Cluster(*cluster_workers)
        try:
            return await scenario(cluster)
        finally:
            await cluster.close()

    return virtualtime.run(main)


def find_job_state(leader_term, name):
    """Return the name of the job state that callers see, or None."""
    state = leader_term.find_job_state(name)
    return state.value if state else None


def find_starts(cluster, name):
    """Return a row (worker, task, run) for each start of a job's tasks."""
    return [
        (worker.name, task, run)
        for worker in cluster.workers.values()
        for task, run in worker.started
        if task.job == name
    ]
