"""Bodies of the operators' HTTP interface other than change outcomes."""

import enum

import msgspec


class OperatorErrorKind(enum.Enum):
    """Why an operator's call failed; the values are part of the public API."""

    BAD_REQUEST = 'bad-request'
    WRONG_TOKEN = 'wrong-token'
    NOT_FOUND = 'not-found'
    TOO_LARGE = 'too-large'
    WRONG_CONTENT_TYPE = 'wrong-content-type'
    NOT_OFFERED = 'not-offered'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    INTERNAL = 'internal'


class OperatorError(msgspec.Struct, frozen=True, tag='error'):
    """A call that was refused or failed.

    With the kinds ``UNKNOWN`` and ``INTERNAL`` the call may have taken
    effect; with any other kind it has not.
    """

    kind: OperatorErrorKind
    detail: str
    retry_after_ms: int = 0


class OperatorDone(msgspec.Struct, frozen=True, tag='done'):
    """The call took effect."""

    detail: str = ''


class DaemonRevision(msgspec.Struct, frozen=True):
    """The configuration revision that one live daemon has in force."""

    name: str
    site: str
    revision: int


class Confirmations(msgspec.Struct, frozen=True):
    """The revisions that live daemons last reported to the daemon asked.

    ``revision`` is the one in force at the daemon asked.
    """

    revision: int
    daemons: list[DaemonRevision]


class TargetRow(msgspec.Struct, frozen=True):
    """One target in the response to the operators' ``status`` call.

    ``dispatcher`` is the daemon that owns the target, None while no live
    daemon does.  A target that is not ``usable`` gets no new work, for
    example because it drains.
    """

    name: str
    site: str
    dispatcher: str | None
    slots: int
    connections: int
    usable: bool
