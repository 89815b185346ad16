"""Speeds of workers learned from runs whose declared durations are wrong."""

from __future__ import annotations

import random
import statistics

import pytest

from jujubebend_cluster import speeds

# Two thirds of the workers need 0.7 of the declared time, the others 1.7.
SLOWNESS = (0.7, 0.7, 1.7)
MAX_DECLARED_ERROR = 0.9
MAX_TASK_ERROR = 0.3
RUNS_PER_WORKER = 10
# Urgent work is placed by which side of the mean a worker is on.
MAX_WRONG_SHARE = 0.05


class _Load:
    """Groups of tasks that run on random workers, 600 runs a second."""

    def __init__(self, worker_count, mean_tasks, seed):
        self.rng = random.Random(seed)  # noqa: S311
        self.slowness = {
            number: SLOWNESS[number % len(SLOWNESS)]
            for number in range(worker_count)
        }
        self.estimates = {
            number: speeds.SpeedEstimate() for number in self.slowness
        }
        self.mean_tasks = mean_tasks
        self.now = float(0)

    def play(self, run_count):
        played = 0
        while played < run_count:
            played += self._play_group()

    def _play_group(self):
        declared = self.rng.lognormvariate(0, 0.5)
        error = self.rng.uniform(-MAX_DECLARED_ERROR, MAX_DECLARED_ERROR)
        work = speeds.WorkEstimate.declared(declared)
        count = max(1, round(self.rng.expovariate(1 / self.mean_tasks)))
        for _ in range(count):
            self.now += 1 / 600
            number = self.rng.choice(list(self.slowness))
            task_error = self.rng.uniform(-MAX_TASK_ERROR, MAX_TASK_ERROR)
            seconds = (
                declared
                * (1 + error)
                * (1 + task_error)
                * self.slowness[number]
            )
            estimate = self.estimates[number]
            estimate.add_run(work, seconds, self.now)
            work.add_run(seconds, estimate)
        return count

    def wrong_share(self):
        """Return the share of workers on the wrong side of the mean."""
        known_speeds = {
            number: estimate.speed
            for number, estimate in self.estimates.items()
        }
        mean = statistics.mean(known_speeds.values())
        wrong = sum(
            (known_speeds[number] > mean) != (slowness < 1)
            for number, slowness in self.slowness.items()
        )
        return wrong / len(known_speeds)


@pytest.mark.parametrize('worker_count', [24, 270, 1_000])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_slow_workers_are_told_from_fast_ones_in_a_few_runs(worker_count, seed):
    load = _Load(worker_count, mean_tasks=10, seed=seed)
    load.play(RUNS_PER_WORKER * worker_count)
    assert load.wrong_share() <= MAX_WRONG_SHARE


def test_a_worker_that_turns_slow_is_noticed_by_its_third_run():
    load = _Load(270, mean_tasks=10, seed=4)
    load.play(20 * 270)
    usual = load.estimates[0].speed
    for count in range(1, 4):
        work = speeds.WorkEstimate.declared(1.0)
        for number in range(3, 12, 3):
            seconds = load.slowness[number]
            work.add_run(seconds, load.estimates[number])
        load.estimates[0].add_run(work, 5 * load.slowness[0], load.now + count)
    assert load.estimates[0].speed < 0.5 * usual


def test_a_single_odd_run_changes_little():
    """Its group ran nothing else, so the declared duration may be wrong."""
    estimate = speeds.SpeedEstimate(variance=0.03, updated_at=1.0)
    estimate.add_run(speeds.WorkEstimate.declared(1.0), 3.0, 1.5)
    assert estimate.speed == pytest.approx(0.95, abs=0.1)


def test_speeds_stay_within_their_bounds():
    estimate = speeds.SpeedEstimate()
    for seconds in (1e-9, 1e9):
        for count in range(20):
            work = speeds.WorkEstimate.declared(1.0)
            estimate.add_run(work, seconds, count)
        assert speeds.MIN_SPEED <= estimate.speed <= speeds.MAX_SPEED
