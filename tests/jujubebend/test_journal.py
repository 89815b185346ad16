"""The journal ring: batch order, fencing of replaced writers, gaps."""

from __future__ import annotations

import pytest

from jujubebend import journal


class _Ring:
    """Slots of a store, written by compare-and-swap."""

    def __init__(self):
        self.slots = {}
        self.revision = 0

    def put_batch(self, cursor, batch):
        key = journal.slot_key(cursor.shard, batch.sequence)
        current = self.slots.get(key, journal.Slot())
        if current.revision != cursor.slot_revision():
            return False
        self.revision += 1
        self.slots[key] = journal.Slot(self.revision, batch.encode())
        cursor.record_write(self.revision)
        return True


def _write_batch(ring, cursor, holder='h'):
    sequence = cursor.next_sequence
    batch = journal.Batch(sequence, holder, f'{holder}{sequence}', [])
    return ring.put_batch(cursor, batch)


def test_reader_gets_batches_in_order():
    ring = _Ring()
    writer = journal.Cursor('s')
    for _ in range(5):
        assert _write_batch(ring, writer)
    reader = journal.Cursor('s')
    batches = reader.load_batches(2, ring.slots)
    assert [batch.sequence for batch in batches] == [3, 4, 5]
    assert reader.next_sequence == 6


def test_replaced_writer_is_fenced():
    ring = _Ring()
    old_writer = journal.Cursor('s')
    _write_batch(ring, old_writer, 'old')
    new_writer = journal.Cursor('s')
    new_writer.load_batches(0, ring.slots)
    assert _write_batch(ring, new_writer, 'new')
    assert not _write_batch(ring, old_writer, 'old')


def test_writer_absent_for_a_full_ring_is_fenced():
    ring = _Ring()
    old_writer = journal.Cursor('s')
    _write_batch(ring, old_writer, 'old')
    new_writer = journal.Cursor('s')
    new_writer.load_batches(0, ring.slots)
    for _ in range(journal.RING_SLOTS):
        assert _write_batch(ring, new_writer, 'new')
    assert not _write_batch(ring, old_writer, 'old')


def test_overwritten_batch_raises_gap_error():
    ring = _Ring()
    writer = journal.Cursor('s')
    for _ in range(journal.RING_SLOTS + 3):
        _write_batch(ring, writer)
    with pytest.raises(journal.GapError):
        journal.Cursor('s').load_batches(1, ring.slots)


def test_is_full_before_an_uncovered_batch_is_overwritten():
    ring = _Ring()
    writer = journal.Cursor('s')
    while not writer.is_full():
        _write_batch(ring, writer)
    assert journal.Cursor('s').load_batches(0, ring.slots)
