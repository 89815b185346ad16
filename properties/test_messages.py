"""Malformed messages of every peer of the daemon.

Valid messages are damaged at random: fields removed or replaced by values of
any type, also deeply nested ones and numbers that no machine type holds, bodies
cut short or corrupted. Each decoder must return a value or
raise one of the project's errors; any other exception would end the task that
reads the messages, and with it the leader's term or the whole daemon.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
from unittest import mock

import attrs
import hypothesis
import orjson
import pytest
from hypothesis import strategies

from jujubebend import decoding, errors
from jujubebend_adapter import (
    advice,
    callerapi,
    machines,
    operatorconfig,
    store,
    workers,
)
from jujubebend_cluster import (
    committer,
    compression,
    interfaces,
    jobrecords,
    jobspec,
    peers,
    progress,
    relay,
    relaycodec,
    relayserver,
)
from jujubebend_http import httpclient, httpmessage
from tests import fakecluster

# Stand for JSON text that ``orjson.dumps`` does not write. Text nested as deeply
# as the JSON decoder allows exceeds the recursion limit of the interpreter.
RAW_TEXTS = {
    '@deep': b'[' * 1000 + b']' * 1000,
    '@infinite': b'1e400',
    '@long': b'9' * 5000,
}
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(),
    strategies.text(max_size=12),
    strategies.sampled_from((1e300, 2**63, -1, '0', '1.5', 'a:b', [], {})),
    strategies.sampled_from(tuple(RAW_TEXTS)),
)
TREES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=4), inner, max_size=2),
    ),
    max_leaves=6,
)
TASK = jobspec.TaskName('5c0e7a21d94b36f8', 0, 1, 17)
TASK_TEXT = '5c0e7a21d94b36f8.0.1.17'
TASK_ROW = ['5c0e7a21d94b36f8', 0, 1, 17]
STATUS = {
    'clock_ms': 482113,
    'born': 1788,
    'running_count': [[TASK_TEXT, 2, '00000bb87a21d94b', 41, 250]],
    'ended': [[58, TASK_TEXT, 2, 'done', '']],
}
ITEM = {'key': 'at/1', 'value': 'e30=', 'revision': 7, 'created': 7, 'lease': 0}
JOB = {
    'spec': 'text',
    'steps': [
        {'count': 4, 'cpu': 500, 'mem_mb': 256, 'estimate_ms': 900},
        {'count': 2, 'after': [0], 'checkpointing': True, 'max_per_server': 1},
    ],
    'repetitions': 2,
    'first_ms': 1_000,
    'interval_ms': 500,
}
CONFIG = {
    'config_version': 3,
    'routes': [
        {
            'name': 'r',
            'hostname': 'h',
            'prefix': '/r/',
            'service': 's',
            'priority': 1,
            'attempts': 2,
            'slack_factor': 1.5,
            'target_latency_ms': 250,
            'advice': {'decide_ms': 17, 'each_ms': 0.2, 'valid_ms': 2500},
        }
    ],
    'services': [{'name': 's'}],
}
ENTRY = {
    'service': 'svc',
    'address': '10.128.0.9:8080',
    'zone': 'z1',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'born': 1788,
}
ANSWER = ['look', 482.1, 1788, [[*TASK_ROW, 2, '', 41, 0]], []]
ENDED_ANSWER = ['look', 482.1, 1788, None, [[*TASK_ROW, 58, 2, 'done', '']]]


@strategies.composite
def damaged(draw, document):
    """Return the document as JSON with one to three nodes damaged."""
    tree = copy.deepcopy(document)
    for _ in range(draw(strategies.integers(1, 3))):
        tree = _damage_node(draw, tree)
    body = _dumps(tree)
    match draw(strategies.integers(0, 6)):
        case 0:
            return body[: draw(strategies.integers(0, len(body)))]
        case 1:
            return draw(strategies.binary(max_size=20))
        case 2:
            return compression.compress(body)[:-3]
    return body


def _damage_node(draw, tree):
    if isinstance(tree, dict) and tree and draw(strategies.integers(0, 4)):
        key = draw(strategies.sampled_from(sorted(tree)))
        if draw(strategies.booleans()):
            tree[key] = _damage_node(draw, tree[key])
        else:
            tree.pop(key)
        return tree
    if isinstance(tree, list) and tree and draw(strategies.integers(0, 4)):
        index = draw(strategies.integers(0, len(tree) - 1))
        tree[index] = _damage_node(draw, tree[index])
        return tree
    return draw(TREES)


def _dumps(tree):
    try:
        body = orjson.dumps(tree)
    except TypeError:  # an integer of more than 64 bits
        body = repr(tree).replace("'", '"').encode()
    for name, raw_text in RAW_TEXTS.items():
        body = body.replace(f'"{name}"'.encode(), raw_text)
    return body


def _replying(body, status=200):
    """Patch HTTP clients so that every call is answered with ``body``."""
    reply = httpmessage.Reply(status, body)
    return mock.patch.object(
        httpclient.Client, 'call', mock.AsyncMock(return_value=reply)
    )


def _run_call(call, body, status=200):
    """Make a call whose reply is ``body``; only our errors may be raised."""
    with _replying(body, status), contextlib.suppress(errors.JujubebendError):
        return asyncio.run(call())
    return None


async def _cancel_without_error(running):
    running.cancel()
    outcomes = await asyncio.gather(running, return_exceptions=True)
    assert isinstance(outcomes[0], (asyncio.CancelledError, type(None)))


@hypothesis.given(damaged(STATUS))
def test_statuses_of_workers(body):
    worker = workers.Worker('i-1', '10.0.0.1:80')
    renewal = interfaces.Renewal(64, STATUS['born'])
    status = _run_call(lambda: worker.renew_leases(renewal), body)
    if status is not None:
        # What was read can be passed on by a relay and is read there again.
        assert status.running is not None
        row = asyncio.run(
            relaycodec.execute_call(
                mock.Mock(renew_leases=mock.AsyncMock(return_value=status)),
                relaycodec.RENEW,
                [64, STATUS['born'], 0, None, 0, True],
                relaycodec.PayloadCache(),
            )
        )
        assert relaycodec.decode_answer(orjson.loads(_dumps(row))) == status


@hypothesis.given(
    damaged({'clock_ms': 4, 'reason': 'room'}),
    strategies.sampled_from((200, 400, 409, 421, 429, 500, 503)),
)
def test_answers_of_workers_to_orders(body, status):
    worker = workers.Worker('i-1', '10.0.0.1:80')
    order = interfaces.StartOrder(TASK, 1, 'text', 5.0, 64, 1788)
    _run_call(lambda: worker.start(order), body, status)
    _run_call(lambda: worker.stop(TASK, 1, 64, 1788), body, status)


@hypothesis.given(
    damaged(STATUS), strategies.sampled_from((200, 409, 421, 503))
)
def test_statuses_that_tell_incarnations(body, status):
    worker = workers.Worker('i-1', '10.0.0.1:80')
    reply = httpmessage.Reply(status, body)

    async def answer(*args, recipient, **options):
        recipient.read_identity(reply)
        raise httpclient.OtherProcessError('another process answers', reply)

    with mock.patch.object(httpclient.Client, 'call', answer):
        with contextlib.suppress(errors.JujubebendError):
            asyncio.run(worker.stop(TASK, 1, 64, 1788))
        with contextlib.suppress(errors.JujubebendError):
            asyncio.run(worker.renew_leases(interfaces.Renewal(64, 1788)))


@hypothesis.given(damaged({'good': [['i-1', 'ticket']]}))
def test_answers_of_the_advice_service(body):
    advisor = advice.Advisor('10.0.0.1:80')
    _run_call(lambda: advisor.advise('j.0.0', ['i-1'], 1), body)


@hypothesis.given(
    damaged({'items': [ITEM], 'store_revision': 9, 'more_pages': False}),
    damaged({'events': [ITEM], 'store_revision': 9}),
    damaged(ITEM),
)
def test_answers_of_the_store(page, events, item):
    client = store.Store('10.0.0.1:80')
    _run_call(lambda: client.scan('at/'), page)
    _run_call(lambda: client.watch('at/', 3, 0), events)
    _run_call(lambda: client.get('at/1'), item)
    _run_call(lambda: client.commit(interfaces.Transaction()), item)


@hypothesis.given(
    damaged({
        'machines': [{'machine': 'm', 'state': 'up', 'id': 'i'}],
        'next_token': None,
    }),
    damaged({'reason': 'busy'}),
)
def test_answers_of_the_machine_service(page, result):
    client = machines.Machines('10.0.0.1:80', 3)
    _run_call(client.list_machines, page)
    _run_call(lambda: client.begin_maintenance('m', 1, 'h', 1), result, 409)


@hypothesis.given(
    damaged({'epoch': 3, 'speaks': True, 'silence': 0.2, 'pause': 0.5}),
    damaged({'state': 'running', 'waiting': 3, 'created': True, 'good': {}}),
)
def test_answers_of_peers(heartbeat_reply, answer):
    client = peers.PeerClient('h', '10.0.0.1:80')
    _run_call(lambda: client.send_heartbeat('p:1'), heartbeat_reply)
    _run_call(lambda: client.fetch_state('p:1', 'j'), answer)
    _run_call(lambda: client.count_waiting_jobs('p:1', 'q'), answer)
    _run_call(lambda: client.store_job('p:1', 'j', b'{}'), answer)
    _run_call(lambda: client.ask_advice('p:1', 'j.0.0', ['w'], 1), answer)


@hypothesis.given(damaged({'fresh': False, 'answers': [[0, ANSWER]]}))
def test_answers_of_relays(body):
    """A damaged exchange counts as failed; the calls are answered in time."""

    async def scenario():
        client = peers.PeerClient('h', '10.0.0.1:80')
        no_delay = mock.Mock(return_value=0)
        route = relay.Route('p:1', client.relay_calls, no_delay)
        running = asyncio.create_task(route.run())
        try:
            answer = await route.call(['hold', 'w', 'w:1', 1, 0, None, 0], 0.05)
            relaycodec.decode_answer(answer)
        finally:
            await _cancel_without_error(running)

    _run_call(scenario, body)


@hypothesis.given(
    strategies.one_of(damaged(ANSWER), damaged(ENDED_ANSWER)),
)
def test_answers_of_workers_through_relays(body):
    with contextlib.suppress(ValueError):
        answer = orjson.loads(body)
        with contextlib.suppress(errors.UnreachableError):
            relaycodec.decode_answer(answer)


@hypothesis.given(
    damaged({
        'session': 's',
        'taken': 0,
        'calls': [
            [0, 'hold', 'w', 'w:1', 64, 0, None, 0, True],
            [1, 'start', 'w', 'w:1', TASK_ROW, 1, 'text', 5.0, 64, '', ''],
            [2, 'stop', 'w', 'w:1', TASK_ROW, 1, 64],
        ],
    })
)
def test_exchanges_that_a_relay_receives(body):
    """A relay serves the next exchange, whatever one of them contained."""

    async def scenario():
        worker = fakecluster.Worker('w')
        worker.lose_starts = 0
        server = relayserver.RelayServer(lambda name, address: worker)
        handler = peers.PeerServer({peers.RELAY_CALL: server.exchange})
        req = httpmessage.Request('POST', f'/peer/{peers.RELAY_CALL}', {}, body)
        reply = await handler.handle(req)
        assert reply.status in {200, 400}
        document = {'session': 'own', 'taken': 0, 'calls': []}
        req = httpmessage.Request(
            'POST', f'/peer/{peers.RELAY_CALL}', {}, orjson.dumps(document)
        )
        assert (await handler.handle(req)).status == 200
        for session in server._sessions.values():
            for task in session.tasks:
                task.cancel()

    asyncio.run(scenario())


@hypothesis.given(damaged(JOB))
def test_submitted_jobs(body):
    with contextlib.suppress(errors.InvalidInputError):
        spec = callerapi.parse_job('j', 'q', body, 1.0)
        record = jobrecords.encode_job(spec)
        assert jobrecords.decode_job(record) == spec


@pytest.mark.parametrize('header', ['²', '9' * 5_000, '-1', '1.5', 'x', ''])
def test_malformed_deadlines(header):
    req = httpmessage.Request('GET', '/', {callerapi.DEADLINE_HEADER: header})
    assert callerapi.parse_timeout(req, 3) == 3


@hypothesis.given(damaged(CONFIG), damaged({'wave': 1, 'machines': ['m']}))
def test_operator_documents(config_body, wave_body):
    with contextlib.suppress(*decoding.DECODE_ERRORS):
        operatorconfig.parse(config_body)
    with contextlib.suppress(*decoding.DECODE_ERRORS):
        machines.parse_wave('op/wave/1', wave_body)


@hypothesis.given(damaged(ENTRY))
def test_entries_of_workers(body):
    workers.parse_worker_entry('i-1', body)


@hypothesis.given(
    damaged(attrs.asdict(committer.LeaderRecord('h', 'h:1', 3, 4)))
)
def test_leader_records(body):
    with contextlib.suppress(errors.MalformedReplyError):
        committer.parse_leader(body)


@hypothesis.given(
    damaged(
        orjson.loads(
            compression.decompress(
                progress.Progress(
                    progress.JobState.RUNNING,
                    {
                        '0.1.17': progress.TaskProgress(
                            progress.TaskState.PLACED, 2, 'i-1', 1788, 0, ''
                        )
                    },
                    {'0.1': progress.GangProgress(1, 2)},
                    {'0.0': [0, 1]},
                ).encode()
            )
        )
    )
)
def test_progress_records(body):
    with contextlib.suppress(errors.InvalidInputError):
        progress.decode_progress(body).occurrences()


@hypothesis.given(
    damaged({
        'job': 'j',
        'queue': 'q',
        'payload': 'text',
        'steps': [{'tasks': 1, 'demand': {'cpu_milli': 1}}],
        'accepted_at': 1.0,
    })
)
def test_job_records(body):
    with contextlib.suppress(errors.InvalidInputError):
        jobrecords.decode_job(body).critical_path()
