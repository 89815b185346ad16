"""Bounds on the leases of silent workers, recorded for the next leader.

What runs on a silent worker is started elsewhere once every lease granted to
that worker has expired. Only the leader that granted them knows when that is,
so it records the time left. A successor without that record has to assume that
the former leader renewed the lease until it could no longer commit.

A recorded worker gets no lease before a record without it is stored, so the
bound holds for whoever reads it.
"""

from __future__ import annotations

import attrs
import orjson

from jujubebend import decoding
from jujubebend_cluster import clock, committer, fleet, keys, logs

# Time without an answer after which a worker is recorded as silent. A shorter
# silence costs no commit.
SILENCE_S = 1.0
# Time between two records while a worker is silent. A successor may wait for
# so much longer than needed.
RECORD_INTERVAL_S = 1.0


@attrs.frozen
class LeaseBound:
    """When every lease of one incarnation of a worker has expired.

    ``expires_at`` is on our clock, in seconds.
    """

    incarnation: int
    expires_at: float


@attrs.define(eq=False)
class LeaseBounds:
    """The lease bounds of silent workers, by worker ID.

    It is the entry that the committer stores. ``_recorded`` holds the IDs that
    the stored record may contain.
    """

    commits: committer.Committer
    _bounds: dict[str, LeaseBound] = attrs.field(factory=dict)
    _recorded: set[str] = attrs.field(factory=set)
    _encoded: frozenset[str] = frozenset()
    _record_due_at: float = 0

    def load(self, body: bytes | None) -> None:
        """Take over the record of the former leader, None if there is none.

        A damaged record is logged and gives no bounds. Nor does one of an
        earlier leader: a build without such records may have led since, and
        may have extended the leases.
        """
        if body is None:
            return
        try:
            epoch, bounds = _decode(body, clock.now())
        except decoding.DECODE_ERRORS as exc:
            logs.lifecycle(
                'error', what=f'lease bounds: {decoding.describe(exc)}'
            )
            return
        if epoch == self.commits.record.epoch - 1:
            self._bounds = bounds
            self._recorded.update(bounds)
        if self._bounds:
            logs.belief('lease_bounds_loaded', workers=len(self._bounds))

    def find(self, name: str, incarnation: int) -> float | None:
        """Return when the leases of a worker have expired, None if unknown."""
        bound = self._bounds.get(name)
        if bound is None or bound.incarnation != incarnation:
            return None
        return bound.expires_at

    def may_extend(self, name: str) -> bool:
        """Return whether no stored record may bound the worker's leases."""
        return name not in self._recorded

    def remove(self, name: str) -> None:
        """Remove a worker that has answered, with the next commit."""
        if self._bounds.pop(name, None) is not None or name in self._recorded:
            self._put()

    def update(self, worker_fleet: fleet.Fleet, now: float) -> None:
        """Record the workers that are silent now, unless that was done lately.

        Bounds that have passed and those of workers without tasks are
        removed.
        """
        for name, bound in list(self._bounds.items()):
            worker = worker_fleet.workers.get(name)
            is_needed = worker is None or worker.tasks
            if bound.expires_at < now or not is_needed:
                self._bounds.pop(name)
        for worker in worker_fleet.workers.values():
            expires_at = _bound_lease(worker, now)
            if expires_at is not None:
                self._bounds[worker.name] = LeaseBound(
                    worker.incarnation, expires_at
                )
        is_due = now >= self._record_due_at
        if (self._bounds or self._recorded) and is_due:
            self._record_due_at = now + RECORD_INTERVAL_S
            self._put()

    def encode(self) -> bytes:
        """Return the record: the epoch, and a row for each worker.

        A row holds the incarnation and the seconds left.
        """
        now = clock.now()
        self._encoded = frozenset(self._bounds)
        self._recorded.update(self._encoded)
        rows = {
            name: (bound.incarnation, round(max(0, bound.expires_at - now), 3))
            for name, bound in self._bounds.items()
        }
        return orjson.dumps({
            'epoch': self.commits.record.epoch,
            'workers': rows,
        })

    def mark_stored(self) -> None:
        """Allow leases to workers that the stored record does not contain."""
        self._recorded = set(self._encoded)

    def _put(self) -> None:
        self.commits.put(keys.LEASES, self)


def _bound_lease(worker: fleet.Worker, now: float) -> float | None:
    """Return when the leases of a silent worker and its runs have expired.

    Return None if the worker is not silent, runs nothing, or never answered
    this leader.
    """
    silent_since = worker.unreached_since
    if silent_since is None or now - silent_since < SILENCE_S:
        return None
    return worker.lease_expires_at() if worker.tasks else None


def _decode(body: bytes, now: float) -> tuple[int, dict[str, LeaseBound]]:
    document = orjson.loads(body)
    return decoding.to_count(document['epoch']), {
        name: LeaseBound(
            decoding.to_count(incarnation), now + decoding.to_number(seconds)
        )
        for name, (incarnation, seconds) in document['workers'].items()
    }
