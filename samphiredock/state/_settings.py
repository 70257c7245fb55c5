"""A daemon's own settings, read from a file of JSON with comments."""

import dataclasses
import pathlib

import json5
import msgspec
from returns import result


@dataclasses.dataclass(frozen=True, slots=True)
class TlsSettings:
    """TLS towards callers: paths of the certificate and its key."""

    certificate_file: str
    key_file: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What one daemon must know before it can ask anybody.

    ``caller_address`` and ``operator_address`` are ``host:port``;
    ``peer_address`` is ``tcp://host:port``.  ``peers`` are addresses to
    ask when the platform is down.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a file: where, what was got, what was expected."""

    file: str
    path: str
    got: str
    expected: str

    def __str__(self) -> str:
        return (
            f'{self.file}: {self.path}: got {self.got}, '
            f'expected {self.expected}'
        )


def load_settings(
    path: pathlib.Path,
) -> result.Result[Settings, tuple[Problem, ...]]:
    """Read and check a settings file."""
    try:
        raw = json5.loads(path.read_text(encoding='utf-8'))
        return result.Success(msgspec.convert(raw, Settings))
    except (OSError, ValueError, msgspec.ValidationError) as error:
        problem = Problem(str(path), '$', str(error), 'valid settings')
        return result.Failure((problem,))
