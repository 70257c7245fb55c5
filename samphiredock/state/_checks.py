"""Checks of files that operators write; all problems are reported at once.

The objects of a file are described by mappings of field names to
:class:`Rule`.  Reading an object adds a :class:`Problem` for each mistake
and continues, so that an operator sees all mistakes in one run.
"""

import dataclasses
import difflib
import ipaddress
import math
import re
import typing
import urllib.parse

REQUIRED = object()
"""Default of a rule whose field must be present."""

_SHOWN_LIMIT_CHARS = 80
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,99}')
_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a file.

    ``path`` is the field's path within the file, ``$`` for its top level.
    ``got`` and ``expected`` are texts for the operator.
    """

    file: str
    path: str
    got: str
    expected: str

    def __str__(self) -> str:
        return (
            f'{self.file}: {self.path}: got {self.got}, '
            f'expected {self.expected}'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Which values one field accepts, and how they are converted.

    ``expected`` describes the accepted values.  ``default`` is used, without
    conversion, for a field that is absent.
    """

    expected: str
    accepts: typing.Callable[[typing.Any], bool]
    default: typing.Any = REQUIRED
    convert: typing.Callable[[typing.Any], typing.Any] = lambda value: value

    def optional(self, default: typing.Any = None) -> 'Rule':
        """Return the same rule with a default: the field may be absent."""
        return dataclasses.replace(self, default=default)


Rules = typing.Mapping[str, Rule]


def _is_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    # JSON5 has NaN and Infinity; isfinite() raises on a huge integer.
    return isinstance(value, int) or math.isfinite(value)


def integer(low: int, high: int, unit: str = '') -> Rule:
    """Return a rule for an integer in ``[low, high]``."""
    text = f'an integer from {low} to {high}' + (f' ({unit})' if unit else '')
    return Rule(
        text,
        lambda value: (
            isinstance(value, int)
            and not isinstance(value, bool)
            and low <= value <= high
        ),
    )


def number(low: float, high: float, unit: str = '') -> Rule:
    """Return a rule for a number in ``[low, high]``."""
    text = f'a number from {low} to {high}' + (f' ({unit})' if unit else '')
    return Rule(
        text,
        lambda value: _is_number(value) and low <= value <= high,
        convert=float,
    )


def positive_number(high: float) -> Rule:
    """Return a rule for a number above 0 and at most ``high``."""
    return Rule(
        f'a number above 0 and at most {high}',
        lambda value: _is_number(value) and 0 < value <= high,
        convert=float,
    )


def text() -> Rule:
    """Return a rule for a string that is not empty."""
    return Rule(
        'a string that is not empty',
        lambda value: isinstance(value, str) and bool(value),
    )


def boolean() -> Rule:
    """Return a rule for a boolean."""
    return Rule('true or false', lambda value: isinstance(value, bool))


def choice(values: typing.Sequence[str]) -> Rule:
    """Return a rule for one of the given strings."""
    return Rule(
        'one of ' + ', '.join(values),
        lambda value: isinstance(value, str) and value in values,
    )


def is_name(value: object) -> bool:
    """Whether a value is a valid name of a service, site, target etc."""
    return (
        isinstance(value, str) and _NAME_PATTERN.fullmatch(value) is not None
    )


def name() -> Rule:
    """Return a rule for a name; see :func:`is_name`."""
    return Rule('a name of letters, digits, ".", "_" and "-"', is_name)


def unique_names(min_count: int = 0) -> Rule:
    """Return a rule for a list of ``min_count`` or more different names."""
    return Rule(
        f'a list of {min_count} or more different names',
        lambda value: (
            isinstance(value, list)
            and len(value) >= min_count
            and all(is_name(each) for each in value)
            and len(set(value)) == len(value)
        ),
        convert=tuple,
    )


def list_of(rule: Rule) -> Rule:
    """Return a rule for a list whose items are all accepted by ``rule``."""
    return Rule(
        f'a list, each item {rule.expected}',
        lambda value: (
            isinstance(value, list)
            and all(rule.accepts(each) for each in value)
        ),
        convert=tuple,
    )


def json_object() -> Rule:
    """Return a rule for a JSON object."""
    return Rule('an object', lambda value: isinstance(value, dict))


def _is_address(value: object) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(':')
    if not port.isascii() or not port.isdigit():
        return False
    if not 0 < int(port[:6]) <= _MAX_PORT:
        return False
    try:
        parsed = ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return (parsed.version == 6) == host.startswith('[')


