"""Store keys of the scheduler's own records."""

from __future__ import annotations

INBOX = 'in/'
JOBS = 'in/job/'
CANCELS = 'in/cancel/'
PROGRESS = 'at/'
WAVES = 'wave/'
LEASES = 'leases'  # bounds on the leases of silent workers


def job(name: str) -> str:
    """Return the key of an accepted job."""
    return JOBS + name


def cancel(name: str) -> str:
    """Return the key whose presence means that a job is cancelled."""
    return CANCELS + name


def progress(name: str) -> str:
    """Return the key of a job's progress record."""
    return PROGRESS + name


def wave(number: int) -> str:
    """Return the key of a maintenance wave's progress record."""
    return f'{WAVES}{number}'
