"""What a daemon knows of the other daemons."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One daemon's life: a restart is a new, higher incarnation."""

    name: str
    site: str
    region: str
    peer_address: str
    caller_address: str
    operator_address: str
    incarnation: int
