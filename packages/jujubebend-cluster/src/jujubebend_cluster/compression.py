"""Compression of stored records and of messages between hosts.

Records and messages repeat the names of jobs and workers, so they shrink to a
third or less. A leader writes and exchanges several hundred of them a second,
which is more than the narrowest links carry uncompressed.
"""

from __future__ import annotations

import zlib

from jujubebend import errors, resources

MIN_SIZE_BYTES = 150  # shorter ones shrink too little to be worth the time
LEVEL = 1  # higher levels take twice the time for a few percent
MAX_SIZE_BYTES = resources.GIB // 10  # of what ``decompress`` returns
_ZLIB_MARK = b'\x78'  # first byte of a zlib stream; JSON starts with another


def compress(body: bytes) -> bytes:
    """Return ``body`` compressed, or unchanged if it is short.

        compress(b'{}') == b'{}'

    ``body`` must be a JSON document, which ``decompress`` tells from a
    compressed one by its first byte.
    """
    if len(body) < MIN_SIZE_BYTES:
        return body
    return zlib.compress(body, LEVEL)


def decompress(body: bytes) -> bytes:
    """Return what ``compress`` was given.

    Raises ``InvalidInputError`` if ``body`` is damaged or larger than
    ``MAX_SIZE_BYTES`` when decompressed.
    """
    if not body.startswith(_ZLIB_MARK):
        return body
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(body, MAX_SIZE_BYTES)
    except zlib.error as exc:
        raise _invalid_body(body, f'damaged: {exc}') from exc
    if not decompressor.eof:
        raise _invalid_body(body, f'truncated or over {MAX_SIZE_BYTES} bytes')
    return document


def _invalid_body(body: bytes, found: str) -> errors.InvalidInputError:
    fault = errors.Fault(
        f'{len(body)} compressed bytes', found, 'send or store it again'
    )
    return errors.InvalidInputError('compressed document', [fault])
