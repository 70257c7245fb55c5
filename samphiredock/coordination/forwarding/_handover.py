"""Hand a whole request over to a daemon that coordinates.

The hand-over is a scatter over one shard whose replicas are the
coordinators.  One that takes no connection, or refuses, costs another try.
One that is lost with the request may have sent it to targets, nobody knows
to which: another one might send it to more of them than the route allows,
so the caller is told at once and may ask again under a new id.
Between daemons a request keeps its own headers; what is added for the hop
has names of its own.
"""

import dataclasses

import msgspec

from samphiredock.coordination.forwarding import _crash_guard
from samphiredock.coordination.forwarding import _roles
from samphiredock.coordination.forwarding import _routing
from samphiredock import protocol
from samphiredock import state

SERVICE = 'coordinators'
"""The service under which the coordinators are listed as targets."""

_LEFT = 'Samphiredock-Left-Ms'
_ID = 'Samphiredock-Request'
_VERSION = 'Samphiredock-Version'
_REFUSED = 'Samphiredock-Refused'
_STALE_OK = 'Samphiredock-Stale-Ok'
_PREFIX = 'samphiredock-'

UNKNOWN_ROUTE_MS = 10_000.0
"""Timeout of a request whose route is not known here; the coordinator
knows it, or answers at once that there is none."""

_Status = protocol.SubStatus


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver:
    """A request from another daemon.

    ``least_version`` is the newest routing table whose effect that daemon
    has seen: one that is older must not be used for it, or its callers
    would see a change undone.  ``stale_ok`` says that every coordinator
    has lost the store, so that old knowledge is the best there is.
    """

    headers: protocol.Headers
    request_id: str
    left_ms: float
    least_version: int
    stale_ok: bool = False


def read_handed_over(headers: protocol.Headers) -> HandedOver | None:
    """Return what the hop added, None if it is not whole."""
    added = {
        name.lower(): value
        for name, value in headers
        if name.lower().startswith(_PREFIX)
    }
    kept = tuple(
        row for row in headers if not row[0].lower().startswith(_PREFIX)
    )
    try:
        return HandedOver(
            kept,
            added[_ID.lower()],
            float(added[_LEFT.lower()]),
            int(added[_VERSION.lower()]),
            _STALE_OK.lower() in added,
        )
    except (KeyError, ValueError):
        return None


def coordinator_reply(
    reply: protocol.HttpReply, handed: HandedOver, version: int
) -> protocol.HttpReply:
    """Return the answer to a caller with what the hop adds."""
    added = ((_ID, handed.request_id), (_VERSION, str(version)))
    return dataclasses.replace(reply, headers=reply.headers + added)


def refusal_reply(handed: HandedOver | None, why: str) -> protocol.HttpReply:
    """Return the answer of a daemon that cannot coordinate now."""
    request_id = handed.request_id if handed else ''
    headers = ((_REFUSED, '1'), (_ID, request_id))
    return protocol.HttpReply(503, headers, why.encode())


def can_retry_elsewhere(outcome: protocol.ForwardOutcome) -> bool:
    """Whether another coordinator can still run what was handed over.

    This one stops, and has sent nothing: passed on as the caller's answer,
    its refusal would cost the caller one of few tries.
    """
    return (
        isinstance(outcome, protocol.NotRun)
        and outcome.reason is protocol.NotRunReason.SHUTTING_DOWN
    )


LOSS_PATH = '/samphiredock/losses'
"""Where daemons tell each other of targets lost under a content."""


def loss_notice(loss: _crash_guard.Loss) -> protocol.HttpRequest:
    """Return what the other daemons are told."""
    headers = (('Host', 'samphiredock'), ('Content-Type', 'application/json'))
    return protocol.HttpRequest(
        'POST', LOSS_PATH, headers, msgspec.json.encode(loss)
    )


def read_loss(body: bytes) -> _crash_guard.Loss | None:
    """Return what another daemon tells, None if it cannot be read."""
    try:
        return msgspec.json.decode(body, type=_crash_guard.Loss)
    except msgspec.DecodeError:
        return None


