"""Compile a base file and the sites' overlays to one configuration."""

import typing

import msgspec
from returns import result

from samphiredock import protocol
from samphiredock.state import _checks
from samphiredock.state import _claims
from samphiredock.state import _configuration
from samphiredock.state import _overlay

_ROUNDING = 1e-9

_LIMITS = _checks.rules_for(
    _configuration.Limits,
    {
        'deadline_limit_ms': _checks.integer(1, 600_000, 'ms'),
        'body_limit_bytes': _checks.integer(256, 1_000_000, 'bytes'),
        'terms_limit': _checks.integer(1, 1_000),
        # A claim is kept for little longer than this limit; a key that is
        # accepted without its claim could run its request twice.
        'key_retention_ms': _checks.integer(
            60_000,
            _claims.KEY_RETENTION_LIMIT_MS,
            'ms; claims are kept no longer',
        ),
        'queue_per_target': _checks.integer(1, 100_000),
        'in_flight_per_daemon': _checks.integer(1, 1_000_000),
        'hedge_budget': _checks.number(0.0, 1.0),
        'hedge_quantile': _checks.number(0.0, 1.0),
        'hedge_after_ms': _checks.number(0.0, 600_000.0, 'ms'),
        'batch_window_ms': _checks.number(0.0, 1_000.0, 'ms'),
        'batch_items': _checks.integer(1, 10_000),
        'silent_after_ms': _checks.integer(1, 600_000, 'ms'),
    },
)
_REQUEST = {
    'deadline_ms': _checks.integer(1, 600_000, 'ms'),
    'request_class': _checks.choice(_configuration.REQUEST_CLASSES),
}
_SEARCH = _checks.rules_for(
    _configuration.Search,
    {
        **_REQUEST,
        'index': _checks.name(),
        'least_coverage': _checks.number(0.0, 1.0),
        'merge': _checks.choice([m.value for m in _configuration.MergeKind]),
        'limit': _checks.integer(1, 10_000, 'records'),
        'fields': _checks.unique_names(),
    },
    without=frozenset(['name']),
)
_OPERATION = _checks.rules_for(
    _configuration.Operation,
    {**_REQUEST, 'targets': _checks.unique_names(least=1)},
    without=frozenset(['name']),
)
_SERVICE = _checks.rules_for(
    _configuration.Service,
    {
        'searches': _checks.json_object().optional({}),
        'operations': _checks.json_object().optional({}),
        'weight': _checks.positive_number(1e6).optional(1.0),
        'max_in_flight': _checks.integer(1, 1_000_000).optional(1_000),
    },
    without=frozenset(['name']),
)
_SITE = _checks.rules_for(
    _configuration.Site,
    {
        'region': _checks.name(),
        'share': _checks.number(0.0, 1.0),
        'share_cap': _checks.number(0.0, 1.0),
    },
    without=frozenset(['name', 'service_caps']),
)
_TARGET = _checks.rules_for(
    _configuration.Target,
    {
        'site': _checks.name(),
        'url': _checks.url(),
        'slots': _checks.integer(1, 10_000),
        'connections': _checks.integer(1, 100_000),
        'connect_ms': _checks.integer(0, 60_000, 'ms'),
    },
    without=frozenset(['name']),
)
_BASE = {
    'services': _checks.json_object(),
    'sites': _checks.json_object(),
    'indexes': _checks.unique_names(),
    'targets': _checks.json_object(),
    'limits': _checks.json_object().optional({}),
}


class ConfigurationSource(msgspec.Struct, frozen=True):
    """The stored object: what operators wrote, and which change it was.

    ``change_id`` lets a writer whose answer was lost recognise its own
    change when it reads the object back; ``recent`` lists the last
    accepted changes, this one last, so that it can do so also after
    later changes.
    """

    revision: int
    change_id: str
    author: str
    accepted_at_ms: int
    base: dict
    overlays: dict[str, dict]
    recent: list[protocol.ChangeSummary] = []


Compiled = result.Result[
    _configuration.Configuration, tuple[_checks.Problem, ...]
]


def compile_source(
    source: ConfigurationSource,
    base_file: str = 'base',
    overlay_files: typing.Mapping[str, str] | None = None,
) -> Compiled:
    """Return the configuration in force under ``source``, or all mistakes.

    Parameters
    ----------
    source
        The base and the overlays as operators wrote them.
    base_file, overlay_files
        What the mistakes call the files; the overlays' by site.
    """
    files = overlay_files or {}
    report = _checks.ProblemReport(base_file)
    parts = _Parts(report, source.base)
    problems = list(report.problems)
    for site, raw in source.overlays.items():
        overlay = _checks.ProblemReport(files.get(site, f'overlay {site}'))
        # A site that is wrong in the base has its mistake already.
        if parts.is_named('sites', site) and site not in parts.sites:
            continue
        _overlay.apply_overlay(overlay, site, raw, parts)
        problems += overlay.problems
    if problems:
        return result.Failure(tuple(problems))
    shared = _shared_url(parts.targets)
    if shared is not None:
        return result.Failure((shared,))
    return result.Success(parts.configuration(source.revision))


