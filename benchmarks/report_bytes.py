"""Bytes that the reports of one merge order take between sites.

    python -m benchmarks.report_bytes [--searches 200]

Plays the merger's side of searches: most parts are in when the gather time is
over, the others come later, one by one.
"""

import random

import click

from samphiredock.coordination.forwarding import _report_batcher
from samphiredock import protocol
from samphiredock import state

SEED = 20261204
PARTS = 20
PART_RECORDS = {5: 6, 50: 62}
"""Records of a part, by how many an answer has: 100 B and 1,000 B."""

LATE_PARTS = (0, 1, 2, 5)


def _order(top: int) -> protocol.MergeOrder:
    items = tuple(
        protocol.OrderedItem(number, f's{number}', f't{number}')
        for number in range(PARTS)
    )
    return protocol.MergeOrder(
        'id', 'GET', 'h', '/', (), b'', 500.0, 40.0, top, b'', items
    )


def bytes_of_reports(rng: random.Random, top: int, late: int) -> int:
    """Return the bytes of an order's reports of which some parts are late."""
    batcher = _report_batcher.ReportBatcher(_order(top))
    reports = []
    for number in range(PARTS):
        if number == PARTS - late:
            reports.append(batcher.on_gather_timeout())
        body = rng.randbytes(PART_RECORDS[top] * state.RECORD_BYTES)
        receipt = f'{number:04x}.07.5a2.600.0.c9f2a4d1'
        part = _report_batcher.Part(number, receipt, 10.0, body)
        reports.append(batcher.on_part(part))
    return sum(
        len(protocol.encode_merge_message(report))
        for report in reports
        if report is not None
    )


@click.command()
@click.option('--searches', default=200, show_default=True)
def main(searches: int) -> None:
    """Print the mean bytes of an order's reports."""
    for top in PART_RECORDS:
        for late in LATE_PARTS:
            rng = random.Random(SEED)
            total = sum(
                bytes_of_reports(rng, top, late) for _ in range(searches)
            )
            click.echo(f'top {top}, {late} late: {total / searches:,.0f} B')


if __name__ == '__main__':
    main()
