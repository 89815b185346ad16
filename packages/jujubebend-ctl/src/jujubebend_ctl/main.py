"""Command ``jujubebend`` for operators and callers.

The exit code is zero on success, otherwise one of the constants below.
"""

from __future__ import annotations

import asyncio
import http
import pathlib
import typing
from collections import abc

import orjson
import typer
from rich import console, progress, table

from jujubebend import errors, manifest
from jujubebend_ctl import client, demo, explain, submit
from jujubebend_http import httpmessage
from jujubebend_platform import store

# Exit codes.
WORK_FAILED = 1
BAD_INPUT = 2
CONFLICT = 3
UNREACHABLE = 4

DEFAULT_HOST = '127.0.0.1:8000'
DEFAULT_STORE = '127.0.0.1:2000'

cli = typer.Typer(add_completion=False, pretty_exceptions_enable=False)

Hosts = typing.Annotated[
    list[str],
    typer.Option('--host', help='HTTP address of an entry host; repeatable.'),
]
StoreAddress = typing.Annotated[
    str, typer.Option('--store', help='Address of the platform store.')
]
AsJson = typing.Annotated[bool, typer.Option('--json', help='Print JSON.')]
File = typing.Annotated[pathlib.Path, typer.Argument()]


@cli.command()
def check(file: File) -> None:
    """Check an operator configuration and print every fault with its line."""
    text = _read_file(file)
    parsed = _run_or_exit(_parse_config(text, file))
    typer.echo(f'{file}: {len(parsed.services)} services, no faults')


@cli.command(name='apply')
def apply_text(
    file: File,
    base: typing.Annotated[
        int, typer.Option(help='Revision that the edit is based on.')
    ],
    store_address: StoreAddress = DEFAULT_STORE,
) -> None:
    """Store a configuration if its base revision is still in force."""
    text = _read_file(file)
    _run_or_exit(_parse_config(text, file))
    config_store = store.HttpStore(store_address)
    revision = _run_or_exit(client.apply_config(config_store, text, base))
    typer.echo(f'accepted as revision {revision}')


@cli.command()
def config(
    store_address: StoreAddress = DEFAULT_STORE, as_json: AsJson = False
) -> None:
    """Print the accepted configuration and its revision."""
    current = _run_or_exit(client.read_config(store.HttpStore(store_address)))
    if as_json:
        _print_json({'revision': current.revision, 'text': current.text})
        return
    typer.echo(f'# revision {current.revision}')
    typer.echo(current.text, nl=False)


