"""Runs an open-loop load on a small system and reports what it measured."""

import asyncio
import collections
import dataclasses
import os
import pathlib
import statistics
import time
import typing

import aiohttp
import msgspec

from benchmarks import load_generator
from samphiredock import state
from standins import cluster

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# One process for the targets of each site.
_TARGET_PROCESSES = 3


@dataclasses.dataclass(frozen=True)
class Profile:
    """Sizes and network delays of one deployment.

    If ``shared_servers`` is set, the shards are spread round-robin over that
    many servers; otherwise each shard has servers of its own.
    """

    name: str
    sites: tuple[str, ...]
    index: str
    shards: int
    servers_per_shard: int
    slots: int
    connections: int
    connect_ms: float
    client_one_way_ms: float
    shared_servers: int = 0

    @property
    def servers(self) -> int:
        """Return the number of servers."""
        return self.shared_servers or self.shards * self.servers_per_shard


GEBEYA = Profile(
    'gebeya', ('bole-a', 'kirkos-b', 'yeka-c'), 'claims', 20, 2, 2, 25, 6, 1
)
ARKIVRET = Profile(
    'arkivret', ('sal-a', 'sal-b', 'sal-c'), 'clip-rights', 20, 2, 2, 25, 6, 3
)
PROFILES = {profile.name: profile for profile in (GEBEYA, ARKIVRET)}


@dataclasses.dataclass(frozen=True)
class Variant:
    """Settings of one system that is compared with others.

    ``limits`` go into the configuration.  With ``islands``, each daemon has
    a store of its own, does not know the other daemons and connects to every
    target.
    """

    name: str
    limits: typing.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    canary: bool = False
    islands: bool = False
    slots: int | None = None


@dataclasses.dataclass(frozen=True)
class Report:
    """Figures of one run; latencies are taken from the intended start."""

    variant: str
    seed: int
    offered: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    mean_coverage: float
    least_coverage: float
    extra_load: float
    hedge_share: float
    slot_breaches: int
    connection_breaches: int
    items_per_batch: float
    daemon_us_per_sub_query: float
    peer_bytes_per_s: float
    seconds_normal_after: float = 0.0
    timeline: tuple[tuple[float, float, float], ...] = ()


