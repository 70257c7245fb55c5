"""The command ``samphiredock`` for operators and scripts."""

import click

from samphiredock.cli import _config
from samphiredock.cli import _exits
from samphiredock.cli import _explain
from samphiredock.cli import _fleet
from samphiredock.cli import _keys
from samphiredock.cli import _requests

_HELP = f"""Operate a samphiredock query tier.

Commands call the operator address of a daemon: give --daemon URL, more
than once to name others to try, or set SAMPHIREDOCK_DAEMON. Daemons with a
keys file require --token-file (or SAMPHIREDOCK_TOKEN_FILE). Results are
printed as text and tables, with --json as one JSON value. Progress and
questions go to standard error.

\b
Examples:
  samphiredock config check --folder examples/gebeya
  samphiredock config apply --base base.json --overlay bole-a=bole-a.json
  samphiredock status
  samphiredock search field-claims claimant-history kebele=bole
  samphiredock run relief-payout release-payout household=household-7
  samphiredock target drain desk-1
  samphiredock explain 9c41d07be2a35f68 entry-1.log entry-2.log

{_exits.EXIT_HELP}"""


@click.group(help=_HELP, context_settings={'max_content_width': 79})
def main() -> None:
    """Operate a samphiredock query tier."""


for _command in (
    _config.config,
    _fleet.status,
    _requests.search,
    _requests.run,
    _fleet.target,
    _fleet.quarantine,
    _keys.keys,
    _explain.explain,
):
    main.add_command(_command)


if __name__ == '__main__':
    main()
