"""The journal's ring: order, fencing, gaps."""

from __future__ import annotations

import pytest

from jujubebend import journal


class _Ring:
    """A store's slots with compare-and-swap."""

    def __init__(self):
        self.slots = {}
        self.revision = 0

    def put(self, cursor, batch):
        key = journal.slot_key(cursor.shard, batch.sequence)
        current = self.slots.get(key, journal.Slot())
        if current.revision != cursor.expected():
            return False
        self.revision += 1
        self.slots[key] = journal.Slot(self.revision, batch.encode())
        cursor.wrote(self.revision)
        return True


def _write(ring, cursor, holder='h'):
    sequence = cursor.next_sequence
    batch = journal.Batch(sequence, holder, f'{holder}{sequence}', [])
    return ring.put(cursor, batch)


def test_a_reader_gets_the_batches_in_order():
    ring = _Ring()
    writer = journal.Cursor('s')
    for _ in range(5):
        assert _write(ring, writer)
    reader = journal.Cursor('s')
    batches = reader.load(2, ring.slots)
    assert [batch.sequence for batch in batches] == [3, 4, 5]
    assert reader.next_sequence == 6


def test_of_two_writers_one_is_fenced():
    ring = _Ring()
    old = journal.Cursor('s')
    _write(ring, old, 'old')
    new = journal.Cursor('s')
    new.load(0, ring.slots)
    assert _write(ring, new, 'new')
    assert not _write(ring, old, 'old')


def test_a_writer_away_for_a_whole_ring_is_fenced():
    ring = _Ring()
    old = journal.Cursor('s')
    _write(ring, old, 'old')
    new = journal.Cursor('s')
    new.load(0, ring.slots)
    for _ in range(journal.RING):
        assert _write(ring, new, 'new')
    assert not _write(ring, old, 'old')


def test_a_gap_is_told():
    ring = _Ring()
    writer = journal.Cursor('s')
    for _ in range(journal.RING + 3):
        _write(ring, writer)
    with pytest.raises(journal.GapError):
        journal.Cursor('s').load(1, ring.slots)


def test_a_full_ring_is_told_before_a_slot_is_lost():
    ring = _Ring()
    writer = journal.Cursor('s')
    while not writer.is_full():
        _write(ring, writer)
    assert journal.Cursor('s').load(0, ring.slots)
