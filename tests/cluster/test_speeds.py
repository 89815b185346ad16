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
        count = max(1, round(self.rng.expovariate(1 / self.mean_tasks)))
        runs = []
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
            runs.append(speeds.Run(self.estimates[number], seconds))
        speeds.learn_from_group(declared, runs, self.now)
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
        runs = [
            speeds.Run(load.estimates[number], load.slowness[number])
            for number in range(3, 12, 3)
        ]
        runs.append(speeds.Run(load.estimates[0], 5 * load.slowness[0]))
        speeds.learn_from_group(1.0, runs, load.now + count)
    assert load.estimates[0].speed < 0.5 * usual


def test_a_single_odd_run_changes_little():
    """Its group ran nothing else, so the declared duration may be wrong."""
    estimate = speeds.SpeedEstimate(variance=0.03, updated_at=1.0)
    speeds.learn_from_group(1.0, [speeds.Run(estimate, 3.0)], 1.5)
    assert estimate.speed == pytest.approx(0.95, abs=0.1)


def test_speeds_stay_within_their_bounds():
    estimate = speeds.SpeedEstimate()
    for seconds in (1e-9, 1e9):
        for count in range(20):
            runs = [speeds.Run(estimate, seconds)]
            speeds.learn_from_group(1.0, runs, count)
        assert estimate.speed >= speeds.MIN_SPEED - 1e-9
        assert estimate.speed <= speeds.MAX_SPEED + 1e-9
