"""The keys file: the operators' token and the daemons' ZeroMQ CURVE keys."""

import dataclasses
import pathlib
import stat
import typing

from returns import result

from samphiredock.state import _checks
from samphiredock.state import _json5

TOKEN_MIN_LENGTH = 16

_CURVE_KEY_LENGTH = 40
_OTHERS_READ_WRITE = stat.S_IROTH | stat.S_IWOTH


@dataclasses.dataclass(frozen=True, slots=True)
class CurvePair:
    """A CURVE key pair; both keys are in Z85."""

    public: str
    secret: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """The secrets of one daemon.

    ``operator_token`` authorises operators' calls.  ``curve`` is the key
    pair of this daemon, None if connections between daemons are not
    encrypted.  ``admitted`` maps the name of each daemon that may connect to
    its public key; it requires ``curve``.
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


_CURVE_KEY_RULE = _checks.Rule(
    'a CURVE key of 40 Z85 characters', _is_curve_key
)
_TOKEN_RULE = _checks.Rule(
    f'a token of {TOKEN_MIN_LENGTH} or more visible ASCII characters',
    lambda value: (
        isinstance(value, str)
        and len(value) >= TOKEN_MIN_LENGTH
        and value.isascii()
        and value.isprintable()
        and ' ' not in value
    ),
)
_KEYS_RULES = {
    'operator_token': _TOKEN_RULE.optional(),
    'curve': _checks.json_object().optional(),
    'admitted': _checks.json_object().optional({}),
}
_CURVE_PAIR_RULES = {'public': _CURVE_KEY_RULE, 'secret': _CURVE_KEY_RULE}


class _RedactedReport(_checks.ProblemReport):
    """A report without the values that were read: they may be secrets."""

    def add(self, path: str, got: object, expected: str) -> None:
        """Add a problem with the type and the length of the value."""
        kind = type(got).__name__
        size = f' of length {len(got)}' if isinstance(got, str) else ''
        self.add_described(path, f'a {kind}{size}', expected)


def load_keys(
    path: pathlib.Path,
) -> result.Result[Keys, tuple[_checks.Problem, ...]]:
    """Return the keys in a file, or all problems.

    A file that every user of the host may read or write is refused, rather
    than only warned of: its token lets anyone change the configuration.
    """
    report = _RedactedReport(str(path))
    read = _json5.read_json5(path)
    if isinstance(read, result.Failure):
        return result.Failure((read.failure(),))
    mode = stat.S_IMODE(path.stat().st_mode)
    if mode & _OTHERS_READ_WRITE:
        report.add_described(
            '$', f'mode {mode:o}', 'no access for others (chmod 600)'
        )
    raw = read.unwrap()
    row = report.read_object('$', raw, _KEYS_RULES)
    raw_fields = raw if isinstance(raw, dict) else {}
    curve = _read_curve_pair(report, raw_fields.get('curve'))
    admitted = raw_fields.get('admitted')
    if isinstance(admitted, dict):
        _check_admitted(report, admitted, 'curve' in raw_fields)
    if report.problems or row is None:
        return result.Failure(tuple(report.problems))
    return result.Success(
        Keys(row['operator_token'], curve, dict(row['admitted']))
    )


def _read_curve_pair(
    report: _checks.ProblemReport, raw: object
) -> CurvePair | None:
    if not isinstance(raw, dict):
        return None
    pair = report.read_object('curve', raw, _CURVE_PAIR_RULES)
    return CurvePair(**pair) if pair else None


def _check_admitted(
    report: _checks.ProblemReport, admitted: dict, has_pair: bool
) -> None:
    for name, key in admitted.items():
        if not _is_curve_key(key):
            report.add(f'admitted.{name}', key, _CURVE_KEY_RULE.expected)
    if admitted and not has_pair:
        report.add_described(
            'curve', 'nothing', 'a key pair, because admitted is not empty'
        )
