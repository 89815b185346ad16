"""``make bench``: the four measures, ours beside the naive baseline."""

from __future__ import annotations

import json
import pathlib
import random
import statistics
import time

import matplotlib as mpl
import typer
from matplotlib import pyplot as plt

from benchmarks import simulator, workloads
from jujubebend import ledger, placement, policy, resources

FOLDER = pathlib.Path('bench-results')
LOADS = (
    ('steady', '', {}),
    ('flood of mesh designs', 'mesh-design', {}),
    ('flood of quote checks', 'quote-check', {}),
    ('a worker fails all', '', {'fails': True}),
    ('half the designs cancelled', '', {'cancels': True}),
)
DECISIONS = 3000
cli = typer.Typer(add_completion=False)


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _start_of(work: simulator.Work, end: float) -> float:
    return end if work.started < 0 else work.started


def _waits(
    run: simulator.Run, kinds: tuple[str, ...], end: float
) -> list[float]:
    """Return waits by virtual time; what never started waited to the end."""
    return [
        _start_of(work, end) - work.arrives
        for work in run.works
        if work.kind in kinds and not work.refused and work.cancelled_at > end
    ]


def _kept(run: simulator.Run, flooded: str) -> dict[str, float]:
    """Return for each other kind the share started within its deadline."""
    kept = {}
    for kind in workloads.MIX:
        mine = [
            work
            for work in run.works
            if work.kind == kind
            and not work.id.startswith('flood-')
            and work.cancelled_at == float('inf')
            and work.arrives < workloads.SECONDS - 10
        ]
        if kind != flooded:
            good = [
                work
                for work in mine
                if 0 <= work.started <= work.deadline
                and work.started - work.arrives < 10
            ]
            kept[kind] = len(good) / len(mine)
    return kept


def _measure(name: str, flooded: str, options: dict, seed: int) -> dict:
    load = workloads.Load(name, seed, flooded, **options)
    found = {}
    for side in ('ours', 'naive'):
        hosts = load.hosts()
        if side == 'ours':
            scheduler = simulator.Ours(workloads.TEXT, hosts)
        else:
            scheduler = simulator.Naive(hosts, seed)
        end = workloads.SECONDS
        began = time.process_time()
        window = (workloads.FLOOD_FROM, workloads.FLOOD_UNTIL)
        run = simulator.play(scheduler, hosts, load.works(), end, window)
        seconds = time.process_time() - began
        waits = _waits(run, workloads.URGENT, end)
        starts = sum(work.started >= 0 for work in run.works)
        found[side] = {
            'urgent_p50_s': _percentile(waits, 0.5),
            'urgent_p99_s': _percentile(waits, 0.99),
            'patient_p99_s': _percentile(
                _waits(run, ('block-cut', 'mesh-design'), end), 0.99
            ),
            'kept_least': min(_kept(run, flooded).values()),
            'packing': run.held_share,
            'failed_starts': run.failed_starts / max(1, starts),
            'decision_p99_us': 1e6 * _percentile(run.decision_seconds, 0.99),
            'cpu_us_a_start': 1e6 * seconds / starts,
            'refused': sum(work.refused for work in run.works),
        }
    return found


