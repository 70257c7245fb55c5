"""Requests that may not be repeated: claim, send, tell what became of it."""

from samphiredock.coordination.once._run_once import Runner
from samphiredock.coordination.once._run_request import RunQuarantine

__all__ = [
    'RunQuarantine',
    'Runner',
]
