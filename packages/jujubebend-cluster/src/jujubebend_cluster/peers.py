"""Calls between the cell's hosts: who leads, job states, shared advice."""

from __future__ import annotations

import http
from collections import abc

import attrs
import orjson

from jujubebend import errors
from jujubebend_cluster import progress
from jujubebend_http import httpclient, httpmessage

CALL_TIMEOUT = 0.5  # seconds; a usual answer takes 3 ms
HEARTBEAT_INTERVAL_S = 0.5  # seconds between greetings
HELLO_TIMEOUT = 0.3  # seconds; a leader that is late by more is suspect
CONNECTIONS = 8  # to each peer
OK = http.HTTPStatus.OK
NOT_FOUND = http.HTTPStatus.NOT_FOUND
REFUSED = http.HTTPStatus.SERVICE_UNAVAILABLE
UNKNOWN = http.HTTPStatus.GATEWAY_TIMEOUT


@attrs.frozen
class HeartbeatReply:
    """A peer's answer to a hello: which epoch it leads, if it leads.

    ``silence`` is the seconds since its last commit to the store, ``pause``
    the seconds until it wants the next hello; ``busy`` asks for as few other
    calls as possible.
    """

    epoch: int
    speaks: bool
    silence: float = 0
    pause: float = HEARTBEAT_INTERVAL_S
    busy: bool = False


@attrs.define(eq=False)
class Peers:
    """Clients of the other hosts, opened on demand."""

    host: str
    address: str
    cores: float = 1
    _clients: dict[str, httpclient.Client] = attrs.field(factory=dict)

    async def send_heartbeat(self, address: str) -> HeartbeatReply:
        """Tell the leader of this host; learn whether it still leads."""
        plain = await self._call(
            address,
            'hello',
            {'address': self.address, 'cores': self.cores},
            HELLO_TIMEOUT,
        )
        return HeartbeatReply(**plain)

    async def state(self, address: str, job: str) -> progress.JobState | None:
        """Ask the leader for a job's state; None where it knows no such."""
        plain = await self._call(address, 'state', {'job': job})
        state = plain['state']
        return progress.JobState(state) if state else None

    async def count(self, address: str, queue: str) -> int:
        """Ask the leader how many of a queue's jobs have not begun."""
        plain = await self._call(address, 'count', {'queue': queue})
        return plain['waiting']

    async def store(self, address: str, job: str, body: bytes) -> bool:
        """Have a peer write a job that must not be known; False if it is."""
        plain = {'job': job, 'body': body.decode()}
        return (await self._call(address, 'store', plain))['created']

    async def advise(
        self,
        address: str,
        step: str,
        workers: abc.Sequence[str],
        wait: float,
    ) -> dict[str, str]:
        """Have a peer ask for advice."""
        plain = {'step': step, 'workers': list(workers), 'wait': wait}
        answer = await self._call(address, 'advise', plain, CALL_TIMEOUT + wait)
        return answer['good']

    async def relay(self, address: str, plain: dict, timeout: float) -> dict:
        """Hand a peer calls to workers, and take what was answered."""
        return await self._call(address, 'relay', plain, timeout)

    async def close(self) -> None:
        """Close the idle connections."""
        for client in self._clients.values():
            await client.close()

    async def _call(
        self,
        address: str,
        what: str,
        plain: dict,
        timeout: float = CALL_TIMEOUT,
    ) -> dict:
        client = self._clients.get(address)
        if client is None:
            client = httpclient.Client(address, max_connections=CONNECTIONS)
            self._clients[address] = client
        reply = await client.call(
            'POST', f'/peer/{what}', orjson.dumps(plain), timeout=timeout
        )
        if reply.status == REFUSED:
            raise errors.RefusedError(f'{address} refuses {what}')
        if reply.status != OK:
            raise errors.UnreachableError(f'{address}: {reply.status}')
        return reply.json()


Handler = abc.Callable[[dict], abc.Awaitable[dict]]


@attrs.define(eq=False)
class PeerServer:
    """Answers peers' calls through one handler for each name."""

    handlers: dict[str, Handler]

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Answer one call."""
        handler = self.handlers.get(req.path.removeprefix('/peer/'))
        if handler is None:
            return httpmessage.problem_reply(
                NOT_FOUND, f'{req.path}: no such call'
            )
        try:
            plain = await handler(orjson.loads(req.body))
        except errors.RefusedError as exc:
            return httpmessage.problem_reply(REFUSED, exc.reason)
        except errors.UnreachableError as exc:
            return httpmessage.problem_reply(UNKNOWN, str(exc))
        return httpmessage.json_reply(OK, plain)
