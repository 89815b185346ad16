"""The command ``jujubebend``, for operators and callers."""

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
    """Check an operators' text and print every fault with its line."""
    text = _read(file)
    parsed = _run(_parse(text, file))
    typer.echo(f'{file}: {len(parsed.services)} services, no faults')


@cli.command(name='apply')
def apply_text(
    file: File,
    base: typing.Annotated[
        int, typer.Option(help='The revision that was edited.')
    ],
    store_address: StoreAddress = DEFAULT_STORE,
) -> None:
    """Accept a text if the revision that was edited is still in force."""
    text = _read(file)
    _run(_parse(text, file))
    kept = store.HttpStore(store_address)
    revision = _run(client.apply_config(kept, text, base))
    typer.echo(f'accepted as revision {revision}')


@cli.command()
def config(
    store_address: StoreAddress = DEFAULT_STORE, as_json: AsJson = False
) -> None:
    """Print the accepted text and its revision."""
    current = _run(client.read_config(store.HttpStore(store_address)))
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
    """Send requests and jobs, one JSON object a line.

    A line with ``tasks`` is a job, another a request; ``key`` is its
    idempotency key.
    """
    lines = _run(_read_lines(_read(file), file))
    with progress.Progress(console=console.Console(stderr=True)) as shown:
        task = shown.add_task('sent', total=len(lines))
        sending = submit.send_all(
            list(host), lines, wait=wait, ended=lambda: shown.advance(task)
        )
        sent = _run(sending)
    if as_json:
        _print_json([one.to_json() for one in sent])
    else:
        rows = [(one.place, one.state, one.detail) for one in sent]
        _print_table(('line', 'state', 'detail'), rows)
    if any(one.state == 'invalid' for one in sent):
        raise typer.Exit(BAD_INPUT)
    if not all(one.is_good() for one in sent):
        raise typer.Exit(WORK_FAILED)


@cli.command()
def cancel(job_id: str, host: Hosts = (DEFAULT_HOST,)) -> None:
    """Cancel a job."""
    reply = _call_any(host, 'DELETE', f'/v1/jobs/{job_id}')
    _print_json(reply.json())


@cli.command()
def show(job_id: str, host: Hosts = (DEFAULT_HOST,)) -> None:
    """Print a job with its tasks."""
    reply = _call_any(host, 'GET', f'/v1/jobs/{job_id}')
    _print_json(reply.json())


@cli.command()
def state(host: str) -> None:
    """Print the whole state of one entry host."""
    reply = _call_any([host], 'GET', '/state')
    _print_json(reply.json())


@cli.command()
def status(host: Hosts = (DEFAULT_HOST,), as_json: AsJson = False) -> None:
    """Print hosts, workers, queues, and who waits and why."""
    states = [_call_any([one], 'GET', '/state').json() for one in host]
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
    """Tell one job's story, in order, from the daemons' log lines."""
    lines = explain.read(line for log in logs for line in log)
    story = explain.tell(lines, job)
    for line in story.render():
        typer.echo(line)
    if not story.lines:
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
    """Run a whole small cell in this process, with a mixed sample."""
    good = _run(demo.run(serve=serve, port=port, seed=seed))
    if not good:
        raise typer.Exit(WORK_FAILED)


def run() -> None:
    """Run the command line."""
    cli()


async def _parse(text: str, file: pathlib.Path) -> manifest.Manifest:
    return manifest.parse(text, str(file))


async def _read_lines(text: str, file: pathlib.Path) -> list[submit.Line]:
    return submit.read_lines(text, str(file))


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        typer.echo(f'{file}: {exc}; give a readable file', err=True)
        raise typer.Exit(BAD_INPUT) from exc


def _run(work: abc.Coroutine):  # noqa: ANN202
    """Run to the end; turn typed errors into exit codes."""
    try:
        return asyncio.run(work)
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


def _call_any(
    hosts: abc.Sequence[str], method: str, path: str
) -> httpmessage.Reply:
    reply = _run(submit.call_any(list(hosts), method, path))
    if reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        typer.echo(reply.body.decode(), err=True)
        raise typer.Exit(UNREACHABLE)
    if reply.status >= http.HTTPStatus.BAD_REQUEST:
        typer.echo(reply.body.decode(), err=True)
        raise typer.Exit(BAD_INPUT)
    return reply


def _print_json(plain: object) -> None:
    printed = orjson.dumps(plain, option=orjson.OPT_INDENT_2)
    typer.echo(printed.decode())


def _print_table(
    columns: abc.Sequence[str], rows: abc.Iterable[abc.Sequence[object]]
) -> None:
    printed = table.Table(*columns)
    for row in rows:
        printed.add_row(*map(str, row))
    console.Console(soft_wrap=True).print(printed)


def _print_status(states: list[dict]) -> None:
    _print_table(
        ('host', 'zone', 'ready', 'revision', 'alive', 'workers'),
        [
            (
                one['name'],
                one['zone'],
                one['ready'],
                one['config_revision'],
                len(one['alive']),
                len(one['workers']),
            )
            for one in states
        ],
    )
    _print_table(
        ('worker', 'owner', 'slots held', 'slots', 'pace', 'leaving'),
        [
            (
                name,
                one['name'],
                worker['held']['slots'],
                worker['capacity']['slots'],
                worker['pace'],
                worker['leaving'],
            )
            for one in states
            for name, worker in one['workers'].items()
        ],
    )
    _print_table(
        ('host', 'kind', 'team or job', 'waited s', 'why'),
        [
            (
                one['name'],
                ticket['kind'],
                ticket['team'],
                ticket['waited_seconds'],
                ticket['why'],
            )
            for one in states
            for ticket in one['waiting']
        ],
    )


if __name__ == '__main__':
    run()
