"""One message to every daemon, by relays where there are many.

Each site has its own tree, made from a hash of the message's id, so that
no daemon is a relay for every message.  The sender gives the message to
the root of each site's tree; a receiver passes it on to its children.
Two daemons may see different members for a while, so that one is left out
or served twice: repeats are dropped, and what must not be missed is also
found by comparing versions on the probes.
"""

import collections
import itertools
import typing

import msgspec
import xxhash

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state

DIRECT_LIMIT = 30
FAN_OUT = 8
_MAX_HOPS = 4
_SEEN_LIMIT = 4_096


class PeerLinks(typing.Protocol):
    """What membership and spread need of the peer sockets."""

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message; False if it cannot be queued."""

    def subscribe(
        self, kind: type, handler: typing.Callable[[str, typing.Any], None]
    ) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""

    def set_address(self, member: str, address: str) -> None:
        """Say where a member listens."""

    def reset(self, member: str) -> None:
        """Make a new connection to a member."""

    def close_idle(self) -> None:
        """Close the connections that were not used since the last call."""

    def deliver(self, sender: str, message: msgspec.Struct) -> None:
        """Hand a message to its subscribers here."""


def children_of(
    name: str, members: typing.Iterable[str], message_id: str
) -> list[str]:
    """Return whom ``name`` passes a message to among its site's members."""
    order = relay_order(members, message_id)
    if name not in order:
        return []
    first = FAN_OUT * order.index(name) + 1
    return order[first : first + FAN_OUT]


def relay_order(members: typing.Iterable[str], message_id: str) -> list[str]:
    """Return the members in the order of one message's tree."""
    return sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(
            f'{message_id}/{name}'.encode()
        ),
    )


class Relay:
    """Sends to all members, and passes on what others send.

    Parameters
    ----------
    me
        This daemon's member.
    peers
        The peer sockets.
    codec
        Encodes the message within the envelope.
    live
        The live members.
    counters
        Metrics of this daemon.
    """

    def __init__(
        self,
        me: state.Member,
        peers: PeerLinks,
        codec: protocol.Codec,
        live: typing.Callable[[], tuple[state.Member, ...]],
        counters: metrics.Metrics,
    ) -> None:
        self._me = me
        self._peers = peers
        self._codec = codec
        self._live = live
        self._metrics = counters
        self._message_numbers = itertools.count(1)
        self._seen_ids: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        peers.subscribe(protocol.Envelope, self._on_envelope)

    def broadcast(
        self, message: msgspec.Struct, site: str | None = None
    ) -> None:
        """Send to every other live member, or to those of one site."""
        others = [
            member
            for member in self._live()
            if member.name != self._me.name
            and (site is None or member.site == site)
        ]
        if len(others) <= DIRECT_LIMIT:
            for member in others:
                self._peers.send(member.name, message)
            return
        message_id = f'{self._me.name}-{self._me.incarnation}-' + str(
            next(self._message_numbers)
        )
        kind, body = self._codec.encode(message)
        envelope = protocol.Envelope(
            message_id, self._me.name, _MAX_HOPS, kind, body
        )
        self._remember(message_id)
        sites = collections.defaultdict(list)
        for member in others:
            sites[member.site].append(member.name)
        for names in sites.values():
            for name in relay_order(names, message_id)[:1]:
                self._peers.send(name, envelope)

    def _remember(self, message_id: str) -> bool:
        if message_id in self._seen_ids:
            return False
        self._seen_ids[message_id] = None
        if len(self._seen_ids) > _SEEN_LIMIT:
            self._seen_ids.popitem(last=False)
        return True

    def _on_envelope(self, sender: str, envelope: protocol.Envelope) -> None:
        if not self._remember(envelope.message_id):
            self._metrics.add('relayed_repeats')
            return
        message = self._codec.decode(envelope.kind, envelope.body)
        if isinstance(message, protocol.CodecError):
            self._metrics.add('peer_messages_unreadable')
            return
        self._forward(envelope)
        # A notice of a version is answered by who passed it on, so that
        # large objects follow the tree and nobody has to serve everyone.
        notice = isinstance(message, protocol.ObjectVersion)
        self._peers.deliver(sender if notice else envelope.origin, message)

    def _forward(self, envelope: protocol.Envelope) -> None:
        if envelope.hops <= 0:
            return
        names = [
            member.name
            for member in self._live()
            if member.site == self._me.site and member.name != envelope.origin
        ]
        forwarded = msgspec.structs.replace(envelope, hops=envelope.hops - 1)
        for name in children_of(self._me.name, names, envelope.message_id):
            self._peers.send(name, forwarded)
