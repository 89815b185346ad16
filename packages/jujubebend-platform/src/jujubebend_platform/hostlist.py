"""Client of the platform's host list, which lags behind the real state."""

from __future__ import annotations

import http
import reprlib
import typing

import attrs
import eliot

from jujubebend import decoding, errors
from jujubebend_http import httpclient

CALL_TIMEOUT_SECONDS = 2.0
ENTRY = 'entry'
WORKER = 'worker'
LIVE = 'live'
LEAVING = 'leaving'
GONE = 'gone'


@attrs.frozen
class Host:
    """A host as the platform lists it.

    ``address`` is ``host:port``. ``role`` is ``ENTRY`` or ``WORKER``, and
    ``state`` is ``LIVE``, ``LEAVING`` or ``GONE``.
    """

    name: str
    role: str
    zone: str
    rack: str
    address: str
    state: str = LIVE


@attrs.frozen
class HostList:
    """The host list at one revision."""

    revision: int = 0
    hosts: list[Host] = attrs.field(factory=list)

    def workers(self) -> dict[str, Host]:
        """Return the workers by name, without those that are gone."""
        return {
            host.name: host
            for host in self.hosts
            if host.role == WORKER and host.state != GONE
        }

    def gone_host_names(self) -> set[str]:
        """Return the names of the hosts that are listed as gone."""
        return {host.name for host in self.hosts if host.state == GONE}

    def zones_without_entry(self) -> set[str]:
        """Return the zones whose entry hosts are all gone."""
        entry_hosts = [host for host in self.hosts if host.role == ENTRY]
        served_zones = {host.zone for host in entry_hosts if host.state != GONE}
        return {host.zone for host in entry_hosts} - served_zones


class HostSource(typing.Protocol):
    """Interface to the source of the host list."""

    async def fetch(self) -> HostList:
        """Return the current host list.

        Raises ``errors.UnreachableError`` if it cannot be read.
        """

    async def close(self) -> None:
        """Close the connections."""


@attrs.define(eq=False)
class HttpHostSource:
    """Source that reads the host list over HTTP."""

    address: str
    _client: httpclient.Client = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; it connects on the first call."""
        self._client = httpclient.Client(self.address, 2)

    async def fetch(self) -> HostList:
        """Return the current host list."""
        reply = await self._client.call(
            'GET', '/v1/hosts', timeout=CALL_TIMEOUT_SECONDS
        )
        if reply.status != http.HTTPStatus.OK:
            raise errors.UnreachableError(
                f'the host list service answered {reply.status}, expected 200',
            )
        with decoding.reply_from('the host list service'):
            return from_json(reply.json())

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


def from_json(document: dict) -> HostList:
    """Return the host list decoded from its JSON form.

    An entry that cannot be decoded is logged and left out. Raises one of
    ``decoding.DECODE_ERRORS`` if the list itself is malformed.
    """
    revision = decoding.to_count(document['revision'])
    hosts = []
    for entry in document['hosts']:
        try:
            hosts.append(_to_host(entry))
        except decoding.DECODE_ERRORS as exc:
            eliot.log_message(
                'hosts:malformed-entry', why=decoding.describe(exc)
            )
    return HostList(revision, hosts)


def _to_host(entry: dict) -> Host:
    state = decoding.to_text(entry.get('state', LIVE))
    if state not in {LIVE, LEAVING, GONE}:
        raise ValueError(f'no state {reprlib.repr(state)} is known')
    return Host(
        name=decoding.to_text(entry['name']),
        role=decoding.to_text(entry['role']),
        zone=decoding.to_text(entry['zone']),
        rack=decoding.to_text(entry['rack']),
        address=decoding.to_text(entry['address']),
        state=state,
    )


def to_json(host_list: HostList) -> dict:
    """Return the JSON form of a host list."""
    return attrs.asdict(host_list)
