"""Random workloads of the two sample users, and floods of one kind of work."""

from __future__ import annotations

import random

import attrs

from benchmarks import simulator
from jujubebend import manifest, resources

WORKER_COUNT = 24
WORKER_SPEEDS = (1, 1, 2, 4, 8, 1, 2, 1)
WORKER_CAPACITY = resources.Resources(8, 64, 32_000, 64 * resources.GIB)
ITEM_DEMAND = resources.Resources(1, 1, 1000, resources.GIB // 4)
DURATION_SECONDS = 60.0
CONFIG = manifest.Manifest(
    teams=[
        manifest.Team('sales', weight=3),
        manifest.Team('quarry'),
        manifest.Team('portal', weight=2),
        manifest.Team('chainworks', weight=2),
        manifest.Team('counter', weight=3),
    ],
    kinds=[
        manifest.Kind('quote-check', 'urgent', weight=3),
        manifest.Kind('stock-check', 'urgent', weight=3),
        manifest.Kind('tile-order', 'urgent', weight=2),
        manifest.Kind('block-cut', 'patient'),
        manifest.Kind('mesh-design', 'patient'),
    ],
)
# Kind to team, arrivals per second, and mean run time in seconds on a worker of
# speed one.
WORK_MIX = {
    'quote-check': ('sales', 60, 0.3),
    'stock-check': ('counter', 80, 0.2),
    'tile-order': ('portal', 30, 0.5),
    'block-cut': ('quarry', 25, 3),
    'mesh-design': ('chainworks', 25, 4),
}
URGENT_KINDS = ('quote-check', 'stock-check', 'tile-order')
URGENT_DEADLINE_SECONDS = 10
TOLERANT_DEADLINE_SECONDS = 600
# Work arriving during a flood, as a multiple of the total capacity.
FLOOD_FACTOR = 10
FLOOD_DIVISOR = 1
FLOOD_START_SECONDS = 10.0
FLOOD_END_SECONDS = 40.0


@attrs.frozen
class Workload:
    """A reproducible workload and the workers that run it.

    During the flood, work of ``flooded_kind`` arrives at a multiple of the
    total capacity. With ``fails``, one worker fails every item. With
    ``cancels``, half of the mesh designs are cancelled.
    """

    name: str
    seed: int
    flooded_kind: str
    fails: bool = False
    cancels: bool = False

    def create_workers(self) -> list[simulator.SimulatedWorker]:
        """Return workers of different speeds; one may fail every item."""
        return [
            simulator.SimulatedWorker(
                f'w{number:02d}',
                WORKER_CAPACITY,
                WORKER_SPEEDS[number % len(WORKER_SPEEDS)],
                is_failing=self.fails and number == 3,
            )
            for number in range(WORKER_COUNT)
        ]

    def draw_items(self, only_kind: str = '') -> list[simulator.WorkItem]:
        """Return the work items.

        With ``only_kind``, return those of this kind, and no flood.
        """
        items = []
        for kind, (team, arrival_rate, mean_seconds) in WORK_MIX.items():
            rng = random.Random(f'{self.seed}/{kind}')
            kind_items = _draw_items(
                rng,
                kind,
                team,
                arrival_rate,
                mean_seconds,
                (0, DURATION_SECONDS),
            )
            if self.cancels and kind == 'mesh-design':
                _cancel_every_second(kind_items)
            if not only_kind or kind == only_kind:
                items += kind_items
        if self.flooded_kind and not only_kind:
            team, arrival_rate, mean_seconds = WORK_MIX[self.flooded_kind]
            rng = random.Random(f'{self.seed}/flood')
            capacity = (
                WORKER_COUNT
                * WORKER_CAPACITY.slots
                * sum(WORKER_SPEEDS)
                / len(WORKER_SPEEDS)
            )
            flood_rate = FLOOD_FACTOR * capacity / mean_seconds / FLOOD_DIVISOR
            window = (FLOOD_START_SECONDS, FLOOD_END_SECONDS)
            items += _draw_items(
                rng,
                self.flooded_kind,
                team,
                flood_rate,
                mean_seconds,
                window,
                'flood-',
            )
        return items


def _draw_items(
    rng: random.Random,
    kind: str,
    team: str,
    arrival_rate: float,
    mean_seconds: float,
    window: tuple[float, float],
    prefix: str = '',
) -> list[simulator.WorkItem]:
    items = []
    now = window[0]
    deadline_seconds = (
        URGENT_DEADLINE_SECONDS
        if kind in URGENT_KINDS
        else TOLERANT_DEADLINE_SECONDS
    )
    while True:
        now += rng.expovariate(arrival_rate)
        if now >= window[1]:
            return items
        duration = rng.expovariate(1 / mean_seconds)
        items.append(
            simulator.WorkItem(
                f'{prefix}{kind}-{len(items)}',
                kind,
                team,
                ITEM_DEMAND,
                now,
                duration,
                ITEM_DEMAND,
                deadline=now + deadline_seconds,
            )
        )


def _cancel_every_second(items: list[simulator.WorkItem]) -> None:
    for item in items[::2]:
        item.cancelled_at = item.arrives_at + 1
