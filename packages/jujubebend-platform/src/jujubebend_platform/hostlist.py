"""The platform's lagging list of hosts, live and leaving."""

from __future__ import annotations

import http
import typing

import attrs
import cattrs

from jujubebend import errors
from jujubebend_http import httpclient

CALL_TIMEOUT = 2.0
ENTRY = 'entry'
WORKER = 'worker'
LIVE = 'live'
LEAVING = 'leaving'
GONE = 'gone'


@attrs.frozen
class Host:
    """A host as the platform lists it; ``address`` is host and port."""

    name: str
    role: str
    zone: str
    rack: str
    address: str
    state: str = LIVE


@attrs.frozen
class HostList:
    """The list at one revision."""

    revision: int = 0
    hosts: list[Host] = attrs.field(factory=list)

    def workers(self) -> dict[str, Host]:
        """Return the workers that are not gone, by name."""
        return {
            host.name: host
            for host in self.hosts
            if host.role == WORKER and host.state != GONE
        }

    def gone(self) -> set[str]:
        """Return the names of the hosts that the platform says are gone."""
        return {host.name for host in self.hosts if host.state == GONE}

    def zones_without_entry(self) -> set[str]:
        """Return the zones all of whose entry hosts are gone."""
        entries = [host for host in self.hosts if host.role == ENTRY]
        remaining = {host.zone for host in entries if host.state != GONE}
        return {host.zone for host in entries} - remaining


class HostSource(typing.Protocol):
    """Where the list of hosts comes from."""

    async def fetch(self) -> HostList:
        """Return the list, or raise ``errors.UnreachableError``."""

    async def close(self) -> None:
        """Let go of the connections."""


@attrs.define(eq=False)
class HttpHostSource:
    """The list over HTTP and JSON."""

    address: str
    _client: httpclient.Client = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Open the pool."""
        self._client = httpclient.Client(self.address, 2)

    async def fetch(self) -> HostList:
        """Return the list as the platform has it now."""
        reply = await self._client.call(
            'GET', '/v1/hosts', timeout=CALL_TIMEOUT
        )
        if reply.status != http.HTTPStatus.OK:
            raise errors.UnreachableError(
                f'the host list answered {reply.status}',
            )
        return from_json(reply.json())

    async def close(self) -> None:
        """Close the pool."""
        await self._client.close()


def from_json(plain: dict) -> HostList:
    """Return the list from its JSON form."""
    return cattrs.structure(plain, HostList)


def to_json(listed: HostList) -> dict:
    """Return the JSON form of a list."""
    return attrs.asdict(listed)
