"""What starts next and where."""

from __future__ import annotations

import attrs
import pytest

from jujubebend_cluster import (
    fleet,
    jobspec,
    jobtable,
    placement,
    planner,
    progress,
)
from tests import fakecluster, virtualtime

URGENT = jobspec.Queue('urgent', 'h', '/u/', 'svc', 0, 3, 1.5, 0.25)
PATIENT = jobspec.Queue('patient', 'h', '/p/', 'svc', 2, 3, 4.0, 3.0)
ADVISED = attrs.evolve(
    PATIENT, name='advised', advice=jobspec.AdvicePolicy(0.1, 0.001, 2.0)
)
LARGE = jobspec.Demand(16_000, 100)


def _cell(count, **more):
    cell = fleet.Fleet()
    for number in range(count):
        entry = fakecluster.Worker(f'w{number}').entry()
        worker = fleet.Worker(attrs.evolve(entry, **more))
        worker.is_reachable = True
        cell.workers[worker.name] = worker
    return cell


def _group(name, step, queue=PATIENT):
    spec = attrs.evolve(fakecluster.job(name, step), queue=queue.name)
    return jobtable.JobTable().add(spec).groups[0, 0]


def _play(check):
    async def main():
        check()

    virtualtime.run(main)


def _plan(cell, *pairs):
    wants = [placement.PlacementRequest(*pair) for pair in pairs]
    return planner.plan(wants, cell, 0)


def _asked(made):
    return [
        question.placement_request.group for question in made.advice_requests
    ]


def _occupied(cell, cores):
    for worker in cell.workers.values():
        worker.used_cpu = cores


def test_a_gang_is_placed_whole_or_not_at_all():
    def check():
        cell = _cell(2)
        gang = _group('g', jobspec.Step(5, LARGE, gang=True))
        assert not _plan(cell, (PATIENT, gang)).placements
        gang = _group('g', jobspec.Step(4, LARGE, gang=True))
        assert len(_plan(cell, (PATIENT, gang)).placements) == 4

    _play(check)


def test_single_tasks_take_what_room_there_is():
    def check():
        cell = _cell(2)
        group = _group('g', jobspec.Step(5, LARGE))
        assert len(_plan(cell, (PATIENT, group)).placements) == 4
        assert not _plan(cell, (PATIENT, group)).placements

    _play(check)


def test_a_plan_occupies_the_room_that_it_gives():
    def check():
        cell = _cell(1)
        _plan(cell, (PATIENT, _group('g', jobspec.Step(2, LARGE))))
        assert cell.workers['w0'].used_cpu == 32_000

    _play(check)


def test_a_blocked_gang_keeps_lower_ranks_off_its_workers():
    def check():
        cell = _cell(2)
        _occupied(cell, 16_000)
        gang = _group('g', jobspec.Step(4, LARGE, gang=True), URGENT)
        small = _group('s', jobspec.Step(2, jobspec.Demand(1_000, 1)))
        made = _plan(cell, (URGENT, gang), (PATIENT, small))
        assert not made.placements
        made = _plan(cell, (PATIENT, small), (URGENT, gang))
        assert len(made.placements) == 2

    _play(check)


def test_urgent_work_may_use_what_a_gang_waits_for():
    def check():
        cell = _cell(1)
        _occupied(cell, 16_000)
        gang = _group('g', jobspec.Step(2, LARGE, gang=True))
        small = _group('s', jobspec.Step(1, jobspec.Demand(1_000, 1)), URGENT)
        made = _plan(cell, (PATIENT, gang), (URGENT, small))
        assert [one.task.name.job for one in made.placements] == ['s']

    _play(check)


def test_a_label_a_limit_and_a_rack_bind():
    def check():
        cell = _cell(3)
        wanted = jobspec.Step(2, LARGE, required_label='gpu')
        assert not _plan(cell, (PATIENT, _group('g', wanted))).placements
        wanted = jobspec.Step(6, LARGE, per_worker_limit=1)
        made = _plan(cell, (PATIENT, _group('g', wanted)))
        assert len({one.worker.name for one in made.placements}) == 3
        assert len(made.placements) == 3
        racked = cell.workers['w2']
        racked.entry = attrs.evolve(racked.entry, rack='r9')
        wanted = jobspec.Step(1, LARGE, data_rack='r9')
        made = _plan(cell, (PATIENT, _group('g', wanted)))
        assert made.placements[0].worker is racked

    _play(check)


