"""In-memory store whose calls can be made to fail."""

from __future__ import annotations

import attrs

from jujubebend import errors
from jujubebend_platform import store


@attrs.define(eq=False)
class FakeStore:
    """Store with compare-and-swap on a dictionary.

    The next ``drop`` writes fail without taking effect. The next ``lose``
    writes take effect, but their answers are lost. While ``down``, each call
    except ``close`` fails.
    """

    items: dict[str, store.Item] = attrs.field(factory=dict)
    revision: int = 0
    lose: int = 0
    drop: int = 0
    down: bool = False
    puts: int = 0

    async def get(self, key):
        self._check()
        return self.items.get(key)

    async def put(self, key, text, expect):
        self._check()
        self.puts += 1
        if self.drop:
            self.drop -= 1
            raise errors.UnreachableError('dropped')
        current = self.items.get(key)
        revision = current.revision if current else 0
        if revision != expect:
            raise store.ConflictError(key, revision)
        if len(text) > store.MAX_VALUE_BYTES:
            raise errors.RefusedError('too large')
        self.revision += 1
        self.items[key] = store.Item(key, text, self.revision)
        if self.lose:
            self.lose -= 1
            raise errors.UnreachableError('answer lost')
        return self.revision

    async def delete(self, key, expect):
        self._check()
        self.items.pop(key, None)

    async def scan(self, prefix):
        self._check()
        matching = [
            item for key, item in self.items.items() if key.startswith(prefix)
        ]
        return store.ItemList(matching, self.revision)

    async def watch(self, prefix, after, wait):
        return await self.scan(prefix)

    async def close(self):
        """Do nothing; there are no resources to release."""

    def _check(self):
        if self.down:
            raise errors.UnreachableError('down')
