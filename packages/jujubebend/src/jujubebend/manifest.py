"""The operator configuration: services, dependencies, teams and kinds.

The source text is YAML. ``parse`` returns the whole manifest, or raises an
error that lists every fault with its line.
"""

from __future__ import annotations

import graphlib
from collections import abc

import attrs
import yaml

from jujubebend import errors, resources, structuring

URGENT = 'urgent'
PATIENT = 'patient'
WORK_CLASSES = (URGENT, PATIENT)
POLICIES = ('service', 'batch', 'gang')
NAME_VALIDATOR = attrs.validators.matches_re('[a-z0-9][a-z0-9-]{0,62}')
DEFAULT_QUEUE_LIMIT = 500
DEFAULT_ATTEMPTS = 3
DEFAULT_DEADLINE_MS = 30_000
MAX_TEXT_BYTES = 900_000


@attrs.frozen
class Team:
    """A team, its fair-share weight and its quota.

    ``quota`` is the largest fraction of the capacity that it may use.
    """

    name: str = attrs.field(validator=NAME_VALIDATOR)
    weight: int = attrs.field(default=1, validator=structuring.positive())
    quota: float = attrs.field(
        default=1.0,
        validator=[attrs.validators.gt(0), attrs.validators.le(1)],
    )


@attrs.frozen
class Kind:
    """A kind of work: its class, placement policy, weight and limits."""

    name: str = attrs.field(validator=NAME_VALIDATOR)
    work_class: str = attrs.field(validator=attrs.validators.in_(WORK_CLASSES))
    policy: str = attrs.field(
        default='batch', validator=attrs.validators.in_(POLICIES)
    )
    weight: int = attrs.field(default=1, validator=structuring.positive())
    queue_limit: int = attrs.field(
        default=DEFAULT_QUEUE_LIMIT, validator=structuring.positive()
    )
    attempts: int = attrs.field(
        default=DEFAULT_ATTEMPTS, validator=structuring.positive()
    )
    deadline_ms: int = attrs.field(
        default=DEFAULT_DEADLINE_MS, validator=structuring.positive()
    )


@attrs.frozen
class Service:
    """A service: the kind of its work, its dependencies and its size.

    The scheduler keeps ``replicas`` running; with zero, the service only
    accepts requests and jobs. ``resources`` is the demand of one replica, and
    the default demand of a request that names none.
    """

    name: str = attrs.field(validator=NAME_VALIDATOR)
    kind: str
    team: str
    depends_on: list[str] = attrs.field(factory=list)
    replicas: int = attrs.field(default=0, validator=structuring.positive(0))
    resources: resources.Resources = resources.Resources(1, 1)


