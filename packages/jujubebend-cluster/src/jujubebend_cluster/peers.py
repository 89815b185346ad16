"""Calls between hosts: heartbeats, job states, writes, advice, relays."""

from __future__ import annotations

import base64
import http
from collections import abc

import attrs
import orjson

from jujubebend import decoding, errors
from jujubebend_cluster import (
    clock,
    compression,
    hostcapacity,
    logs,
    metrics,
    progress,
)
from jujubebend_http import httpclient, httpmessage

CALL_TIMEOUT_S = 0.5  # a usual answer takes 3 ms
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 0.3  # a leader that answers later is suspect
CONNECTIONS_PER_PEER = 8
# Renamed when the rows of relayed calls change, so that a relay of another build
# refuses the exchange as a whole and another route is chosen.
RELAY_CALL = 'relay-bound'
# Status codes of replies: REFUSED if the call had no effect, UNKNOWN if it may
# have had one.
OK = http.HTTPStatus.OK
NOT_FOUND = http.HTTPStatus.NOT_FOUND
INVALID = http.HTTPStatus.BAD_REQUEST
REFUSED = http.HTTPStatus.SERVICE_UNAVAILABLE
UNKNOWN = http.HTTPStatus.GATEWAY_TIMEOUT
# JSON, compressed if it is long.
DOCUMENT_TYPE = 'application/octet-stream'


@attrs.frozen
class HeartbeatReply:
    """A peer's answer to a heartbeat.

    ``epoch`` is zero if the peer does not lead. ``speaks`` is true if its
    state is recent enough to answer queries. ``silence`` is the seconds since
    its last commit to the store, ``pause`` the seconds until it wants the next
    heartbeat. ``busy`` asks the sender to make as few other calls as possible.
    ``successor`` is true if no follower is much more capable than the sender.
    """

    epoch: int
    speaks: bool
    silence: float = 0
    pause: float = HEARTBEAT_INTERVAL_S
    busy: bool = False
    successor: bool = True


