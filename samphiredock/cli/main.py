"""The program ``samphiredock`` for operators and scripts."""

import click


@click.group()
def main() -> None:
    """Operate a samphiredock query tier."""


if __name__ == '__main__':
    main()
