"""Compression: documents, damaged ones, and a leader on a narrow link."""

from __future__ import annotations

import asyncio
import base64
import random

import attrs
import pytest

from jujubebend import errors
from jujubebend_cluster import (
    clock,
    compression,
    jobspec,
    peers,
    relay,
    relayserver,
)
from jujubebend_http import httpmessage
from tests import fakecluster
from tests.cluster import harness

DOCUMENT = b'{"tasks": [' + b'"i-2d0c85c524", ' * 100 + b'0]}'
# The narrowest links of the deployments carry 2 Mbit/s.
LINK_BYTES_PER_SECOND = 250_000
# A stock check has 306 ms beyond its work: submission, advice and the report
# of its end take a third of that.
MAX_START_DELAY_S = 0.2
WORKER_COUNT = 100
RELAYS = tuple(f'relay-{number}:1' for number in range(5))
KEY_OVERHEAD_BYTES = 60  # of one write in a transaction: key and JSON syntax
BATCH_QUEUE = attrs.evolve(harness.QUEUE, name='batch', rank=2)
BATCH_STEP = jobspec.Step(25, jobspec.Demand(2_000, 500), 2.0)
URGENT_STEP = jobspec.Step(3, jobspec.Demand(1_000, 500), 1.0)
LOAD = ((BATCH_STEP, BATCH_QUEUE), (URGENT_STEP, harness.QUEUE))
PAYLOAD_BYTES = 1_200
PAYLOAD_ALPHABET = 'abcdefghijklmnopqrstuvwxyz 0123456789'
FIRST_BORN_MS = 1_770_000_000_000


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
    server = peers.PeerServer({peers.RELAY_CALL: _fail_test})
    body = compression.compress(DOCUMENT)[:-5]
    req = httpmessage.Request('POST', f'/peer/{peers.RELAY_CALL}', {}, body)
    reply = asyncio.run(server.handle(req))
    assert reply.status == peers.INVALID


@attrs.define(eq=False)
class Link:
    """The leader's link, shared by all that it sends and receives."""

    rate: float
    _free_at: float = 0

    async def transfer(self, size: int) -> None:
        """Return once ``size`` bytes have passed, after earlier transfers."""
        now = clock.now()
        self._free_at = max(now, self._free_at) + size / self.rate
        await asyncio.sleep(self._free_at - now)


@attrs.define(eq=False)
class _LinkedStore(fakecluster.Store):
    """A store whose commits pass through the leader's link."""

    link: Link | None = None

    async def commit(self, transaction, timeout=fakecluster.CALL_TIMEOUT_S):
        if self.link is not None:
            size = sum(
                len(base64.b64encode(body)) + KEY_OVERHEAD_BYTES
                for body in transaction.puts.values()
            )
            await self.link.transfer(size)
        return await super().commit(transaction, timeout)


@attrs.define(eq=False)
class _LinkedPeer:
    """A peer that is called over the leader's link."""

    link: Link
    server: peers.PeerServer

    async def call(self, method, target, body, *, timeout, headers=None):
        await self.link.transfer(len(body))
        req = httpmessage.Request(method, target, headers or {}, body)
        reply = await self.server.handle(req)
        await self.link.transfer(len(reply.body))
        return reply


def _open_peer_client(cluster, link):
    def connect_worker(name, address):
        return cluster.workers[name]

    clients = {}
    for address in RELAYS:
        relay_server = relayserver.RelayServer(connect_worker)
        handlers = {peers.RELAY_CALL: relay_server.exchange}
        clients[address] = _LinkedPeer(link, peers.PeerServer(handlers))
    return peers.PeerClient('h1', 'h1:1', clients=clients)


async def _start_linked_term(cluster, rate):
    link = Link(rate)
    cluster.store.link = link
    leader_term = await cluster.start_term()
    router = relay.Router(
        lambda name, _: cluster.workers[name],
        _open_peer_client(cluster, link).relay_calls,
        lambda: RELAYS,
        leader_term.leader.spawn,
        cores=0.5,
    )
    leader_term.leader.connect_worker = router.connect_worker
    return leader_term


async def _submit_load(cluster, seconds):
    """Submit 20 batch and 20 urgent jobs a second; 560 tasks a second.

    Return the times at which the urgent jobs were submitted.
    """
    submitted_at = {}
    for _ in range(20 * seconds):
        for step, queue in LOAD:
            name = f'{random.getrandbits(64):016x}'
            payload = random.choices(PAYLOAD_ALPHABET, k=PAYLOAD_BYTES)
            job = fakecluster.job(name, step, queue=queue.name)
            cluster.submit_job(attrs.evolve(job, payload=''.join(payload)))
            if step is URGENT_STEP:
                submitted_at[name] = clock.now()
        await asyncio.sleep(0.05)
    return submitted_at


def _create_workers():
    names = random.Random(1)
    return [
        fakecluster.Worker(
            f'i-{names.getrandbits(40):010x}',
            seconds=0.5 + number / 25,
            born=FIRST_BORN_MS + number,
        )
        for number in range(WORKER_COUNT)
    ]


def _first_starts(workers):
    """Return the time of each job's first start."""
    started_at = {}
    for worker in workers:
        for task, _, at in worker.start_times:
            started_at[task.job] = min(at, started_at.get(task.job, at))
    return started_at


def _measure_start_delays(rate):
    """Return the urgent jobs' delays until their first start, sorted."""

    async def scenario(cluster):
        cluster.store = _LinkedStore(data=cluster.store.data)
        cluster.config = attrs.evolve(
            cluster.config, queues=(harness.QUEUE, BATCH_QUEUE)
        )
        await _start_linked_term(cluster, rate)
        await asyncio.sleep(1)
        submitted_at = await _submit_load(cluster, seconds=5)
        await asyncio.sleep(1)
        started_at = _first_starts(cluster.workers.values())
        return [
            started_at.get(name, float('inf')) - at
            for name, at in submitted_at.items()
        ]

    return sorted(harness.run_scenario(scenario, *_create_workers()))


def test_urgent_starts_do_not_wait_for_a_narrow_link_of_the_leader():
    delays = _measure_start_delays(LINK_BYTES_PER_SECOND)
    assert delays[int(0.9 * len(delays))] <= MAX_START_DELAY_S


def test_the_load_of_the_narrow_link_is_carried_by_a_wide_one():
    delays = _measure_start_delays(20 * LINK_BYTES_PER_SECOND)
    assert delays[int(0.9 * len(delays))] <= MAX_START_DELAY_S
