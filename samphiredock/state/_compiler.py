"""Compiles a base file and the overlays of sites into a configuration."""

import typing

import msgspec
from returns import result

from samphiredock import protocol
from samphiredock.state import _checks
from samphiredock.state import _claims
from samphiredock.state import _configuration
from samphiredock.state import _overlay

_ROUNDING_TOLERANCE = 1e-9

_LIMITS_RULES = _checks.rules_for(
    _configuration.Limits,
    {
        'deadline_limit_ms': _checks.integer(1, 600_000, 'ms'),
        'body_limit_bytes': _checks.integer(256, 1_000_000, 'bytes'),
        'terms_limit': _checks.integer(1, 1_000),
        # A key that is accepted after its claim has been dropped could run
        # its request twice.
        'key_retention_ms': _checks.integer(
            60_000,
            _claims.KEY_RETENTION_LIMIT_MS,
            'ms; claims are not kept for longer',
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
_REQUEST_RULES = {
    'deadline_ms': _checks.integer(1, 600_000, 'ms'),
    'request_class': _checks.choice(_configuration.REQUEST_CLASSES),
}
_SEARCH_RULES = _checks.rules_for(
    _configuration.Search,
    {
        **_REQUEST_RULES,
        'index': _checks.name(),
        'least_coverage': _checks.number(0.0, 1.0),
        'merge': _checks.choice([m.value for m in _configuration.MergeKind]),
        'limit': _checks.integer(1, 10_000, 'records'),
        'fields': _checks.unique_names(),
    },
    exclude=frozenset(['name']),
)
_OPERATION_RULES = _checks.rules_for(
    _configuration.Operation,
    {**_REQUEST_RULES, 'targets': _checks.unique_names(min_count=1)},
    exclude=frozenset(['name']),
)
_SERVICE_RULES = _checks.rules_for(
    _configuration.Service,
    {
        'searches': _checks.json_object().optional({}),
        'operations': _checks.json_object().optional({}),
        'weight': _checks.positive_number(1e6).optional(1.0),
        'max_in_flight': _checks.integer(1, 1_000_000).optional(1_000),
    },
    exclude=frozenset(['name']),
)
_SITE_RULES = _checks.rules_for(
    _configuration.Site,
    {
        'region': _checks.name(),
        'share': _checks.number(0.0, 1.0),
        'share_cap': _checks.number(0.0, 1.0),
    },
    exclude=frozenset(['name', 'service_caps']),
)
_TARGET_RULES = _checks.rules_for(
    _configuration.Target,
    {
        'site': _checks.name(),
        'url': _checks.url(),
        'slots': _checks.integer(1, 10_000),
        'connections': _checks.integer(1, 100_000),
        'connect_ms': _checks.integer(0, 60_000, 'ms'),
    },
    exclude=frozenset(['name']),
)
_BASE_RULES = {
    'services': _checks.json_object(),
    'sites': _checks.json_object(),
    'indexes': _checks.unique_names(),
    'targets': _checks.json_object(),
    'limits': _checks.json_object().optional({}),
}


class ConfigurationSource(msgspec.Struct, frozen=True):
    """The stored configuration: the operators' files and their last change.

    ``change_id`` identifies the change, so that a daemon whose write was not
    answered can tell from the stored object whether it succeeded. ``recent``
    lists the latest accepted changes, this one last, so that the daemon can
    tell even if others have been accepted since.  ``accepted_at_ms`` is a
    wall-clock time in ms since the epoch; ``overlays`` is keyed by site.
    """

    revision: int
    change_id: str
    author: str
    accepted_at_ms: int
    base: dict
    overlays: dict[str, dict]
    recent: list[protocol.ChangeSummary] = []


CompileResult = result.Result[
    _configuration.Configuration, tuple[_checks.Problem, ...]
]


def compile_source(
    source: ConfigurationSource,
    base_file: str = 'base',
    overlay_files: typing.Mapping[str, str] | None = None,
) -> CompileResult:
    """Return the configuration that ``source`` defines, or all problems.

    Parameters
    ----------
    source
        The base and the overlays as operators wrote them.
    base_file
        Name of the base file in problems.
    overlay_files
        Names of the overlay files in problems, by site.
    """
    files = overlay_files or {}
    report = _checks.ProblemReport(base_file)
    base = _BaseReader(report, source.base)
    problems = list(report.problems)
    for site, raw in source.overlays.items():
        overlay_report = _checks.ProblemReport(
            files.get(site, f'overlay {site}')
        )
        # A site that is invalid in the base has been reported already.
        if base.has_entry('sites', site) and site not in base.sites:
            continue
        _overlay.apply_overlay(overlay_report, site, raw, base)
        problems += overlay_report.problems
    if problems:
        return result.Failure(tuple(problems))
    shared_url = _find_shared_url(base.targets)
    if shared_url is not None:
        return result.Failure((shared_url,))
    return result.Success(base.make_configuration(source.revision))


class _BaseReader:
    """Reads the sections of a base file and adds problems to a report.

    ``sites`` and ``targets`` hold the valid rows, to which overlays are
    applied afterwards.
    """

    def __init__(self, report: _checks.ProblemReport, base: object) -> None:
        self._report = report
        self.limits = _configuration.Limits()
        self.services: dict[str, _configuration.Service] = {}
        self.sites: _overlay.Rows = {}
        self.targets: _overlay.Rows = {}
        self._indexes: tuple[str, ...] = ()
        self._base = base if isinstance(base, dict) else {}
        # Valid sections are read even if others are invalid, so that one
        # run reports all problems.
        row = report.read_object('$', base, _BASE_RULES)
        if row is not None:
            self._indexes = row['indexes']
        if not isinstance(base, dict):
            return
        self._read_limits()
        self._read_sites()
        self._read_targets()
        self._read_services()

    def make_configuration(
        self, revision: int
    ) -> _configuration.Configuration:
        """Return the configuration; to be called only without problems."""
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

    def has_entry(self, section: str, name: str) -> bool:
        """Whether the section of the base has an entry, valid or not."""
        return name in self._section(section)

    def _section(self, name: str) -> dict:
        # A section of the wrong type has been reported with the base.
        section = self._base.get(name, {})
        return section if isinstance(section, dict) else {}

    def _read_limits(self) -> None:
        row = self._report.read_object(
            'limits', self._section('limits'), _LIMITS_RULES
        )
        if row is not None:
            self.limits = _configuration.Limits(**row)

    def _read_sites(self) -> None:
        self.sites = self._report.read_objects(
            'sites', self._section('sites'), _SITE_RULES
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
        if total > 1.0 + _ROUNDING_TOLERANCE:
            self._report.add_described(
                'sites', f'shares with sum {total:g}', 'a sum of at most 1'
            )

    def _read_targets(self) -> None:
        raw = self._section('targets')
        self.targets = self._report.read_objects('targets', raw, _TARGET_RULES)
        for name, row in self.targets.items():
            self._check_defined(
                f'targets.{name}.site', row['site'], self._section('sites')
            )

    def _check_defined(
        self, path: str, name: str, defined: typing.Collection[str]
    ) -> None:
        if name not in defined:
            listed = ', '.join(str(each) for each in list(defined)[:10])
            self._report.add(path, name, f'a defined one: {listed}')

    def _read_services(self) -> None:
        raw = self._section('services')
        for name, row in self._report.read_objects(
            'services', raw, _SERVICE_RULES
        ).items():
            path = f'services.{name}'
            searches = {
                key: self._make_search(f'{path}.searches.{key}', key, each)
                for key, each in self._report.read_objects(
                    f'{path}.searches', row.pop('searches'), _SEARCH_RULES
                ).items()
            }
            operations = {
                key: self._make_operation(
                    f'{path}.operations.{key}', key, each
                )
                for key, each in self._report.read_objects(
                    f'{path}.operations',
                    row.pop('operations'),
                    _OPERATION_RULES,
                ).items()
            }
            self.services[name] = _configuration.Service(
                name=name, searches=searches, operations=operations, **row
            )

    def _make_search(
        self, path: str, name: str, row: dict[str, typing.Any]
    ) -> _configuration.Search:
        self._check_deadline(path, row['deadline_ms'])
        indexes = self._base.get('indexes')
        if isinstance(indexes, list):
            self._check_defined(f'{path}.index', row['index'], indexes)
        row['merge'] = _configuration.MergeKind(row['merge'])
        return _configuration.Search(name=name, **row)

    def _make_operation(
        self, path: str, name: str, row: dict[str, typing.Any]
    ) -> _configuration.Operation:
        self._check_deadline(path, row['deadline_ms'])
        for target in row['targets']:
            self._check_defined(
                f'{path}.targets', target, self._section('targets')
            )
        return _configuration.Operation(name=name, **row)

    def _check_deadline(self, path: str, deadline_ms: int) -> None:
        limit_ms = self.limits.deadline_limit_ms
        if deadline_ms > limit_ms:
            self._report.add(
                f'{path}.deadline_ms',
                deadline_ms,
                f'at most limits.deadline_limit_ms {limit_ms} (ms)',
            )


def _find_shared_url(targets: _overlay.Rows) -> _checks.Problem | None:
    # Slots are counted by target name: a server with two names would be
    # sent twice the work that it allows.
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
