"""Compression of records and messages, and damaged ones."""

from __future__ import annotations

import asyncio

import pytest

from jujubebend import errors
from jujubebend_cluster import compression, peers
from jujubebend_http import httpmessage

DOCUMENT = b'{"tasks": [' + b'"i-2d0c85c524", ' * 100 + b'0]}'


def test_a_document_survives_compression():
    body = compression.compress(DOCUMENT)
    assert len(body) < len(DOCUMENT) / 3
    assert compression.decompress(body) == DOCUMENT


def test_a_short_document_is_left_as_it_is():
    assert compression.compress(b'{"state":"done"}') == b'{"state":"done"}'


def test_a_document_of_an_earlier_version_is_read_as_it_is():
    assert compression.decompress(DOCUMENT) == DOCUMENT


def test_a_truncated_document_is_an_input_error():
    body = compression.compress(DOCUMENT)
    with pytest.raises(errors.InvalidInputError):
        compression.decompress(body[:-5])


def test_a_damaged_document_is_an_input_error():
    body = compression.compress(DOCUMENT)
    with pytest.raises(errors.InvalidInputError):
        compression.decompress(body[:2] + bytes(5) + body[7:])


def test_the_decompressed_size_is_bounded(monkeypatch):
    monkeypatch.setattr(compression, 'MAX_SIZE_BYTES', 100)
    with pytest.raises(errors.InvalidInputError):
        compression.decompress(compression.compress(DOCUMENT))


async def _fail_test(document):
    raise AssertionError('a damaged call was handled')


def test_a_damaged_call_from_a_peer_is_answered_as_invalid():
    server = peers.PeerServer({'relay': _fail_test})
    body = compression.compress(DOCUMENT)[:-5]
    req = httpmessage.Request('POST', '/peer/relay', {}, body)
    reply = asyncio.run(server.handle(req))
    assert reply.status == peers.INVALID
