"""Calls on connections that open late, to workers that restart meanwhile."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubebend import errors
from jujubebend_adapter import workers
from jujubebend_cluster import interfaces, jobspec
from jujubebend_standin.emulator import checks, localcluster, worker
from tests.emulator import harness

RUN = 7
TOKEN = 64
RUNNING_TASK = jobspec.TaskName('j', 0, 0, 0)
NEW_TASK = jobspec.TaskName('k', 0, 0, 0)
FORMER_LEASE_END_S = 5.5
PRESENT_LEASE_END_S = 4.0
CALL_DELAY_S = 0.3  # shorter than the time-out of a call

TIME_LIMIT_S = 90
SHORT_TASK_S = 0.1
LONG_TASK_S = 6.5
ROUTE_CHOICE_S = 1.5
START_TIMEOUT_S = 0.7
FIRST_COPY_DELAY_S = 1.0  # longer than the time-out
SECOND_COPY_DELAY_S = 7.0  # longer than a change of leader takes
FIRST_RUN_LIMIT_S = 4.0
COPY_LIMIT_S = 2.0  # for a copy to be sent
RESTART_BEFORE_COPY_S = 0.3  # too short for the leader to notice the restart
UPTIME_S = 20.0
START_DELAY_S = 9.5
# Every copy of a start has been sent by then, but no stop.
LAST_START_SENT_S = 2.5 * START_TIMEOUT_S
LEASES_RECORDED_S = 3.0  # a silent worker's, for the next leader
CUT_OFF_DELAY_S = 60.0


async def _start(client, born):
    return await client.start(
        interfaces.StartOrder(
            NEW_TASK, RUN, '1 9', FORMER_LEASE_END_S, TOKEN, born
        )
    )


async def _stop(client, born):
    return await client.stop(RUNNING_TASK, RUN, TOKEN, born)


async def _pace(client, born):
    return await client.pace(RUNNING_TASK, RUN, 10, TOKEN, born)


async def _renew_leases(client, born):
    renewal = interfaces.Renewal(TOKEN, born, 1, FORMER_LEASE_END_S)
    return await client.renew_leases(renewal)


async def _read_status(client):
    return await client.renew_leases(interfaces.Renewal(TOKEN, None))


def _take_up_run(emulated_worker):
    """Have the present incarnation run a task under a lease of its own."""
    run = worker.Run('j.0.0.0', RUN, 1, 0, emulated_worker.booted_at + 9)
    emulated_worker.running[run.task] = run
    emulated_worker.lease_until = PRESENT_LEASE_END_S
    return run


def _describe(emulated_worker, run):
    return {
        'lease_until': emulated_worker.lease_until,
        'acknowledged': emulated_worker.acknowledged_end_number,
        'highest runs': dict(emulated_worker.highest_run_numbers),
        'runs': len(emulated_worker.runs),
        'pace': run.pace,
        'outcome': run.outcome,
    }


@pytest.mark.parametrize('call', [_start, _stop, _pace, _renew_leases])
def test_a_call_on_a_new_connection_reaches_its_incarnation_or_none(
    tmp_path, call
):
    """Guards against calls that the next incarnation takes for its own."""

    async def main():
        cluster = localcluster.LocalCluster(tmp_path)
        emulated_worker = await cluster._add_worker(8_000)
        client = workers.Worker(
            emulated_worker.name, cluster._addresses[emulated_worker.name]
        )
        status = await _read_status(client)
        await client.close()
        tcp_relay = cluster.get_worker_relay(emulated_worker)
        tcp_relay.open_delay = CALL_DELAY_S
        call_task = asyncio.create_task(call(client, status.born))
        await _wait_until_opening(tcp_relay, 1)
        await cluster.crash_worker(emulated_worker)
        run = _take_up_run(emulated_worker)
        before = _describe(emulated_worker, run)
        answer = None
        with contextlib.suppress(errors.UnreachableError):
            answer = await call_task
        await asyncio.sleep(CALL_DELAY_S)
        assert _describe(emulated_worker, run) == before
        assert answer is not interfaces.OrderResult.ACCEPTED
        await client.close()
        await cluster.stop()

    asyncio.run(main())


async def _wait_until_reached(emulated_worker):
    """Wait for a status call of a leader."""
    while not emulated_worker.fencing_token:
        await asyncio.sleep(0.01)


async def _wait_until_routed(emulated_worker):
    """Wait until the renewals of a leader, or of its relay, are under way."""
    await _wait_until_reached(emulated_worker)
    await asyncio.sleep(ROUTE_CHOICE_S)


async def _wait_until_opening(tcp_relay, count):
    while tcp_relay.opening_connections < count:
        await asyncio.sleep(0.01)


async def _wait_until_acknowledged(emulated_worker):
    while not any(run.is_acknowledged for run in emulated_worker.runs):
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def _at_most(seconds):
    """Go on after a time: orders may be withheld on late connections."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            yield


