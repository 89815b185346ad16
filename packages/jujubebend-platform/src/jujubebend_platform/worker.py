"""A worker: its lease, and the tasks it starts, stops and reports."""

from __future__ import annotations

import http
import typing

import attrs
import cattrs

from jujubebend import errors, intent, resources
from jujubebend_http import httpclient, httpmessage

CALL_TIMEOUT = 2.0
CONNECTIONS = 24
_KNOWN_STATUSES = frozenset((
    http.HTTPStatus.OK,
    http.HTTPStatus.UNPROCESSABLE_ENTITY,
    http.HTTPStatus.LOCKED,
))


@attrs.frozen
class TaskStart:
    """What a worker is told to run.

    ``recorded`` tasks have a written intent; ``home`` is the shard that has
    it. ``lease_ms`` is how long the task may go on with no owner.
    """

    attempt: str
    service: str
    demand: resources.Resources
    payload: typing.Any
    kind: str = ''
    team: str = ''
    group: str = ''
    home: str = ''
    lease_ms: int = 30_000
    checkpoint: typing.Any = None


@attrs.frozen
class RunningTask:
    """A task that runs on a worker, as the worker lists it."""

    attempt: str
    demand: resources.Resources
    kind: str = ''
    team: str = ''
    group: str = ''
    home: str = ''


@attrs.frozen
class EndedTask:
    """A task that has ended; ``outcome`` is in the form of a record."""

    attempt: str
    outcome: dict[str, str]
    home: str = ''
    seconds: float = 0


@attrs.frozen
class LeaseReply:
    """The answer to a lease request: the worker as it is now."""

    epoch: int
    boot: str
    capacity: resources.Resources
    running: list[RunningTask]
    ended: list[EndedTask]
    leaving: bool = False


@attrs.frozen
class Usage:
    """What a running task was last seen to use."""

    attempt: str
    used: resources.Resources


@attrs.frozen
class SyncReply:
    """What a worker reports when its lease is renewed."""

    boot: str
    leaving: bool
    ended: list[EndedTask]
    usage: list[Usage]


class StaleLeaseError(errors.JujubebendError):
    """The worker refused what carries an epoch that is not its owner's."""


class Worker(typing.Protocol):
    """What the project asks of a worker.

    Every call raises ``errors.UnreachableError`` when no answer came and
    ``StaleLeaseError`` when the epoch is not the lease's.
    """

    async def lease(self, holder: str, ttl: float) -> LeaseReply | None:
        """Ask for the lease; None while another owner has it."""

    async def sync(
        self, epoch: int, ttl: float, acks: list[str], wait: float
    ) -> SyncReply:
        """Renew the lease, acknowledge ends, wait for new ones."""

    async def release(self, epoch: int) -> None:
        """Give the lease back."""

    async def start(self, epoch: int, boot: str, task: TaskStart) -> None:
        """Start a task, or raise ``errors.RefusedError``: it is not run."""

    async def settle(
        self, epoch: int, attempt: str
    ) -> tuple[intent.Report, EndedTask | None]:
        """Ask after an attempt; one not known is refused from now on."""

    async def stop(self, epoch: int, attempt: str, *, checkpoint: bool) -> None:
        """Stop a task, after a checkpoint where it can make one."""

    async def throttle(self, epoch: int, attempt: str, share: float) -> None:
        """Let a task have only a share of its processors."""

    async def close(self) -> None:
        """Let go of the connections."""


def _make_converter() -> cattrs.Converter:
    made = cattrs.Converter()
    made.register_structure_hook(
        resources.Resources, lambda plain, _: resources.from_json(plain)
    )
    made.register_unstructure_hook(
        resources.Resources, lambda amounts: amounts.to_json()
    )
    return made


converter = _make_converter()


@attrs.define(eq=False)
class HttpWorker:
    """A worker over HTTP and JSON."""

    address: str
    _client: httpclient.Client = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the pool."""
        self._client = httpclient.Client(self.address, CONNECTIONS)

    async def lease(self, holder: str, ttl: float) -> LeaseReply | None:
        """Ask for the lease."""
        body = {'holder': holder, 'ttl_ms': round(ttl * 1000)}
        reply = await self._call('/v1/lease', body)
        if reply.status == http.HTTPStatus.LOCKED:
            return None
        return converter.structure(reply.json(), LeaseReply)

    async def sync(
        self, epoch: int, ttl: float, acks: list[str], wait: float
    ) -> SyncReply:
        """Renew the lease and wait for ends."""
        body = {
            'epoch': epoch,
            'ttl_ms': round(ttl * 1000),
            'acks': acks,
            'wait_ms': round(wait * 1000),
        }
        reply = await self._call('/v1/sync', body, wait=wait)
        return converter.structure(reply.json(), SyncReply)

    async def release(self, epoch: int) -> None:
        """Give the lease back."""
        await self._call('/v1/release', {'epoch': epoch})

    async def start(self, epoch: int, boot: str, task: TaskStart) -> None:
        """Start a task."""
        plain = converter.unstructure(task)
        body = {'epoch': epoch, 'boot': boot, 'task': plain}
        reply = await self._call('/v1/start', body)
        if reply.status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            raise errors.RefusedError(reply.json()['title'])

    async def settle(
        self, epoch: int, attempt: str
    ) -> tuple[intent.Report, EndedTask | None]:
        """Ask after an attempt."""
        body = {'epoch': epoch, 'attempt': attempt}
        reply = await self._call('/v1/settle', body)
        plain = reply.json()
        report = intent.Report(
            plain['boot'],
            plain['epoch'],
            intent.Known(plain['known']),
            refused=plain['refused'],
        )
        ended = plain.get('ended')
        if ended is None:
            return report, None
        return report, converter.structure(ended, EndedTask)

    async def stop(self, epoch: int, attempt: str, *, checkpoint: bool) -> None:
        """Stop a task."""
        body = {'epoch': epoch, 'attempt': attempt, 'checkpoint': checkpoint}
        await self._call('/v1/stop', body)

    async def throttle(self, epoch: int, attempt: str, share: float) -> None:
        """Throttle a task."""
        body = {'epoch': epoch, 'attempt': attempt, 'share': share}
        await self._call('/v1/throttle', body)

    async def close(self) -> None:
        """Close the pool."""
        await self._client.close()

    async def _call(
        self, path: str, body: dict, wait: float = 0
    ) -> httpmessage.Reply:
        reply = await self._client.call_json(
            'POST', path, body, timeout=CALL_TIMEOUT + wait
        )
        if reply.status == http.HTTPStatus.CONFLICT:
            raise StaleLeaseError(reply.json()['title'])
        if reply.status not in _KNOWN_STATUSES:
            raise errors.UnreachableError(
                f'{path}: the worker answered {reply.status}',
            )
        return reply
