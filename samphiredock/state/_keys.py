"""The keys file: the operators' token and the CURVE keys of daemons."""

import dataclasses
import pathlib
import stat
import typing

from returns import result

from samphiredock.state import _checks
from samphiredock.state import _json5

TOKEN_LEAST_LENGTH = 16

_CURVE_KEY_LENGTH = 40
_READ_BY_OTHERS = stat.S_IROTH | stat.S_IWOTH


@dataclasses.dataclass(frozen=True, slots=True)
class CurvePair:
    """A CURVE key pair in Z85 text."""

    public: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Secrets of one daemon.

    ``admitted`` holds the public key of every daemon that may talk to
    this one, by member name; it is used with ``curve`` only.
    """

    operator_token: str | None = dataclasses.field(default=None, repr=False)
    curve: CurvePair | None = None
    admitted: typing.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )


def _is_curve_key(value: object) -> bool:
    return (
        isinstance(value, str)
        and len(value) == _CURVE_KEY_LENGTH
        and value.isascii()
        and value.isprintable()
        and ' ' not in value
    )


_CURVE_KEY = _checks.Rule('a CURVE key of 40 Z85 characters', _is_curve_key)
_TOKEN = _checks.Rule(
    f'a token of {TOKEN_LEAST_LENGTH} or more visible ASCII characters',
    lambda value: (
        isinstance(value, str)
        and len(value) >= TOKEN_LEAST_LENGTH
        and value.isascii()
        and value.isprintable()
        and ' ' not in value
    ),
)
_KEYS = {
    'operator_token': _TOKEN.optional(),
    'curve': _checks.json_object().optional(),
    'admitted': _checks.json_object().optional({}),
}
_PAIR = {'public': _CURVE_KEY, 'secret': _CURVE_KEY}


class _SecretReport(_checks.ProblemReport):
    """A report that never shows a value: it may be a secret."""

    def add(self, path: str, got: object, expected: str) -> None:
        """Note one mistake by the value's type."""
        kind = type(got).__name__
        size = f' of length {len(got)}' if isinstance(got, str) else ''
        self.add_described(path, f'a {kind}{size}', expected)


def load_keys(
    path: pathlib.Path,
) -> result.Result[Keys, tuple[_checks.Problem, ...]]:
    """Read and check a keys file.

    A file that any user of the host may read or write is refused: a
    leaked token lets anybody change the configuration, and a warning in
    a log would be seen too late.
    """
    report = _SecretReport(str(path))
    read = _json5.read_json5(path)
    if isinstance(read, result.Failure):
        return result.Failure((read.failure(),))
    mode = stat.S_IMODE(path.stat().st_mode)
    if mode & _READ_BY_OTHERS:
        report.add_described(
            '$', f'mode {mode:o}', 'no access for others (chmod 600)'
        )
    raw = read.unwrap()
    row = report.read_object('$', raw, _KEYS)
    stated = raw if isinstance(raw, dict) else {}
    curve = _read_pair(report, stated.get('curve'))
    admitted = stated.get('admitted')
    if isinstance(admitted, dict):
        _check_admitted(report, admitted, 'curve' in stated)
    if report.problems or row is None:
        return result.Failure(tuple(report.problems))
    return result.Success(
        Keys(row['operator_token'], curve, dict(row['admitted']))
    )


def _read_pair(report: _checks.ProblemReport, raw: object) -> CurvePair | None:
    if not isinstance(raw, dict):
        return None
    pair = report.read_object('curve', raw, _PAIR)
    return CurvePair(**pair) if pair else None


def _check_admitted(
    report: _checks.ProblemReport, admitted: dict, has_pair: bool
) -> None:
    for name, key in admitted.items():
        if not _is_curve_key(key):
            report.add(f'admitted.{name}', key, _CURVE_KEY.expected)
    if admitted and not has_pair:
        report.add_described(
            'curve', 'nothing', 'a key pair, as keys are admitted'
        )
