"""Calls of the command line: to entry hosts and to the platform's store."""

from __future__ import annotations

import asyncio
import difflib

import attrs

from jujubebend import errors, manifest
from jujubebend_http import httpclient, httpmessage
from jujubebend_platform import store

CONFIG_KEY = 'config/text'
CALL_TIMEOUT = 30.0
SETTLE_TRIES = 10
SETTLE_WAIT = 0.3


class ConflictError(errors.JujubebendError):
    """Another operator's edit came first; ``diff`` shows what it changed."""

    def __init__(self, revision: int, diff: str) -> None:
        """Keep the revision in force and the difference to it."""
        self.revision = revision
        self.diff = diff
        super().__init__(
            f'revision {revision} was accepted meanwhile; '
            'take its changes in and apply again',
        )


@attrs.frozen
class Edited:
    """The text in the store with its revision; zero for none."""

    revision: int
    text: str


async def read_config(kept: store.Store) -> Edited:
    """Return the accepted text."""
    found = await kept.get(CONFIG_KEY)
    if found is None:
        return Edited(0, '')
    return Edited(found.revision, found.text)


async def apply_config(kept: store.Store, text: str, base: int) -> int:
    """Check a text and accept it, if ``base`` is still in force.

    Returns the new revision. Raises ``errors.InvalidInputError``,
    ``ConflictError`` or, when it stays unknown whether the text was
    accepted, ``errors.UnreachableError``. An answer lost on the way is
    settled by reading the text back.
    """
    manifest.parse(text)
    try:
        return await kept.put(CONFIG_KEY, text, base)
    except store.ConflictError:
        current = await read_config(kept)
    except errors.UnreachableError:
        return await _settle(kept, text, base)
    raise _conflict(current, text)


async def _settle(kept: store.Store, text: str, base: int) -> int:
    for _ in range(SETTLE_TRIES):
        await asyncio.sleep(SETTLE_WAIT)
        try:
            revision = await kept.put(CONFIG_KEY, text, base)
        except errors.UnreachableError:
            continue
        except store.ConflictError:
            current = await read_config(kept)
            if current.text == text:
                return current.revision
            raise _conflict(current, text) from None
        return revision
    raise errors.UnreachableError(
        'the store does not say whether the text was accepted; '
        'see `config` before you apply again',
    )


def _conflict(current: Edited, text: str) -> ConflictError:
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
    timeout: float = CALL_TIMEOUT,
) -> httpmessage.Reply:
    """Call an entry host once."""
    async with httpclient.open_client(address, 1) as client:
        return await client.call(
            method, path, body, timeout=timeout, headers=headers
        )
