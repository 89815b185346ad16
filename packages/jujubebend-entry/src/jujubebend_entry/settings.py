"""Settings of the daemon, read from JSON with comments and validated."""

from __future__ import annotations

import pathlib
import re
from collections import abc

import attrs
import pyjson5

from jujubebend import errors, manifest, resources, structuring

MAX_PORT = 65_535
PORT_VALIDATOR = (attrs.validators.ge(0), attrs.validators.le(MAX_PORT))
ADDRESS_VALIDATOR = attrs.validators.matches_re(r'[^\s:]+:\d{1,5}')
DEFAULT_LEASE_MS = 10_000
DEFAULT_DRAIN_MS = 60_000
DEFAULT_DRAIN_NOTICE_MS = 2000
DEFAULT_BODY_BYTES = 2 * resources.MIB
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_CONNECTIONS = 2048
DEFAULT_SHARDS_PER_ZONE = 2
DEFAULT_STORE_WRITES_PER_SECOND = 200
DEFAULT_RETENTION_MS = 600_000
DEFAULT_LOST_MS = 45_000


@attrs.frozen
class Listen:
    """Address that a server listens on; port 0 chooses a free port."""

    host: str = '127.0.0.1'
    port: int = attrs.field(default=0, validator=PORT_VALIDATOR)


@attrs.frozen
class Peer:
    """Another entry host: its name, zone and gRPC address."""

    name: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    zone: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    address: str = attrs.field(validator=ADDRESS_VALIDATOR)


@attrs.frozen
class Limits:
    """Limits on the requests and connections of callers."""

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
    """Settings of one daemon.

    ``zones`` and ``shards_per_zone`` must be the same on every entry host,
    because they determine the names of the shards. Times are in
    milliseconds.
    """

    name: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    zone: str = attrs.field(validator=manifest.NAME_VALIDATOR)
    zones: list[str]
    store: str = attrs.field(validator=ADDRESS_VALIDATOR)
    host_list: str = attrs.field(validator=ADDRESS_VALIDATOR)
    http: Listen = attrs.field(factory=Listen)
    grpc: Listen = attrs.field(factory=Listen)
    peers: list[Peer] = attrs.field(factory=list)
    limits: Limits = attrs.field(factory=Limits)
    shards_per_zone: int = attrs.field(
        default=DEFAULT_SHARDS_PER_ZONE, validator=structuring.positive()
    )
    store_writes_per_second: int = attrs.field(
        default=DEFAULT_STORE_WRITES_PER_SECOND,
        validator=structuring.positive(),
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

    def shard_names(self) -> list[str]:
        """Return the names of all shards; they are the same on every host."""
        return [
            f'{zone}-{number}'
            for zone in sorted(self.zones)
            for number in range(self.shards_per_zone)
        ]


_converter = structuring.make_converter()


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises ``errors.InvalidInputError`` with the file and, for each fault,
    its line, key and remedy.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        fault = errors.Fault(
            '$', f'not readable: {exc}', 'name a readable file'
        )
        raise errors.InvalidInputError(str(path), [fault]) from exc
    return parse(text, str(path))


def parse(text: str, source: str = 'settings') -> Settings:
    """Parse and validate settings; ``source`` names them in errors."""
    try:
        document = pyjson5.decode(text)
    except (pyjson5.Json5DecoderException, RecursionError) as exc:
        position = re.search(r'near (\d+)', str(exc))
        line = text.count('\n', 0, int(position[1])) + 1 if position else 0
        fault = errors.Fault(
            '$', f'not JSON: {exc}', 'correct the syntax', line
        )
        raise errors.InvalidInputError(source, [fault]) from exc
    lines = _find_lines(text)
    parsed = structuring.build_object(
        _converter, Settings, document, source, lines
    )
    if parsed.zone not in parsed.zones:
        found = f'zone {parsed.zone!r} is not in {parsed.zones}'
        line = structuring.find_line('$.zone', lines)
        fault = errors.Fault('$.zone', found, 'add it to zones', line)
        raise errors.InvalidInputError(source, [fault])
    return parsed


def _find_lines(text: str) -> abc.Mapping[str, int]:
    """Return the line of each key that occurs only once in the text."""
    lines_by_key: dict[str, list[int]] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        for key in re.findall(r'"?(\w+)"?\s*:', line):
            lines_by_key.setdefault(key, []).append(number)
    return {
        f'$.{key}': line_numbers[0]
        for key, line_numbers in lines_by_key.items()
        if len(line_numbers) == 1
    }
