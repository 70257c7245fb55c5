"""Quarantine stub for forwarded requests."""


class NoSuspicions:
    """Suspicions for contents that no target has been lost to."""

    def note_lost(self, fingerprint: str, target: str, service: str) -> None:
        """Count nothing."""

    def note_succeeded(self, fingerprint: str) -> None:
        """Count nothing."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """No content is refused."""
        return False

    def is_suspect(self, fingerprint: str) -> bool:
        """No content is suspected."""
        return False
