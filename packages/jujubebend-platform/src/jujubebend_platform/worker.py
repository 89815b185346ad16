"""Client of a worker: its ownership lease and the tasks it runs."""

from __future__ import annotations

import http
import typing

import attrs
import cattrs

from jujubebend import errors, intent, resources
from jujubebend_http import httpclient, httpmessage

CALL_TIMEOUT_SECONDS = 2.0
MAX_CONNECTIONS = 24
_EXPECTED_STATUSES = frozenset((
    http.HTTPStatus.OK,
    http.HTTPStatus.UNPROCESSABLE_ENTITY,
    http.HTTPStatus.LOCKED,
))


@attrs.frozen
class TaskStart:
    """Order to a worker to run a task.

    ``home`` is the shard with the task's recorded intent, empty if it has
    none. ``lease_ms`` is how long the task may run on after the worker's
    lease has expired.
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
    """A running task as the worker lists it."""

    attempt: str
    demand: resources.Resources
    kind: str = ''
    team: str = ''
    group: str = ''
    home: str = ''


@attrs.frozen
class EndedTask:
    """A task that has ended.

    ``outcome`` is in the form that records store; ``seconds`` is the time
    that the task ran.
    """

    attempt: str
    outcome: dict[str, str]
    home: str = ''
    seconds: float = 0


@attrs.frozen
class LeaseReply:
    """Reply to a lease request: the lease's epoch and the worker's state.

    ``boot`` identifies the incarnation of the worker. ``leaving`` is true
    once the worker is about to be shut down.
    """

    epoch: int
    boot: str
    capacity: resources.Resources
    running: list[RunningTask]
    ended: list[EndedTask]
    leaving: bool = False


@attrs.frozen
class Usage:
    """Last measured resource usage of a running task."""

    attempt: str
    used: resources.Resources


@attrs.frozen
class RenewalReply:
    """Reply to a lease renewal: ended tasks and usage of running ones.

    ``boot`` and ``leaving`` are as in ``LeaseReply``.
    """

    boot: str
    leaving: bool
    ended: list[EndedTask]
    usage: list[Usage]


class StaleLeaseError(errors.JujubebendError):
    """The worker refused a call that is not under its current lease."""


class Worker(typing.Protocol):
    """Interface to one worker; durations are in seconds.

    Every call raises ``errors.UnreachableError`` if there is no answer and
    ``StaleLeaseError`` if its epoch is not the epoch of the current lease.
    Epochs start anew when the worker restarts, so a call under a lease also
    carries the ``boot`` that granted it, and is stale in any other.
    """

    async def acquire_lease(self, holder: str, ttl: float) -> LeaseReply | None:
        """Acquire the lease; return None while another owner holds it."""

    async def renew_lease(
        self, epoch: int, boot: str, ttl: float, acks: list[str], wait: float
    ) -> RenewalReply:
        """Renew the lease, acknowledge ended tasks and return changes.

        Waits up to ``wait`` seconds for a task to end.
        """

    async def release(self, epoch: int, boot: str) -> None:
        """Release the lease."""

    async def start(self, epoch: int, boot: str, task: TaskStart) -> None:
        """Start a task.

        Raises ``errors.RefusedError`` if the worker does not run it.
        """

    async def settle(
        self, epoch: int, boot: str, attempt: str
    ) -> tuple[intent.Report, EndedTask | None]:
        """Return the worker's report on an attempt, and its end if any.

        The worker refuses to start an unknown attempt from then on.
        """

    async def stop(
        self, epoch: int, boot: str, attempt: str, *, checkpoint: bool
    ) -> None:
        """Stop a task.

        With ``checkpoint``, a task that supports checkpoints saves one
        first.
        """

    async def throttle(
        self, epoch: int, boot: str, attempt: str, share: float
    ) -> None:
        """Limit a task to a share of its processors."""

    async def close(self) -> None:
        """Close the connections."""


def _make_converter() -> cattrs.Converter:
    new_converter = cattrs.Converter()
    new_converter.register_structure_hook(
        resources.Resources, lambda document, _: resources.from_json(document)
    )
    new_converter.register_unstructure_hook(
        resources.Resources, lambda amounts: amounts.to_json()
    )
    return new_converter


converter = _make_converter()


@attrs.define(eq=False)
class HttpWorker:
    """Worker client over HTTP."""

    address: str
    _client: httpclient.Client = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; it connects on the first call."""
        self._client = httpclient.Client(self.address, MAX_CONNECTIONS)

    async def acquire_lease(self, holder: str, ttl: float) -> LeaseReply | None:
        """Acquire the lease; return None while another owner holds it."""
        body = {'holder': holder, 'ttl_ms': round(ttl * 1000)}
        reply = await self._call('/v1/lease', body)
        if reply.status == http.HTTPStatus.LOCKED:
            return None
        return converter.structure(reply.json(), LeaseReply)

    async def renew_lease(
        self, epoch: int, boot: str, ttl: float, acks: list[str], wait: float
    ) -> RenewalReply:
        """Renew the lease and wait for ended tasks (long poll)."""
        body = {
            'epoch': epoch,
            'boot': boot,
            'ttl_ms': round(ttl * 1000),
            'acks': acks,
            'wait_ms': round(wait * 1000),
        }
        reply = await self._call('/v1/sync', body, wait=wait)
        return converter.structure(reply.json(), RenewalReply)

    async def release(self, epoch: int, boot: str) -> None:
        """Release the lease."""
        await self._call('/v1/release', {'epoch': epoch, 'boot': boot})

    async def start(self, epoch: int, boot: str, task: TaskStart) -> None:
        """Start a task."""
        task_document = converter.unstructure(task)
        body = {'epoch': epoch, 'boot': boot, 'task': task_document}
        reply = await self._call('/v1/start', body)
        if reply.status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            raise errors.RefusedError(reply.json()['title'])

    async def settle(
        self, epoch: int, boot: str, attempt: str
    ) -> tuple[intent.Report, EndedTask | None]:
        """Return the worker's report on an attempt, and its end if any."""
        body = {'epoch': epoch, 'boot': boot, 'attempt': attempt}
        reply = await self._call('/v1/settle', body)
        document = reply.json()
        report = intent.Report(
            document['boot'],
            document['epoch'],
            intent.AttemptState(document['known']),
            refused=document['refused'],
        )
        ended = document.get('ended')
        if ended is None:
            return report, None
        return report, converter.structure(ended, EndedTask)

    async def stop(
        self, epoch: int, boot: str, attempt: str, *, checkpoint: bool
    ) -> None:
        """Stop a task."""
        body = {
            'epoch': epoch,
            'boot': boot,
            'attempt': attempt,
            'checkpoint': checkpoint,
        }
        await self._call('/v1/stop', body)

    async def throttle(
        self, epoch: int, boot: str, attempt: str, share: float
    ) -> None:
        """Limit a task to a share of its processors."""
        body = {
            'epoch': epoch,
            'boot': boot,
            'attempt': attempt,
            'share': share,
        }
        await self._call('/v1/throttle', body)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _call(
        self, path: str, body: dict, wait: float = 0
    ) -> httpmessage.Reply:
        reply = await self._client.call_json(
            'POST', path, body, timeout=CALL_TIMEOUT_SECONDS + wait
        )
        if reply.status == http.HTTPStatus.CONFLICT:
            raise StaleLeaseError(reply.json()['title'])
        if reply.status not in _EXPECTED_STATUSES:
            raise errors.UnreachableError(
                f'{path}: the worker answered {reply.status}; '
                'the call may have taken effect',
            )
        return reply