def address() -> Rule:
    """Return a rule for ``IP:port``, an IPv6 address in brackets."""
    return Rule('IP:port, for example 10.0.0.7:7200', _is_address)


def peer_address() -> Rule:
    """Return a rule for ``tcp://IP:port``."""
    return Rule(
        'tcp://IP:port, for example tcp://10.0.0.7:7300',
        lambda value: (
            isinstance(value, str)
            and value.startswith('tcp://')
            and _is_address(value.removeprefix('tcp://'))
        ),
    )


def _is_url(value: object) -> bool:
    if not isinstance(value, str) or not value.isprintable() or ' ' in value:
        return False
    try:
        parts = urllib.parse.urlsplit(value)
        port = parts.port
    except ValueError:
        return False
    return (
        parts.scheme in ('http', 'https')
        and bool(parts.hostname)
        and port != 0
        and not parts.query
        and not parts.fragment
    )


def url() -> Rule:
    """Return a rule for an HTTP URL without query and fragment."""
    return Rule('an http:// or https:// URL without a query', _is_url)


_RULES_BY_TYPE = {
    int: integer(0, 10**12),
    float: number(0.0, 1e12),
    bool: boolean(),
    str: text(),
}


def rules_for(
    dataclass_type: type,
    overrides: Rules,
    exclude: frozenset[str] = frozenset(),
) -> Rules:
    """Return a rule for each field of a dataclass, in field order.

    Parameters
    ----------
    dataclass_type
        The dataclass; its defaults become the rules' defaults.
    overrides
        Rules by field name; any other field is checked by its type only.
    exclude
        Fields that are not part of the file.
    """
    rules = {}
    for field in dataclasses.fields(dataclass_type):
        if field.name in exclude:
            continue
        rule = overrides.get(field.name) or _RULES_BY_TYPE[field.type]
        if field.default is not dataclasses.MISSING:
            rule = rule.optional(field.default)
        rules[field.name] = rule
    return rules


class ProblemReport:
    """Collects the problems found in one file."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []

    def add(self, path: str, got: object, expected: str) -> None:
        """Add a problem; ``got`` is the value that was read."""
        self.problems.append(
            Problem(self.file, path, format_value(got), expected)
        )

    def add_described(self, path: str, got: str, expected: str) -> None:
        """Add a problem; ``got`` is a description in words."""
        self.problems.append(Problem(self.file, path, got, expected))

    def read_object(
        self, path: str, raw: object, rules: Rules
    ) -> dict[str, typing.Any] | None:
        """Return an object's converted fields, None if any is invalid."""
        if not isinstance(raw, dict):
            self.add(path, raw, 'an object')
            return None
        count_before = len(self.problems)
        self._add_unknown_fields(path, raw, rules)
        values = {}
        for key, rule in rules.items():
            if key not in raw:
                values[key] = rule.default
                if rule.default is REQUIRED:
                    self.add_described(
                        join_path(path, key), 'nothing', rule.expected
                    )
            elif rule.accepts(raw[key]):
                values[key] = rule.convert(raw[key])
            else:
                self.add(join_path(path, key), raw[key], rule.expected)
        return values if len(self.problems) == count_before else None

    def _add_unknown_fields(self, path: str, raw: dict, rules: Rules) -> None:
        for key in raw:
            if key in rules:
                continue
            matches = difflib.get_close_matches(str(key), rules, 1)
            hint = f' (did you mean {matches[0]!r}?)' if matches else ''
            self.add_described(
                join_path(path, key),
                f'an unknown field{hint}',
                'one of ' + ', '.join(rules),
            )

    def read_objects(
        self, path: str, raw: object, rules: Rules
    ) -> dict[str, dict[str, typing.Any]]:
        """Return the valid objects of an object that maps names to objects."""
        if not isinstance(raw, dict):
            self.add(path, raw, 'an object that maps names to objects')
            return {}
        valid = {}
        for key, value in raw.items():
            if not is_name(key):
                self.add(join_path(path, key), key, name().expected)
                continue
            row = self.read_object(join_path(path, key), value, rules)
            if row is not None:
                valid[key] = row
        return valid


def join_path(path: str, key: object) -> str:
    """Return the path of the field ``key`` of the object at ``path``."""
    return f'{path}.{key}' if path != '$' else str(key)


def format_value(value: object) -> str:
    """Return the text for a value in a problem, truncated if it is long."""
    if isinstance(value, dict):
        return f'an object of {len(value)} fields'
    written = repr(value)
    if len(written) > _SHOWN_LIMIT_CHARS:
        return written[:_SHOWN_LIMIT_CHARS] + '...'
    return written
