"""The settings of ``samphiredockd``, read from a JSON5 file.

Daemons that pass requests on have settings of their own, see
:mod:`samphiredock.state._entry_settings`.
"""

import dataclasses
import pathlib
import ssl
import typing

from returns import result

from samphiredock import logs
from samphiredock.state import _checks
from samphiredock.state import _json5
from samphiredock.state import _keys

_DAY_MS = 86_400_000


@dataclasses.dataclass(frozen=True, slots=True)
class TlsSettings:
    """TLS for callers: paths of the certificate and the key, in PEM."""

    certificate_file: str
    key_file: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What a daemon needs at its start, before it has reached another daemon.

    ``caller_address`` and ``operator_address`` are ``IP:port``;
    ``peer_address`` is ``tcp://IP:port``.  ``peers`` are the peer addresses
    of daemons to join through when the platform is unreachable.
    ``balancer_lag_ms`` is how long load balancers keep sending requests
    after the daemon has reported that it is not ready; ``shutdown_limit_ms``
    bounds the duration of a shutdown.  In the file, paths are relative to
    its folder; here that folder has been prepended.
    """

    name: str
    site: str
    region: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform_url: str
    keys_file: str | None = None
    tls: TlsSettings | None = None
    peers: tuple[str, ...] = ()
    log_level: str = 'notice'
    balancer_lag_ms: int = 2_000
    shutdown_limit_ms: int = 30_000


_SETTINGS_RULES = _checks.rules_for(
    Settings,
    {
        'name': _checks.name(),
        'site': _checks.name(),
        'region': _checks.name(),
        'caller_address': _checks.address(),
        'operator_address': _checks.address(),
        'peer_address': _checks.peer_address(),
        'platform_url': _checks.url(),
        'keys_file': _checks.text(),
        'tls': _checks.json_object(),
        'peers': _checks.list_of(_checks.peer_address()),
        'log_level': _checks.choice(logs.LEVELS),
        'balancer_lag_ms': _checks.integer(0, 600_000, 'ms'),
        'shutdown_limit_ms': _checks.integer(0, _DAY_MS, 'ms'),
    },
)
_TLS_RULES = _checks.rules_for(TlsSettings, {})


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[_checks.Problem, ...]]:
    """Return the settings in a file, or all problems.

    The files that it names, of keys and certificates, are checked as well.
    """
    read = _json5.read_json5(path)
    if isinstance(read, result.Failure):
        return result.Failure((read.failure(),))
    raw = read.unwrap()
    report = _checks.ProblemReport(str(path))
    row = report.read_object('$', raw, _SETTINGS_RULES)
    # The named files are checked even if the settings have problems, so
    # that one run reports everything.
    raw_fields = raw if isinstance(raw, dict) else {}
    tls = _read_tls(report, path.parent, raw_fields.get('tls'))
    keys_file = _read_keys(report, path.parent, raw_fields.get('keys_file'))
    _check_distinct_addresses(report, raw_fields)
    if report.problems or row is None:
        return result.Failure(tuple(report.problems))
    return result.Success(
        Settings(**{**row, 'tls': tls, 'keys_file': keys_file})
    )


def _read_keys(
    report: _checks.ProblemReport, folder: pathlib.Path, name: object
) -> str | None:
    if not isinstance(name, str):
        return None
    path = folder / name
    loaded = _keys.load_keys(path)
    if isinstance(loaded, result.Failure):
        report.problems += loaded.failure()
    return str(path)


def _read_tls(
    report: _checks.ProblemReport, folder: pathlib.Path, raw: object
) -> TlsSettings | None:
    if not isinstance(raw, dict):
        return None
    row = report.read_object('tls', raw, _TLS_RULES)
    if row is None:
        return None
    tls = TlsSettings(*(str(folder / name) for name in row.values()))
    try:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(tls.certificate_file, tls.key_file)
    except (OSError, ValueError) as error:
        report.add_described(
            'tls', str(error), 'a readable certificate and its key, in PEM'
        )
    return tls


def _check_distinct_addresses(
    report: _checks.ProblemReport, raw: dict[str, typing.Any]
) -> None:
    seen: dict[str, str] = {}
    for key in ('caller_address', 'operator_address', 'peer_address'):
        address = str(raw.get(key, key)).removeprefix('tcp://')
        other = seen.setdefault(address, key)
        if other != key:
            report.add(key, raw[key], f'an address other than {other}')