def test_patient_work_leaves_room_on_fast_workers():
    def check():
        cell = _cell(4)
        cell.workers['w3'].speed = 2.0
        step = jobspec.Step(200, jobspec.Demand(800, 1))
        made = _plan(cell, (PATIENT, _group('g', step)))
        names = [one.worker.name for one in made.placements]
        assert names[0] != 'w3'
        assert names.count('w3') == 40 * (1 - placement.KEPT_FREE)
        assert names.count('w0') == 40
        cell = _cell(4)
        cell.workers['w3'].speed = 2.0
        made = _plan(cell, (URGENT, _group('g', step, URGENT)))
        names = [one.worker.name for one in made.placements]
        assert names[0] == 'w3'
        assert names.count('w3') == 40

    _play(check)


def test_a_gang_of_one_rack_never_crosses_racks():
    def check():
        cell = _cell(2)
        other = cell.workers['w1']
        other.entry = attrs.evolve(other.entry, rack='r2')
        gang = jobspec.Step(3, LARGE, gang=True, same_rack=True)
        assert not _plan(cell, (PATIENT, _group('g', gang))).placements

    _play(check)


def test_nothing_starts_without_a_ticket_that_holds():
    def check():
        cell = _cell(2)
        group = _group('g', jobspec.Step(1, LARGE), ADVISED)
        made = _plan(cell, (ADVISED, group))
        assert _asked(made) == [group]
        assert not made.placements
        group.tickets.asked.update(cell.workers)
        group.tickets.good['w1'] = ('t', 5.0)
        made = _plan(cell, (ADVISED, group))
        assert [one.ticket for one in made.placements] == ['t']
        group = _group('h', jobspec.Step(1, LARGE), ADVISED)
        group.tickets.asked.update(cell.workers)
        group.tickets.good['w1'] = ('t', -1.0)
        made = _plan(cell, (ADVISED, group))
        assert _asked(made) == [group]

    _play(check)


def test_an_advised_gang_asks_again_only_once_it_has_room():
    def check():
        cell = _cell(2)
        step = jobspec.Step(4, LARGE, gang=True)
        group = _group('g', step, ADVISED)
        group.tickets.asked.update(cell.workers)
        group.tickets.good.update(dict.fromkeys(cell.workers, ('t', -1.0)))
        _occupied(cell, 16_000)
        assert not _plan(cell, (ADVISED, group)).advice_requests
        _occupied(cell, 0)
        assert _asked(_plan(cell, (ADVISED, group))) == [group]

    _play(check)


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ((URGENT, 100.0), (PATIENT, 90.0)),
        ((PATIENT, 95.0), (PATIENT, 100.0)),
        ((PATIENT, 100.0), (PATIENT, 90.0)),
        ((PATIENT, 100.0), (URGENT, -1_000.0)),
    ],
)
def test_rank_then_what_can_be_in_time_then_the_objective(first, second):
    def check():
        keys = []
        for queue, accepted in (first, second):
            group = _group('g', jobspec.Step(1, LARGE, 1.0), queue)
            group.job.spec = attrs.evolve(group.job.spec, accepted_at=accepted)
            keys.append(planner.urgency(queue, group, 100.0))
        assert keys[0] < keys[1]

    _play(check)


def _running(cell, name, step, queue=PATIENT, percent=50):
    """Fill the workers with running tasks of a step."""
    group = _group(name, step, queue)
    _plan(cell, (queue, group))
    for task in group.tasks:
        worker = next(
            one for one in cell.workers.values() if task.name in one.tasks
        )
        task.state = progress.TaskState.PLACED
        task.worker = worker.name
        task.answered_at = 0
        task.rank = queue.rank
        task.percent = percent
        group.placed += 1
    return group


def _waiting(name, step, queue=URGENT):
    group = _group(name, step, queue)
    group.ready_at = -1.0
    return group


SAVES = jobspec.Step(4, LARGE, checkpoints=True)


