"""The configuration in force: one revision that only goes up."""

from __future__ import annotations

import attrs

from jujubebend import manifest


@attrs.frozen
class Revision:
    """An accepted text, parsed, with the revision that it got."""

    number: int
    text: str
    manifest: manifest.Manifest


EMPTY = Revision(0, '', manifest.Manifest())


@attrs.define
class Register:
    """Holds the highest revision seen and never takes a lower one."""

    current: Revision = EMPTY

    def offer(self, number: int, text: str) -> bool:
        """Take a revision when it is newer; say whether it was taken."""
        if number <= self.current.number:
            return False
        parsed = manifest.parse(text)
        self.current = Revision(number, text, parsed)
        return True
