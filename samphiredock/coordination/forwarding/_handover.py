"""Hands whole requests over to a coordinating daemon.

A handover is a scatter over one shard whose replicas are the coordinators.
If one accepts no connection, or refuses, another one is tried.  If one is lost
with the request, it may already have sent it to some targets; another one
might exceed the number of targets that the route allows, so the caller gets an
error at once and may retry under a new id.

The caller's headers are passed on unchanged; the hop adds headers of its own
and removes them again.
"""

import dataclasses
import typing

import msgspec

from samphiredock.coordination.forwarding import _crash_guard
from samphiredock.coordination.forwarding import _forward_types
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
_AGE = 'Samphiredock-Age-Ms'
_STALE_OK = 'Samphiredock-Stale-Ok'
_SENDER = 'Samphiredock-Sender'
_PREFIX = 'samphiredock-'

UNKNOWN_ROUTE_MS = 10_000.0
"""Timeout of a request whose route is not known here.  The coordinator knows
the route, or replies at once that there is none."""

_Status = protocol.SubStatus


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver:
    """The headers of a request that another daemon handed over.

    ``left_ms`` is the time left until the caller's deadline.
    ``least_version`` is the newest routing table whose effect the sender has
    seen: if an older one were used, callers would see a change undone.
    ``age_ms`` is how long ago the sender knows that a daemon received it.
    ``stale_ok`` is set when every coordinator has lost the store, so that an
    old routing table is the best available.
    ``sender`` is the name of the daemon that handed the request over.
    """

    headers: protocol.Headers
    request_id: str
    left_ms: float
    least_version: int
    stale_ok: bool = False
    age_ms: float = 0.0
    sender: str = ''


def read_handed_over(headers: protocol.Headers) -> HandedOver | None:
    """Return the handover headers, None if any is missing or invalid."""
    added = {
        name.lower(): value
        for name, value in headers
        if name.lower().startswith(_PREFIX)
    }
    try:
        return HandedOver(
            _without_handover_headers(headers),
            added[_ID.lower()],
            float(added[_LEFT.lower()]),
            int(added[_VERSION.lower()]),
            _STALE_OK.lower() in added,
            float(added.get(_AGE.lower(), 0.0)),
            added.get(_SENDER.lower(), ''),
        )
    except (KeyError, ValueError):
        return None


def _without_handover_headers(headers: protocol.Headers) -> protocol.Headers:
    return tuple(
        row for row in headers if not row[0].lower().startswith(_PREFIX)
    )


def as_received(
    request: protocol.ForwardRequest,
    handed: HandedOver,
    table: _forward_types.RouteTable | None,
) -> protocol.ForwardRequest:
    """Return a handed-over request with its age and the time that it has left.

    Its age is that at the sender, and what is missing from the deadline that
    its caller stated, or from the timeout of its route in ``table``.
    """
    limits_ms = [handed.left_ms]
    route = table.match(request.host, request.path) if table else None
    if route is not None:
        limits_ms = [route.timeout_ms]
        if request.deadline_ms is not None:
            limits_ms.append(request.deadline_ms)
    age_ms = handed.age_ms + min(limits_ms) - handed.left_ms
    return dataclasses.replace(
        request, deadline_ms=handed.left_ms, age_ms=max(0.0, age_ms)
    )


def coordinator_reply(
    reply: protocol.HttpReply, handed: HandedOver, version: int
) -> protocol.HttpReply:
    """Return the reply for the caller with the handover headers added."""
    added = ((_ID, handed.request_id), (_VERSION, str(version)))
    return dataclasses.replace(reply, headers=reply.headers + added)


def refusal_reply(handed: HandedOver | None, why: str) -> protocol.HttpReply:
    """Return the reply of a daemon that cannot coordinate now."""
    request_id = handed.request_id if handed else ''
    headers = ((_REFUSED, '1'), (_ID, request_id))
    return protocol.HttpReply(503, headers, why.encode())


def can_retry_elsewhere(
    outcome: protocol.ForwardOutcome, is_table_outdated: bool = False
) -> bool:
    """Whether another coordinator can still run a request handed over.

    It can if this coordinator has refused because it is shutting down, or for
    a route that it lacks while some daemon holds a newer table: nothing was
    sent.  Passed on, the refusal would cost the caller one of its few tries.
    """
    if not isinstance(outcome, protocol.NotRun):
        return False
    if outcome.reason is protocol.NotRunReason.ROUTES_OUTDATED:
        return is_table_outdated
    return outcome.reason is protocol.NotRunReason.SHUTTING_DOWN


