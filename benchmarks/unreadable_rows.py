"""Processor time that unreadable rows of the store take on the event loop.

    python -m benchmarks.unreadable_rows [--size 65536] [--rows 1]

Reads lists and events with malformed rows of many kinds through the client of
the store.  Prints for each kind, in ms, the processor time of all the work and
of the longest turn of the event loop, for the worst place in the page.
"""

import asyncio
import logging
import pathlib
import sys

import click

from standins import unreadable_rows

sys.path.append(str(pathlib.Path(__file__).parents[1] / 'platform'))

import prepared_hosts  # noqa: E402


async def measure(body: bytes, is_watch: bool) -> unreadable_rows.Timed:
    """Read a page and measure the work."""
    client = prepared_hosts.ObjectStore(unreadable_rows.FixedCalls(body))
    return await unreadable_rows.timed(
        client.watch('servers/', 5 if is_watch else 0, 0)
    )


@click.command()
@click.option('--size', default=65_536, show_default=True)
@click.option('--rows', default=1, show_default=True)
@click.option('--skip', multiple=True, help='A kind to leave out.')
def main(size: int, rows: int, skip: tuple[str, ...]) -> None:
    """Measure each kind at each place, in lists and events."""
    logging.disable(logging.CRITICAL)
    for kind, value in unreadable_rows.values(size).items():
        if kind in skip:
            continue
        bad = [unreadable_rows.row('bad', value)] * rows
        seen = [
            asyncio.run(
                measure(unreadable_rows.page(bad, place, is_watch), is_watch)
            )
            for place in unreadable_rows.PLACES
            for is_watch in (False, True)
        ]
        total_ms = max(row.total_ms for row in seen)
        longest_ms = max(row.longest_ms for row in seen)
        good = min(unreadable_rows.good_rows(row.value) for row in seen)
        click.echo(
            f'{kind}: {total_ms:.1f} ms, longest turn {longest_ms:.1f} ms, '
            f'{good} of {unreadable_rows.GOOD_ROWS} good rows'
        )


if __name__ == '__main__':
    main()