@attrs.define(eq=False)
class PeerClient:
    """Client for calls to the other hosts; connections open on demand.

    ``host``, ``address`` and ``capacity`` are those of this host. ``clients``
    are by peer address.
    """

    host: str
    address: str
    capacity: hostcapacity.HostCapacity = hostcapacity.HostCapacity()
    metrics: metrics.Metrics = attrs.field(factory=metrics.Metrics)
    clients: dict[str, httpclient.Client] = attrs.field(factory=dict)

    async def send_heartbeat(self, address: str) -> HeartbeatReply:
        """Send the leader a heartbeat and return its reply."""
        document = await self._call(
            address,
            'hello',
            {'address': self.address, **attrs.asdict(self.capacity)},
            HEARTBEAT_TIMEOUT_S,
        )
        with decoding.reply_from(address):
            return _to_heartbeat_reply(document)

    async def fetch_state(
        self, address: str, job: str
    ) -> progress.JobState | None:
        """Ask the leader for a job's state; None if it knows no such job."""
        document = await self._call(address, 'state', {'job': job})
        with decoding.reply_from(address):
            state = document['state']
            return progress.JobState(state) if state else None

    async def count_waiting_jobs(self, address: str, queue: str) -> int:
        """Ask the leader how many of a queue's jobs have not started."""
        document = await self._call(address, 'count', {'queue': queue})
        with decoding.reply_from(address):
            return decoding.to_count(document['waiting'])

    async def store_job(self, address: str, job: str, body: bytes) -> bool:
        """Have a peer write a job that must not exist; False if it does."""
        document = {'job': job, 'body': base64.b64encode(body).decode()}
        answer = await self._call(address, 'store', document)
        with decoding.reply_from(address):
            return bool(answer['created'])

    async def ask_advice(
        self,
        address: str,
        step: str,
        workers: abc.Sequence[str],
        wait: float,
    ) -> dict[str, str]:
        """Have a peer ask for advice; return a ticket per suitable worker.

        ``wait`` is in seconds.
        """
        document = {'step': step, 'workers': list(workers), 'wait': wait}
        answer = await self._call(
            address, 'advise', document, CALL_TIMEOUT_S + wait
        )
        with decoding.reply_from(address):
            return {
                decoding.to_text(worker): decoding.to_text(ticket)
                for worker, ticket in answer['good'].items()
            }

    async def relay_calls(
        self, address: str, document: dict, timeout: float
    ) -> dict:
        """Pass calls to workers to a relay; return the answers received so far.

        ``timeout`` is in seconds.
        """
        body = _encode(document)
        started_at = clock.now()
        reply = await self._send(address, RELAY_CALL, body, timeout)
        self.metrics.observe('exchange', clock.now() - started_at)
        size = len(body) + len(reply.body)
        self.metrics.count_bytes('exchange_bytes', size)
        with decoding.reply_from(address):
            return _decode(reply.body)

    async def close(self) -> None:
        """Close the idle connections."""
        for client in self.clients.values():
            await client.close()

    async def _call(
        self,
        address: str,
        call_name: str,
        document: dict,
        timeout: float = CALL_TIMEOUT_S,
    ) -> dict:
        body = _encode(document)
        reply = await self._send(address, call_name, body, timeout)
        with decoding.reply_from(address):
            return _decode(reply.body)

    async def _send(
        self, address: str, call_name: str, body: bytes, timeout: float
    ) -> httpmessage.Reply:
        client = self.clients.get(address)
        if client is None:
            client = httpclient.Client(
                address, max_connections=CONNECTIONS_PER_PEER
            )
            self.clients[address] = client
        reply = await client.call(
            'POST', f'/peer/{call_name}', body, timeout=timeout
        )
        if reply.status == REFUSED:
            raise errors.RefusedError(f'{address} refused the call {call_name}')
        if reply.status != OK:
            raise errors.UnreachableError(
                f'call {call_name} to {address}: '
                f'status {reply.status}, not {OK}'
            )
        return reply


Handler = abc.Callable[[dict], abc.Awaitable[dict]]


@attrs.define(eq=False)
class PeerServer:
    """Passes each peer call to the handler registered for its name."""

    handlers: dict[str, Handler]

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one call."""
        handler = self.handlers.get(req.path.removeprefix('/peer/'))
        if handler is None:
            return httpmessage.problem_reply(
                NOT_FOUND, f'unknown peer call: {req.path}'
            )
        try:
            document = await handler(_decode(req.body))
        except decoding.DECODE_ERRORS as exc:
            found = decoding.describe(exc)
            logs.decision('peer_call_malformed', call=req.path, why=found)
            return httpmessage.problem_reply(INVALID, found)
        except errors.RefusedError as exc:
            return httpmessage.problem_reply(REFUSED, exc.reason)
        except errors.UnreachableError as exc:
            return httpmessage.problem_reply(UNKNOWN, str(exc))
        return httpmessage.Reply(OK, _encode(document), DOCUMENT_TYPE)


def _encode(document: dict) -> bytes:
    return compression.compress(orjson.dumps(document))


def _decode(body: bytes) -> dict:
    document = orjson.loads(compression.decompress(body))
    if not isinstance(document, dict):
        raise TypeError(f'expected an object, found {document!r}')
    return document


def _to_heartbeat_reply(document: dict) -> HeartbeatReply:
    """Decode a reply; fields that another build adds are ignored."""
    return HeartbeatReply(
        epoch=decoding.to_count(document['epoch']),
        speaks=bool(document['speaks']),
        silence=decoding.to_number(document.get('silence', 0)),
        pause=decoding.to_number(document.get('pause', HEARTBEAT_INTERVAL_S)),
        busy=bool(document.get('busy')),
        successor=bool(document.get('successor', True)),
    )
