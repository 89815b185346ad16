"""Stand-ins as processes of their own: store, host list, workers, relays."""

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
from jujubebend_standin import cell, relay
from jujubebend_standin import hostlist as hostlist_fake
from jujubebend_standin import store as store_fake
from jujubebend_standin import worker as worker_fake

cli = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@cli.command()
def store(port: int) -> None:
    """Serve a store."""
    asyncio.run(_serve_until_signal([(store_fake.StoreFake(), port)]))


@cli.command()
def hosts(port: int, listed: pathlib.Path) -> None:
    """Serve a host list that a JSON file gives."""
    plain = orjson.loads(listed.read_bytes())
    fake = hostlist_fake.HostListFake(hostlist.from_json(plain))
    asyncio.run(_serve_until_signal([(fake, port)]))


@cli.command()
def workers(plans: pathlib.Path) -> None:
    """Serve the workers that a JSON file lists: name, port, speed, size."""
    asyncio.run(_serve_until_signal(_make_workers(plans)))


@cli.command()
def relays(control: int, plans: pathlib.Path) -> None:
    """Serve relays that a JSON file lists, with a port to control them."""
    plain = orjson.loads(plans.read_bytes())
    asyncio.run(_relay_until_signal(control, plain))


def _make_workers(
    plans: pathlib.Path,
) -> list[tuple[worker_fake.WorkerFake, int]]:
    return [
        (
            worker_fake.WorkerFake(
                plain['name'],
                resources.from_json(plain['capacity']),
                plain.get('speed', 1),
                record=_open_record(plain),
            ),
            plain['port'],
        )
        for plain in orjson.loads(plans.read_bytes())
    ]


def _open_record(plain: dict) -> typing.IO[str] | None:
    path = plain.get('record')
    return pathlib.Path(path).open('a') if path else None


def _until_signal() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def _serve_until_signal(fakes: abc.Sequence[tuple]) -> None:
    stopped = _until_signal()
    served = [await cell.serve(fake, port) for fake, port in fakes]
    swept = [
        fake for fake, _ in fakes if isinstance(fake, worker_fake.WorkerFake)
    ]
    sweeper = asyncio.create_task(cell.sweep(swept))
    await stopped.wait()
    sweeper.cancel()
    for one in served:
        await one.server.stop(0)


async def _relay_until_signal(control: int, plans: abc.Sequence[dict]) -> None:
    stopped = _until_signal()
    made = {}
    for plan in plans:
        made[plan['name']] = relay.Relay(plan['target'])
        await made[plan['name']].start(plan['port'])
    served = await cell.serve(_RelayControl(made), control)
    await stopped.wait()
    await served.server.stop(0)
    for one in made.values():
        await one.stop()


class _RelayControl:
    """Sets the state of relays: a JSON object of name to state."""

    def __init__(self, made: dict[str, relay.Relay]) -> None:
        self._made = made

    async def handle(self, req: httpmessage.Request) -> httpmessage.Reply:
        wanted = orjson.loads(req.body) if req.body else {}
        for name, state in wanted.items():
            self._made[name].set_state(relay.State(state))
        return httpmessage.json_reply(http.HTTPStatus.OK, {})


if __name__ == '__main__':
    cli()
