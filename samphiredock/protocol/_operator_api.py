"""Bodies of the operators' HTTP interface beside the change outcomes."""

import enum

import msgspec


class OperatorErrorKind(enum.Enum):
    """Why an operator's call gave no value; part of the public API."""

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

    After ``UNKNOWN`` and ``INTERNAL`` the call may have taken effect;
    after any other kind it has not.
    """

    kind: OperatorErrorKind
    detail: str
    retry_after_ms: int = 0


class OperatorDone(msgspec.Struct, frozen=True, tag='done'):
    """The call took effect."""

    detail: str = ''


class DaemonRevision(msgspec.Struct, frozen=True):
    """The revision that one live daemon has in force."""

    name: str
    site: str
    revision: int


class Confirmations(msgspec.Struct, frozen=True):
    """What the live daemons last reported to the daemon asked."""

    revision: int
    daemons: list[DaemonRevision]


class TargetRow(msgspec.Struct, frozen=True):
    """One target as ``status`` shows it.

    ``dispatcher`` is None while no live daemon owns the target; an
    unusable target gets no new work, for example while it drains.
    """

    name: str
    site: str
    dispatcher: str | None
    slots: int
    connections: int
    usable: bool
