"""The write-ahead journal of a shard, as a ring of store keys.

Batch n is written to slot n modulo the ring size, with a compare-and-swap
against the slot's last revision. If two writers of one shard write the same
n, only one succeeds and the other finds out that it was replaced. Slots are
never deleted, so this also holds for a writer that was away for longer than
one round of the ring. A snapshot, written the same way, covers the batches
that are overwritten.
"""

from __future__ import annotations

import itertools

import attrs
import orjson

RING_SLOTS = 64
SNAPSHOT_AFTER_BATCHES = 24


@attrs.frozen
class Slot:
    """The content of one store key; revision zero means that it is absent."""

    revision: int = 0
    text: str = ''


@attrs.frozen
class Batch:
    """Entries that one holder wrote in one write; ``id`` identifies it."""

    sequence: int
    holder: str
    id: str
    entries: list[dict]

    def encode(self) -> str:
        """Return the batch as JSON text for a slot."""
        return orjson.dumps(attrs.asdict(self)).decode()


class GapError(Exception):
    """A slot was overwritten while the slots were read; read them again."""


def decode_batch(text: str) -> Batch:
    """Return the batch encoded in the text of a slot."""
    return Batch(**orjson.loads(text))


def slot_key(shard: str, sequence: int) -> str:
    """Return the store key of batch ``sequence``."""
    return f'journal/{shard}/slot/{sequence % RING_SLOTS:03d}'


def slot_prefix(shard: str) -> str:
    """Return the key prefix of a shard's slots."""
    return f'journal/{shard}/slot/'


def snapshot_key(shard: str) -> str:
    """Return the store key of a shard's snapshot."""
    return f'journal/{shard}/snapshot'


def archive_key(shard: str, name: str) -> str:
    """Return the store key of an archive of ended records."""
    return f'journal/{shard}/archive/{name}'


@attrs.define
class Cursor:
    """A position in the journal: the next batch and its slot's revision.

    ``covered_sequence`` is the sequence number of the last batch in the
    snapshot.
    """

    shard: str
    covered_sequence: int = 0
    next_sequence: int = 1
    revisions: list[int] = attrs.field(
        factory=lambda: list(itertools.repeat(0, RING_SLOTS))
    )

    def load_batches(
        self, covered_sequence: int, slots: dict[str, Slot]
    ) -> list[Batch]:
        """Position the cursor and return the batches after the snapshot.

        ``covered_sequence`` is the sequence number of the last batch in the
        snapshot. ``slots`` maps store keys to their content. Raises
        ``GapError`` if a batch after the snapshot is missing.
        """
        self.covered_sequence = covered_sequence
        batches = []
        for position in range(RING_SLOTS):
            slot = slots.get(slot_key(self.shard, position), Slot())
            self.revisions[position] = slot.revision
            if slot.revision:
                batches.append(decode_batch(slot.text))
        batches = [
            batch for batch in batches if batch.sequence > covered_sequence
        ]
        batches.sort(key=lambda batch: batch.sequence)
        expected = range(
            covered_sequence + 1, covered_sequence + 1 + len(batches)
        )
        if [batch.sequence for batch in batches] != list(expected):
            raise GapError(
                f'shard {self.shard}: a batch after {covered_sequence} is'
                ' missing; read the slots again'
            )
        self.next_sequence = covered_sequence + 1 + len(batches)
        return batches

    def slot_revision(self) -> int:
        """Return the revision that the next slot must still have.

        Only then does the write to it succeed.
        """
        return self.revisions[self.next_sequence % RING_SLOTS]

    def record_write(self, revision: int) -> None:
        """Advance past the next batch, written at ``revision``."""
        self.revisions[self.next_sequence % RING_SLOTS] = revision
        self.next_sequence += 1

    def is_snapshot_due(self) -> bool:
        """Return whether enough batches were written to take a snapshot."""
        return (
            self.next_sequence - 1 - self.covered_sequence
            >= SNAPSHOT_AFTER_BATCHES
        )

    def is_full(self) -> bool:
        """Return whether the next write would overwrite a needed batch."""
        return self.next_sequence - self.covered_sequence >= RING_SLOTS
