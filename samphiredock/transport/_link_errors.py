"""Errors of exchanges with targets."""

import dataclasses
import enum


class LinkErrorKind(enum.Enum):
    """Why an exchange with a target gave no usable reply.

    After ``UNREACHABLE`` and ``NO_CONNECTION`` the request was certainly not
    sent.  ``NO_CONNECTION`` comes from this daemon's own limit and says
    nothing about the target.  After ``BROKEN`` (connection lost, or an error
    status), ``SILENT`` (timeout) and ``BAD_ANSWER`` (an invalid reply, or one
    to another request) it may have run.
    """

    UNREACHABLE = 'unreachable'
    NO_CONNECTION = 'no-connection'
    BROKEN = 'broken'
    SILENT = 'silent'
    BAD_ANSWER = 'bad-answer'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkError:
    """A failed exchange with a target.

    ``ended`` says that the target answered with an error, so that nothing
    of the request still runs there.
    """

    kind: LinkErrorKind
    detail: str
    ended: bool = False
