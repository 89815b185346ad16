"""Command line of ``jujubebendd``, the daemon of an entry host."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import typing

import eliot
import typer

from jujubebend import errors
from jujubebend_entry import app as entry_app
from jujubebend_entry import settings

EXIT_INVALID_INPUT = 2

cli = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@cli.command()
def serve(
    settings_file: typing.Annotated[
        pathlib.Path, typer.Option('--settings', help='JSON with comments.')
    ],
) -> None:
    """Run the daemon of an entry host until SIGTERM, then drain."""
    try:
        cfg = settings.load(settings_file)
    except errors.InvalidInputError as exc:
        typer.echo(str(exc), err=True)
        raise typer.Exit(EXIT_INVALID_INPUT) from exc
    _configure_log(cfg)
    try:
        asyncio.run(run_until_signal(cfg))
    except (OSError, RuntimeError) as exc:
        typer.echo(
            f'{settings_file}: {exc}; free the address or change it', err=True
        )
        raise typer.Exit(EXIT_INVALID_INPUT) from exc


async def run_until_signal(cfg: settings.Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain it."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    app = entry_app.build(cfg)
    await app.start()
    await stop_requested.wait()
    await app.stop()


def run() -> None:
    """Run the command line."""
    cli()


def _configure_log(cfg: settings.Settings) -> None:
    if cfg.log_file:
        path = pathlib.Path(cfg.log_file)
        eliot.to_file(path.open('a', buffering=1))
    else:
        eliot.to_file(sys.stdout)


if __name__ == '__main__':
    run()