class _Parts:
    """The rows of a base file, checked one by one and then together."""

    def __init__(self, report: _checks.ProblemReport, base: object) -> None:
        self._report = report
        self.limits = _configuration.Limits()
        self.services: dict[str, _configuration.Service] = {}
        self.sites: _overlay.Rows = {}
        self.targets: _overlay.Rows = {}
        self._indexes: tuple[str, ...] = ()
        self._base = base if isinstance(base, dict) else {}
        # Parts that are sound are read even if others are not, so that
        # one run shows all mistakes.
        top = report.read_object('$', base, _BASE)
        if top is not None:
            self._indexes = top['indexes']
        if not isinstance(base, dict):
            return
        self._read_limits()
        self._read_sites()
        self._read_targets()
        self._read_services()

    def configuration(self, revision: int) -> _configuration.Configuration:
        """Return the configuration; only for rows without mistakes."""
        sites = {
            name: _configuration.Site(name=name, **row)
            for name, row in self.sites.items()
        }
        targets = {
            name: _configuration.Target(name=name, **row)
            for name, row in self.targets.items()
        }
        return _configuration.Configuration(
            revision,
            self.services,
            sites,
            self._indexes,
            targets,
            self.limits,
        )

    def is_named(self, part: str, name: str) -> bool:
        """Whether the base states a row, be it sound or not."""
        return name in self._part(part)

    def _part(self, name: str) -> dict:
        # A part of the wrong type is already reported with the base.
        part = self._base.get(name, {})
        return part if isinstance(part, dict) else {}

    def _read_limits(self) -> None:
        row = self._report.read_object('limits', self._part('limits'), _LIMITS)
        if row is not None:
            self.limits = _configuration.Limits(**row)

    def _read_sites(self) -> None:
        self.sites = self._report.read_objects(
            'sites', self._part('sites'), _SITE
        )
        for name, row in self.sites.items():
            row['service_caps'] = {}
            if row['share'] > row['share_cap']:
                self._report.add(
                    f'sites.{name}.share',
                    row['share'],
                    f"at most the site's share_cap {row['share_cap']}",
                )
        total = sum(row['share'] for row in self.sites.values())
        if total > 1.0 + _ROUNDING:
            self._report.add_described(
                'sites', f'shares that sum to {total:g}', 'a sum of at most 1'
            )

    def _read_targets(self) -> None:
        raw = self._part('targets')
        self.targets = self._report.read_objects('targets', raw, _TARGET)
        for name, row in self.targets.items():
            self._known(
                f'targets.{name}.site', row['site'], self._part('sites')
            )

    def _known(
        self, path: str, name: str, known: typing.Collection[str]
    ) -> None:
        if name not in known:
            listed = ', '.join(str(each) for each in list(known)[:10])
            self._report.add(path, name, f'one of those defined: {listed}')

    def _read_services(self) -> None:
        raw = self._part('services')
        for name, row in self._report.read_objects(
            'services', raw, _SERVICE
        ).items():
            path = f'services.{name}'
            searches = {
                key: self._search(f'{path}.searches.{key}', key, each)
                for key, each in self._report.read_objects(
                    f'{path}.searches', row.pop('searches'), _SEARCH
                ).items()
            }
            operations = {
                key: self._operation(f'{path}.operations.{key}', key, each)
                for key, each in self._report.read_objects(
                    f'{path}.operations', row.pop('operations'), _OPERATION
                ).items()
            }
            self.services[name] = _configuration.Service(
                name=name, searches=searches, operations=operations, **row
            )

    def _search(
        self, path: str, name: str, row: dict[str, typing.Any]
    ) -> _configuration.Search:
        self._deadline(path, row['deadline_ms'])
        indexes = self._base.get('indexes')
        if isinstance(indexes, list):
            self._known(f'{path}.index', row['index'], indexes)
        row['merge'] = _configuration.MergeKind(row['merge'])
        return _configuration.Search(name=name, **row)

    def _operation(
        self, path: str, name: str, row: dict[str, typing.Any]
    ) -> _configuration.Operation:
        self._deadline(path, row['deadline_ms'])
        for target in row['targets']:
            self._known(f'{path}.targets', target, self._part('targets'))
        return _configuration.Operation(name=name, **row)

    def _deadline(self, path: str, deadline_ms: int) -> None:
        limit_ms = self.limits.deadline_limit_ms
        if deadline_ms > limit_ms:
            self._report.add(
                f'{path}.deadline_ms',
                deadline_ms,
                f'at most limits.deadline_limit_ms {limit_ms} (ms)',
            )


def _shared_url(targets: _overlay.Rows) -> _checks.Problem | None:
    # Slots are counted by target name: two names for one server would let
    # it be given twice the work that it allows.
    seen: dict[str, str] = {}
    for name, row in targets.items():
        other = seen.setdefault(row['url'].rstrip('/'), name)
        if other != name:
            return _checks.Problem(
                'base and overlays',
                f'targets.{name}.url',
                f'the URL of target {other!r}',
                'a URL of its own',
            )
    return None
