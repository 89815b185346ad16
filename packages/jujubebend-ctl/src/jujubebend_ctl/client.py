"""Client calls of the command line: to entry hosts and to the platform store.

The operator configuration is kept in the store under one key. It is replaced
by a compare-and-swap on its revision.
"""

from __future__ import annotations

import asyncio
import difflib

import attrs

from jujubebend import errors, manifest
from jujubebend_http import httpclient, httpmessage
from jujubebend_platform import store

CONFIG_KEY = 'config/text'
CALL_TIMEOUT_SECONDS = 30.0
MAX_WRITE_RETRIES = 10
RETRY_INTERVAL_SECONDS = 0.3


class ConflictError(errors.JujubebendError):
    """The configuration in force is not the revision that was edited.

    ``revision`` is the revision in force and ``diff`` a unified diff from it
    to the rejected text.
    """

    def __init__(self, revision: int, diff: str) -> None:
        """Store the revision in force and the diff to the rejected text."""
        self.revision = revision
        self.diff = diff
        super().__init__(
            f'revision {revision} was accepted in the meantime; '
            'merge its changes and apply again',
        )


@attrs.frozen
class AcceptedConfig:
    """The configuration in the store; revision zero if there is none."""

    revision: int
    text: str


async def read_config(config_store: store.Store) -> AcceptedConfig:
    """Return the accepted configuration."""
    item = await config_store.get(CONFIG_KEY)
    if item is None:
        return AcceptedConfig(0, '')
    return AcceptedConfig(item.revision, item.text)


async def apply_config(
    config_store: store.Store, text: str, base_revision: int
) -> int:
    """Validate a configuration and store it if ``base_revision`` is in force.

    Return the new revision. Raise ``errors.InvalidInputError`` if the text is
    invalid, ``ConflictError`` if another revision is in force, and
    ``errors.UnreachableError`` if it remains unknown whether the text was
    accepted. If the reply to the write is lost, the write is retried; a
    conflict with an identical text then means that an earlier attempt
    succeeded.
    """
    manifest.parse(text)
    try:
        return await config_store.put(CONFIG_KEY, text, base_revision)
    except store.ConflictError:
        current = await read_config(config_store)
    except errors.UnreachableError:
        return await _retry_write(config_store, text, base_revision)
    raise _create_conflict(current, text)


async def _retry_write(
    config_store: store.Store, text: str, base_revision: int
) -> int:
    for _ in range(MAX_WRITE_RETRIES):
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        try:
            revision = await config_store.put(CONFIG_KEY, text, base_revision)
        except errors.UnreachableError:
            continue
        except store.ConflictError:
            current = await read_config(config_store)
            if current.text == text:
                return current.revision
            raise _create_conflict(current, text) from None
        return revision
    raise errors.UnreachableError(
        'the store did not confirm whether the configuration was accepted; '
        'check with `config` before applying it again',
    )


def _create_conflict(current: AcceptedConfig, text: str) -> ConflictError:
    lines = difflib.unified_diff(
        current.text.splitlines(),
        text.splitlines(),
        f'revision {current.revision}',
        'your text',
        lineterm='',
    )
    return ConflictError(current.revision, '\n'.join(lines))


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout: float = CALL_TIMEOUT_SECONDS,
) -> httpmessage.Reply:
    """Send one request to an entry host; ``timeout`` is in seconds."""
    async with httpclient.open_client(address, 1) as client:
        return await client.call(
            method, path, body, timeout=timeout, headers=headers
        )
