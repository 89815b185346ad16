"""The settings of a daemon: JSON with comments, checked when read."""

from __future__ import annotations

import pathlib
import re
from collections import abc

import attrs
import pyjson5

from jujubebend import errors, manifest, resources, structuring

LARGEST_PORT = 65_535
PORT = (attrs.validators.ge(0), attrs.validators.le(LARGEST_PORT))
ADDRESS = attrs.validators.matches_re(r'[^\s:]+:\d{1,5}')
DEFAULT_LEASE_MS = 10_000
DEFAULT_DRAIN_MS = 60_000
DEFAULT_DRAIN_NOTICE_MS = 2000
DEFAULT_BODY_BYTES = 2 * resources.MIB
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_CONNECTIONS = 2048
DEFAULT_SHARDS = 2
DEFAULT_STORE_WRITES = 200
DEFAULT_RETENTION_MS = 600_000
DEFAULT_LOST_MS = 45_000


@attrs.frozen
class Listen:
    """Where a server listens."""

    host: str = '127.0.0.1'
    port: int = attrs.field(default=0, validator=PORT)


@attrs.frozen
class Peer:
    """Another entry host: its name, zone and gRPC address."""

    name: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    zone: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    address: str = attrs.field(validator=ADDRESS)


@attrs.frozen
class Limits:
    """Bounds on what callers may send."""

    body_bytes: int = attrs.field(
        default=DEFAULT_BODY_BYTES, validator=structuring.positive()
    )
    header_bytes: int = attrs.field(
        default=DEFAULT_HEADER_BYTES, validator=structuring.positive()
    )
    connections: int = attrs.field(
        default=DEFAULT_CONNECTIONS, validator=structuring.positive()
    )


@attrs.frozen
class Settings:
    """Everything that a daemon has to be told.

    ``zones`` must be the same on every entry host: shards are numbered by
    it. Times are in milliseconds.
    """

    name: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    zone: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    zones: list[str]
    store: str = attrs.field(validator=ADDRESS)
    host_list: str = attrs.field(validator=ADDRESS)
    http: Listen = attrs.field(factory=Listen)
    grpc: Listen = attrs.field(factory=Listen)
    peers: list[Peer] = attrs.field(factory=list)
    limits: Limits = attrs.field(factory=Limits)
    shards_per_zone: int = attrs.field(
        default=DEFAULT_SHARDS, validator=structuring.positive()
    )
    store_writes_per_second: int = attrs.field(
        default=DEFAULT_STORE_WRITES, validator=structuring.positive()
    )
    lease_ms: int = attrs.field(
        default=DEFAULT_LEASE_MS, validator=structuring.positive(1000)
    )
    drain_ms: int = attrs.field(
        default=DEFAULT_DRAIN_MS, validator=structuring.positive(0)
    )
    drain_notice_ms: int = attrs.field(
        default=DEFAULT_DRAIN_NOTICE_MS, validator=structuring.positive(0)
    )
    retention_ms: int = attrs.field(
        default=DEFAULT_RETENTION_MS, validator=structuring.positive(1000)
    )
    lost_ms: int = attrs.field(
        default=DEFAULT_LOST_MS, validator=structuring.positive(1000)
    )
    log_file: str = ''

    def shards(self) -> list[str]:
        """Return the names of all shards, the same on every host."""
        return [
            f'{zone}-{number}'
            for zone in sorted(self.zones)
            for number in range(self.shards_per_zone)
        ]


_converter = structuring.make_converter()


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Raises ``errors.InvalidInputError`` with file, line, key and remedy.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        fault = errors.Fault('$', f'not readable: {exc}', 'give another file')
        raise errors.InvalidInputError(str(path), [fault]) from exc
    return parse(text, str(path))


def parse(text: str, source: str = 'settings') -> Settings:
    """Return the settings that ``text`` describes."""
    try:
        plain = pyjson5.decode(text)
    except (pyjson5.Json5DecoderException, RecursionError) as exc:
        place = re.search(r'near (\d+)', str(exc))
        line = text.count('\n', 0, int(place[1])) + 1 if place else 0
        fault = errors.Fault('$', f'not JSON: {exc}', 'mend the syntax', line)
        raise errors.InvalidInputError(source, [fault]) from exc
    lines = _find_lines(text)
    parsed = structuring.build_object(
        _converter, Settings, plain, source, lines
    )
    if parsed.zone not in parsed.zones:
        found = f'zone {parsed.zone!r} is none of {parsed.zones}'
        line = structuring.line_of('$.zone', lines)
        fault = errors.Fault('$.zone', found, 'add it to zones', line)
        raise errors.InvalidInputError(source, [fault])
    return parsed


def _find_lines(text: str) -> abc.Mapping[str, int]:
    """Return the line of each top-level key that stands only once."""
    found: dict[str, list[int]] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        for key in re.findall(r'"?(\w+)"?\s*:', line):
            found.setdefault(key, []).append(number)
    return {
        f'$.{key}': numbers[0]
        for key, numbers in found.items()
        if len(numbers) == 1
    }
