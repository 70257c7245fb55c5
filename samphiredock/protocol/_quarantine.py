"""Messages between daemons about request contents that crash targets.

``fingerprint`` is the digest of a request's content.
"""

import msgspec

from samphiredock.protocol import _operator_changes


class SuspectNotice(msgspec.Struct, frozen=True):
    """Targets were lost while they ran this content and nothing else.

    For up to ``trial_ms`` the sender tests the content on its own; for that
    long after the notice the receiver refuses it.
    """

    fingerprint: str
    service: str
    targets: list[str]
    trial_ms: float


class QuarantineNotice(msgspec.Struct, frozen=True):
    """The content is refused by every daemon until ``entry.until_ms``."""

    entry: _operator_changes.QuarantineEntry


class ClearedNotice(msgspec.Struct, frozen=True):
    """The content is no longer suspected.

    ``released`` says that an operator ended its quarantine.  Otherwise the
    content has run without a crash, which does not end a quarantine.
    """

    fingerprint: str
    released: bool = False


class StoredQuarantine(msgspec.Struct, frozen=True):
    """The stored object ``quarantine/FINGERPRINT``.

    With ``released`` the object is kept instead of deleted, so that daemons
    that read it drop the entry.
    """

    entry: _operator_changes.QuarantineEntry
    released: bool = False
