"""What an owner concludes when a worker restarts while calls are under way.

Real clients call fake workers over loopback. The next incarnation of a worker
serves the same address, and another host already holds its first lease.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from jujubebend import outcome, policy, queue, resources
from jujubebend_entry import owner
from jujubebend_platform import hostlist, worker
from jujubebend_standin import fakeplatform, faults
from jujubebend_standin import worker as worker_fake

CAPACITY = resources.Resources(2, 8)
SLOT = resources.Resources(1, 1)
TTL_SECONDS = 10.0
POLL_SECONDS = 0.02


@attrs.define(eq=False)
class _Site:
    """The owner ``one`` and the worker whose lease it holds."""

    owner: owner.Owner
    served: fakeplatform.ServedFake

    @property
    def worker_lease(self):
        return self.owner.worker_leases['w']

    async def restart_worker(self, ttl):
        """Serve the next incarnation, leased to the host ``two``."""
        port = self.served.server.port
        self.served.fake.cancel_tasks()
        await self.served.server.stop(0)
        fake = worker_fake.FakeWorker('w', CAPACITY)
        served_elsewhere = await fakeplatform.serve_fake(fake)
        client = worker.HttpWorker(served_elsewhere.address)
        reply = await client.acquire_lease('two', ttl)
        assert reply.epoch == self.worker_lease.held_lease.epoch
        await client.close()
        await served_elsewhere.server.stop(0)
        self.served = await fakeplatform.serve_fake(fake, port)


@contextlib.asynccontextmanager
async def _open_site():
    served = await fakeplatform.serve_fake(
        worker_fake.FakeWorker('w', CAPACITY)
    )
    host_owner = owner.Owner(
        'one', TTL_SECONDS, lambda host: worker.HttpWorker(host.address)
    )
    host = hostlist.Host('w', hostlist.WORKER, 'a', 'rack', served.address)
    host_owner.assign_workers({'w': host})
    site = _Site(host_owner, served)
    try:
        await _wait_until(site.worker_lease.is_held)
        yield site
    finally:
        await host_owner.close()
        site.served.fake.cancel_tasks()
        await site.served.server.stop(0)


async def _wait_until(condition):
    # Well below the time-to-live, so that no lease just expires.
    async with asyncio.timeout(TTL_SECONDS / 2):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


async def _start_without_answer(site):
    """Start a task whose answer is lost; return the call that runs it."""
    now = asyncio.get_running_loop().time()
    ticket = queue.Ticket('a', 'k', 't', SLOT, policy.Prompt(), now + 10, now)
    await site.owner.reserve(ticket, 1)
    site.served.injector.faults = faults.Faults(lose_answers=True)
    task = worker.TaskStart('a', 's', SLOT, {'forever': True}, 'k', 't')
    running = asyncio.create_task(site.owner.run(task))
    await _wait_until(lambda: site.served.fake.events)
    return running


def test_start_is_not_settled_by_the_next_incarnation():
    """The next incarnation does not know whether the former one ran it."""

    async def scenario():
        async with _open_site() as site:
            running = await _start_without_answer(site)
            await site.restart_worker(ttl=1)
            assert isinstance(await running, outcome.Unknown)

    asyncio.run(scenario())


def test_owner_of_former_incarnation_loses_the_lease():
    """Else it takes the reports of tasks that the new owner started."""

    async def scenario():
        async with _open_site() as site:
            await site.restart_worker(TTL_SECONDS)
            await _wait_until(lambda: not site.worker_lease.is_held())

    asyncio.run(scenario())
