"""What daemons tell each other of contents that crash targets."""

import msgspec

from samphiredock.protocol import _operator_changes


class SuspectNotice(msgspec.Struct, frozen=True):
    """Targets were lost while they ran this content alone.

    The sender tries the content alone for up to ``trial_ms`` from now;
    until then the others refuse it.
    """

    fingerprint: str
    service: str
    targets: list[str]
    trial_ms: float


class QuarantineNotice(msgspec.Struct, frozen=True):
    """This content is refused everywhere until ``entry.until_ms``."""

    entry: _operator_changes.QuarantineEntry


class ClearedNotice(msgspec.Struct, frozen=True):
    """The content is no suspect any more.

    ``released`` says that an operator ended its quarantine; without it
    the content succeeded, which does not end a quarantine.
    """

    fingerprint: str
    released: bool = False


class StoredQuarantine(msgspec.Struct, frozen=True):
    """The object below ``quarantine/``; a released one stays as a mark."""

    entry: _operator_changes.QuarantineEntry
    released: bool = False
