"""Protocols that the forwarder depends on, and its settings."""

import dataclasses
import math
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


class Dialect(typing.Protocol):
    """The HTTP protocol spoken with targets."""

    def target_request(
        self,
        request: protocol.ForwardRequest,
        target: state.LiveTarget,
        left_ms: float,
    ) -> protocol.HttpRequest:
        """Return the request to send to a target.

        ``left_ms`` is the time left until the caller's deadline.
        """

    def read_reply(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> protocol.TargetReply:
        """Return a target's reply with the status of the attempt."""

    def is_reply_to(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> bool:
        """Whether a reply belongs to this request and to no other."""


class RouteTable(typing.Protocol):
    """One version of the routing table."""

    @property
    def version(self) -> int:
        """The version number of the table."""

    def match(self, host: str, path: str) -> state.Route | None:
        """Return the route of a request, None if no route matches."""


class Routing(typing.Protocol):
    """Access to the current routing table."""

    @property
    def table(self) -> RouteTable | None:
        """The table in force, None before the first."""


class Links(typing.Protocol):
    """Pooled connections to targets."""

    async def exchange(
        self,
        target: state.LiveTarget,
        request: protocol.HttpRequest,
        timeout_ms: float,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        max_idle_ms: float = math.inf,
        is_wanted: typing.Callable[[], bool] = lambda: True,
        on_chunk: typing.Callable[[bytes], None] | None = None,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> result.Result[protocol.HttpReply, transport.LinkError]:
        """Send a request once and return its reply.

        Replies for which ``is_reply`` is false belong to other requests
        and are skipped.  A connection that has been idle for more than
        ``max_idle_ms`` is not used.  Nothing is sent once ``is_wanted``
        returns false.  With ``on_chunk``, the chunks of the body are passed
        to it instead of being collected in the reply.  ``on_send`` is called
        when the request is written.
        """

    def has_room(self, target: state.LiveTarget) -> bool:
        """Whether an exchange would get a connection without waiting."""

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Whether a target accepts connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardSettings:
    """Settings of the forwarder.

    ``site`` is this daemon's own.  ``caller_way_ms`` is the network round trip
    between caller and daemon, without connecting; it is subtracted from a
    route's aim, the latency up to which an answer has its full value.
    ``max_idle_once_ms`` is the longest idle time of a connection used for a
    request that must run at most once: if the target has closed the connection
    meanwhile, the request is lost and may not be sent again.
    """

    site: str
    caller_way_ms: float
    limits: state.Limits
    max_idle_once_ms: float = math.inf