@cli.command(name='submit')
def submit_file(
    file: File,
    host: Hosts = (DEFAULT_HOST,),
    wait: typing.Annotated[
        bool, typer.Option('--wait', help='Wait for the jobs to end.')
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Send requests and jobs from a file with one JSON object per line.

    A line with ``tasks`` is a job, any other line a request. ``key`` is the
    idempotency key.
    """
    lines = _run_or_exit(_parse_lines(_read_file(file), file))
    with progress.Progress(console=console.Console(stderr=True)) as display:
        progress_id = display.add_task('sent', total=len(lines))
        sending = submit.send_lines(
            list(host),
            lines,
            wait=wait,
            on_line_done=lambda: display.advance(progress_id),
        )
        line_results = _run_or_exit(sending)
    if as_json:
        _print_json([line.to_json() for line in line_results])
    else:
        rows = [(line.place, line.state, line.detail) for line in line_results]
        _print_table(('line', 'state', 'detail'), rows)
    if any(line.state == 'invalid' for line in line_results):
        raise typer.Exit(BAD_INPUT)
    if not all(line.is_success() for line in line_results):
        raise typer.Exit(WORK_FAILED)


@cli.command()
def cancel(job_id: str, host: Hosts = (DEFAULT_HOST,)) -> None:
    """Cancel a job."""
    reply = _call_any_host(host, 'DELETE', f'/v1/jobs/{job_id}')
    _print_json(reply.json())


@cli.command()
def show(job_id: str, host: Hosts = (DEFAULT_HOST,)) -> None:
    """Print a job and its tasks."""
    reply = _call_any_host(host, 'GET', f'/v1/jobs/{job_id}')
    _print_json(reply.json())


@cli.command()
def state(host: str) -> None:
    """Print the complete state of one entry host."""
    reply = _call_any_host([host], 'GET', '/state')
    _print_json(reply.json())


@cli.command()
def status(host: Hosts = (DEFAULT_HOST,), as_json: AsJson = False) -> None:
    """Print hosts, workers and waiting work with the reason it waits."""
    states = [
        _call_any_host([address], 'GET', '/state').json() for address in host
    ]
    if as_json:
        _print_json(states)
        return
    _print_status(states)


@cli.command(name='explain')
def explain_job(
    job: typing.Annotated[str, typer.Argument(help='The ID of a job.')],
    logs: typing.Annotated[
        list[typer.FileBinaryRead],
        typer.Argument(help='Log files of any hosts; - is standard input.'),
    ],
) -> None:
    """Print the history of a job from the log lines of the daemons."""
    lines = explain.parse_log(line for log in logs for line in log)
    history = explain.build_history(lines, job)
    for line in history.render():
        typer.echo(line)
    if not history.lines:
        raise typer.Exit(WORK_FAILED)


@cli.command(name='try')
def try_out(
    serve: typing.Annotated[
        bool, typer.Option('--serve', help='Stay up until SIGTERM.')
    ] = False,
    port: typing.Annotated[
        int, typer.Option(help='Port of the first entry host.')
    ] = 0,
    seed: int = 1,
) -> None:
    """Run a small cluster in this process and send it a sample load."""
    succeeded = _run_or_exit(demo.run_demo(serve=serve, port=port, seed=seed))
    if not succeeded:
        raise typer.Exit(WORK_FAILED)


def run() -> None:
    """Run the command line."""
    cli()


async def _parse_config(text: str, file: pathlib.Path) -> manifest.Manifest:
    return manifest.parse(text, str(file))


async def _parse_lines(text: str, file: pathlib.Path) -> list[submit.InputLine]:
    return submit.parse_lines(text, str(file))


def _read_file(file: pathlib.Path) -> str:
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        typer.echo(f'{file}: {exc}; expected a readable text file', err=True)
        raise typer.Exit(BAD_INPUT) from exc


def _run_or_exit(command: abc.Coroutine):  # noqa: ANN202
    """Run a coroutine; print a typed error and exit with its exit code."""
    try:
        return asyncio.run(command)
    except errors.InvalidInputError as exc:
        typer.echo(str(exc), err=True)
        code = BAD_INPUT
    except client.ConflictError as exc:
        typer.echo(f'{exc}\n{exc.diff}', err=True)
        code = CONFLICT
    except errors.UnreachableError as exc:
        typer.echo(str(exc), err=True)
        code = UNREACHABLE
    raise typer.Exit(code)


def _call_any_host(
    hosts: abc.Sequence[str], method: str, path: str
) -> httpmessage.Reply:
    reply = _run_or_exit(submit.call_any_host(list(hosts), method, path))
    if reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        typer.echo(reply.body.decode(), err=True)
        raise typer.Exit(UNREACHABLE)
    if reply.status >= http.HTTPStatus.BAD_REQUEST:
        typer.echo(reply.body.decode(), err=True)
        raise typer.Exit(BAD_INPUT)
    return reply


def _print_json(document: object) -> None:
    encoded = orjson.dumps(document, option=orjson.OPT_INDENT_2)
    typer.echo(encoded.decode())


def _print_table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> None:
    text_table = table.Table(*columns)
    for row in rows:
        text_table.add_row(*map(str, row))
    console.Console(soft_wrap=True).print(text_table)


def _print_status(host_states: list[dict]) -> None:
    _print_table(
        ('host', 'zone', 'ready', 'revision', 'alive', 'workers'),
        [
            (
                host_state['name'],
                host_state['zone'],
                host_state['ready'],
                host_state['config_revision'],
                len(host_state['alive']),
                len(host_state['workers']),
            )
            for host_state in host_states
        ],
    )
    _print_table(
        ('worker', 'owner', 'slots held', 'slots', 'pace', 'leaving'),
        [
            (
                name,
                host_state['name'],
                worker['held']['slots'],
                worker['capacity']['slots'],
                worker['pace'],
                worker['leaving'],
            )
            for host_state in host_states
            for name, worker in host_state['workers'].items()
        ],
    )
    _print_table(
        ('host', 'kind', 'team or job', 'waited s', 'why'),
        [
            (
                host_state['name'],
                ticket['kind'],
                ticket['team'],
                ticket['waited_seconds'],
                ticket['why'],
            )
            for host_state in host_states
            for ticket in host_state['waiting']
        ],
    )


if __name__ == '__main__':
    run()
