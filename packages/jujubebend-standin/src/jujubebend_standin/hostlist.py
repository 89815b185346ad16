"""A stand-in of the platform's host list."""

from __future__ import annotations

import http

import attrs

from jujubebend_http import httpmessage
from jujubebend_platform import hostlist


@attrs.define(eq=False)
class HostListFake:
    """Serves a list and lets a scenario change the state of a host."""

    listed: hostlist.HostList

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one call."""
        if req.method == 'GET':
            return httpmessage.json_reply(
                http.HTTPStatus.OK, hostlist.to_json(self.listed)
            )
        body = httpmessage.Reply(0, req.body).json()
        hosts = [
            attrs.evolve(host, state=body.get(host.name, host.state))
            for host in self.listed.hosts
        ]
        self.listed = hostlist.HostList(self.listed.revision + 1, hosts)
        return httpmessage.json_reply(http.HTTPStatus.OK, {})