def _decision_cost(workers: int, seed: int) -> dict:
    """Time one placement and its release, at three quarters full.

    The naive side scans every worker for room, as first fit does.
    """
    rng = random.Random(seed)
    book = ledger.Ledger()
    for number in range(workers):
        name = f'w{number}'
        book.owned_workers[name] = ledger.OwnedWorker(
            name, 'rack', workloads.CAPACITY
        )
        book.total += workloads.CAPACITY
    book.reindex()
    for number in range(6 * workers):
        name = book.find_worker(policy.Batch(), workloads.SLOT, 0)
        book.allocate(
            ledger.Allocation(f'h{number}', name, workloads.SLOT, 'k', 't')
        )
    ours = []
    for number in range(DECISIONS):
        began = time.perf_counter()
        name = book.find_worker(policy.Batch(), workloads.SLOT, 0)
        book.allocate(
            ledger.Allocation(f'n{number}', name, workloads.SLOT, 'k', 't')
        )
        ours.append(time.perf_counter() - began)
        # The same room comes free elsewhere, so that the load stays level.
        leaving = f'h{rng.randrange(6 * workers)}'
        if book.deallocate(leaving) is None:
            leaving = f'n{number}'
            book.deallocate(leaving)
    scans = []
    rooms = {
        name: place.capacity - place.allocated
        for name, place in book.owned_workers.items()
    }
    for _ in range(min(DECISIONS, 300)):
        began = time.perf_counter()
        next(
            (name for name, room in rooms.items() if workloads.SLOT.fits(room)),
            '',
        )
        scans.append(time.perf_counter() - began)
    return {
        'workers': workers,
        'ours_p50_us': 1e6 * statistics.median(ours),
        'ours_p99_us': 1e6 * _percentile(ours, 0.99),
        'scan_p50_us': 1e6 * statistics.median(scans),
    }


def _index_miss(workers: int) -> float:
    """Return the median cost of a search that finds no room, in µs."""
    index = placement.Index()
    full = resources.Resources(0, 64, 32_000, 64)
    index.rebuild({f'w{number}': full for number in range(workers)})
    costs = []
    for _ in range(300):
        began = time.perf_counter()
        next(index.fitting_workers(workloads.SLOT), '')
        costs.append(time.perf_counter() - began)
    return 1e6 * statistics.median(costs)


def _print(name: str, found: list[dict]) -> None:
    typer.echo(f'\n{name} ({len(found)} seeds: median, least to most)')
    for figure in found[0]['ours']:
        cells = []
        for side in ('ours', 'naive'):
            values = [one[side][figure] for one in found]
            middle = statistics.median(values)
            cells.append(
                f'{side} {middle:9.3f} ({min(values):.3f} to {max(values):.3f})'
            )
        typer.echo(f'  {figure:16} {"   ".join(cells)}')


def _plot(results: dict[str, list[dict]]) -> None:
    mpl.use('Agg')
    for figure, title in (
        ('urgent_p99_s', 'Urgent work: waiting time p99, s'),
        ('kept_least', 'Least share that another kind keeps'),
    ):
        picture, axes = plt.subplots(figsize=(8, 4))
        for at, side in enumerate(('ours', 'naive')):
            heights = [
                statistics.median(one[side][figure] for one in found)
                for found in results.values()
            ]
            places = [number + at * 0.4 for number in range(len(heights))]
            axes.bar(places, heights, width=0.4, label=side)
        axes.set_xticks(range(len(results)), list(results), rotation=15)
        axes.set_title(title)
        axes.legend()
        picture.tight_layout()
        picture.savefig(FOLDER / f'{figure}.png')


@cli.command()
def main(seeds: int = 3) -> None:
    """Print every measure and write JSON and plots to bench-results."""
    FOLDER.mkdir(exist_ok=True)
    results = {}
    for name, flooded, options in LOADS:
        results[name] = [
            _measure(name, flooded, options, seed)
            for seed in range(1, seeds + 1)
        ]
        _print(name, results[name])
    costs = [_decision_cost(workers, 1) for workers in (24, 1000, 11_000)]
    typer.echo('\na placement by number of workers in one ledger')
    for cost in costs:
        miss = _index_miss(cost['workers'])
        typer.echo(
            f'  {cost["workers"]:6} workers: p50 {cost["ours_p50_us"]:.1f} µs,'
            f' p99 {cost["ours_p99_us"]:.1f} µs, a miss {miss:.1f} µs;'
            f' a scan p50 {cost["scan_p50_us"]:.1f} µs',
        )
    plain = {'loads': results, 'costs': costs}
    (FOLDER / 'results.json').write_text(json.dumps(plain, indent=2))
    _plot(results)


if __name__ == '__main__':
    cli()
