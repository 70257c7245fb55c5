"""Messages by which daemons keep membership and spread objects.

Rows and probes are sent all the time, so they are encoded as arrays: the
names of their fields would be half of their bytes.
"""

import enum

import msgspec


class MemberState(enum.IntEnum):
    """What a member is held to be; a higher one wins a tie."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRow(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member.

    ``incarnation`` grows with each start, ``refutation`` each time that
    the member contradicts a report of its own death within one start.
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
    """Ask a member whether it lives."""

    number: int
    versions: HeldVersions
    rows: list[MemberRow] = []


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The member that was probed lives."""

    number: int
    versions: HeldVersions
    rows: list[MemberRow] = []


class ProbeAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask another member to probe ``target`` on the sender's behalf."""

    number: int
    target: str
    versions: HeldVersions
    rows: list[MemberRow] = []


class StateAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask for every row that differs; without digests, for all rows.

    Sent by a joining daemon, by one that was frozen, and now and then by
    each to a random peer.
    """

    number: int
    row: MemberRow
    digests: list[int]
    versions: HeldVersions


class StateAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answerer's rows in the buckets that differ.

    ``settled`` says that the answerer's own versions can be relied on.
    """

    number: int
    buckets: list[int]
    rows: list[MemberRow]
    versions: HeldVersions
    settled: bool


class StatePush(msgspec.Struct, frozen=True, array_like=True):
    """Rows that the receiver lacks, or that must be known at once."""

    rows: list[MemberRow]


class ObjectVersion(msgspec.Struct, frozen=True):
    """A version of an object exists; who lacks it may ask the sender."""

    key: str
    version: int
    origin: str


class ObjectAsk(msgspec.Struct, frozen=True):
    """Ask for an object at ``version`` or newer."""

    key: str
    version: int


class ObjectChanged(msgspec.Struct, frozen=True):
    """An object's value at one version."""

    key: str
    version: int
    value: bytes


class RevisionHeld(msgspec.Struct, frozen=True):
    """Confirms to the accepting daemon that a revision is in force."""

    revision: int


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message on its way to every member of a site.

    ``message_id`` lets a receiver drop a repeat; ``hops`` bounds the way.
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
"""The control messages, for the table of a codec."""
