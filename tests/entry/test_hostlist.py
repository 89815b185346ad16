"""The host list: odd entries of other writers hide no other host."""

from __future__ import annotations

import asyncio
from unittest import mock

import orjson
import pytest

from jujubebend import errors
from jujubebend_http import httpclient, httpmessage
from jujubebend_platform import hostlist

HOST = {
    'name': 'w1',
    'role': 'worker',
    'zone': 'z',
    'rack': 'r',
    'address': '127.0.0.1:80',
    'state': 'live',
}


def _fetch(body):
    reply = httpmessage.Reply(200, body, httpmessage.JSON_TYPE, {})
    with mock.patch.object(
        httpclient.Client, 'call', mock.AsyncMock(return_value=reply)
    ):
        return asyncio.run(hostlist.HttpHostSource('127.0.0.1:1').fetch())


@pytest.mark.parametrize('field', [*HOST, 'extra'])
@pytest.mark.parametrize(
    'raw_text',
    [b'[' * 1000 + b']' * 1000, b'1e300', b'null', b'{}'],
    ids=['nested', 'large', 'null', 'object'],
)
def test_an_odd_entry_hides_no_other_host(field, raw_text):
    """Guards against a task that follows the list and ends at such an entry.

    Operators of a similar system saw readers of a list end or stop following
    it after one entry of another writer.
    """
    document = {'revision': 3, 'hosts': [HOST | {field: '@'}, HOST]}
    body = orjson.dumps(document).replace(b'"@"', raw_text)
    host_list = _fetch(body)
    assert host_list.revision == 3
    assert hostlist.Host(**HOST) in host_list.hosts
    is_used = field in HOST
    assert len(host_list.hosts) == 2 - is_used


@pytest.mark.parametrize(
    'body', [b'[]', b'{}', b'{"revision":"3","hosts":[]}', b'\xff', b'null']
)
def test_a_list_that_cannot_be_decoded_raises_an_error_of_the_project(body):
    with pytest.raises(errors.UnreachableError):
        _fetch(body)
