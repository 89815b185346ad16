"""Ports for tests: no two test runs on one machine get the same ones."""

from __future__ import annotations

import contextlib
import subprocess
import sys

import pytest

from jujubebend_standin import ports

# Prints ports and keeps them until its input is closed.
PROGRAM = """
import sys
from jujubebend_standin import ports
print(*ports.find_free_ports(300), flush=True)
sys.stdin.read()
"""
PROCESS_COUNT = 4


def test_processes_that_run_side_by_side_get_different_ports():
    """Even before anything listens on them, as between choice and start."""
    with contextlib.ExitStack() as stack:
        processes = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, '-c', PROGRAM],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            for _ in range(PROCESS_COUNT)
        ]
        given_out = [process.stdout.readline().split() for process in processes]
        for process in processes:
            process.stdin.close()
    assert all(len(numbers) == 300 for numbers in given_out)
    assert len(set().union(*given_out)) == 300 * PROCESS_COUNT


def test_a_range_larger_than_a_block_is_refused():
    with pytest.raises(ValueError, match='a block has'):
        ports.find_free_port_range(ports.BLOCK_SIZE)
