"""Overlays: values by which one site deviates from the base file.

An overlay can only lower the limits of the base, and only for its own site;
otherwise a site could take capacity that is guaranteed to others.
"""

import typing

from samphiredock.state import _checks

_SERVICE_RULES = {
    'cap': _checks.number(0.0, 1.0, "fraction of the targets' capacity")
}
_TARGET_RULES = {
    'url': _checks.url().optional(),
    'slots': _checks.integer(1, 10_000).optional(),
    'connections': _checks.integer(1, 100_000).optional(),
}
_OVERLAY_RULES = {
    'share_cap': _checks.number(0.0, 1.0).optional(),
    'services': _checks.json_object().optional({}),
    'targets': _checks.json_object().optional({}),
}
_BASE_ONLY_FIELDS = {
    'limits': 'limits in the base file only: they are common to all sites',
    'share': 'share in the base file only: it is guaranteed capacity',
    'region': 'region in the base file only',
    'indexes': 'indexes in the base file only',
    'sites': "only this site's own values",
}

Rows = dict[str, dict[str, typing.Any]]
"""The converted fields of the objects of one section, by name."""


class BaseRows(typing.Protocol):
    """The valid rows of the base; an overlay changes those of its site."""

    sites: Rows
    targets: Rows

    def has_entry(self, section: str, name: str) -> bool:
        """Whether the section of the base has an entry, valid or not."""


def apply_overlay(
    report: _checks.ProblemReport, site: str, raw: object, base: BaseRows
) -> None:
    """Apply the overlay of one site to the rows of ``base``.

    Problems are added to ``report``; invalid values are not applied.
    """
    if site not in base.sites:
        report.add_described(
            '$',
            f'an overlay for site {site!r}',
            'one of the sites of the base: ' + ', '.join(base.sites),
        )
        return
    if isinstance(raw, dict):
        for key in raw:
            if key in _BASE_ONLY_FIELDS:
                report.add_described(
                    key, 'a field of the base file', _BASE_ONLY_FIELDS[key]
                )
        raw = {key: raw[key] for key in raw if key not in _BASE_ONLY_FIELDS}
    row = report.read_object('$', raw, _OVERLAY_RULES)
    if row is None:
        return
    _lower_share_cap(report, base.sites[site], row['share_cap'])
    _apply_services(report, base, base.sites[site], row['services'])
    _apply_targets(report, base, site, row['targets'])


def _lower_share_cap(
    report: _checks.ProblemReport,
    site: dict[str, typing.Any],
    share_cap: float,
) -> None:
    if share_cap is None:
        return
    base_cap = site['share_cap']
    if share_cap > base_cap:
        report.add('share_cap', share_cap, _expected_limit(base_cap))
    elif share_cap < site['share']:
        report.add(
            'share_cap',
            share_cap,
            f"at least the site's share {site['share']}",
        )
    else:
        site['share_cap'] = share_cap


def _apply_services(
    report: _checks.ProblemReport,
    base: BaseRows,
    site: dict[str, typing.Any],
    raw: dict,
) -> None:
    for name, row in report.read_objects(
        'services', raw, _SERVICE_RULES
    ).items():
        path = f'services.{name}'
        if not base.has_entry('services', name):
            report.add_described(
                path, f'service {name!r}', 'a service of the base'
            )
        elif row['cap'] > site['share_cap']:
            report.add(
                f'{path}.cap', row['cap'], _expected_limit(site['share_cap'])
            )
        else:
            site['service_caps'][name] = row['cap']


def _apply_targets(
    report: _checks.ProblemReport, base: BaseRows, site: str, raw: dict
) -> None:
    for name, row in report.read_objects(
        'targets', raw, _TARGET_RULES
    ).items():
        path = f'targets.{name}'
        target = base.targets.get(name)
        if not base.has_entry('targets', name):
            report.add_described(
                path, f'target {name!r}', 'a target of the base'
            )
        elif target is None:
            continue
        elif target['site'] != site:
            report.add_described(
                path,
                f'a target of site {target["site"]!r}',
                f'a target of this site {site!r}',
            )
        else:
            _apply_target(report, path, target, row)


def _apply_target(
    report: _checks.ProblemReport,
    path: str,
    target: dict[str, typing.Any],
    row: dict[str, typing.Any],
) -> None:
    if row['url'] is not None:
        target['url'] = row['url']
    for key in ('slots', 'connections'):
        if row[key] is None:
            continue
        if row[key] > target[key]:
            report.add(f'{path}.{key}', row[key], _expected_limit(target[key]))
        else:
            target[key] = row[key]


def _expected_limit(limit: float) -> str:
    return f'at most {limit}: an overlay cannot raise a limit'
