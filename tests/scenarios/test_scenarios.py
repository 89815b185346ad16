"""The fixed set of scenarios, on real processes.

Scripts whose facts bound a time are played by ``make sweep`` only.
"""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from scenarios.runner import execution

FOLDER = pathlib.Path(__file__).parents[2] / 'scenarios'
SCRIPTS = sorted(
    path
    for path in FOLDER.glob('*.scenario')
    if not path.stem.startswith('timed-')
)


@pytest.mark.parametrize('script', SCRIPTS, ids=lambda path: path.stem)
def test_scenario(script, tmp_path):
    assert asyncio.run(execution.play(script, tmp_path, seed=1)) == []
