"""Broadcast of a message to every daemon, relayed in large fleets.

Each message has a tree for each site, ordered by a hash of the message id,
so that no daemon relays every message.  The sender sends the message to the
root of each site's tree; each receiver forwards it to its children.  Since
two daemons may see different members for a while, a daemon may be left out
or reached twice: repeats are dropped, and missed versions are detected by
comparing the versions sent with probes.
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
    """What this package and ``config`` need of the peer connections."""

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message; False if it cannot be queued."""

    def subscribe(
        self, kind: type, handler: typing.Callable[[str, typing.Any], None]
    ) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""

    def set_address(self, member: str, address: str) -> None:
        """Set the address at which a member listens."""

    def reset(self, member: str) -> None:
        """Replace the connection to a member by a new one."""

    def close_idle(self) -> None:
        """Close the connections that were not used since the last call."""

    def deliver(self, sender: str, message: msgspec.Struct) -> None:
        """Call this daemon's handlers as if ``sender`` sent the message."""


def children_of(
    name: str, members: typing.Iterable[str], message_id: str
) -> list[str]:
    """Return the members that ``name`` forwards a message to.

    ``members`` are the names of its site's members; the list is empty if
    ``name`` is not one of them.
    """
    order = relay_order(members, message_id)
    if name not in order:
        return []
    first = FAN_OUT * order.index(name) + 1
    return order[first : first + FAN_OUT]


def relay_order(members: typing.Iterable[str], message_id: str) -> list[str]:
    """Return the members in the order of a message's tree, root first."""
    return sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(
            f'{message_id}/{name}'.encode()
        ),
    )


class Relay:
    """Broadcasts to all members and forwards the broadcasts of others.

    Parameters
    ----------
    me
        This daemon's member.
    peers
        The connections to the other daemons.
    codec
        Encodes the message within the envelope.
    live
        Returns the live members.
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
        """Send to every other live member, or those of one site."""
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
        self._record_if_new(message_id)
        sites = collections.defaultdict(list)
        for member in others:
            sites[member.site].append(member.name)
        for names in sites.values():
            for name in relay_order(names, message_id)[:1]:
                self._peers.send(name, envelope)

    def _record_if_new(self, message_id: str) -> bool:
        if message_id in self._seen_ids:
            return False
        self._seen_ids[message_id] = None
        if len(self._seen_ids) > _SEEN_LIMIT:
            self._seen_ids.popitem(last=False)
        return True

    def _on_envelope(self, sender: str, envelope: protocol.Envelope) -> None:
        if not self._record_if_new(envelope.message_id):
            self._metrics.add('relayed_repeats')
            return
        message = self._codec.decode(envelope.kind, envelope.body)
        if isinstance(message, protocol.CodecError):
            self._metrics.add('peer_messages_unreadable')
            return
        self._forward(envelope)
        # A version notice is attributed to the daemon that relayed it, so
        # that the object is fetched from there: large objects then follow
        # the tree, too.
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
