"""Messages between daemons about targets and which daemon owns them.

The owner of a target is the one daemon that sends new work to it.
"""

import msgspec


class TargetSign(msgspec.Struct, frozen=True):
    """Reports that a target is leaving, or is not leaving any more.

    ``at_ms`` is the wall-clock time in ms since the epoch at which a daemon
    saw it; of two signs of one source, the later one applies.  The source
    is the target itself or, with ``from_host_list``, the platform's host
    list as read by a daemon of the target's site.
    """

    target: str
    leaving: bool
    at_ms: int
    from_host_list: bool = False


class TargetSignsWanted(msgspec.Struct, frozen=True):
    """Asks a peer for all its target signs if they differ from the sender's.

    ``digest`` is that of the sender's signs; the peer does not answer if its
    own signs have the same digest.  With 0 it always answers.
    """

    digest: int = 0


class Release(msgspec.Struct, frozen=True):
    """Asks the receiver to give up a target that the sender now owns."""

    target: str


class Released(msgspec.Struct, frozen=True):
    """Confirms that the sender sends no new work to the target.

    ``busy`` counts the target's slots that work of the sender still
    occupies, ``busy_for_ms`` bounds how much longer it may.
    """

    target: str
    busy: int
    busy_for_ms: float
