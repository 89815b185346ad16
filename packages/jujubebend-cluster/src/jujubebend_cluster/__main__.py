"""Command line that runs the daemon of one host on the users' platform."""

from __future__ import annotations

import asyncio
import sys
import typing

import typer

from jujubebend import errors
from jujubebend_adapter import (
    advice,
    callerapi,
    machines,
    operatorconfig,
    settings,
    store,
    workers,
)
from jujubebend_cluster import (
    app,
    configwatcher,
    context,
    hostcapacity,
    logs,
)

USAGE_EXIT_CODE = 2

cli = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def build_app(cfg: settings.Settings) -> app.App:
    """Build a daemon from its settings."""
    platform_store = store.Store(cfg.store)
    config_watcher = configwatcher.ConfigWatcher(
        platform_store,
        operatorconfig.CONFIG_KEY,
        operatorconfig.OPERATOR_PREFIX,
        operatorconfig.parse,
        machines.parse_wave,
    )
    term_context = context.Context(
        store=platform_store,
        connect_worker=workers.Worker,
        parse_worker=workers.parse_worker_entry,
        workers_prefix=operatorconfig.WORKERS_PREFIX,
        current_config=lambda: config_watcher.config,
        current_waves=lambda: tuple(config_watcher.waves.values()),
        machines=_build_machines(cfg),
        lease=cfg.max_task_lease,
        status_retention=cfg.status_retention,
        capacity=hostcapacity.HostCapacity(cfg.cores, cfg.link_mbps),
    )
    addresses = app.Addresses(
        front=cfg.front,
        ready=cfg.ready,
        peer=f'{cfg.ip}:{cfg.first_free_port}',
        metrics=f'{cfg.ip}:{cfg.first_free_port + 1}',
        ready_path=callerapi.READY_PATH,
    )
    return app.App(
        host=cfg.host,
        addresses=addresses,
        context=term_context,
        config_watcher=config_watcher,
        advisor=advice.Advisor(cfg.advice) if cfg.advice else None,
        caller_format=callerapi,
        grace=cfg.grace,
        zone=cfg.zone,
    )


def _build_machines(cfg: settings.Settings) -> machines.Machines | None:
    if not cfg.machines:
        return None
    return machines.Machines(cfg.machines, cfg.machine_handover_gap)


async def run_app(cfg: settings.Settings) -> None:
    """Run a daemon until a signal asks it to stop."""
    await build_app(cfg).run()


@cli.command()
def main(
    check: typing.Annotated[
        bool, typer.Option('--check', help='Read the settings and exit.')
    ] = False,
) -> None:
    """Run the daemon of one host; the environment names its settings file."""
    try:
        cfg = settings.load()
    except errors.InvalidInputError as exc:
        sys.stderr.write(f'{exc}\n')
        raise typer.Exit(USAGE_EXIT_CODE) from exc
    if check:
        typer.echo(f'{cfg.host}: settings are valid')
        return
    logs.open_sink(cfg.host)
    asyncio.run(run_app(cfg))


if __name__ == '__main__':
    cli()
