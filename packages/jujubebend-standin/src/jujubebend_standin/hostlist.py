"""Fake of the platform's host list service."""

from __future__ import annotations

import http

import attrs

from jujubebend_http import httpmessage
from jujubebend_platform import hostlist


@attrs.define(eq=False)
class FakeHostList:
    """Serves a host list whose host states can be changed.

    A request other than GET is a JSON object of host name to new state.
    """

    host_list: hostlist.HostList

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        """Serve one request."""
        if req.method == 'GET':
            return httpmessage.json_reply(
                http.HTTPStatus.OK, hostlist.to_json(self.host_list)
            )
        body = httpmessage.Reply(0, req.body).json()
        hosts = [
            attrs.evolve(host, state=body.get(host.name, host.state))
            for host in self.host_list.hosts
        ]
        self.host_list = hostlist.HostList(self.host_list.revision + 1, hosts)
        return httpmessage.json_reply(http.HTTPStatus.OK, {})
