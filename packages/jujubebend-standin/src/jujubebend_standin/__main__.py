"""Command line that runs fakes and TCP relays as separate processes."""

from __future__ import annotations

import asyncio
import http
import pathlib
import signal
import typing
from collections import abc

import orjson
import typer

from jujubebend import resources
from jujubebend_http import httpmessage
from jujubebend_platform import hostlist
from jujubebend_standin import fakeplatform, relay
from jujubebend_standin import hostlist as hostlist_fake
from jujubebend_standin import store as store_fake
from jujubebend_standin import worker as worker_fake

cli = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@cli.command()
def store(port: int) -> None:
    """Serve an in-memory key-value store."""
    asyncio.run(_serve_until_signal([(store_fake.FakeStore(), port)]))


@cli.command()
def hosts(port: int, listed: pathlib.Path) -> None:
    """Serve the host list in a JSON file."""
    document = orjson.loads(listed.read_bytes())
    fake = hostlist_fake.FakeHostList(hostlist.from_json(document))
    asyncio.run(_serve_until_signal([(fake, port)]))


@cli.command()
def workers(plans: pathlib.Path) -> None:
    """Serve the workers in a JSON file.

    Each has a name, a port, a capacity, optionally a speed and the path of
    a file that its events are appended to (record).
    """
    asyncio.run(_serve_until_signal(_create_workers(plans)))


@cli.command()
def relays(control: int, plans: pathlib.Path) -> None:
    """Run the TCP relays in a JSON file; serve their control on a port.

    Each relay has a name, a port and a target address.
    """
    documents = orjson.loads(plans.read_bytes())
    asyncio.run(_relay_until_signal(control, documents))


def _create_workers(
    plans: pathlib.Path,
) -> list[tuple[worker_fake.FakeWorker, int]]:
    return [
        (
            worker_fake.FakeWorker(
                document['name'],
                resources.from_json(document['capacity']),
                document.get('speed', 1),
                record=_open_record(document),
            ),
            document['port'],
        )
        for document in orjson.loads(plans.read_bytes())
    ]


def _open_record(document: dict) -> typing.IO[str] | None:
    path = document.get('record')
    return pathlib.Path(path).open('a') if path else None


def _stop_on_signal() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    return stopped


async def _serve_until_signal(fakes: abc.Sequence[tuple]) -> None:
    stopped = _stop_on_signal()
    served_fakes = [
        await fakeplatform.serve_fake(fake, port) for fake, port in fakes
    ]
    fake_workers = [
        fake for fake, _ in fakes if isinstance(fake, worker_fake.FakeWorker)
    ]
    orphan_stopper = asyncio.create_task(
        fakeplatform.stop_orphans_periodically(fake_workers)
    )
    await stopped.wait()
    orphan_stopper.cancel()
    for served in served_fakes:
        await served.server.stop(0)


async def _relay_until_signal(
    control_port: int, plans: abc.Sequence[dict]
) -> None:
    stopped = _stop_on_signal()
    relays_by_name = {}
    for plan in plans:
        relays_by_name[plan['name']] = relay.Relay(plan['target'])
        await relays_by_name[plan['name']].start(plan['port'])
    served = await fakeplatform.serve_fake(
        _RelayControl(relays_by_name), control_port
    )
    await stopped.wait()
    await served.server.stop(0)
    for tcp_relay in relays_by_name.values():
        await tcp_relay.stop()


class _RelayControl:
    """Sets relay states; a request body maps relay names to states."""

    def __init__(self, relays_by_name: dict[str, relay.Relay]) -> None:
        self._relays_by_name = relays_by_name

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        states = orjson.loads(req.body) if req.body else {}
        for name, state in states.items():
            self._relays_by_name[name].set_state(relay.State(state))
        return httpmessage.json_reply(http.HTTPStatus.OK, {})


if __name__ == '__main__':
    cli()