@attrs.frozen
class Manifest:
    """The whole operator configuration."""

    teams: list[Team] = attrs.field(factory=list)
    kinds: list[Kind] = attrs.field(factory=list)
    services: list[Service] = attrs.field(factory=list)
    largest_worker: resources.Resources | None = None

    def team(self, name: str) -> Team | None:
        """Return the team called ``name``, or None."""
        return _find_by_name(self.teams, name)

    def kind(self, name: str) -> Kind | None:
        """Return the kind of work called ``name``, or None."""
        return _find_by_name(self.kinds, name)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``, or None."""
        return _find_by_name(self.services, name)


def _find_by_name(entries: abc.Iterable, name: str):  # noqa: ANN202
    return next((entry for entry in entries if entry.name == name), None)


def _make_converter():  # noqa: ANN202
    converter = structuring.make_converter()
    structuring.rename_fields(converter, Kind, work_class='class')
    return converter


_converter = _make_converter()


def parse(text: str, source: str = 'text') -> Manifest:
    """Parse YAML text into a manifest; ``source`` names it in errors.

    Raises ``errors.InvalidInputError`` with every fault and its line.
    """
    if len(text.encode()) > MAX_TEXT_BYTES:
        found = f'{len(text.encode())} bytes'
        remedy = f'keep the text within {MAX_TEXT_BYTES} bytes'
        raise errors.InvalidInputError(
            source, [errors.Fault('$', found, remedy)]
        )
    root = _compose(text, source)
    reader = _NodeReader()
    document = {} if root is None else reader.read_node(root, '$')
    if reader.faults:
        raise errors.InvalidInputError(source, reader.faults)
    parsed = structuring.build_object(
        _converter, Manifest, document, source, reader.lines
    )
    faults = list(_find_faults(parsed, reader.lines))
    if faults:
        raise errors.InvalidInputError(source, faults)
    return parsed


def _compose(text: str, source: str) -> yaml.Node | None:
    try:
        return yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError, ValueError) as exc:
        mark = getattr(exc, 'problem_mark', None)
        line = mark.line + 1 if mark else 0
        problem = getattr(exc, 'problem', None) or type(exc).__name__
    fault = errors.Fault(
        '$', f'not YAML: {problem}', 'correct the syntax', line
    )
    raise errors.InvalidInputError(source, [fault])


class _NodeReader:
    """Converts YAML nodes to a document and records the line of each path."""

    def __init__(self) -> None:
        self.lines: dict[str, int] = {}
        self.faults: list[errors.Fault] = []
        self._ancestor_ids: set[int] = set()
        self._scalars = yaml.constructor.SafeConstructor()

    def read_node(self, node: yaml.Node, path: str) -> object:
        self.lines[path] = node.start_mark.line + 1
        if isinstance(node, yaml.ScalarNode):
            return self._read_scalar(node, path)
        if id(node) in self._ancestor_ids:
            self._add_fault(
                path, 'an alias refers to itself', 'remove the alias'
            )
            return None
        self._ancestor_ids.add(id(node))
        collection = self._read_collection(node, path)
        self._ancestor_ids.discard(id(node))
        return collection

    def _read_scalar(self, node: yaml.ScalarNode, path: str) -> object:
        try:
            return self._scalars.construct_object(node)
        except (ValueError, yaml.YAMLError):
            self._add_fault(
                path,
                f'{node.value!r} does not match its YAML tag',
                'correct the value',
            )
        return None

    def _read_collection(self, node: yaml.Node, path: str) -> object:
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read_node(child, f'{path}[{index}]')
                for index, child in enumerate(node.value)
            ]
        mapping: dict[str, object] = {}
        for key_node, child in node.value:
            key = str(key_node.value)
            if key in mapping:
                line = key_node.start_mark.line + 1
                fault = errors.Fault(
                    path, f'key {key!r} occurs twice', 'keep one of them', line
                )
                self.faults.append(fault)
            mapping[key] = self.read_node(child, f'{path}.{key}')
        return mapping

    def _add_fault(self, path: str, found: str, remedy: str) -> None:
        fault = errors.Fault(path, found, remedy, self.lines.get(path, 0))
        self.faults.append(fault)


def _find_faults(
    parsed: Manifest, lines: abc.Mapping[str, int]
) -> abc.Iterator[errors.Fault]:
    for section in ('teams', 'kinds', 'services'):
        yield from _find_duplicate_names(
            section, getattr(parsed, section), lines
        )
    for index, service in enumerate(parsed.services):
        path = f'$.services[{index}]'
        yield from _find_unknown_names(parsed, service, path, lines)
        yield from _find_oversized_demand(parsed, service, path, lines)
    yield from _find_cycles(parsed, lines)


def _fault_at(
    path: str, found: str, remedy: str, lines: abc.Mapping[str, int]
) -> errors.Fault:
    return errors.Fault(path, found, remedy, structuring.find_line(path, lines))


def _find_duplicate_names(
    section: str, entries: list, lines: abc.Mapping[str, int]
) -> abc.Iterator[errors.Fault]:
    used_names = set()
    for index, entry in enumerate(entries):
        path = f'$.{section}[{index}].name'
        if entry.name in used_names:
            found = f'the name {entry.name!r} is already used'
            yield _fault_at(path, found, 'choose another name', lines)
        used_names.add(entry.name)


def _find_unknown_names(
    parsed: Manifest,
    service: Service,
    path: str,
    lines: abc.Mapping[str, int],
) -> abc.Iterator[errors.Fault]:
    if parsed.kind(service.kind) is None:
        found = f'kind {service.kind!r} does not exist'
        yield _fault_at(f'{path}.kind', found, 'add it under kinds', lines)
    if parsed.team(service.team) is None:
        found = f'team {service.team!r} does not exist'
        yield _fault_at(f'{path}.team', found, 'add it under teams', lines)
    names = {entry.name for entry in parsed.services}
    for index, name in enumerate(service.depends_on):
        if name not in names:
            found = f'service {name!r} does not exist'
            place = f'{path}.depends_on[{index}]'
            yield _fault_at(place, found, 'add it under services', lines)


def _find_oversized_demand(
    parsed: Manifest,
    service: Service,
    path: str,
    lines: abc.Mapping[str, int],
) -> abc.Iterator[errors.Fault]:
    if parsed.largest_worker is None:
        return
    exceeded = service.resources.exceeded_dimension(parsed.largest_worker)
    if exceeded:
        found = f'more {exceeded} than the largest worker has'
        remedy = f'request less or raise $.largest_worker.{exceeded}'
        yield _fault_at(f'{path}.resources.{exceeded}', found, remedy, lines)


def _find_cycles(
    parsed: Manifest, lines: abc.Mapping[str, int]
) -> abc.Iterator[errors.Fault]:
    graph = {entry.name: entry.depends_on for entry in parsed.services}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as exc:
        cycle = exc.args[1]
        names = [entry.name for entry in parsed.services]
        path = f'$.services[{names.index(cycle[0])}].depends_on'
        found = f'dependency cycle: {" -> ".join(reversed(cycle))}'
        yield _fault_at(path, found, 'remove one of the dependencies', lines)