def test_saved_work_of_lower_rank_gives_way():
    def check():
        cell = _cell(2)
        _running(cell, 'low', SAVES)
        gang = _waiting('g', jobspec.Step(3, LARGE, gang=True))
        made = _plan(cell, (URGENT, gang))
        assert len(made.preempted) == 3
        for task in made.preempted:
            task.is_stopping = True
        # What stops already is waited for: nothing more gives way.
        assert not _plan(cell, (URGENT, gang)).preempted
        for task in made.preempted:
            task.is_stopping = False
            task.was_preempted = True
        assert not _plan(cell, (URGENT, gang)).preempted

    _play(check)


@pytest.mark.parametrize(
    'step',
    [
        attrs.evolve(SAVES, checkpoints=False),
        attrs.evolve(SAVES, gang=True),
        attrs.evolve(SAVES, lasting=True),
    ],
)
def test_work_that_would_be_lost_does_not_give_way(step):
    def check():
        cell = _cell(2)
        _running(cell, 'low', step)
        gang = _waiting('g', jobspec.Step(2, LARGE, gang=True))
        assert not _plan(cell, (URGENT, gang)).preempted

    _play(check)


def test_work_gives_way_only_to_higher_rank_that_has_waited_and_fits():
    def check():
        cell = _cell(2)
        _running(cell, 'low', SAVES)
        peer = _waiting('p', jobspec.Step(1, LARGE), PATIENT)
        assert not _plan(cell, (PATIENT, peer)).preempted
        large = _waiting('l', jobspec.Step(5, LARGE, gang=True))
        assert not _plan(cell, (URGENT, large)).preempted
        fresh = _waiting('f', jobspec.Step(1, LARGE))
        fresh.ready_at = 0
        assert not _plan(cell, (URGENT, fresh)).preempted
        late = placement.PlacementRequest(
            URGENT, _waiting('w', jobspec.Step(1, LARGE)), is_worthless=True
        )
        assert not planner.plan((late,), cell, 0).preempted

    _play(check)


def test_the_least_advanced_work_gives_way_where_it_frees_most():
    def check():
        cell = _cell(2)
        low = _running(cell, 'low', SAVES)
        for number, task in enumerate(low.tasks):
            task.percent = 10 * number
        small = _waiting('s', jobspec.Step(1, LARGE))
        made = _plan(cell, (URGENT, small))
        worker = made.preempted[0].worker
        least = min(task.percent for task in low.tasks if task.worker == worker)
        assert [task.percent for task in made.preempted] == [least]

    _play(check)


def test_a_gang_that_knows_few_good_workers_asks_about_more():
    def check():
        cell = _cell(8)
        _occupied(cell, 32_000)
        gang = _waiting('g', jobspec.Step(2, LARGE, gang=True), ADVISED)
        gang.tickets.asked.update(('w0', 'w1'))
        gang.tickets.good['w0'] = ('t', 5.0)
        assert _asked(_plan(cell, (ADVISED, gang))) == [gang]
        for name in ('w1', 'w2', 'w3'):
            gang.tickets.good[name] = ('t', 5.0)
        assert not _plan(cell, (ADVISED, gang)).advice_requests

    _play(check)


def test_under_a_flood_few_blocked_groups_are_looked_at_and_all_may_ask():
    def check():
        cell = _cell(2)
        _occupied(cell, 32_000)
        blocked = []
        for number in range(planner.MOST_BLOCKED + 5):
            group = _group(f'b{number}', jobspec.Step(1, LARGE), ADVISED)
            group.tickets.asked.update(cell.workers)
            group.tickets.good.update(dict.fromkeys(cell.workers, ('t', 5.0)))
            blocked.append((ADVISED, group))
        _occupied(cell, 0)
        cell.workers['w0'].used_cpu = 32_000
        cell.workers['w1'].used_cpu = 31_000
        small = _group('s', jobspec.Step(1, jobspec.Demand(1_000, 1)), ADVISED)
        small.tickets.asked.update(cell.workers)
        small.tickets.good['w1'] = ('t', 5.0)
        fresh = [
            (ADVISED, _group(f'n{number}', jobspec.Step(1, LARGE), ADVISED))
            for number in range(planner.MOST_BLOCKED + 5)
        ]
        made = _plan(cell, *blocked, (ADVISED, small), *fresh)
        assert not made.placements
        assert len(_asked(made)) == len(fresh)
        assert _plan(cell, (ADVISED, small)).placements

    _play(check)
