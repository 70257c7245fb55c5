"""Comparison of two configurations, field by field."""

import dataclasses
import typing

import msgspec

from samphiredock import state

ABSENT = '(absent)'


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One field whose value differs.

    ``path`` is dotted and starts with ``base`` or ``overlay SITE``.  ``old``
    and ``new`` are JSON texts or :data:`ABSENT`.
    """

    path: str
    old: str
    new: str

    def __str__(self) -> str:
        if self.old == ABSENT:
            return f'+ {self.path}: {self.new}'
        if self.new == ABSENT:
            return f'- {self.path}: {self.old}'
        return f'~ {self.path}: {self.old} -> {self.new}'


def compare(
    old: state.ConfigurationSource | None,
    base: dict,
    overlays: typing.Mapping[str, dict],
) -> list[Difference]:
    """Return what a new base and overlays would change, sorted by path."""
    before = _flatten_source(old.base, old.overlays) if old else {}
    after = _flatten_source(base, overlays)
    return [
        Difference(path, before.get(path, ABSENT), after.get(path, ABSENT))
        for path in sorted(before.keys() | after.keys())
        if before.get(path) != after.get(path)
    ]


def _flatten_source(
    base: dict, overlays: typing.Mapping[str, dict]
) -> dict[str, str]:
    flat: dict[str, str] = {}
    _flatten('base', base, flat)
    for site, overlay in overlays.items():
        _flatten(f'overlay {site}', overlay, flat)
    return flat


def _flatten(path: str, value: object, flat: dict[str, str]) -> None:
    if not isinstance(value, dict) or not value:
        flat[path] = msgspec.json.encode(value).decode()
        return
    for key, item in value.items():
        _flatten(f'{path}.{key}', item, flat)
