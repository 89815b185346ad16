"""The records of a shard: what an entry changes, and what it does not."""

from __future__ import annotations

from jujubebend import intent, records

INTENT = intent.Intent('a1', 'w', 'b', 1)
ANSWER = {'tag': 'answered', 'body': '1', 'worker': 'w'}


def _accepted(sort=records.JOB):
    made = records.Records()
    made.apply(records.Accepted('r', sort, ['t'], '', '', 1))
    return made


def _end(attempt='a1', *, final=True):
    return records.Ended('r', 't', attempt, ANSWER, final, 5)


def test_a_second_intent_is_ignored_while_one_is_open():
    made = _accepted()
    made.apply(records.Intended('r', 't', INTENT))
    other = intent.Intent('a2', 'w2', 'b', 1)
    made.apply(records.Intended('r', 't', other))
    assert made.by_id['r'].tasks['t'].intent == INTENT
    assert set(made.by_attempt) == {'a1'}


def test_a_task_ends_once():
    made = _accepted()
    made.apply(records.Intended('r', 't', INTENT))
    made.apply(_end('a2'))
    assert not made.by_id['r'].is_ended()
    made.apply(_end())
    made.apply(records.Intended('r', 't', INTENT))
    assert made.by_id['r'].is_ended()
    assert made.by_id['r'].tasks['t'].attempts == 1
    assert not made.by_attempt


def test_a_cancelled_record_ends_with_its_last_attempt():
    made = _accepted()
    made.apply(records.Intended('r', 't', INTENT))
    made.apply(records.Cancelled('r', 3))
    assert not made.by_id['r'].is_ended()
    made.apply(_end(final=False))
    assert made.by_id['r'].is_ended()


def test_entries_and_records_survive_encoding():
    entry = records.Intended('r', 't', INTENT)
    assert records.decode(records.encode(entry)) == entry
    made = _accepted()
    made.apply(entry)
    record = made.by_id['r']
    assert records.decode_record(records.encode_record(record)) == record


def test_what_ended_is_forgotten_after_its_time():
    made = _accepted(records.REQUEST)
    made.apply(records.Intended('r', 't', INTENT))
    assert not made.forget(100)
    made.apply(_end(final=False))
    assert [record.id for record in made.forget(100)] == ['r']


def test_a_withdrawn_service_may_be_wanted_again():
    made = _accepted(records.SERVICE)
    made.apply(records.Cancelled('r', 3))
    assert made.by_id['r'].is_ended()
    made.apply(records.Scaled('r', ['t', 'u'], 'spec'))
    assert not made.by_id['r'].is_ended()
    assert made.by_id['r'].matches('spec')
    assert set(made.by_id['r'].tasks) == {'t', 'u'}