class Bench:
    """A running store, targets and daemons, set up for one variant."""

    def __init__(
        self, profile: Profile, variant: Variant, daemons: int = 8
    ) -> None:
        self.profile = profile
        self.variant = variant
        self.daemon_count = daemons
        self.cluster = cluster.Cluster()
        self.targets = [
            f'server-{number}' for number in range(profile.servers)
        ]
        self._revision = 1
        self.out_of_rotation: set[str] = set()

    async def __aenter__(self) -> 'Bench':
        await self.cluster.__aenter__()
        try:
            await self._start()
        except BaseException:
            # ``__aexit__`` is not called after a failed start, so stop the
            # processes here.
            await self.cluster.__aexit__()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.cluster.__aexit__(*details)

    async def _start(self) -> None:
        profile, system = self.profile, self.cluster
        await system.start_store()
        store_url = system.store_url
        options = (
            *('--slots', str(profile.slots)),
            *('--connections', str(profile.connections)),
            *('--connect-ms', str(profile.connect_ms), '--no-keep-log'),
        )
        for number in range(_TARGET_PROCESSES):
            await system.start_targets(
                self.targets[number::_TARGET_PROCESSES],
                *options,
                shared_process=f'targets-{number}',
            )
        for number in range(self.daemon_count):
            if self.variant.islands and number:
                await system.start_store(f'store-{number}')
            await self._publish()
            site = profile.sites[number % len(profile.sites)]
            name = f'entry-{number + 1}'
            system.place_daemon(name, site, profile.name)
            system.start_daemon(name)
        # Targets read only the first store; all stores hold the same.
        system.store_url = store_url
        await system.wait_ready()
        await asyncio.sleep(2.0)

    async def _publish(self) -> None:
        await self.cluster.put_object(
            'configuration/current',
            {
                'revision': self._revision,
                'change_id': f'change-{self._revision}',
                'author': 'bench',
                'accepted_at_ms': 0,
                'base': self._base(),
                'overlays': {},
            },
        )
        await self.cluster.put_object('snapshots/current', self._snapshot())

    def _snapshot(self) -> state.Snapshot:
        """Return a snapshot that places the shards on servers.

        Each shard has servers of its own unless the profile shares them.
        """
        profile = self.profile
        even = cluster.even_snapshot(
            1,
            [profile.index],
            self.targets,
            profile.shards,
            profile.servers_per_shard,
        )
        if profile.shared_servers:
            return even
        count = profile.servers_per_shard
        shards = [
            msgspec.structs.replace(
                shard,
                replicas=self.targets[number * count : (number + 1) * count],
            )
            for number, shard in enumerate(even.indexes[profile.index].shards)
        ]
        index = state.IndexSnapshot(1, shards)
        return state.Snapshot(1, {profile.index: index})

    def _base(self) -> dict[str, typing.Any]:
        profile = self.profile
        search = {
            'index': profile.index,
            'deadline_ms': 800,
            'least_coverage': 0.5,
            'request_class': 'interactive',
            'canary': self.variant.canary,
            'merge': 'by-score',
            'limit': 20,
            'fields': [],
        }
        share = round(1.0 / len(profile.sites), 3) - 0.001
        return {
            'services': {
                'desk': {
                    'weight': 1.0,
                    'max_in_flight': 2_000,
                    'searches': {'lookup': search},
                }
            },
            'sites': {
                site: {
                    'region': profile.name,
                    'share': share,
                    'share_cap': 1.0,
                }
                for site in profile.sites
            },
            'indexes': [profile.index],
            'targets': {
                name: {
                    'site': profile.sites[number % len(profile.sites)],
                    'url': self.cluster.target_urls[name],
                    'slots': self.variant.slots or profile.slots,
                    'connections': profile.connections,
                    'connect_ms': int(profile.connect_ms),
                }
                for number, name in enumerate(self.targets)
            },
            'limits': {'deadline_limit_ms': 10_000, **self.variant.limits},
        }

    async def apply(self, variant: Variant) -> None:
        """Publish the variant's limits; wait until all daemons apply them."""
        self.variant = variant
        self._revision += 1
        await self._publish()
        for place in self.cluster.daemons.values():
            while await self._revision_at(place) < self._revision:
                await asyncio.sleep(0.05)

    async def _revision_at(self, place: cluster.DaemonPlace) -> int:
        url = f'{place.operator_url}/v1/status'
        _, row = await self.cluster.call('GET', url)
        return row['revision']

    async def run(
        self,
        load: load_generator.Load,
        event: typing.Callable[
            ['Bench'], typing.Coroutine[typing.Any, typing.Any, None]
        ]
        | None = None,
        event_after_s: float = 0.0,
    ) -> Report:
        """Run the load, trigger ``event`` meanwhile, and return the report."""
        await self._set_targets(load)
        before = await self._totals()
        cpu_before = self._daemon_cpu_s()
        event_task = None
        if event is not None:
            event_task = asyncio.create_task(
                _run_after(event_after_s, event, self)
            )
        started = time.monotonic()
        extra_ms = 2 * self.profile.client_one_way_ms
        rows = await load_generator.run_load(self.live, load, extra_ms)
        elapsed_s = time.monotonic() - started
        if event_task is not None:
            await event_task
        cpu_s = self._daemon_cpu_s() - cpu_before
        totals = await self._totals()
        totals.subtract(before)
        return self._report(load, rows, totals, cpu_s, elapsed_s)

    def live(self) -> list[cluster.DaemonPlace]:
        """Return the daemons to which a load balancer would send requests."""
        return [
            place
            for name, place in self.cluster.daemons.items()
            if self.cluster.processes[name].poll() is None
            and name not in self.out_of_rotation
        ]

    async def _set_targets(self, load: load_generator.Load) -> None:
        for number, name in enumerate(self.targets):
            service_ms = load.service_ms
            if number == 0 and load.slow_target_ms:
                service_ms = load.slow_target_ms
            await self.cluster.target_faults(
                name, service_ms=service_ms, straggler=load.straggler
            )

    async def _totals(self) -> collections.Counter:
        """Sum the counters of all daemons and targets that are reachable."""
        totals: collections.Counter = collections.Counter()
        for place in self.cluster.daemons.values():
            try:
                _, row = await self.cluster.call(
                    'GET', f'{place.operator_url}/v1/status'
                )
            except (aiohttp.ClientError, OSError):
                continue
            totals.update(row['counters'])
        for name in self.targets:
            url = f'{self.cluster.target_urls[name]}/control/stats'
            try:
                _, row = await self.cluster.call('GET', url)
            except (aiohttp.ClientError, OSError):
                continue
            totals.update({f'at_targets_{key}': row[key] for key in row})
        return totals

    def _daemon_cpu_s(self) -> float:
        return sum(
            cpu_seconds(self.cluster.processes[name].pid)
            for name in self.cluster.daemons
            if self.cluster.processes[name].poll() is None
        )

    def _report(
        self,
        load: load_generator.Load,
        rows: list[load_generator.Row],
        totals: collections.Counter,
        cpu_s: float,
        elapsed_s: float,
    ) -> Report:
        answered = [row for row in rows if row.coverage > 0]
        latencies_ms = sorted(row.latency_ms for row in answered) or [0.0]
        needed = len(answered) * self.profile.shards
        items = totals['at_targets_items']
        batches = max(1, totals['at_targets_batches'])
        return Report(
            variant=self.variant.name,
            seed=load.seed,
            offered=len(rows),
            outcomes=dict(collections.Counter(row.outcome for row in rows)),
            p50_ms=load_generator.quantile(latencies_ms, 0.5),
            p99_ms=load_generator.quantile(latencies_ms, 0.99),
            p999_ms=load_generator.quantile(latencies_ms, 0.999),
            mean_coverage=statistics.fmean(
                [row.coverage for row in rows] or [0.0]
            ),
            least_coverage=min((row.coverage for row in rows), default=0.0),
            extra_load=items / max(1, needed),
            hedge_share=totals['hedges_sent']
            / max(1, totals['sub_queries_needed']),
            slot_breaches=totals['at_targets_slot_breaches'],
            connection_breaches=totals['at_targets_connection_breaches'],
            items_per_batch=items / batches,
            daemon_us_per_sub_query=1e6 * cpu_s / max(1, items),
            peer_bytes_per_s=totals['peer_bytes_sent']
            / elapsed_s
            / max(1, self.daemon_count),
            timeline=load_generator.timeline(rows),
        )


async def _run_after(
    delay_s: float,
    event: typing.Callable[
        [Bench], typing.Coroutine[typing.Any, typing.Any, None]
    ],
    bench: Bench,
) -> None:
    await asyncio.sleep(delay_s)
    await event(bench)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
