"""Keys of the product's own records in the store."""

from __future__ import annotations

INBOX = 'in/'
JOBS = 'in/job/'
CANCELS = 'in/cancel/'
PROGRESS = 'at/'
WAVES = 'wave/'


def job(name: str) -> str:
    """Return the key of a job as it was accepted."""
    return JOBS + name


def cancel(name: str) -> str:
    """Return the key that says a job was cancelled."""
    return CANCELS + name


def progress(name: str) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + name


def wave(number: int) -> str:
    """Return the key of a wave's progress."""
    return f'{WAVES}{number}'
