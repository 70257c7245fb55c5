"""Messages between daemons about targets and who dispatches for them."""

import msgspec


class TargetSign(msgspec.Struct, frozen=True):
    """A sign that a target leaves or is back, as one daemon saw it.

    ``at_ms`` orders the signs of one target: the highest holds.  A sign is
    the target's own word, or what a watcher of its site read in the
    platform's host list.
    """

    target: str
    leaving: bool
    at_ms: int
    from_host_list: bool = False


class TargetSignsWanted(msgspec.Struct, frozen=True):
    """Ask a peer for every sign that it knows, unless its digest is equal.

    Without a digest (0) the peer answers in any case.
    """

    digest: int = 0


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
