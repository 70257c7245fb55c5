"""Gossip messages: membership and the distribution of stored objects.

Member rows and probes are sent continuously, so they are encoded as arrays:
field names would make up half of their bytes.
"""

import enum

import msgspec


class MemberState(enum.IntEnum):
    """The state of a member.

    Of two rows of one incarnation and refutation the higher state wins.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """One member's addresses and state.

    ``incarnation`` is higher after each restart of the member.
    ``refutation`` is higher each time that the member refutes, within one
    incarnation, a report that it is suspect, dead or has left.
    """

    name: str
    site: str
    region: str
    peer_address: str
    caller_address: str
    operator_address: str
    incarnation: int
    refutation: int = 0
    state: MemberState = MemberState.ALIVE


class HeldVersions(msgspec.Struct, frozen=True, array_like=True):
    """The newest configuration and snapshot that a daemon holds."""

    revision: int
    snapshot_id: int


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """Asks a member whether it is alive.

    In this and the following messages ``number`` identifies the question and
    is echoed in the answer, and ``versions`` are the sender's.  ``rows`` are
    piggybacked membership updates in the three probe messages.
    """

    number: int
    versions: HeldVersions
    rows: list[MemberRow] = []


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers the probe of the same ``number``: the member is alive."""

    number: int
    versions: HeldVersions
    rows: list[MemberRow] = []


class ProbeAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks another member to probe ``target``, a member, for the sender."""

    number: int
    target: str
    versions: HeldVersions
    rows: list[MemberRow] = []


class StateAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the member rows of every bucket whose digest differs.

    ``row`` is the sender's own.  ``digests`` holds one digest for each bucket
    of member names; if it is empty, all rows are asked for.  Sent by a daemon
    that joins or whose process was frozen, and periodically by every daemon
    to a random peer.
    """

    number: int
    row: MemberRow
    digests: list[int]
    versions: HeldVersions


class StateAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The sender's member rows in the buckets that differ.

    ``settled`` says that the sender's ``versions`` are up to date, so that
    the receiver may rely on them.
    """

    number: int
    buckets: list[int]
    rows: list[MemberRow]
    versions: HeldVersions
    settled: bool


class StatePush(msgspec.Struct, frozen=True, array_like=True):
    """Member rows that the receiver lacks or that must not wait for gossip."""

    rows: list[MemberRow]


class ObjectVersion(msgspec.Struct, frozen=True):
    """Announces a version of a stored object.

    A receiver that lacks it asks the sender of the message, which is the
    daemon that relayed it; ``origin`` is the daemon that announced it first.
    """

    key: str
    version: int
    origin: str


class ObjectAsk(msgspec.Struct, frozen=True):
    """Asks for a stored object at ``version`` or newer."""

    key: str
    version: int


class ObjectChanged(msgspec.Struct, frozen=True):
    """The value of a stored object at one version."""

    key: str
    version: int
    value: bytes


class RevisionHeld(msgspec.Struct, frozen=True):
    """Confirms that the sender has a configuration revision in force.

    Sent to the daemon that accepted the revision.
    """

    revision: int


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message that is relayed to every member of a site.

    Receivers drop a repeated ``message_id``.  ``origin`` is the daemon that
    sent the message first, ``hops`` how often it may still be relayed.
    ``kind`` and ``body`` are the message's two frames; see :class:`Codec`.
    """

    message_id: str
    origin: str
    hops: int
    kind: bytes
    body: bytes


CONTROL_MESSAGES = (
    Probe,
    ProbeAnswer,
    ProbeAsk,
    StateAsk,
    StateAnswer,
    StatePush,
    ObjectVersion,
    ObjectAsk,
    ObjectChanged,
    RevisionHeld,
    Envelope,
)
"""The message types of this module, to be given to a :class:`Codec`."""
