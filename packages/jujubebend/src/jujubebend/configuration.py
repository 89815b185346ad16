"""The operator configuration in force, with a revision that never decreases."""

from __future__ import annotations

import attrs

from jujubebend import manifest


@attrs.frozen
class Revision:
    """An accepted configuration: its revision, source text and manifest."""

    number: int
    text: str
    manifest: manifest.Manifest


EMPTY = Revision(0, '', manifest.Manifest())


@attrs.define
class Register:
    """The highest configuration revision seen so far."""

    current: Revision = EMPTY

    def install_if_newer(self, number: int, text: str) -> bool:
        """Install a revision if it is newer; return whether it was installed.

        Raises ``errors.InvalidInputError`` if the text cannot be parsed; the
        current revision then stays in force.
        """
        if number <= self.current.number:
            return False
        parsed = manifest.parse(text)
        self.current = Revision(number, text, parsed)
        return True
