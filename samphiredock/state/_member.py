"""The stored object by which daemons find each other."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One daemon, stored under ``members/NAME``.

    ``incarnation`` is higher after each restart.
    """

    name: str
    site: str
    region: str
    peer_address: str
    caller_address: str
    operator_address: str
    incarnation: int
