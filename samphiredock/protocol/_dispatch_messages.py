"""Messages between daemons about targets and who dispatches for them."""

import msgspec


class TargetSign(msgspec.Struct, frozen=True):
    """A target's own word, as its dispatcher saw it, that it leaves.

    ``at_ms`` orders the signs of one target: the highest holds.
    """

    target: str
    leaving: bool
    at_ms: int


class TargetSignsWanted(msgspec.Struct, frozen=True):
    """Ask a peer for every sign that it knows."""


class Release(msgspec.Struct, frozen=True):
    """The sender owns the target now; the receiver is to let go of it."""

    target: str


class Released(msgspec.Struct, frozen=True):
    """The sender sends nothing new to the target.

    ``busy`` of its slots are still taken by the sender's work, for at most
    ``busy_for_ms`` more.
    """

    target: str
    busy: int
    busy_for_ms: float