LOSS_PATH = '/samphiredock/losses'
"""Where daemons report to each other targets lost while running a content."""


def loss_notice(loss: _crash_guard.Loss) -> protocol.HttpRequest:
    """Return the request that reports a loss to another daemon."""
    headers = (('Host', 'samphiredock'), ('Content-Type', 'application/json'))
    return protocol.HttpRequest(
        'POST', LOSS_PATH, headers, msgspec.json.encode(loss)
    )


def read_loss(body: bytes) -> _crash_guard.Loss | None:
    """Return the loss reported by another daemon, None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=_crash_guard.Loss)
    except protocol.DECODE_ERRORS:
        return None


class HandoverRouting:
    """Routes every request to the coordinators.

    Only the timeouts are taken from this daemon's routing table, which may be
    out of date.
    """

    def __init__(self, routing: _routing.RoutingState) -> None:
        self._routing = routing

    @property
    def table(self) -> 'HandoverRouting':
        """This object: a route to the coordinators always exists."""
        return self

    @property
    def version(self) -> int:
        """The version of the underlying routing table, 0 if there is none."""
        table = self._routing.table
        return table.version if table else 0

    def match(self, host: str, path: str) -> state.Route:
        """Return a route to the coordinators, with the request's timeouts."""
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
    """The protocol between two daemons; implements :class:`Dialect`.

    Parameters
    ----------
    routing
        The routing table held here.
    on_version
        Called with the version of the table by which a coordinator replied.
    name
        This daemon, from which a coordinator may read a newer table.
    """

    def __init__(
        self,
        routing: _routing.RoutingState,
        on_version: typing.Callable[[int], None] = lambda version: None,
        name: str = '',
    ) -> None:
        self._name = name
        self._routing = routing
        self._on_version = on_version
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
        """Return the request with the handover headers added."""
        added = [
            (_ID, request.request_id),
            (_LEFT, f'{left_ms:.1f}'),
            (_VERSION, str(self._least_version())),
        ]
        if self._name:
            added.append((_SENDER, self._name))
        if request.age_ms:
            added.append((_AGE, str(request.age_ms)))
        # A caller must not set the handover headers itself.
        return protocol.HttpRequest(
            request.method,
            request.path,
            _without_handover_headers(request.headers) + tuple(added),
            request.body,
            request.request_id,
        )

    def is_reply_to(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> bool:
        """Whether a reply belongs to this request and to no other.

        Only an error may lack the id: a daemon whose own code failed cannot
        add it, and skipping its reply would mean waiting until the deadline.
        """
        echoed = reply.header(_ID)
        if echoed is None:
            return reply.status >= 400
        return echoed == request.request_id

    def read_reply(
        self, request: protocol.ForwardRequest, reply: protocol.HttpReply
    ) -> protocol.TargetReply:
        """Return a coordinator's reply, without the handover headers."""
        if reply.header(_ID) is None:
            # The coordinator may have sent the request before it failed.
            return protocol.TargetReply(
                _Status.BROKEN, reply, detail=f'status {reply.status}'
            )
        if reply.header(_REFUSED) is not None:
            return protocol.TargetReply(_Status.SHED, reply, detail='refused')
        version = reply.header(_VERSION) or ''
        if version.isdigit():
            self._seen_version = max(self._seen_version, int(version))
            self._on_version(int(version))
        kept = _without_handover_headers(reply.headers)
        return protocol.TargetReply(
            _Status.ANSWERED, dataclasses.replace(reply, headers=kept)
        )


class StaleHandoverDialect:
    """As :class:`HandoverDialect`, but allows an old routing table."""

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
        """Return the request with the handover headers added."""
        sent = self._dialect.target_request(request, target, left_ms)
        headers = (*sent.headers, (_STALE_OK, '1'))
        return dataclasses.replace(sent, headers=headers)


def as_target(daemon: _roles.Daemon) -> state.LiveTarget:
    """Return a coordinator as a target of handovers."""
    return state.LiveTarget(
        daemon.name, SERVICE, daemon.address, daemon.site, slots=1
    )
