"""Makes a copy of the project in which one mechanism is disabled.

``python -m benchmarks.ablate`` lists the mechanisms.  With a name and a
folder, it clones the project into the folder and applies the patch of that
name.  Any load can then be run against the copy and the original; the
figures are in ``docs/design/measures.md``.
"""

import pathlib
import subprocess

import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATCHES = ROOT / 'benchmarks' / 'ablation'


def mechanisms() -> list[str]:
    """Return the names of the mechanisms that can be disabled."""
    return sorted(path.stem for path in PATCHES.glob('*.patch'))


def applies(name: str) -> bool:
    """Return whether a patch applies to the current sources."""
    command = ['git', 'apply', '--check', str(PATCHES / f'{name}.patch')]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    return done.returncode == 0


def copy_without(name: str, folder: pathlib.Path) -> None:
    """Clone the committed sources into ``folder`` and apply one patch."""
    subprocess.run(['git', 'clone', '-q', str(ROOT), str(folder)], check=True)
    patch = str(PATCHES / f'{name}.patch')
    subprocess.run(['git', 'apply', patch], cwd=folder, check=True)


@click.command()
@click.argument('name', required=False)
@click.argument(
    'folder', required=False, type=click.Path(path_type=pathlib.Path)
)
def main(name: str | None, folder: pathlib.Path | None) -> None:
    """Disable one mechanism in a copy of the project."""
    if name is None:
        click.echo('\n'.join(mechanisms()))
        return
    if name not in mechanisms():
        raise click.BadParameter(
            f'got {name!r}, expected one of {", ".join(mechanisms())}'
        )
    if folder is None or folder.exists():
        raise click.BadParameter(
            f'got folder {folder}, expected a folder that does not exist yet'
        )
    copy_without(name, folder)
    click.echo(f'{folder}: without {name}')


if __name__ == '__main__':
    main()
