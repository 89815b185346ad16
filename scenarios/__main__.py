"""Runs scenario scripts: ``python -m scenarios [--seed N] [--runs N] [FILE]``.

Without a file, every script of this folder is played.
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
    """Play scripts and print what failed; exit 1 if anything did."""
    chosen = scripts or sorted(FOLDER.glob('*.scenario'))
    failed = 0
    for script in chosen:
        for run in range(runs):
            failed += bool(_play(script, seed + run, keep=keep))
    typer.echo(f'{len(chosen) * runs - failed} passed, {failed} failed')
    raise typer.Exit(min(failed, 1))


def _play(script: pathlib.Path, seed: int, *, keep: bool) -> list[str]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='scenario-'))
    failures = asyncio.run(execution.play(script, folder, seed))
    verdict = 'failed' if failures else 'passed'
    typer.echo(f'{script.stem} seed {seed}: {verdict}')
    for text, count in collections.Counter(failures).most_common(10):
        typer.echo(f'  {text} (x{count})')
    if keep or failures:
        typer.echo(f'  logs and records: {folder}')
    else:
        shutil.rmtree(folder)
    return failures


if __name__ == '__main__':
    cli()
