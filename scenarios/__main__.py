"""Command line: ``python -m scenarios [--seed N] [--runs N] [--keep] [FILE...]``.

Without a file, every script in this folder is run.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import shutil
import tempfile
import typing

import typer

from scenarios.runner import execution

FOLDER = pathlib.Path(__file__).parent

cli = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@cli.command()
def main(
    scripts: typing.Annotated[
        list[pathlib.Path] | None, typer.Argument()
    ] = None,
    seed: int = 1,
    runs: int = 1,
    keep: bool = False,
) -> None:
    """Run scripts and print their failures; exit 1 if any script failed."""
    script_paths = scripts or sorted(FOLDER.glob('*.scenario'))
    failed_runs = 0
    for script in script_paths:
        for run_number in range(runs):
            failed_runs += bool(
                _run_script(script, seed + run_number, keep=keep)
            )
    typer.echo(
        f'{len(script_paths) * runs - failed_runs} passed, {failed_runs} failed'
    )
    raise typer.Exit(min(failed_runs, 1))


def _run_script(script: pathlib.Path, seed: int, *, keep: bool) -> list[str]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='scenario-'))
    failures = asyncio.run(execution.run_script(script, folder, seed))
    verdict = 'failed' if failures else 'passed'
    typer.echo(f'{script.stem} seed {seed}: {verdict}')
    for failure, count in collections.Counter(failures).most_common(10):
        typer.echo(f'  {failure} (x{count})')
    if keep or failures:
        typer.echo(f'  logs and records: {folder}')
    else:
        shutil.rmtree(folder)
    return failures


if __name__ == '__main__':
    cli()
