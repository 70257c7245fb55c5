"""A small data set of two indexes, identical in every process.

``claims`` holds relief claims (Gebeya), ``clip-rights`` clearance records
(Arkivret).  A record's place in the key space is the hash of its key, so
that every process knows which shard holds it.
"""

import dataclasses
import functools
import random

import xxhash

from samphiredock import protocol

VERSION_FIELD = 'read_at_version'

_KEBELES = ('bole', 'kirkos', 'yeka', 'arada', 'lideta')
_LOSSES = ('radio', 'stove', 'bedding', 'clothes', 'roof')
_HOLDERS = ('midt-film', 'arkiv-nord', 'radio-syd', 'tv-fjord')
_RIGHTS = ('cleared', 'blocked', 'ask-holder')


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedRecord:
    """A record and its place in the key space."""

    place: int
    record: protocol.Record


def place_of(key: str) -> int:
    """Return the place of a key in ``[0, 2**32)``."""
    return xxhash.xxh32_intdigest(key.encode())


def _claim(rng: random.Random, number: int) -> dict[str, str]:
    return {
        'claimant': f'household-{number % 97}',
        'kebele': rng.choice(_KEBELES),
        'loss': rng.choice(_LOSSES),
    }


def _clip(rng: random.Random, number: int) -> dict[str, str]:
    return {
        'title': f'newsreel-{number % 89}',
        'holder': rng.choice(_HOLDERS),
        'rights': rng.choice(_RIGHTS),
    }


def _at_version(
    record: protocol.Record, index_version: int
) -> protocol.Record:
    fields = {**record.fields, VERSION_FIELD: str(index_version)}
    return protocol.Record(record.key, record.score, fields)


_MAKERS = {'claims': _claim, 'clip-rights': _clip}


@functools.lru_cache(maxsize=8)
def records(index: str, count: int = 2_000) -> tuple[PlacedRecord, ...]:
    """Return every record of an index, ordered by place."""
    rng = random.Random(f'{index}-{count}')
    make = _MAKERS.get(index, _claim)
    rows = []
    for number in range(count):
        key = f'{index}-{number:06d}'
        record = protocol.Record(key, rng.random(), make(rng, number))
        rows.append(PlacedRecord(place_of(key), record))
    return tuple(sorted(rows, key=lambda row: row.place))


def find(
    index: str,
    key_range: protocol.KeyRange,
    terms: dict[str, str],
    index_version: int,
) -> list[protocol.Record]:
    """Return the records of a range that match every term, best first.

    Each carries the index version that it was read at, so that a test can
    detect an answer that mixes two versions.
    """
    wanted = tuple(sorted(terms.items()))
    return list(
        _find(index, key_range.low, key_range.high, wanted, index_version)
    )


@functools.lru_cache(maxsize=100_000)
def _find(
    index: str,
    low: int,
    high: int,
    terms: tuple[tuple[str, str], ...],
    index_version: int,
) -> tuple[protocol.Record, ...]:
    found = [
        _at_version(row.record, index_version)
        for row in records(index)
        if low <= row.place < high
        and all(row.record.fields.get(name) == value for name, value in terms)
    ]
    return tuple(sorted(found, key=lambda row: (-row.score, row.key)))
