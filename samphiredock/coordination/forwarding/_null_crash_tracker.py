"""A stub for searches that track no suspicious contents."""


class NullCrashTracker:
    """A crash tracker that records nothing and refuses nothing."""

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
