"""A short seeded soak of real daemons, and each seed that ever failed."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend_standin.fleet import checks, load, site, soak, worker

# Seed and number of faults. Seed 10 once showed a run that was done behind a
# silence and began again after its lease had lapsed, which is allowed: the
# stand-in had taken the end of the silence for the end of the run.
SEEDS = ((1, 4), (10, 8))


@pytest.mark.parametrize(('seed', 'faults'), SEEDS)
def test_no_promise_is_broken_under_drawn_faults(seed, faults, tmp_path):
    assert not soak.play(tmp_path, seed, faults)


def _run(task, run, begun, ended, how='done', *, noted=True):
    made = worker.Run(task, run, 1, begun, ended)
    made.end(ended, how)
    made.noted = noted
    return made


def _broken(tmp_path, runs, **told):
    place = site.Site(tmp_path)
    one = worker.FleetWorker('w', 4)
    one.runs.extend(runs)
    place.workers.append(one)
    callers = load.Load(place, place.store.chance)
    callers.jobs['j'] = load.Told('j', 1, 1, 1.0, **told)
    return checks.broken(place, callers)


def test_the_checks_find_what_is_broken(tmp_path):
    async def main():
        overlap = [_run('j', 1, 0, 5), _run('j', 2, 4, 6)]
        assert 'overlap' in _broken(tmp_path, overlap, accepted=True)[0]
        again = [_run('j', 1, 0, 1), _run('j', 2, 4, 6)]
        assert 'after it was done' in _broken(tmp_path, again, accepted=True)[0]
        refused = [_run('j', 1, 0, 1)]
        assert 'refused, and it ran' in _broken(tmp_path, refused)[0]
        assert (
            'forgotten'
            in (
                _broken(
                    tmp_path, [], accepted=True, state='unknown to the system'
                )[0]
            )
        )
        early = _broken(tmp_path, [], accepted=True, state='completed')
        assert '0 of 1 done' in early[0]

    asyncio.run(main())


def test_a_sound_history_breaks_nothing(tmp_path):
    async def main():
        runs = [
            _run('j', 1, 0, 1, 'lapsed'),
            _run('j', 2, 2, 3),
        ]
        assert not _broken(tmp_path, runs, accepted=True, state='completed')

    asyncio.run(main())


def test_an_end_from_before_a_lapse_is_not_noted():
    async def main():
        one = worker.FleetWorker('w', 4)
        one.until = one.clock() + 1
        now = one.began
        done = worker.Run('j', 1, 1, now, now + 0.5)
        late = worker.Run('k', 1, 1, now, now + 5)
        one.present = {'j': done, 'k': late}
        one.began -= 3
        done.due -= 3
        late.due -= 3
        one._settle()
        assert (done.how, late.how) == ('done', 'lapsed')
        assert done.ended == done.due
        await one._hold({'fencing_token': 1, 'last_seen': 2})
        assert not done.noted

    asyncio.run(main())
