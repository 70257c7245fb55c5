"""A stub for searches that track no suspicious contents."""


class NullCrashTracker:
    """Suspicions that record nothing and refuse nothing."""

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
