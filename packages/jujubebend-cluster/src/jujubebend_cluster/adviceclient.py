"""Requests to the placement advice service, spread over the hosts.

The advice service handles one call at a time for each calling host. So the
leader sends its calls through all hosts of the cluster, each through the one
that will be free first.
"""

from __future__ import annotations

import math
import random
from collections import abc

import attrs
from boltons import iterutils

from jujubebend import errors
from jujubebend_cluster import clock, fleet, jobspec, jobtable, logs, metrics

# Workers named in one call, if there are hosts enough to spread the calls over.
# The objective of a job includes one call on 30.
USUAL_WORKERS_PER_CALL = 30
# Most workers that the advice service accepts in one call.
MAX_WORKERS_PER_CALL = 100
# Seconds before a ticket expires from which it is not used: the write of the
# placement and the start must fit into them.
TICKET_MARGIN_S = 0.2
# Time that a call may take beyond its expected duration.
CALL_SLACK_S = 1.5
# Largest backlog of calls that one host is given.
MAX_BACKLOG_S = 1.2
# Share of the hosts that are kept free of latency-tolerant queues.
URGENT_SHARE = 0.25
# Pause before a host is used again after a failed call.
RETRY_PAUSE_S = 0.15


# Takes the step, the worker names and the time-out in seconds; returns the
# ticket of each approved worker.
RequestAdvice = abc.Callable[
    [str, abc.Sequence[str], float], abc.Awaitable[dict[str, str]]
]


@attrs.define(eq=False)
class AdviceRoute:
    """A host through which the advice service can be called.

    ``busy_until`` is when its calls so far are expected to be done. The route
    is not used before ``unavailable_until``.
    """

    address: str
    request_advice: RequestAdvice
    busy_until: float = 0
    unavailable_until: float = 0


@attrs.frozen
class AdviceCall:
    """A call for advice on ``workers`` that goes through ``route``."""

    route: AdviceRoute
    workers: abc.Sequence[fleet.Worker]


@attrs.define(eq=False)
class AdviceClient:
    """Requests advice for groups and stores the returned tickets."""

    routes: dict[str, AdviceRoute] = attrs.field(factory=dict)
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)

    def plan_calls(
        self,
        policy: jobspec.AdvicePolicy,
        workers: abc.Sequence[fleet.Worker],
        now: float,
        *,
        latency_tolerant: bool = False,
    ) -> list[AdviceCall]:
        """Spread a request about ``workers`` over the routes that are free.

        The first call goes through the route that is free first, further ones
        only through idle routes. There is no call if all routes are too busy.
        Workers that do not fit into the calls are left out. The expected
        duration of each call is added to its route's backlog. Calls for
        latency-tolerant queues take long, so some routes are kept free of them.
        """
        routes = self._choose_routes(
            math.ceil(len(workers) / USUAL_WORKERS_PER_CALL),
            now,
            latency_tolerant=latency_tolerant,
        )
        if not routes:
            return []
        size = min(MAX_WORKERS_PER_CALL, math.ceil(len(workers) / len(routes)))
        calls = [
            AdviceCall(route, list(batch))
            for route, batch in zip(
                routes, iterutils.chunked_iter(workers, size), strict=False
            )
        ]
        for call in calls:
            route = call.route
            duration = policy.call_duration(len(call.workers))
            route.busy_until = max(now, route.busy_until) + duration
        return calls

    def _choose_routes(
        self, count: int, now: float, *, latency_tolerant: bool
    ) -> list[AdviceRoute]:
        available = [
            route
            for route in self.routes.values()
            if now >= route.unavailable_until
        ]
        if latency_tolerant:
            available = available[round(URGENT_SHARE * len(available)) :]
        random.shuffle(available)
        available.sort(key=lambda route: max(now, route.busy_until))
        return [
            route
            for position, route in enumerate(available[:count])
            if route.busy_until <= now
            or (position == 0 and route.busy_until - now <= MAX_BACKLOG_S)
        ]

    async def request_tickets(
        self,
        group: jobtable.Group,
        policy: jobspec.AdvicePolicy,
        call: AdviceCall,
    ) -> None:
        """Request advice on which of the call's workers may run the step.

        The tickets are stored in the group. A failed call is logged, and the
        route is not used for a while.
        """
        route = call.route
        names = [worker.name for worker in call.workers]
        tickets = group.tickets
        sent_at = clock.now()
        duration = policy.call_duration(len(names))
        timeout = max(0, route.busy_until - sent_at) + duration + CALL_SLACK_S
        try:
            approved_tickets = await route.request_advice(
                group.step_name(), names, timeout
            )
        except (errors.RefusedError, errors.UnreachableError) as exc:
            route.unavailable_until = clock.now() + RETRY_PAUSE_S
            self.metrics.count('advice_calls', outcome='failed')
            logs.decision(
                'advice_failed',
                job=group.job.spec.job,
                step=group.step_name(),
                caller=route.address,
                why=str(exc),
            )
            return
        finally:
            tickets.pending_workers.difference_update(names)
        now = clock.now()
        self.metrics.count('advice_calls', outcome='answered')
        self.metrics.observe('advice', now - sent_at)
        expires_at = now + policy.validity_s - TICKET_MARGIN_S
        tickets.queried_workers.update(names)
        for name, ticket in approved_tickets.items():
            tickets.approvals[name] = (ticket, expires_at)
        # The tickets expire soon, so the group is tried in the next pass.
        group.tried_at = -math.inf
        logs.decision(
            'advice',
            job=group.job.spec.job,
            step=group.step_name(),
            asked=len(names),
            good=len(approved_tickets),
            seconds=round(now - sent_at, 3),
            caller=route.address,
        )

    def select_candidates(
        self,
        group: jobtable.Group,
        usable: abc.Sequence[fleet.Worker],
        now: float,
        awaited: abc.Set[str],
        limit: int = USUAL_WORKERS_PER_CALL,
        *,
        latency_tolerant: bool = True,
    ) -> list[fleet.Worker]:
        """Return the workers to request advice on, at most ``limit``.

        Workers that the group waits for, by name in ``awaited``, come first,
        then those with the most free CPU; work that is not latency-tolerant
        asks about the slow ones last. Workers that advice has refused are left
        out, and, after a first call, workers without room.
        """
        tickets = group.tickets
        step = group.step
        candidates = [
            worker
            for worker in usable
            if tickets.is_advice_useful(worker.name, now)
            and worker.has_label(step.required_label)
        ]
        fitting = [
            worker
            for worker in candidates
            if worker.name in awaited or worker.fits(step.demand)
        ]
        if tickets.queried_workers and fitting:
            candidates = fitting
        slow_names = set() if latency_tolerant else _find_slow(usable)
        candidates.sort(
            key=lambda worker: (
                worker.name not in awaited,
                worker.name in slow_names,
                worker.used_cpu,
            )
        )
        return candidates[:limit]


def _find_slow(workers: abc.Sequence[fleet.Worker]) -> set[str]:
    """Return the names of the workers that are slower than their mean."""
    total = sum(worker.speed for worker in workers)
    return {
        worker.name for worker in workers if worker.speed * len(workers) < total
    }
