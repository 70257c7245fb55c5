"""The program ``samphiredockd``."""

import asyncio
import pathlib
import signal
import sys

import click
from returns import result

from samphiredock.daemon import _node
from samphiredock import logs
from samphiredock import state


@click.command()
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='JSON with comments; see docs/CONFIGURATION.md.',
)
@click.option('--check', is_flag=True, help='Validate the file and exit.')
def main(settings_path: pathlib.Path, check: bool) -> None:
    """Run one samphiredock daemon."""
    loaded = state.load_settings(settings_path)
    if isinstance(loaded, result.Failure):
        for problem in loaded.failure():
            click.echo(str(problem), err=True)
        sys.exit(2)
    if check:
        click.echo(f'{settings_path}: valid')
        return
    settings = loaded.unwrap()
    logs.set_up(settings.log_level)
    asyncio.run(_serve(settings))


async def _serve(settings: state.Settings) -> None:
    loop = asyncio.get_running_loop()
    node = _node.Node(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.on_signal)
    await node.start()
    await node.wait_stopped()


if __name__ == '__main__':
    main()
