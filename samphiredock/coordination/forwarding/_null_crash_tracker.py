"""A crash tracker for searches that are not checked for crashes."""


class NullCrashTracker:
    """A ``CrashTracker`` that records and refuses nothing."""

    def record_loss(self, fingerprint: str, target: str, service: str) -> None:
        """Do nothing."""

    def record_success(self, fingerprint: str) -> None:
        """Do nothing."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return False: no content is refused."""
        return False

    def is_suspect(self, fingerprint: str) -> bool:
        """Return False: no content is suspected."""
        return False
