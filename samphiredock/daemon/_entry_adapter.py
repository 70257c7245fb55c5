"""What an entry daemon needs of the platform that it runs on."""

import typing

from returns import result

from samphiredock.coordination import forwarding
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


class Adapter(forwarding.Dialect, typing.Protocol):
    """Names and wire of a platform; it decides nothing and keeps nothing."""

    routing_prefix: str
    routing_key: str
    targets_prefix: str

    def store(self, calls: transport.StoreCaller) -> transport.Objects:
        """Return the client of the platform's store."""

    def read_routing(
        self, value: bytes
    ) -> result.Result[state.RoutingTable, str]:
        """Return the routing table that an object holds."""

    def read_target(
        self, key: str, value: bytes
    ) -> result.Result[state.LiveTarget, str]:
        """Return the target that an object registers."""

    def target_id(self, key: str) -> str:
        """Return the id of the target whose object this is."""

    def read_request(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> result.Result[protocol.ForwardRequest, str]:
        """Return a caller's request, or what is wrong with it."""

    def caller_reply(
        self, outcome: protocol.ForwardOutcome
    ) -> protocol.HttpReply:
        """Return what the caller is told."""
