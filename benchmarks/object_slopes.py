"""Measures the cost of the objects that a daemon holds, by their size.

For each kind of object and each size, it measures the CPU time to build or
read the object (median of several rounds), its memory (``tracemalloc``) and
its encoded bytes, and fits a least-squares line with its largest residual.
Run as ``python -m benchmarks.object_slopes --json FILE``.
"""

import dataclasses
import gc
import json
import pathlib
import random
import statistics
import time
import tracemalloc
import typing

import click
import msgspec

from benchmarks import planned
from benchmarks import scatter_cost
from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_ROUNDS = 5


@dataclasses.dataclass(frozen=True)
class Case:
    """One kind of object to measure.

    ``prepare(size)`` returns the input, ``build(input)`` is measured, and
    ``wire(input)`` returns the encoded size in bytes, or 0 if the object is
    never sent.
    """

    name: str
    sizes: tuple[int, ...]
    planned_size: int
    prepare: typing.Callable[[int], typing.Any]
    build: typing.Callable[[typing.Any], typing.Any]
    wire: typing.Callable[[typing.Any], int] = lambda given: 0


class _NullPeers:
    """Peer connections that drop every message."""

    def subscribe(self, kind: type, handler: object) -> None:
        """Ignore."""

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Drop a message."""
        return True

    def broadcast(self, message: msgspec.Struct) -> None:
        """Drop a message."""


_COUNTERS = metrics.Metrics('bench')
_CLOCK = timers.ManualTimers()
_TARGET_SIZES = (144, 288, 575, 1_150, 2_300)
_MEMBER_SIZES = (16, 32, 64, 128, 245, 490)


def _encoded_source(targets: int) -> bytes:
    return msgspec.json.encode(planned.source(200, targets))


def _read_source(content: bytes) -> tuple:
    source = msgspec.json.decode(content, type=state.ConfigurationSource)
    return source, state.compile_source(source).unwrap()


def _encoded_snapshot(targets: int) -> tuple[bytes, set[str]]:
    names = set(planned.target_names(targets))
    return msgspec.json.encode(planned.snapshot(targets)), names


def _read_snapshot(given: tuple[bytes, set[str]]) -> state.Snapshot:
    content, names = given
    snapshot = msgspec.json.decode(content, type=state.Snapshot)
    problems = state.check_snapshot(snapshot, names)
    if problems:
        raise AssertionError(f'got {problems}, expected a sound snapshot')
    return snapshot


def _ownership_input(targets: int) -> tuple:
    source = planned.source(1, targets)
    configuration = state.compile_source(source).unwrap()
    return (
        configuration,
        planned.snapshot(targets),
        planned.members(planned.DAEMONS),
    )


def _owners(given: tuple) -> dict[str, str]:
    configuration, snapshot, live = given
    return coordination.owners_of(
        configuration.targets, snapshot, live, configuration.sites
    )


def _site_loss_input(targets: int) -> tuple:
    """Return the input with no daemon left at one site."""
    configuration, snapshot, live = _ownership_input(targets)
    lost = planned.SITES[0]
    return configuration, snapshot, [row for row in live if row.site != lost]


def _table_input(members: int) -> coordination.OwnershipTable:
    configuration, snapshot, _ = _ownership_input(144)
    live = planned.members(members)
    table = coordination.OwnershipTable(
        lambda: configuration, lambda: snapshot, lambda: live, _CLOCK
    )
    table.refresh()
    return table


def _rows(members: int) -> list[protocol.MemberRow]:
    return [coordination.row_of(member) for member in planned.members(members)]


def _member_table(rows: list[protocol.MemberRow]) -> typing.Any:
    content = msgspec.msgpack.encode(rows)
    table = coordination.MemberTable(rows[0])
    for row in msgspec.msgpack.decode(content, type=list[protocol.MemberRow]):
        table.set(row)
    table.live()
    return table


def _hosts(targets: int) -> list[transport.Host]:
    return [
        transport.Host(name, True) for name in planned.target_names(targets)
    ]


def _signs(hosts: list[transport.Host]) -> coordination.TargetSigns:
    peers = _NullPeers()
    signs = coordination.TargetSigns(
        None,
        peers,
        peers,
        _CLOCK,
        _COUNTERS,
        random.Random(1),
        lambda: [],
    )
    signs.on_hosts(hosts)
    return signs


def _host_bytes(hosts: list[transport.Host]) -> int:
    rows = [{'name': row.name, 'leaving': row.leaving} for row in hosts]
    return len(msgspec.json.encode(rows))


def series(services: int) -> metrics.Metrics:
    """Return metrics with the series of each service and request class."""
    counters = metrics.Metrics('series')
    for number in range(services):
        for request_class in state.REQUEST_CLASSES:
            labels = {
                'service': f'service-{number}',
                'request_class': request_class,
                'outcome': 'answered',
            }
            for name in (
                'request_latency_ms',
                'request_coverage',
                'request_extra_load',
            ):
                counters.observe(name, 1.0, **labels)
            counters.add('requests', **labels)
    counters.flush()
    return counters


def _quarantine(entries: int) -> coordination.Quarantine:
    peers = _NullPeers()
    kept = coordination.Quarantine(peers, peers, None, _CLOCK, _COUNTERS)
    for number in range(entries):
        fingerprint = f'{number:032x}'
        kept.record_loss(fingerprint, 'server-1', 'service-1')
        kept.record_loss(fingerprint, 'server-2', 'service-1')
    return kept


def _scatters(queries: int) -> list:
    return scatter_cost.open_queries(queries)


def _identity(given: typing.Any) -> typing.Any:
    return given


CASES = (
    Case(
        'configuration: decode and compile, by target',
        _TARGET_SIZES,
        planned.TARGETS,
        _encoded_source,
        _read_source,
        len,
    ),
    Case(
        'snapshot: decode and check, by target',
        _TARGET_SIZES,
        planned.TARGETS,
        _encoded_snapshot,
        _read_snapshot,
        lambda given: len(given[0]),
    ),
    Case(
        'ownership: all owners with 490 daemons, by target',
        _TARGET_SIZES,
        planned.TARGETS,
        _ownership_input,
        _owners,
    ),
    Case(
        'ownership: the same with one site lost, by target',
        _TARGET_SIZES,
        planned.TARGETS,
        _site_loss_input,
        _owners,
    ),
    Case(
        'ownership: refresh without a change, by member',
        _MEMBER_SIZES,
        planned.DAEMONS,
        _table_input,
        lambda table: table.refresh(),
    ),
    Case(
        'membership: table of rows, by member',
        _MEMBER_SIZES,
        planned.DAEMONS,
        _rows,
        _member_table,
        lambda rows: len(msgspec.msgpack.encode(rows)),
    ),
    Case(
        'target signs: a first host list, all leaving, by target',
        _TARGET_SIZES,
        planned.TARGETS,
        _hosts,
        _signs,
        _host_bytes,
    ),
    Case(
        'target signs: a host list without news, by target',
        _TARGET_SIZES,
        planned.TARGETS,
        lambda targets: (_signs(_hosts(targets)), _hosts(targets)),
        lambda given: given[0].on_hosts(given[1]),
    ),
    Case(
        'metrics: series of services and classes, by service',
        (4, 8, 16, 32, 64, 100),
        planned.SERVICES,
        _identity,
        series,
    ),
    Case(
        'metrics: one /metrics page, by service',
        (4, 8, 16, 32, 64, 100),
        planned.SERVICES,
        series,
        lambda counters: len(counters.render()),
        lambda counters: len(counters.render()),
    ),
    Case(
        'quarantine: verdicts, by entry',
        (4, 8, 16, 32, 64, 128),
        64,
        _identity,
        _quarantine,
    ),
    Case(
        'coordinator: queries in flight of 55, by query',
        (4, 8, 16, 32, 64, 128),
        64,
        _identity,
        _scatters,
    ),
)


def _measure(case: Case, size: int) -> dict[str, float]:
    given = case.prepare(size)
    times = []
    for _ in range(_ROUNDS):
        began = time.process_time_ns()
        built = case.build(given)
        times.append((time.process_time_ns() - began) / 1e3)
        del built
    gc.collect()
    tracemalloc.start()
    kept = case.build(given)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return {
        'size': size,
        'cpu_us': statistics.median(times),
        'memory_bytes': memory,
        'wire_bytes': case.wire(given),
    }


def _fit(
    points: list[dict[str, float]], name: str, at: int
) -> dict[str, float]:
    xs = [row['size'] for row in points]
    ys = [row[name] for row in points]
    line = statistics.linear_regression(xs, ys)
    residuals = [
        abs(y - line.intercept - line.slope * x) for x, y in zip(xs, ys)
    ]
    return {
        'slope': line.slope,
        'intercept': line.intercept,
        'largest_residual': max(residuals),
        'planned': line.intercept + line.slope * at,
    }


def run(case: Case) -> dict[str, typing.Any]:
    """Measure one case at all its sizes and fit lines to the figures."""
    points = [_measure(case, size) for size in case.sizes]
    fits = {
        name: _fit(points, name, case.planned_size)
        for name in ('cpu_us', 'memory_bytes', 'wire_bytes')
    }
    return {
        'case': case.name,
        'planned_size': case.planned_size,
        'points': points,
        'fits': fits,
    }


def _print(row: dict[str, typing.Any]) -> None:
    print(row['case'])
    for point in row['points']:
        print('  ' + ' '.join(f'{k} {v:.0f}' for k, v in point.items()))
    for name, line in row['fits'].items():
        print(
            f'  {name} = {line["intercept"]:.0f} + {line["slope"]:.3f} n, '
            f'largest residual {line["largest_residual"]:.0f}; '
            f'at {row["planned_size"]}: {line["planned"]:.0f}'
        )


@click.command()
@click.option('--json', 'json_path', type=click.Path(path_type=pathlib.Path))
def main(json_path: pathlib.Path | None) -> None:
    """Measure every case and print its figures and fitted lines."""
    rows = []
    for case in CASES:
        rows.append(run(case))
        _print(rows[-1])
    if json_path is not None:
        json_path.write_text(json.dumps(rows, indent=1), encoding='utf-8')


if __name__ == '__main__':
    main()
