"""The state machine of records: the effect of each journal entry."""

from __future__ import annotations

from jujubebend import intent, records

INTENT = intent.Intent('a1', 'w', 'b', 1)
OUTCOME = {'tag': 'answered', 'body': '1', 'worker': 'w'}


def _make_records(sort=records.JOB):
    shard_records = records.Records()
    shard_records.apply(records.Accepted('r', sort, ['t'], '', '', 1))
    return shard_records


def _make_end(attempt='a1', *, final=True):
    return records.Ended('r', 't', attempt, OUTCOME, final, 5)


def test_second_intent_is_ignored_while_one_is_open():
    shard_records = _make_records()
    shard_records.apply(records.Intended('r', 't', INTENT))
    other = intent.Intent('a2', 'w2', 'b', 1)
    shard_records.apply(records.Intended('r', 't', other))
    assert shard_records.by_id['r'].tasks['t'].intent == INTENT
    assert set(shard_records.by_attempt) == {'a1'}


def test_task_ends_once():
    shard_records = _make_records()
    shard_records.apply(records.Intended('r', 't', INTENT))
    shard_records.apply(_make_end('a2'))
    assert not shard_records.by_id['r'].is_ended()
    shard_records.apply(_make_end())
    shard_records.apply(records.Intended('r', 't', INTENT))
    assert shard_records.by_id['r'].is_ended()
    assert shard_records.by_id['r'].tasks['t'].attempts == 1
    assert not shard_records.by_attempt


def test_cancelled_record_ends_with_its_last_attempt():
    shard_records = _make_records()
    shard_records.apply(records.Intended('r', 't', INTENT))
    shard_records.apply(records.Cancelled('r', 3))
    assert not shard_records.by_id['r'].is_ended()
    shard_records.apply(_make_end(final=False))
    assert shard_records.by_id['r'].is_ended()


def test_entries_and_records_survive_encoding():
    entry = records.Intended('r', 't', INTENT)
    assert records.decode(records.encode(entry)) == entry
    shard_records = _make_records()
    shard_records.apply(entry)
    record = shard_records.by_id['r']
    assert records.decode_record(records.encode_record(record)) == record


def test_ended_request_is_removed_after_cutoff():
    shard_records = _make_records(records.REQUEST)
    shard_records.apply(records.Intended('r', 't', INTENT))
    assert not shard_records.remove_ended(100)
    shard_records.apply(_make_end(final=False))
    assert [record.id for record in shard_records.remove_ended(100)] == ['r']


def test_scaling_restores_a_withdrawn_service():
    shard_records = _make_records(records.SERVICE)
    shard_records.apply(records.Cancelled('r', 3))
    assert shard_records.by_id['r'].is_ended()
    shard_records.apply(records.Scaled('r', ['t', 'u'], 'spec'))
    assert not shard_records.by_id['r'].is_ended()
    assert shard_records.by_id['r'].matches('spec')
    assert set(shard_records.by_id['r'].tasks) == {'t', 'u'}
