"""``make bench``: the library's scheduling compared with a naive baseline.

Measures waiting times, the share of the other work that is started in time
during a flood, the packing, and the cost of decisions. In the output, "ours"
is the library and "naive" the baseline.
"""

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

RESULTS_FOLDER = pathlib.Path('bench-results')
WORKLOADS = (
    ('steady', '', {}),
    ('flood of mesh designs', 'mesh-design', {}),
    ('flood of quote checks', 'quote-check', {}),
    ('a worker fails all', '', {'fails': True}),
    ('half the designs cancelled', '', {'cancels': True}),
)
DECISION_COUNT = 3000
cli = typer.Typer(add_completion=False)


def _find_percentile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


def _find_wait_end(item: simulator.WorkItem, end: float) -> float:
    return end if item.started_at < 0 else item.started_at


def _compute_waits(
    simulation: simulator.SimulationResult, kinds: tuple[str, ...], end: float
) -> list[float]:
    """Return the waiting times in virtual seconds.

    Items that were never started waited until the end.
    """
    return [
        _find_wait_end(item, end) - item.arrives_at
        for item in simulation.items
        if item.kind in kinds
        and not item.is_refused
        and item.cancelled_at > end
    ]


def _compute_started_shares(
    simulation: simulator.SimulationResult, flooded_kind: str
) -> dict[str, float]:
    """Return the share of items of each other kind that started in time.

    In time means by the deadline and less than 10 s after the arrival.
    """
    started_shares = {}
    for kind in workloads.WORK_MIX:
        kind_items = [
            item
            for item in simulation.items
            if item.kind == kind
            and not item.id.startswith('flood-')
            and item.cancelled_at == float('inf')
            and item.arrives_at < workloads.DURATION_SECONDS - 10
        ]
        if kind != flooded_kind:
            started_in_time = [
                item
                for item in kind_items
                if 0 <= item.started_at <= item.deadline
                and item.started_at - item.arrives_at < 10
            ]
            started_shares[kind] = len(started_in_time) / len(kind_items)
    return started_shares


def _measure_workload(
    name: str, flooded_kind: str, options: dict, seed: int
) -> dict:
    workload = workloads.Workload(name, seed, flooded_kind, **options)
    measurements = {}
    for side in ('ours', 'naive'):
        workers = workload.create_workers()
        if side == 'ours':
            scheduler = simulator.LibraryScheduler(workloads.CONFIG, workers)
        else:
            scheduler = simulator.BaselineScheduler(workers, seed)
        end = workloads.DURATION_SECONDS
        cpu_start = time.process_time()
        window = (workloads.FLOOD_START_SECONDS, workloads.FLOOD_END_SECONDS)
        simulation = simulator.simulate(
            scheduler, workers, workload.draw_items(), end, window
        )
        cpu_seconds = time.process_time() - cpu_start
        waits = _compute_waits(simulation, workloads.URGENT_KINDS, end)
        start_count = sum(item.started_at >= 0 for item in simulation.items)
        measurements[side] = {
            'urgent_p50_s': _find_percentile(waits, 0.5),
            'urgent_p99_s': _find_percentile(waits, 0.99),
            'patient_p99_s': _find_percentile(
                _compute_waits(simulation, ('block-cut', 'mesh-design'), end),
                0.99,
            ),
            'kept_least': min(
                _compute_started_shares(simulation, flooded_kind).values()
            ),
            'packing': simulation.packing,
            'failed_starts': simulation.failed_starts / max(1, start_count),
            'decision_p99_us': 1e6
            * _find_percentile(simulation.decision_seconds, 0.99),
            'cpu_us_a_start': 1e6 * cpu_seconds / start_count,
            'refused': sum(item.is_refused for item in simulation.items),
        }
    return measurements


