"""Model of leases and intents under interleavings of two owners.

A home host writes an intent and an owner sends a start, which may be delayed
without limit or delivered twice. The worker may restart. In every order, the
attempt must run at most once, and an attempt with the verdict that it never
ran must not run.
"""

from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies

from jujubebend import intent, lease

TTL_SECONDS = 10.0


@attrs.define
class _Worker:
    """Model of the worker side of the protocol."""

    boot: int = 0
    grantor: lease.Grantor = attrs.field(factory=lease.Grantor)
    started_attempts: list[str] = attrs.field(factory=list)
    known_attempts: set[str] = attrs.field(factory=set)
    refused_attempts: set[str] = attrs.field(factory=set)

    def start(self, attempt, boot, epoch, now):
        try:
            self.grantor.check_epoch(epoch, now)
        except lease.StaleEpochError:
            return
        is_new = attempt not in self.known_attempts | self.refused_attempts
        if boot == self.boot and is_new:
            self.started_attempts.append(attempt)
            self.known_attempts.add(attempt)

    def settle(self, attempt, epoch, now):
        try:
            self.grantor.check_epoch(epoch, now)
        except lease.StaleEpochError:
            return None
        state = intent.AttemptState.ABSENT
        if attempt in self.known_attempts:
            state = intent.AttemptState.RUNNING
        else:
            self.refused_attempts.add(attempt)
        return intent.Report(
            str(self.boot),
            self.grantor.epoch,
            state,
            refused=attempt in self.refused_attempts,
        )

    def restart(self):
        self.boot += 1
        self.grantor = lease.Grantor()
        self.known_attempts.clear()
        self.refused_attempts.clear()


moves = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('lease'), strategies.sampled_from((0, 1))
        ),
        strategies.tuples(
            strategies.just('intend'), strategies.sampled_from((0, 1))
        ),
        strategies.tuples(
            strategies.just('deliver'), strategies.integers(0, 9)
        ),
        strategies.tuples(
            strategies.just('settle'), strategies.sampled_from((0, 1))
        ),
        strategies.tuples(
            strategies.just('pass'), strategies.sampled_from((1, 6, 11))
        ),
        strategies.just(('restart',)),
    ),
    max_size=40,
)


class _Model:
    """One request with one home host, and two owners for its attempts."""

    def __init__(self):
        self.worker = _Worker()
        self.now = 0.0
        self.grants = [None, None]
        self.open_intent = None
        self.attempts = 0
        self.in_flight = []
        self.never_ran = set()
        self.is_unknown = False

    def lease(self, owner):
        grant = self.worker.grantor.acquire(f'o{owner}', TTL_SECONDS, self.now)
        if grant is not None:
            # A worker may forget what it refused under an older epoch, because
            # starts under that epoch are rejected anyway.
            self.worker.refused_attempts.clear()
            self.grants[owner] = (grant.epoch, self.worker.boot)

    def intend(self, owner):
        if self.open_intent or self.is_unknown or not self.grants[owner]:
            return
        epoch, boot = self.grants[owner]
        self.attempts += 1
        name = f'a{self.attempts}'
        self.open_intent = intent.Intent(name, 'w', str(boot), epoch)
        self.in_flight.append((name, boot, epoch))

    def deliver(self, position):
        """Deliver a start, which stays in flight and may be delivered again."""
        if self.in_flight:
            sent = self.in_flight[position % len(self.in_flight)]
            self.worker.start(*sent, self.now)

    def settle(self, owner):
        if not self.open_intent or not self.grants[owner]:
            return
        epoch, _ = self.grants[owner]
        report = self.worker.settle(self.open_intent.attempt, epoch, self.now)
        if report is None:
            return
        verdict = intent.settle(self.open_intent, report)
        if verdict is intent.Verdict.NEVER_RAN:
            self.never_ran.add(self.open_intent.attempt)
            self.open_intent = None
        elif verdict is intent.Verdict.UNKNOWN:
            self.is_unknown = True

    def check_invariants(self):
        assert len(self.worker.started_attempts) <= 1, (
            self.worker.started_attempts
        )
        assert not self.never_ran & set(self.worker.started_attempts)


@hypothesis.settings(max_examples=1500)
@hypothesis.given(moves)
def test_attempt_runs_at_most_once(drawn_moves):
    model = _Model()
    for move in drawn_moves:
        match move:
            case ('pass', seconds):
                model.now += seconds
            case ('restart',):
                model.worker.restart()
            case (name, argument):
                getattr(model, name)(argument)
        model.check_invariants()
