"""Drawn loads of both users at their size, and floods of each kind."""

from __future__ import annotations

import random

import attrs

from benchmarks import simulator
from jujubebend import manifest, resources

WORKERS = 24
SPEEDS = (1, 1, 2, 4, 8, 1, 2, 1)
CAPACITY = resources.Resources(8, 64, 32_000, 64 * resources.GIB)
SLOT = resources.Resources(1, 1, 1000, resources.GIB // 4)
SECONDS = 60.0
TEXT = manifest.Manifest(
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
# Kind: team, arrivals a second, mean seconds on a worker of speed one.
MIX = {
    'quote-check': ('sales', 60, 0.3),
    'stock-check': ('counter', 80, 0.2),
    'tile-order': ('portal', 30, 0.5),
    'block-cut': ('quarry', 25, 3),
    'mesh-design': ('chainworks', 25, 4),
}
URGENT = ('quote-check', 'stock-check', 'tile-order')
URGENT_SECONDS = 10
PATIENT_SECONDS = 600
FLOOD_TIMES = 10
FLOOD_PART = 1
FLOOD_FROM = 10.0
FLOOD_UNTIL = 40.0


@attrs.frozen
class Load:
    """Hosts, and a way to draw the same work twice."""

    name: str
    seed: int
    flooded: str
    fails: bool = False
    cancels: bool = False

    def hosts(self) -> list[simulator.Host]:
        """Return workers of unlike speed; one may fail everything."""
        return [
            simulator.Host(
                f'w{number:02d}',
                CAPACITY,
                SPEEDS[number % len(SPEEDS)],
                fails=self.fails and number == 3,
            )
            for number in range(WORKERS)
        ]

    def works(self, only: str = '') -> list[simulator.Work]:
        """Draw the work; with ``only``, that kind by itself, no flood."""
        found = []
        for kind, (team, rate, mean) in MIX.items():
            rng = random.Random(f'{self.seed}/{kind}')
            base = _draw(rng, kind, team, rate, mean, (0, SECONDS))
            if self.cancels and kind == 'mesh-design':
                _cancel_half(base)
            if not only or kind == only:
                found += base
        if self.flooded and not only:
            team, rate, mean = MIX[self.flooded]
            rng = random.Random(f'{self.seed}/flood')
            full = WORKERS * CAPACITY.slots * sum(SPEEDS) / len(SPEEDS)
            flood = FLOOD_TIMES * full / mean / FLOOD_PART
            window = (FLOOD_FROM, FLOOD_UNTIL)
            found += _draw(
                rng, self.flooded, team, flood, mean, window, 'flood-'
            )
        return found


def _draw(
    rng: random.Random,
    kind: str,
    team: str,
    rate: float,
    mean: float,
    window: tuple[float, float],
    prefix: str = '',
) -> list[simulator.Work]:
    found = []
    now = window[0]
    patience = URGENT_SECONDS if kind in URGENT else PATIENT_SECONDS
    while True:
        now += rng.expovariate(rate)
        if now >= window[1]:
            return found
        runs = rng.expovariate(1 / mean)
        found.append(
            simulator.Work(
                f'{prefix}{kind}-{len(found)}',
                kind,
                team,
                SLOT,
                now,
                runs,
                SLOT,
                deadline=now + patience,
            )
        )


def _cancel_half(works: list[simulator.Work]) -> None:
    for work in works[::2]:
        work.cancelled_at = work.arrives + 1
