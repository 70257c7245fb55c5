"""Reading of JSON5 files."""

import pathlib
import typing

import json5
from returns import result

from samphiredock.state import _checks

_SIZE_LIMIT_BYTES = 10_000_000


def read_json5(
    path: pathlib.Path,
) -> result.Result[typing.Any, _checks.Problem]:
    """Return the value in a JSON5 file, or why it cannot be read."""
    try:
        data = path.read_bytes()
    except (OSError, ValueError) as error:
        return _failure(path, str(error), 'a readable file')
    if len(data) > _SIZE_LIMIT_BYTES:
        return _failure(
            path,
            f'{len(data)} bytes',
            f'a file of at most {_SIZE_LIMIT_BYTES} bytes',
        )
    try:
        return result.Success(parse_json5(data.decode('utf-8')))
    except (ValueError, RecursionError) as error:
        why = ' '.join(str(error).split()) or type(error).__name__
        return _failure(path, why, 'JSON with comments')


def parse_json5(text: str) -> typing.Any:
    """Return the value of a JSON5 text.

    Raises ``ValueError`` if it is invalid, or has a field twice, of which
    one would be ignored silently.
    """
    return json5.loads(text, allow_duplicate_keys=False)


def _failure(
    path: pathlib.Path, got: str, expected: str
) -> result.Failure[_checks.Problem]:
    return result.Failure(_checks.Problem(str(path), '$', got, expected))
