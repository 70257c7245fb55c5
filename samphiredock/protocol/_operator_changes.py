"""Configuration changes, their outcomes and history, and quarantine entries.

Bodies of the operators' HTTP interface.  ``retry_after_ms`` is how long the
client should wait before it tries again.
"""

import msgspec


class ConfigurationChange(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A base file and overlays that replace those in force.

    ``base_revision`` is the revision that the change was made from; the
    change is refused if another one has been accepted since.  ``change_id``
    identifies the change, so that a daemon can tell whether its write has
    succeeded when the store's response to it was lost.  ``repeated`` says
    that the same change was sent before with an unknown outcome: a daemon
    that cannot read the store then answers :class:`ChangeUnknown`, because
    the earlier attempt may have been accepted.
    ``overlays`` maps the names of sites to their overlays.
    """

    base_revision: int
    change_id: str
    author: str
    base: dict
    overlays: dict[str, dict]
    repeated: bool = False


class ChangeAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The change is stored as ``revision``; every daemon will apply it."""

    revision: int


class ChangeConflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another change was accepted first; nothing was changed.

    ``revision`` and ``author`` are those of the other change.
    """

    revision: int
    author: str


class ChangeInvalid(msgspec.Struct, frozen=True, tag='invalid'):
    """The change does not compile; every problem is listed."""

    problems: list[str]


class ChangeUnavailable(msgspec.Struct, frozen=True, tag='unavailable'):
    """The store did not accept the change; nothing was changed."""

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
    """One accepted change in the history.

    ``accepted_at_ms`` is the wall-clock time in ms since the epoch.
    """

    revision: int
    author: str
    change_id: str
    accepted_at_ms: int


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request content that crashed targets and is refused.

    ``fingerprint`` is the digest of the content, ``targets`` are those that
    were lost to it.  The entry holds from ``since_ms`` to ``until_ms``, both
    wall-clock times in ms since the epoch.
    """

    fingerprint: str
    service: str
    targets: list[str]
    since_ms: int
    until_ms: int