class HandoverRouting:
    """One route for everything: to the coordinators.

    The routing table of this daemon may be old; only how long a request
    may take is read from it.
    """

    def __init__(self, routing: _routing.RoutingState) -> None:
        self._routing = routing

    @property
    def table(self) -> 'HandoverRouting':
        """The table itself; it is always there."""
        return self

    @property
    def version(self) -> int:
        """The version of the table that it reads."""
        table = self._routing.table
        return table.version if table else 0

    def match(self, host: str, path: str) -> state.Route:
        """Return the way of one request."""
        table = self._routing.table
        found = table.match(host, path) if table else None
        to_coordinators = (state.WeightedService(SERVICE, 1.0),)
        if found is None:
            return state.Route(
                'unknown', host, '/', False, UNKNOWN_ROUTE_MS,
                UNKNOWN_ROUTE_MS, 0, services=to_coordinators,
            )  # fmt: skip
        return dataclasses.replace(
            found,
            services=to_coordinators,
            shards=(),
            attempts=0,
            repeatable=False,
        )


class HandoverDialect:
    """What goes between two daemons; implements the forwarder's dialect."""

    def __init__(self, routing: _routing.RoutingState) -> None:
        self._routing = routing
        self._seen_version = 0

    def _least_version(self) -> int:
        table = self._routing.table
        held = table.version if table else 0
        return max(held, self._seen_version)

    def target_request(
        self,
        request: protocol.ForwardRequest,
        target: state.LiveTarget,
        left_ms: float,
    ) -> protocol.HttpRequest:
        """Return the request with what the hop adds."""
        added = [
            (_ID, request.request_id),
            (_LEFT, f'{left_ms:.1f}'),
            (_VERSION, str(self._least_version())),
        ]
        return protocol.HttpRequest(
            request.method,
            request.path,
            request.headers + tuple(added),
            request.body,
        )

    def is_reply_to(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> bool:
        """Whether an answer belongs to this request and to no other.

        Only a failure may lack the id: that of a daemon whose own code
        failed, which would else be waited for until the deadline.
        """
        echoed = reply.header(_ID)
        if echoed is None:
            return reply.status >= 400
        return echoed == request.request_id

    def read_reply(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> protocol.TargetReply:
        """A coordinator's answer is the caller's, unless it refused."""
        if reply.header(_ID) is None:
            # It may have sent the request on before it failed.
            return protocol.TargetReply(
                _Status.BROKEN, reply, detail=f'status {reply.status}'
            )
        if reply.header(_REFUSED) is not None:
            return protocol.TargetReply(_Status.SHED, reply, detail='refused')
        version = reply.header(_VERSION) or ''
        if version.isdigit():
            self._seen_version = max(self._seen_version, int(version))
        kept = tuple(
            row
            for row in reply.headers
            if not row[0].lower().startswith(_PREFIX)
        )
        return protocol.TargetReply(
            _Status.ANSWERED, dataclasses.replace(reply, headers=kept)
        )


class StaleHandoverDialect:
    """The same, to coordinators that may have lost the store."""

    def __init__(self, dialect: HandoverDialect) -> None:
        self._dialect = dialect
        self.is_reply_to = dialect.is_reply_to
        self.read_reply = dialect.read_reply

    def target_request(
        self,
        request: protocol.ForwardRequest,
        target: state.LiveTarget,
        left_ms: float,
    ) -> protocol.HttpRequest:
        """Return the request with what the hop adds."""
        sent = self._dialect.target_request(request, target, left_ms)
        headers = (*sent.headers, (_STALE_OK, '1'))
        return dataclasses.replace(sent, headers=headers)


def as_target(daemon: _roles.Daemon) -> state.LiveTarget:
    """Return a coordinator as a target of hand-overs."""
    return state.LiveTarget(
        daemon.name, SERVICE, daemon.address, daemon.site, slots=1
    )
