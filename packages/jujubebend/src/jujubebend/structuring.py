"""Strict conversion of decoded documents to attrs classes.

Values are never coerced to another type, unknown fields are faults, and each
fault names the path of its field in the form ``$.services[2].name``.
"""

from __future__ import annotations

import typing
from collections import abc

import attrs
import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen

from jujubebend import errors, resources

Type = typing.TypeVar('Type')


class WrongTypeError(ValueError):
    """A value does not have the type or range of its field."""


def _strict_hook(
    expected_type: type, *other_types: type
) -> abc.Callable[[object, object], object]:
    def check_type(value: object, _: object) -> object:
        if isinstance(value, bool) and expected_type is not bool:
            raise WrongTypeError(
                f'{value!r} is not of type {expected_type.__name__}'
            )
        if not isinstance(value, (expected_type, *other_types)):
            raise WrongTypeError(
                f'{value!r} is not of type {expected_type.__name__}'
            )
        return value

    return check_type


def _structure_resources(amounts: object, _: object) -> resources.Resources:
    if not isinstance(amounts, dict):
        raise WrongTypeError(f'{amounts!r} is not an object of amounts')
    for name, amount in amounts.items():
        _check_amount(name, amount)
    return resources.from_json(amounts)


def _check_amount(name: object, amount: object) -> None:
    if name not in resources.DIMENSIONS:
        raise WrongTypeError(
            f'{name!r} is not one of {", ".join(resources.DIMENSIONS)}',
        )
    accepted = (int, float) if name == 'cpus' else (int,)
    if isinstance(amount, bool) or not isinstance(amount, accepted):
        raise WrongTypeError(
            f'expected an integer (for cpus, a number) as {name},'
            f' found {amount!r}'
        )
    if not 0 <= amount <= resources.MAX_AMOUNT:
        raise WrongTypeError(f'{name} is out of range: {amount!r}')


def make_converter() -> cattrs.Converter:
    """Return a converter that checks types and rejects unknown fields."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _strict_hook(int))
    converter.register_structure_hook(float, _strict_hook(float, int))
    converter.register_structure_hook(str, _strict_hook(str))
    converter.register_structure_hook(bool, _strict_hook(bool))
    converter.register_structure_hook(resources.Resources, _structure_resources)
    return converter


def rename_fields(
    converter: cattrs.Converter, target: type, **names: str
) -> None:
    """Map fields of ``target`` to other names in the document."""
    overrides = {
        field: gen.override(rename=name) for field, name in names.items()
    }
    converter.register_structure_hook(
        target,
        gen.make_dict_structure_fn(
            target,
            converter,
            _cattrs_forbid_extra_keys=True,
            **overrides,
        ),
    )


def build_object(
    converter: cattrs.Converter,
    target: type[Type],
    document: object,
    source: str,
    lines: abc.Mapping[str, int] | None = None,
) -> Type:
    """Convert ``document`` to an instance of ``target``.

    ``source`` names the input in errors. ``lines`` maps paths to lines, if
    the source has lines. Raises ``errors.InvalidInputError`` with every fault
    found.
    """
    if not isinstance(document, dict):
        found = f'expected an object, found {type(document).__name__}'
        fault = errors.Fault('$', found, 'give an object with named fields')
        raise errors.InvalidInputError(source, [fault])
    try:
        return converter.structure(document, target)
    except (cattrs_errors.BaseValidationError, ValueError) as exc:
        messages = cattrs.transform_error(exc, '$', _describe_error)
    faults = [_to_fault(message, lines or {}) for message in messages]
    raise errors.InvalidInputError(source, faults)


def find_line(path: str, lines: abc.Mapping[str, int]) -> int:
    """Return the line of ``path`` or of its closest known parent, or 0."""
    while path:
        line = lines.get(path)
        if line is not None:
            return line
        path = path[: max(path.rfind('.'), path.rfind('['), 0)]
    return 0


def _describe_error(exc: BaseException, _: type | None) -> str:
    # cattrs appends ' @ ' and the path to the text; _to_fault splits it.
    if isinstance(exc, cattrs_errors.ForbiddenExtraKeysError):
        names = ', '.join(sorted(map(repr, exc.extra_fields)))
        return f'unknown field {names}|remove or rename it'
    if isinstance(exc, KeyError):
        return 'required field is missing|add it'
    if isinstance(exc, WrongTypeError):
        return f'{exc}|give a value of the right type and range'
    if isinstance(exc, TypeError):
        return 'value of the wrong type|see the documentation of this format'
    return f'{exc.args[0] if exc.args else exc}|correct the value'


def _to_fault(message: str, lines: abc.Mapping[str, int]) -> errors.Fault:
    description, _, path = message.rpartition(' @ ')
    found, _, remedy = description.partition('|')
    return errors.Fault(path, found, remedy, find_line(path, lines))


def positive(minimum: float = 1) -> abc.Callable[..., None]:
    """Return a validator for numbers that are at least ``minimum``."""
    return attrs.validators.ge(minimum)
