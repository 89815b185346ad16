"""Fuzzing of input from users and peers.

Each input must either be parsed or be rejected with a typed error.
"""

from __future__ import annotations

import asyncio
import contextlib

import hypothesis
import orjson
from google.protobuf import message
from hypothesis import strategies

from jujubebend import errors, manifest
from jujubebend_entry import callerapi, settings
from jujubebend_http import httpclient, httpmessage, httpserver
from jujubebend_wire import entry_pb2

scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=20),
)
trees = strategies.recursive(
    scalars,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(
            strategies.sampled_from((
                'name',
                'service',
                'team',
                'class',
                'deadline_ms',
                'resources',
                'idempotent',
                'payload',
                'tasks',
                'slots',
                'cpus',
                'teams',
                'kinds',
                'services',
                'zone',
                'zones',
            )),
            inner,
            max_size=8,
        ),
    ),
    max_leaves=20,
)


def _encode_tree(tree):
    with contextlib.suppress(TypeError):
        return orjson.dumps(tree)
    return b'{'


@hypothesis.given(trees)
def test_bodies_are_parsed_or_rejected(tree):
    for parse in (callerapi.parse_request, callerapi.parse_job):
        with contextlib.suppress(errors.InvalidInputError):
            parse(_encode_tree(tree))


@hypothesis.given(trees)
def test_configurations_and_settings_are_parsed_or_rejected(tree):
    text = _encode_tree(tree).decode()
    for parse in (manifest.parse, settings.parse):
        with contextlib.suppress(errors.InvalidInputError):
            parse(text)


@hypothesis.given(strategies.text(max_size=200))
def test_any_text_is_parsed_or_rejected(text):
    for parse in (manifest.parse, settings.parse):
        with contextlib.suppress(errors.InvalidInputError):
            parse(text)


@hypothesis.given(strategies.binary(max_size=200))
def test_peer_messages_are_parsed_or_rejected(encoded):
    for message_type in (
        entry_pb2.Heartbeat,
        entry_pb2.RunQuery,
        entry_pb2.CallerQuery,
    ):
        with contextlib.suppress(message.DecodeError):
            message_type.FromString(encoded)


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(min_size=1, max_size=300),
        strategies.binary(max_size=60).map(
            lambda suffix: b'POST /v1/requests HTTP/1.1\r\n' + suffix
        ),
    )
)
def test_http_server_survives_any_bytes(request_bytes):
    async def echo(req):
        return httpmessage.Reply(200, req.body)

    async def scenario():
        limits = httpserver.Limits(idle_seconds=1, request_seconds=1)
        server = httpserver.Server(echo, limits)
        await server.start('127.0.0.1', 0)
        address = f'127.0.0.1:{server.port}'
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(request_bytes)
        writer.write_eof()
        await reader.read()
        writer.close()
        async with httpclient.open_client(address, 1) as client:
            reply = await client.call('POST', '/', b'own', timeout=5)
        await server.stop(0)
        return reply.body

    assert asyncio.run(scenario()) == b'own'
