"""A daemon's own settings, read from a file of JSON with comments."""

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
    """TLS towards callers: paths of the certificate and its key."""

    certificate_file: str
    key_file: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What one daemon must know before it can ask anybody.

    ``caller_address`` and ``operator_address`` are ``IP:port``;
    ``peer_address`` is ``tcp://IP:port``.  ``peers`` are addresses to
    ask when the platform is down.  Paths of files may be relative to the
    settings file; here they are as a process finds them.
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


_SETTINGS = _checks.rules_for(
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
_TLS = _checks.rules_for(TlsSettings, {})


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[_checks.Problem, ...]]:
    """Read and check a settings file and the files that it names."""
    read = _json5.read_json5(path)
    if isinstance(read, result.Failure):
        return result.Failure((read.failure(),))
    raw = read.unwrap()
    report = _checks.ProblemReport(str(path))
    row = report.read_object('$', raw, _SETTINGS)
    # Other mistakes do not hide those in the files that are named.
    stated = raw if isinstance(raw, dict) else {}
    tls = _read_tls(report, path.parent, stated.get('tls'))
    keys_file = _read_keys(report, path.parent, stated.get('keys_file'))
    _check_distinct(report, stated)
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
    row = report.read_object('tls', raw, _TLS)
    if row is None:
        return None
    tls = TlsSettings(*(str(folder / name) for name in row.values()))
    try:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(tls.certificate_file, tls.key_file)
    except (OSError, ValueError) as error:
        report.add_described(
            'tls', str(error), 'a readable PEM certificate and its key'
        )
    return tls


def _check_distinct(
    report: _checks.ProblemReport, raw: dict[str, typing.Any]
) -> None:
    seen: dict[str, str] = {}
    for key in ('caller_address', 'operator_address', 'peer_address'):
        address = str(raw.get(key, key)).removeprefix('tcp://')
        other = seen.setdefault(address, key)
        if other != key:
            report.add(key, raw[key], f'an address other than {other}')
