"""Configuration, snapshot and members of the planned size.

The benchmarks whose figures are in ``docs/CAPACITY.md`` use them.
"""

import typing

from samphiredock import protocol
from samphiredock import state

REGIONS = {
    'bole-a': 'addis',
    'kirkos-b': 'addis',
    'yeka-c': 'addis',
    'sal-a': 'midtjylland',
    'sal-b': 'midtjylland',
    'sal-c': 'midtjylland',
    'third-a': 'third',
    'third-b': 'third',
}
SITES = tuple(REGIONS)
DAEMONS = 490
TARGETS = 2_300
SHARDS = 55
REPLICAS = 2
SERVICES = 100
CHANGES_A_DAY = 630


def target_names(count: int) -> list[str]:
    """Return target names of the planned length."""
    return [f'server-{number:05d}' for number in range(count)]


def index_names(targets: int) -> list[str]:
    """Return names of the indexes that the targets can hold.

    Each index has ``SHARDS`` shards with ``REPLICAS`` replicas.
    """
    count = max(1, targets // (SHARDS * REPLICAS))
    return [f'index-{number}' for number in range(count)]


def base(targets: int, services: int = SERVICES) -> dict[str, typing.Any]:
    """Return a base configuration with targets at eight sites."""
    indexes = index_names(targets)
    return {
        'services': {
            f'service-{number}': _service(indexes[number % len(indexes)])
            for number in range(services)
        },
        'sites': {
            name: {'region': region, 'share': 0.125, 'share_cap': 0.5}
            for name, region in REGIONS.items()
        },
        'indexes': indexes,
        'targets': {
            name: {
                'site': SITES[number % len(SITES)],
                'url': f'http://10.{number >> 8}.{number & 255}.1:8080',
                'slots': 16,
                'connections': 25,
                'connect_ms': 6,
            }
            for number, name in enumerate(target_names(targets))
        },
    }


def _service(index: str) -> dict[str, typing.Any]:
    search = {
        'index': index,
        'deadline_ms': 160,
        'least_coverage': 0.9,
        'request_class': 'interactive',
        'canary': False,
        'merge': 'by-score',
        'limit': 50,
        'fields': ['name', 'place'],
    }
    return {'searches': {'history': search}}


def source(revision: int, targets: int) -> state.ConfigurationSource:
    """Return a stored configuration with its last 200 changes."""
    recent = [
        protocol.ChangeSummary(
            number, 'operator', f'change-{number:08d}-0123456789abcdef', 0
        )
        for number in range(1, min(revision, 200) + 1)
    ]
    return state.ConfigurationSource(
        revision, f'change-{revision}', 'bench', 0, base(targets), {}, recent
    )


def snapshot(targets: int) -> state.Snapshot:
    """Return a snapshot in which each target holds about one shard."""
    names = target_names(targets)
    indexes = {}
    for place, index in enumerate(index_names(targets)):
        shards = [
            _shard(number, place * SHARDS + number, names)
            for number in range(SHARDS)
        ]
        indexes[index] = state.IndexSnapshot(7, shards)
    return state.Snapshot(7, indexes)


def _shard(number: int, place: int, names: list[str]) -> state.Shard:
    size = state.KEY_SPACE_SIZE
    low, high = size * number // SHARDS, size * (number + 1) // SHARDS
    count = min(REPLICAS, len(names))
    held_by = [
        names[(place * REPLICAS + offset) % len(names)]
        for offset in range(count)
    ]
    return state.Shard(f's{number}', protocol.KeyRange(low, high), held_by)


def members(count: int) -> list[state.Member]:
    """Return members spread over eight sites."""
    return [
        state.Member(
            f'entry-{number:04d}',
            SITES[number % len(SITES)],
            REGIONS[SITES[number % len(SITES)]],
            f'tcp://10.{number >> 8}.{number & 255}.2:7000',
            f'10.{number >> 8}.{number & 255}.2:7001',
            f'10.{number >> 8}.{number & 255}.2:7002',
            1_790_000_000_000 + number,
        )
        for number in range(count)
    ]
