"""Asks for placement advice across the cell's hosts.

The advice service serves one call at a time for each calling host, so the
leader spreads its calls over its peers, each time to the one that will be
free first.
"""

from __future__ import annotations

import random
from collections import abc

import attrs

from jujubebend import errors
from jujubebend_cluster import clock, fleet, jobspec, jobtable, logs, metrics

MOST_WORKERS = 30  # named in one call; the objective counts one call on 30
TICKET_MARGIN = 0.2  # seconds; a record and a start must fit into it
CALL_SLACK = 1.5  # seconds beyond the time that the call should take
LONGEST_BACKLOG = 1.2  # seconds of calls given to one host at once
URGENT_SHARE = 0.25  # of the hosts serve queues that cannot wait, and no other
RETRY_PAUSE = 0.15  # seconds before a group asks again after a failure


Ask = abc.Callable[
    [str, abc.Sequence[str], float], abc.Awaitable[dict[str, str]]
]


@attrs.define(eq=False)
class AdviceRoute:
    """One host's way to the service; ``busy_until`` is when it is free."""

    address: str
    ask: Ask
    busy_until: float = 0
    failed_until: float = 0


@attrs.define(eq=False)
class AdviceClient:
    """Keeps the tickets of groups current."""

    routes: dict[str, AdviceRoute] = attrs.field(factory=dict)
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)

    def choose_route(
        self,
        policy: jobspec.AdvicePolicy,
        workers: int,
        now: float,
        *,
        latency_tolerant: bool = False,
    ) -> AdviceRoute | None:
        """Return the caller that is free first, None if all are too busy.

        Calls for patient queues take long; a few callers are kept free of
        them.
        """
        able = [one for one in self.routes.values() if now >= one.failed_until]
        if latency_tolerant:
            able = able[round(URGENT_SHARE * len(able)) :]
        if not able:
            return None
        best = min(able, key=lambda one: (one.busy_until, random.random()))
        if best.busy_until - now > LONGEST_BACKLOG:
            return None
        cost = policy.base_cost_s + policy.cost_per_worker_s * workers
        best.busy_until = max(now, best.busy_until) + cost
        return best

    async def renew(
        self,
        group: jobtable.Group,
        policy: jobspec.AdvicePolicy,
        workers: abc.Sequence[fleet.Worker],
        caller: AdviceRoute,
    ) -> None:
        """Ask which of ``workers`` may run the group's step."""
        names = [worker.name for worker in workers]
        tickets = group.tickets
        sent = clock.now()
        cost = policy.base_cost_s + policy.cost_per_worker_s * len(names)
        wait = max(0, caller.busy_until - sent) + cost + CALL_SLACK
        try:
            good = await caller.ask(group.step_name(), names, wait)
        except (errors.RefusedError, errors.UnreachableError) as exc:
            caller.failed_until = clock.now() + RETRY_PAUSE
            self.metrics.count('advice_calls', outcome='failed')
            logs.decision(
                'advice_failed',
                job=group.job.spec.job,
                step=group.step_name(),
                caller=caller.address,
                why=str(exc),
            )
            return
        finally:
            tickets.is_request_pending = False
        now = clock.now()
        self.metrics.count('advice_calls', outcome='answered')
        self.metrics.observe('advice', now - sent)
        until = now + policy.validity_s - TICKET_MARGIN
        tickets.asked.update(names)
        for name, ticket in good.items():
            tickets.good[name] = (ticket, until)
        logs.decision(
            'advice',
            job=group.job.spec.job,
            step=group.step_name(),
            asked=len(names),
            good=len(good),
            seconds=round(now - sent, 3),
            caller=caller.address,
        )

    def select_candidates(
        self,
        group: jobtable.Group,
        usable: abc.Sequence[fleet.Worker],
        now: float,
        about: abc.Set[str],
    ) -> list[fleet.Worker]:
        """Return the workers worth naming: with room first, never refused.

        Those in ``awaited_workers`` are what the group waits for; they go before all.
        """
        tickets = group.tickets
        step = group.step
        worth = [
            worker
            for worker in usable
            if tickets.may_help(worker.name, now)
            and worker.has_label(step.required_label)
        ]
        roomy = [
            worker
            for worker in worth
            if worker.name in about or worker.fits(step.demand)
        ]
        if tickets.asked and roomy:
            worth = roomy
        worth.sort(
            key=lambda worker: (worker.name not in about, worker.used_cpu)
        )
        return worth[:MOST_WORKERS]