async def _restart_worker(cluster, emulated_worker):
    await cluster.crash_worker(emulated_worker)
    cluster.write_worker_entry(emulated_worker)


async def _restart_hosts(cluster):
    for host in cluster.hosts:
        await host.stop()
        await host.start()


async def _check_jobs(cluster, load):
    await load.wait_until_ended()
    assert not checks.find_violations(cluster, load)
    assert all(job.state == 'completed' for job in load.jobs.values())


@pytest.mark.parametrize('cores', [1, 0.01])
def test_a_repeated_start_is_not_carried_out_after_its_run_was_acknowledged(
    tmp_path, cores
):
    """Guards against the second copy of a start running in the next incarnation.

    With little processor time the leader calls the worker through a relay.
    """

    async def main():
        async with (
            asyncio.timeout(TIME_LIMIT_S),
            harness.run_cluster(tmp_path, 2, 1, cores) as (cluster, load),
        ):
            emulated_worker = cluster.workers[0]
            await _wait_until_routed(emulated_worker)
            tcp_relay = cluster.get_worker_relay(emulated_worker)
            tcp_relay.open_delay = FIRST_COPY_DELAY_S
            await load.submit_job(1, 1_000, SHORT_TASK_S)
            async with _at_most(FIRST_RUN_LIMIT_S):
                await _wait_until_acknowledged(emulated_worker)
            await _restart_worker(cluster, emulated_worker)
            await asyncio.sleep(FIRST_COPY_DELAY_S)
            tcp_relay.open_delay = 0
            await _check_jobs(cluster, load)

    asyncio.run(main())


@pytest.mark.parametrize('cores', [1, 0.01])
@pytest.mark.parametrize('is_leader_replaced', [False, True])
def test_a_repeated_start_is_not_carried_out_two_incarnations_later(
    tmp_path, is_leader_replaced, cores
):
    """Guards against fencing tokens that a restart has made the worker forget.

    The incarnation in between has answered this leader or the next.
    """

    async def main():
        async with (
            asyncio.timeout(TIME_LIMIT_S),
            harness.run_cluster(tmp_path, 2, 1, cores) as (cluster, load),
        ):
            emulated_worker = cluster.workers[0]
            await _wait_until_routed(emulated_worker)
            tcp_relay = cluster.get_worker_relay(emulated_worker)
            tcp_relay.open_delay = FIRST_COPY_DELAY_S
            await load.submit_job(1, 1_000, SHORT_TASK_S)
            async with _at_most(COPY_LIMIT_S):
                await _wait_until_opening(tcp_relay, 1)
            tcp_relay.open_delay = SECOND_COPY_DELAY_S
            async with _at_most(COPY_LIMIT_S):
                await _wait_until_opening(tcp_relay, 2)
            arrives_at = asyncio.get_running_loop().time() + SECOND_COPY_DELAY_S
            async with _at_most(FIRST_RUN_LIMIT_S):
                await _wait_until_acknowledged(emulated_worker)
            tcp_relay.open_delay = 0
            await _restart_worker(cluster, emulated_worker)
            if is_leader_replaced:
                await _restart_hosts(cluster)
            await _wait_until_reached(emulated_worker)
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(arrives_at - RESTART_BEFORE_COPY_S - now)
            await _restart_worker(cluster, emulated_worker)
            await asyncio.sleep(2 * RESTART_BEFORE_COPY_S)
            await _check_jobs(cluster, load)

    asyncio.run(main())


async def _add_worker_with_uptime(cluster):
    emulated_worker = await cluster._add_worker(8_000)
    emulated_worker.booted_at -= UPTIME_S
    return emulated_worker


@pytest.mark.parametrize(
    ('is_leader_replaced', 'cores'), [(False, 1), (False, 0.01), (True, 1)]
)
def test_a_start_under_way_at_a_restart_does_not_run_beside_its_successor(
    tmp_path, is_leader_replaced, cores
):
    """Guards against a released run that a silent worker starts late.

    The clock of the new incarnation has begun anew, so the start is not late.
    The leader, or the next one, releases the run once its leases have expired.
    """

    async def main():
        async with (
            asyncio.timeout(TIME_LIMIT_S),
            harness.run_cluster(tmp_path, 2, 0, cores) as (cluster, load),
        ):
            emulated_worker = await _add_worker_with_uptime(cluster)
            await _wait_until_routed(emulated_worker)
            tcp_relay = cluster.get_worker_relay(emulated_worker)
            tcp_relay.open_delay = START_DELAY_S
            await load.submit_job(1, 1_000, LONG_TASK_S)
            await asyncio.sleep(LAST_START_SENT_S)
            tcp_relay.open_delay = CUT_OFF_DELAY_S
            await cluster.crash_worker(emulated_worker)
            await cluster._add_worker(8_000)
            if is_leader_replaced:
                await asyncio.sleep(LEASES_RECORDED_S)
                await _restart_hosts(cluster)
            await _check_jobs(cluster, load)

    asyncio.run(main())
