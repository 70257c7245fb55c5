"""The interface between an entry daemon and the platform it runs on."""

import typing

from returns import result

from samphiredock.coordination import forwarding
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


class Adapter(forwarding.Dialect, typing.Protocol):
    """Key names and encodings of a platform, without decisions or state.

    In the platform's store, the object at ``routing_key``, which is below
    ``routing_prefix``, is the routing table, and every object below
    ``targets_prefix`` registers a target.
    """

    routing_prefix: str
    routing_key: str
    targets_prefix: str

    def store(self, calls: transport.StoreCaller) -> transport.Objects:
        """Return a client of the platform's store.

        ``calls`` makes its HTTP calls.
        """

    def read_routing(
        self, value: bytes
    ) -> result.Result[state.RoutingTable, str]:
        """Return the routing table in an object, or why it is malformed."""

    def read_target(
        self, key: str, value: bytes
    ) -> result.Result[state.LiveTarget, str]:
        """Return the target in an object, or why it is malformed."""

    def target_id(self, key: str) -> str:
        """Return the id of the target registered under a key."""

    def stated_deadline_ms(self, headers: protocol.Headers) -> float | None:
        """Return how long a caller waits, None if it does not say so."""

    def read_request(
        self,
        method: str,
        path: str,
        headers: protocol.Headers,
        body: bytes,
    ) -> result.Result[protocol.ForwardRequest, str]:
        """Return a caller's request, or why it is malformed."""

    def caller_reply(
        self, outcome: protocol.ForwardOutcome
    ) -> protocol.HttpReply:
        """Return the reply to the caller for an outcome."""
