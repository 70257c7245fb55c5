"""Writes the results of a comparison as a table, a JSON file and a plot."""

import dataclasses
import json
import os
import pathlib
import statistics
import typing

from matplotlib import figure

from benchmarks import bench

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_RESULTS = _ROOT / 'benchmarks' / 'results'
_FIGURES = _ROOT / 'docs' / 'design' / 'figures'
_FIELDS = (
    'p50_ms',
    'p99_ms',
    'p999_ms',
    'mean_coverage',
    'least_coverage',
    'whole',
    'extra_load',
    'hedge_share',
    'items_per_batch',
    'daemon_us_per_sub_query',
    'slot_breaches',
    'connection_breaches',
)
_LOWEST_IS_WORST = frozenset({'mean_coverage', 'least_coverage', 'whole'})


def line(report: bench.Report) -> str:
    """Return one run as one line of text."""
    return (
        f'seed {report.seed} {report.variant:24} p50 {report.p50_ms:6.1f} '
        f'p99 {report.p99_ms:6.1f} coverage {report.mean_coverage:.4f} '
        f'extra {report.extra_load:.4f} '
        f'us {report.daemon_us_per_sub_query:6.0f} '
        f'batch {report.items_per_batch:4.1f} '
        f'breaches {report.slot_breaches}/{report.connection_breaches} '
        f'{report.outcomes}'
    )


def _row(report: bench.Report) -> dict[str, typing.Any]:
    row = dataclasses.asdict(report)
    row['whole'] = report.outcomes.get('answered', 0) / report.offered
    return row


def summary(
    rows: typing.Iterable[typing.Mapping[str, typing.Any]],
) -> dict[str, dict[str, list[float]]]:
    """Return the median and the worst value per variant and field."""
    by_variant: dict[str, list[typing.Mapping[str, typing.Any]]] = {}
    for row in rows:
        by_variant.setdefault(row['variant'], []).append(row)
    found = {}
    for variant, runs in sorted(by_variant.items()):
        found[variant] = {}
        for field in _FIELDS:
            values = [run[field] for run in runs]
            worst = min if field in _LOWEST_IS_WORST else max
            pair = (statistics.median(values), worst(values))
            found[variant][field] = [round(value, 4) for value in pair]
    return found


def save(
    name: str, groups: typing.Mapping[str, list[bench.Report]]
) -> pathlib.Path:
    """Write the summary and every run to a file; return its path."""
    rows = {
        group: [_row(row) for row in runs] for group, runs in groups.items()
    }
    content = {
        'load_average': [round(part, 1) for part in os.getloadavg()],
        'summary': {group: summary(runs) for group, runs in rows.items()},
        'runs': {
            group: [
                {
                    key: run[key]
                    for key in ('variant', 'seed', 'outcomes', *_FIELDS)
                }
                for run in runs
            ]
            for group, runs in rows.items()
        },
    }
    path = _RESULTS / f'{name}.json'
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(content, indent=1) + '\n', encoding='utf-8')
    return path


def table(content: typing.Mapping[str, typing.Any]) -> str:
    """Return the summary as a Markdown table of ``median (worst)``."""
    lines = []
    for group, variants in content['summary'].items():
        lines.append(f'| {group} | ' + ' | '.join(_FIELDS) + ' |')
        lines.append('|---' * (len(_FIELDS) + 1) + '|')
        for variant, fields in variants.items():
            cells = [
                f'{median:g} ({worst:g})' for median, worst in fields.values()
            ]
            lines.append(f'| {variant} | ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines)


def plot(name: str, groups: typing.Mapping[str, list[bench.Report]]) -> None:
    """Plot p99 of each run against CPU time and extra load."""
    drawing = figure.Figure(figsize=(7, 3 * len(groups)), dpi=70)
    axes = drawing.subplots(len(groups), 2, squeeze=False)
    for (left, right), (group, runs) in zip(axes, groups.items()):
        for variant in dict.fromkeys(run.variant for run in runs):
            variant_runs = [run for run in runs if run.variant == variant]
            p99_ms = [run.p99_ms for run in variant_runs]
            cost_us = [run.daemon_us_per_sub_query for run in variant_runs]
            left.scatter(cost_us, p99_ms, label=variant, s=12)
            extra = [run.extra_load for run in variant_runs]
            right.scatter(extra, p99_ms, label=variant, s=12)
        left.set(title=group, xlabel='CPU us per sub-query', ylabel='p99 ms')
        right.set(xlabel='sub-queries sent / needed')
        left.legend(fontsize=6)
    drawing.tight_layout()
    _FIGURES.mkdir(parents=True, exist_ok=True)
    drawing.savefig(_FIGURES / f'{name}.png')
