"""What operators ask of a daemon, and the outcomes they are told."""

import msgspec


class ConfigurationChange(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A base file and overlays to bring into force.

    ``base_revision`` is the revision that the change was made from; the
    change is refused if another one has been accepted since.  ``change_id``
    recognises the change when the store's answer to its write was lost.
    ``repeated`` says that an earlier sending of it had an unknown outcome:
    a daemon that can't read the store then can't say that nothing was
    changed.
    """

    base_revision: int
    change_id: str
    author: str
    base: dict
    overlays: dict[str, dict]
    repeated: bool = False


class ChangeAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The change is in the store and will be in force everywhere."""

    revision: int


class ChangeConflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another change was accepted first; nothing was changed."""

    revision: int
    author: str


class ChangeInvalid(msgspec.Struct, frozen=True, tag='invalid'):
    """The change does not compile; every mistake is listed."""

    problems: list[str]


class ChangeUnavailable(msgspec.Struct, frozen=True, tag='unavailable'):
    """The store did not take the change; nothing was changed."""

    detail: str
    retry_after_ms: int


class ChangeUnknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The change may or may not have been accepted.

    Sending the same change again, with the same ``change_id``, is safe.
    """

    detail: str
    retry_after_ms: int


ChangeOutcome = (
    ChangeAccepted
    | ChangeConflict
    | ChangeInvalid
    | ChangeUnavailable
    | ChangeUnknown
)


class ChangeSummary(msgspec.Struct, frozen=True):
    """One accepted change, as the history lists it."""

    revision: int
    author: str
    change_id: str
    accepted_at_ms: int


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request content that crashed targets and is refused."""

    fingerprint: str
    service: str
    targets: list[str]
    since_ms: int
    until_ms: int
