"""Overlays: what one site states about itself, never past the base.

The base states the common limits.  An overlay may only tighten them for
its own site; otherwise one site could take capacity that the others are
promised, and the base file would no longer tell the truth.
"""

import typing

from samphiredock.state import _checks

_SERVICE = {'cap': _checks.number(0.0, 1.0, "part of the site's capacity")}
_TARGET = {
    'url': _checks.url().optional(),
    'slots': _checks.integer(1, 10_000).optional(),
    'connections': _checks.integer(1, 100_000).optional(),
}
_OVERLAY = {
    'share_cap': _checks.number(0.0, 1.0).optional(),
    'services': _checks.json_object().optional({}),
    'targets': _checks.json_object().optional({}),
}
_COMMON = {
    'limits': 'limits in the base file only: they are common to all sites',
    'share': 'share in the base file only: it is promised capacity',
    'region': 'region in the base file only',
    'indexes': 'indexes in the base file only',
    'sites': "only this site's own differences",
}

Rows = dict[str, dict[str, typing.Any]]


class Base(typing.Protocol):
    """The base's rows, of which an overlay changes its own site's."""

    sites: Rows
    targets: Rows

    def is_named(self, part: str, name: str) -> bool:
        """Whether the base states a row, be it sound or not."""


def apply_overlay(
    report: _checks.ProblemReport, site: str, raw: object, base: Base
) -> None:
    """Change the rows of ``base`` by one overlay.

    Mistakes go to ``report``; a row is changed only by a sound value.
    """
    if site not in base.sites:
        report.add_described(
            '$',
            f'an overlay for site {site!r}',
            'a site of the base: ' + ', '.join(base.sites),
        )
        return
    if isinstance(raw, dict):
        for key in raw:
            if key in _COMMON:
                report.add_described(key, 'a common field', _COMMON[key])
        raw = {key: raw[key] for key in raw if key not in _COMMON}
    row = report.read_object('$', raw, _OVERLAY)
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
    common = site['share_cap']
    if share_cap > common:
        report.add('share_cap', share_cap, _common_limit(common))
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
    base: Base,
    site: dict[str, typing.Any],
    raw: dict,
) -> None:
    for name, row in report.read_objects('services', raw, _SERVICE).items():
        path = f'services.{name}'
        if not base.is_named('services', name):
            report.add_described(
                path, f'service {name!r}', 'a service of the base'
            )
        elif row['cap'] > site['share_cap']:
            report.add(
                f'{path}.cap', row['cap'], _common_limit(site['share_cap'])
            )
        else:
            site['service_caps'][name] = row['cap']


def _apply_targets(
    report: _checks.ProblemReport, base: Base, site: str, raw: dict
) -> None:
    for name, row in report.read_objects('targets', raw, _TARGET).items():
        path = f'targets.{name}'
        target = base.targets.get(name)
        if not base.is_named('targets', name):
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
            _change_target(report, path, target, row)


def _change_target(
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
            report.add(f'{path}.{key}', row[key], _common_limit(target[key]))
        else:
            target[key] = row[key]


def _common_limit(limit: float) -> str:
    return f'at most {limit}: an overlay cannot raise the common limit'
