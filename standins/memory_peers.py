"""In-memory messages between daemons, with network faults."""

import collections
import random
import typing

import msgspec

from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport
from standins import memory_hosts

_Observer = typing.Callable[[str, msgspec.Struct], None]


class MemoryPeers:
    """One member's endpoint on a :class:`MemoryNetwork`.

    ``silent`` holds members whose connection drops messages until it is
    reset, ``open`` the addresses with an open connection.  With
    ``needs_address``, only members with a known address can be
    sent to.  ``place``, if given, is the member's site and region.
    """

    def __init__(
        self,
        network: 'MemoryNetwork',
        name: str,
        host: memory_hosts.MemoryHost,
        place: tuple[str, ...] = (),
        needs_address: bool = False,
    ) -> None:
        self._network = network
        self.name = name
        self.host = host
        self.place = place
        self._needs_address = needs_address
        self._handlers: dict[type, list[transport.MessageHandler]] = (
            collections.defaultdict(list)
        )
        self.addresses: dict[str, str] = {}
        self.silent: set[str] = set()
        self.resets = 0
        self.open: set[str] = set()
        self._used: set[str] = set()

    def subscribe(self, kind: type, handler: transport.MessageHandler) -> None:
        """Call the handler for each message of a type."""
        self._handlers[kind].append(handler)

    def set_address(self, member: str, address: str) -> None:
        """Set the address of a member."""
        self.addresses[member] = address

    def reset(self, member: str) -> None:
        """Replace the connection to a member."""
        self.resets += 1
        self.silent.discard(member)

    def close_idle(self) -> None:
        """Close the connections not used since the last call."""
        self.open, self._used = self._used, set()

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Send a message; return False for an unknown member."""
        if self._needs_address and member not in self.addresses:
            return False
        if member in self.silent:
            return True
        address = self.addresses.get(member, member)
        self.open.add(address)
        self._used.add(address)
        sent = self._network.send(
            self.name, address.removeprefix('tcp://'), message
        )
        return sent or self._needs_address

    def answer(self, member: str, message: msgspec.Struct) -> None:
        """Send a reply; every sender is a known member."""
        self.send(member, message)

    def broadcast(self, message: msgspec.Struct) -> None:
        """Send to every other member."""
        for member in self._network.names():
            if member != self.name:
                self.send(member, message)

    def deliver(self, sender: str, message: msgspec.Struct) -> None:
        """Call the handlers of a message."""
        for handler in self._handlers[type(message)]:
            handler(sender, message)


class MemoryNetwork:
    """Delivers messages with random delay, loss and duplication.

    ``loss`` and ``duplicate`` are probabilities per message; ``cuts`` holds
    pairs of names or places that cannot reach each other; ``faults`` counts
    the faults that took effect.  ``near_ms`` and ``far_ms`` are the ranges
    of the delay within a region (the last item of ``place``) and between
    regions.
    """

    def __init__(
        self, clock: timers.Timers, randomness: random.Random
    ) -> None:
        self.clock = clock
        self.random = randomness
        self.loss = 0.0
        self.duplicate = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.near_ms = (0.1, 3.0)
        self.far_ms = (80.0, 104.0)
        self.faults: collections.Counter[str] = collections.Counter()
        self.observers: list[_Observer] = []
        self._members: dict[str, MemoryPeers] = {}

    def join(
        self,
        name: str,
        host: memory_hosts.MemoryHost | None = None,
        place: tuple[str, ...] = (),
        needs_address: bool = False,
    ) -> MemoryPeers:
        """Return a new endpoint of a member, replacing its former one."""
        host = host or memory_hosts.MemoryHost(self.clock)
        member = MemoryPeers(self, name, host, place, needs_address)
        self._members[name] = member
        return member

    def names(self) -> tuple[str, ...]:
        """Return the names of all members that ever joined."""
        return tuple(self._members)

    def send(self, sender: str, member: str, message: msgspec.Struct) -> bool:
        """Deliver a message later; return False for an unknown member."""
        for observe in self.observers:
            observe(sender, message)
        if member not in self._members:
            return False
        source, receiver = self._members[sender], self._members[member]
        fault = self._fault(source, receiver)
        if fault:
            self.faults[fault] += 1
            return True
        copies = 1 + (self.random.random() < self.duplicate)
        self.faults['duplicate'] += copies - 1
        near = source.place[-1:] == receiver.place[-1:]
        for _ in range(copies):
            self.clock.after(
                self.random.uniform(*(self.near_ms if near else self.far_ms)),
                lambda: self._arrive(sender, member, message),
            )
        return True

    def is_cut(self, one: MemoryPeers, other: MemoryPeers) -> bool:
        """Return whether two members cannot reach each other."""
        return any(
            frozenset((left, right)) in self.cuts
            for left in (one.name, *one.place)
            for right in (other.name, *other.place)
        )

    def _fault(self, source: MemoryPeers, receiver: MemoryPeers) -> str:
        if self.cuts and self.is_cut(source, receiver):
            return 'cut'
        return 'loss' if self.random.random() < self.loss else ''

    def _arrive(
        self, sender: str, member: str, message: msgspec.Struct
    ) -> None:
        receiver = self._members[member]
        receiver.host.run(lambda: receiver.deliver(sender, message))


class RecordingPeers:
    """Peers that record sent messages; the test delivers incoming ones."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, msgspec.Struct]] = []
        self._handlers: dict[type, list[transport.MessageHandler]] = (
            collections.defaultdict(list)
        )

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Record a message."""
        self.sent.append((member, message))
        return True

    def answer(self, member: str, message: msgspec.Struct) -> None:
        """Record a reply."""
        self.send(member, message)

    def subscribe(self, kind: type, handler: transport.MessageHandler) -> None:
        """Add a handler for messages of a type."""
        self._handlers[kind].append(handler)

    def broadcast(self, message: msgspec.Struct) -> None:
        """Record a broadcast, sent to ``*``."""
        self.send('*', message)

    def deliver(self, message: msgspec.Struct, sender: str = 'd') -> None:
        """Call the handlers of a message."""
        for handler in self._handlers[type(message)]:
            handler(sender, message)

    def take(self) -> list[tuple[str, msgspec.Struct]]:
        """Return the messages sent since the last call."""
        sent, self.sent = self.sent, []
        return sent

    def of_type(self, kind: type) -> list[typing.Any]:
        """Return the sent messages of one type."""
        return [row for _, row in self.sent if isinstance(row, kind)]

    def statuses(self) -> dict[str, list[str]]:
        """Return the reported statuses of each attempt, in order."""
        found = collections.defaultdict(list)
        rows = list(self.of_type(protocol.RunReport))
        for message in self.of_type(protocol.SubAnswerBatch):
            rows += message.answers
        for row in rows:
            found[row.attempt_id].append(row.status.value)
        return dict(found)
