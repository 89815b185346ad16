"""Requests for advice: how they are spread over the hosts."""

from __future__ import annotations

import pytest

from jujubebend_cluster import adviceclient, fleet, jobspec, jobtable
from tests import fakecluster

POLICY = jobspec.AdvicePolicy(0.5, 0.01, 2.5)


def _workers(count):
    return [
        fleet.Worker(fakecluster.Worker(f'w{number}').entry())
        for number in range(count)
    ]


def _client(route_count):
    routes = {
        f'h{number}': adviceclient.AdviceRoute(f'h{number}', None)
        for number in range(route_count)
    }
    return adviceclient.AdviceClient(routes)


def _names(calls):
    return [worker.name for call in calls for worker in call.workers]


def test_a_request_about_many_workers_is_spread_over_idle_hosts():
    workers = _workers(90)
    calls = _client(10).plan_calls(POLICY, workers, 0)
    assert [len(call.workers) for call in calls] == [30, 30, 30]
    assert len({call.route.address for call in calls}) == 3
    assert _names(calls) == [worker.name for worker in workers]
    assert all(call.route.busy_until == pytest.approx(0.8) for call in calls)


def test_with_few_idle_hosts_each_call_names_more_workers():
    client = _client(3)
    client.routes['h0'].busy_until = 1.0
    calls = client.plan_calls(POLICY, _workers(120), 0)
    assert [len(call.workers) for call in calls] == [60, 60]
    assert {call.route.address for call in calls} == {'h1', 'h2'}


def test_urgent_work_asks_about_fast_workers_first():
    """It cannot make up for a worker that takes twice as long."""
    workers = _workers(90)
    for number, worker in enumerate(workers):
        worker.speed_estimate.speed = 0.6 if number % 3 else 1.4
        worker.used_cpu = 1_000 * (number % 3 == 0)
    spec = fakecluster.job('j', jobspec.Step(1, jobspec.Demand(1_000, 1)))
    group = jobtable.JobTable().add(spec).groups[0, 0]
    for latency_tolerant, expected in ((False, 1.4), (True, 0.6)):
        candidates = _client(1).select_candidates(
            group, workers, 0, set(), latency_tolerant=latency_tolerant
        )
        assert {worker.speed for worker in candidates} == {expected}


def test_no_call_names_more_workers_than_the_service_accepts():
    calls = _client(1).plan_calls(POLICY, _workers(150), 0)
    assert [len(call.workers) for call in calls] == [
        adviceclient.MAX_WORKERS_PER_CALL
    ]


def test_a_call_waits_for_a_host_only_if_its_backlog_is_short():
    client = _client(1)
    client.routes['h0'].busy_until = adviceclient.MAX_BACKLOG_S
    assert len(client.plan_calls(POLICY, _workers(90), 0)) == 1
    client.routes['h0'].busy_until = adviceclient.MAX_BACKLOG_S + 0.1
    assert not client.plan_calls(POLICY, _workers(30), 0)


def test_latency_tolerant_queues_leave_hosts_to_urgent_ones():
    client = _client(4)
    calls = client.plan_calls(POLICY, _workers(120), 0, latency_tolerant=True)
    assert len(calls) == 3
    client = _client(4)
    client.routes['h3'].unavailable_until = 5.0
    calls = client.plan_calls(POLICY, _workers(120), 0)
    assert {call.route.address for call in calls} == {'h0', 'h1', 'h2'}
