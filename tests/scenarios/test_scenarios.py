"""Runs the scenario scripts on real processes.

Scripts that check a time limit (``timed-*``) run in ``make sweep`` only.
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
    assert asyncio.run(execution.run_script(script, tmp_path, seed=1)) == []