def _measure_placement(workers: int, seed: int) -> dict:
    """Time a placement in a ledger with three quarters of its slots allocated.

    The baseline is a first-fit scan over every worker. Times are in µs.
    """
    rng = random.Random(seed)
    worker_ledger = ledger.Ledger()
    for number in range(workers):
        name = f'w{number}'
        worker_ledger.owned_workers[name] = ledger.OwnedWorker(
            name, 'rack', workloads.WORKER_CAPACITY
        )
        worker_ledger.total_capacity += workloads.WORKER_CAPACITY
    worker_ledger.reindex()
    for number in range(6 * workers):
        name = worker_ledger.find_worker(
            policy.Batch(), workloads.ITEM_DEMAND, 0
        )
        worker_ledger.allocate(
            ledger.Allocation(
                f'h{number}', name, workloads.ITEM_DEMAND, 'k', 't'
            )
        )
    placement_seconds = []
    for number in range(DECISION_COUNT):
        start = time.perf_counter()
        name = worker_ledger.find_worker(
            policy.Batch(), workloads.ITEM_DEMAND, 0
        )
        worker_ledger.allocate(
            ledger.Allocation(
                f'n{number}', name, workloads.ITEM_DEMAND, 'k', 't'
            )
        )
        placement_seconds.append(time.perf_counter() - start)
        # Release an equal allocation, so that the load stays constant.
        allocation_id = f'h{rng.randrange(6 * workers)}'
        if worker_ledger.deallocate(allocation_id) is None:
            allocation_id = f'n{number}'
            worker_ledger.deallocate(allocation_id)
    scan_seconds = []
    free_capacity = {
        name: worker.capacity - worker.allocated
        for name, worker in worker_ledger.owned_workers.items()
    }
    for _ in range(min(DECISION_COUNT, 300)):
        start = time.perf_counter()
        next(
            (
                name
                for name, free in free_capacity.items()
                if workloads.ITEM_DEMAND.fits(free)
            ),
            '',
        )
        scan_seconds.append(time.perf_counter() - start)
    return {
        'workers': workers,
        'ours_p50_us': 1e6 * statistics.median(placement_seconds),
        'ours_p99_us': 1e6 * _find_percentile(placement_seconds, 0.99),
        'scan_p50_us': 1e6 * statistics.median(scan_seconds),
    }


def _measure_index_miss(workers: int) -> float:
    """Return the median time of a search that finds no worker, in µs."""
    index = placement.Index()
    full_worker = resources.Resources(0, 64, 32_000, 64)
    index.rebuild({f'w{number}': full_worker for number in range(workers)})
    search_seconds = []
    for _ in range(300):
        start = time.perf_counter()
        next(index.fitting_workers(workloads.ITEM_DEMAND), '')
        search_seconds.append(time.perf_counter() - start)
    return 1e6 * statistics.median(search_seconds)


def _print_measurements(name: str, measurements: list[dict]) -> None:
    typer.echo(
        f'\n{name} ({len(measurements)} seeds: median, minimum to maximum)'
    )
    for metric in measurements[0]['ours']:
        columns = []
        for side in ('ours', 'naive'):
            values = [measurement[side][metric] for measurement in measurements]
            median = statistics.median(values)
            columns.append(
                f'{side} {median:9.3f} ({min(values):.3f} to {max(values):.3f})'
            )
        typer.echo(f'  {metric:16} {"   ".join(columns)}')


def _plot_measurements(results: dict[str, list[dict]]) -> None:
    mpl.use('Agg')
    for metric, title in (
        ('urgent_p99_s', 'Urgent work: waiting time p99, s'),
        ('kept_least', 'Smallest share of another kind started in time'),
    ):
        figure, axes = plt.subplots(figsize=(8, 4))
        for side_index, side in enumerate(('ours', 'naive')):
            medians = [
                statistics.median(
                    measurement[side][metric] for measurement in measurements
                )
                for measurements in results.values()
            ]
            positions = [
                number + side_index * 0.4 for number in range(len(medians))
            ]
            axes.bar(positions, medians, width=0.4, label=side)
        axes.set_xticks(range(len(results)), list(results), rotation=15)
        axes.set_title(title)
        axes.legend()
        figure.tight_layout()
        figure.savefig(RESULTS_FOLDER / f'{metric}.png')


@cli.command()
def main(seeds: int = 3) -> None:
    """Print every measurement; write JSON and plots to bench-results."""
    RESULTS_FOLDER.mkdir(exist_ok=True)
    results = {}
    for name, flooded_kind, options in WORKLOADS:
        results[name] = [
            _measure_workload(name, flooded_kind, options, seed)
            for seed in range(1, seeds + 1)
        ]
        _print_measurements(name, results[name])
    costs = [_measure_placement(workers, 1) for workers in (24, 1000, 11_000)]
    typer.echo('\ncost of a placement by number of workers in one ledger')
    for cost in costs:
        miss = _measure_index_miss(cost['workers'])
        typer.echo(
            f'  {cost["workers"]:6} workers: p50 {cost["ours_p50_us"]:.1f} µs,'
            f' p99 {cost["ours_p99_us"]:.1f} µs, a miss {miss:.1f} µs;'
            f' a scan p50 {cost["scan_p50_us"]:.1f} µs',
        )
    document = {'loads': results, 'costs': costs}
    (RESULTS_FOLDER / 'results.json').write_text(json.dumps(document, indent=2))
    _plot_measurements(results)


if __name__ == '__main__':
    cli()
