"""Reading of files of JSON with comments."""

import pathlib
import typing

import json5
from returns import result

from samphiredock.state import _checks

_SIZE_LIMIT_BYTES = 10_000_000


def read_json5(
    path: pathlib.Path,
) -> result.Result[typing.Any, _checks.Problem]:
    """Return the value that a file of JSON with comments holds."""
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
        return result.Success(parse_text(data.decode('utf-8')))
    except (ValueError, RecursionError) as error:
        why = ' '.join(str(error).split()) or type(error).__name__
        return _failure(path, why, 'JSON with comments')


def parse_text(text: str) -> typing.Any:
    """Return the value of a text; ``ValueError`` says what is wrong.

    A field that is stated twice is refused: one of the two would be lost
    without a word.
    """
    return json5.loads(text, allow_duplicate_keys=False)


def _failure(
    path: pathlib.Path, got: str, expected: str
) -> result.Failure[_checks.Problem]:
    return result.Failure(_checks.Problem(str(path), '$', got, expected))
