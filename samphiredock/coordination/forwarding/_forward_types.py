"""What the forwarder needs of others, and its bounds."""

import dataclasses
import math
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import transport


class Dialect(typing.Protocol):
    """The targets' HTTP protocol, as the forwarder uses it."""

    def target_request(
        self,
        request: protocol.ForwardRequest,
        target: state.LiveTarget,
        left_ms: float,
    ) -> protocol.HttpRequest:
        """Return what goes out to a target."""

    def read_reply(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> protocol.TargetReply:
        """Return what a target's answer means."""

    def is_reply_to(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> bool:
        """Whether an answer belongs to this request and to no other."""


class RouteTable(typing.Protocol):
    """One version of the routes."""

    @property
    def version(self) -> int:
        """The number of the version."""

    def match(self, host: str, path: str) -> state.Route | None:
        """Return the route of a request."""


class Routing(typing.Protocol):
    """What is known of the routes."""

    @property
    def table(self) -> RouteTable | None:
        """The table in force, None before the first."""


class Links(typing.Protocol):
    """Connections to targets."""

    async def exchange(
        self,
        target: state.LiveTarget,
        request: protocol.HttpRequest,
        timeout_ms: float,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        kept_ms: float = math.inf,
        is_wanted: typing.Callable[[], bool] = lambda: True,
        on_chunk: typing.Callable[[bytes], None] | None = None,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> result.Result[protocol.HttpReply, transport.LinkError]:
        """Send a request once and return its answer.

        Answers for which ``is_reply`` is false belong to other requests;
        a connection that was idle for more than ``kept_ms`` is not used.
        Nothing is sent once ``is_wanted`` is false.  ``on_chunk`` takes
        the chunks of the answer, which are not in its body then;
        ``on_send`` is called as the request goes out.
        """

    def has_room(self, target: state.LiveTarget) -> bool:
        """Whether an exchange would get a connection without waiting."""

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Whether a target takes connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardSettings:
    """Bounds of the forwarder.

    ``caller_way_ms`` is what the way from the caller and back takes of a
    route's aim, without connecting.  ``once_kept_ms`` is how long a connection
    may have been idle on which a request goes that must run once: if the
    target has forgotten the connection, the request is lost and may not be
    sent again.
    """

    site: str
    caller_way_ms: float
    limits: state.Limits
    once_kept_ms: float = math.inf
