"""Messages between daemons over ``pyzmq``.

Each daemon binds one PULL socket and holds one PUSH socket to each peer it
has something to say to, so that a message has one direction and a slow
peer fills only its own queue.  The sockets are drained from the event
loop's own reader, which costs half to three quarters of what the library's
asyncio sockets cost (docs/design/peer-sockets.md).
"""

import asyncio
import collections
import typing

import msgspec
import zmq
import zmq.auth.base

from samphiredock import metrics
from samphiredock import protocol

_HIGH_WATER_MESSAGES = 5_000
_DRAIN_LIMIT = 100
_LINGER_MS = 200
_RESET_LINGER_MS = 1_000

_HELD_ANSWERS = 256
"""Answers that may wait for the address of one member.  A daemon that has
just started is asked by some hundred milliseconds of callers before it has
heard of every other one."""

_HELD_MEMBERS = 64

MessageHandler = typing.Callable[[str, typing.Any], None]


class Peers(typing.Protocol):
    """What the coordination layer may do with its peers."""

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message; False if it cannot be queued."""

    def answer(self, member: str, message: msgspec.Struct) -> None:
        """Queue an answer, also to a member whose address comes later."""

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""


class Broadcaster(typing.Protocol):
    """How a part tells every daemon something."""

    def broadcast(self, message: msgspec.Struct) -> None:
        """Send a message to every other live member, best effort.

        What must not be missed is kept in the platform's store as well.
        """


class CurveKeys(msgspec.Struct, frozen=True):
    """CURVE key pair of a daemon, and the public keys it admits."""

    public: str
    secret: str
    admitted: dict[str, str]


class _KeyCheck:
    """Answers the library's question whether a client's key is admitted.

    Sockets of a context ask through its in-process ZAP address.  This
    answers from the event loop's own reader, as :class:`PeerHub` reads.
    """

    def __init__(
        self,
        context: zmq.Context,
        loop: asyncio.AbstractEventLoop,
        keys: CurveKeys,
        counters: metrics.Metrics,
    ) -> None:
        self._admitted = {key.encode() for key in keys.admitted.values()}
        self._loop = loop
        self._metrics = counters
        self._library = zmq.auth.base.Authenticator(context)
        self._library.configure_curve_callback('*', self)
        self._library.start()
        self._socket = self._library.zap_socket
        self._loop.add_reader(self._socket.fd, self._drain)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is admitted."""
        admitted = key in self._admitted
        if not admitted:
            self._metrics.add('peer_connections_refused')
        return admitted

    def close(self) -> None:
        """Stop answering."""
        self._loop.remove_reader(self._socket.fd)
        self._library.stop()

    def _drain(self) -> None:
        while not self._socket.closed:
            try:
                question = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            # The library's method is a coroutine that never waits with a
            # plain callback, so one step runs it to its end.
            step = self._library.handle_zap_message(question)
            try:
                step.send(None)
            except StopIteration:
                continue


class PeerHub:
    """The peer sockets of one daemon.

    Parameters
    ----------
    name
        This daemon's member name, sent with each message.
    bind_address
        For example ``tcp://127.0.0.1:7301``.
    codec
        The closed table of message types.
    counters
        Where unreadable and dropped messages are counted.
    keys
        CURVE keys, or None for plain sockets.
    """

    def __init__(
        self,
        name: str,
        bind_address: str,
        codec: protocol.Codec,
        counters: metrics.Metrics,
        keys: CurveKeys | None = None,
    ) -> None:
        self._name = name
        self._name_frame = name.encode()
        self._codec = codec
        self._metrics = counters
        self._keys = keys
        self._context = zmq.Context()
        self._handlers: dict[type, list[MessageHandler]] = {}
        self._addresses: dict[str, str] = {}
        self._outgoing: dict[str, zmq.Socket] = {}
        self._used: set[str] = set()
        self._pending: dict[str, list[bytes]] = {}
        self._held: dict[str, collections.deque[msgspec.Struct]] = {}
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._key_check: _KeyCheck | None = None
        if keys is not None:
            self._key_check = _KeyCheck(
                self._context, self._loop, keys, counters
            )
        self._incoming = self._make_socket(zmq.PULL)
        self._make_server(self._incoming)
        try:
            self._incoming.bind(bind_address)
        except zmq.ZMQError:
            self.close()
            raise
        self._loop.add_reader(self._incoming.fd, self._drain)

    def set_address(self, member: str, address: str) -> None:
        """Say where a member listens; a change re-creates its socket."""
        if self._addresses.get(member) == address:
            return
        self.reset(member)
        self._addresses[member] = address
        for message in self._held.pop(member, ()):
            self.send(member, message)

    def reset(self, member: str) -> None:
        """Drop the socket to a member; the next send makes a new one.

        An open connection can go silent for good while new ones work.  It
        may also only be slow, as with a peer that is starting again: what
        is queued then gets the time of a few connection attempts, since an
        order that is dropped here leaves its caller without an outcome.
        """
        socket = self._outgoing.pop(member, None)
        if socket is not None:
            socket.close(linger=_RESET_LINGER_MS)

    def close_idle(self) -> None:
        """Close the sockets that were not used since the last call.

        An open connection costs both ends memory; among hundreds of
        daemons most are used seldom.
        """
        for member in self._outgoing.keys() - self._used:
            self._outgoing.pop(member).close(linger=_LINGER_MS)
        self._used.clear()

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler(sender, message)`` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message; False if the member's address is unknown.

        With CURVE keys, a member whose key is not admitted is not known
        either: what is sent to it is counted and dropped.

        Messages queued for one member in one turn of the event loop leave
        together: eight in one multipart cost a quarter each of what they
        cost alone.
        """
        if member == self._name:
            self._loop.call_soon(self._deliver, member, message)
            return True
        if member not in self._addresses:
            self._metrics.add('peer_messages_dropped', reason='no-address')
            return False
        if not self._pending:
            self._loop.call_soon(self._flush)
        frames = self._pending.setdefault(member, [self._name_frame])
        frames.extend(self._codec.encode(message))
        return True

    def answer(self, member: str, message: msgspec.Struct) -> None:
        """Queue an answer; it waits for the member's address if need be.

        A daemon that has just started while the store is down may be asked
        by one that it has not heard of yet.  Dropped, its answer would be
        waited for until the search's deadline, and the search ends with
        nothing.  Only answers wait: what begins something is either sent
        at once, or said not to have been.
        """
        if member == self._name or member in self._addresses:
            self.send(member, message)
            return
        if member not in self._held and len(self._held) >= _HELD_MEMBERS:
            self._held.pop(next(iter(self._held)))
        held = self._held.setdefault(
            member, collections.deque(maxlen=_HELD_ANSWERS)
        )
        held.append(message)
        self._metrics.add('peer_answers_held')

    def _flush(self) -> None:
        pending, self._pending = self._pending, {}
        if self._closed:
            return
        for member, frames in pending.items():
            self._send_frames(member, frames)

    def _send_frames(self, member: str, frames: list[bytes]) -> None:
        messages = len(frames) // 2
        self._used.add(member)
        socket = self._socket_to(member)
        if socket is None:
            self._metrics.add(
                'peer_messages_dropped', messages, reason='no-address'
            )
            return
        try:
            socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.add('peer_messages_dropped', messages, reason='full')
            return
        for kind, body in zip(frames[1::2], frames[2::2]):
            self._metrics.add_bulk('peer_messages_sent', 1, kind=kind)
            self._metrics.add_bulk('peer_bytes_sent', len(body), kind=kind)

    def deliver(self, sender: str, message: msgspec.Struct) -> None:
        """Hand a message that came within another one to its handlers."""
        self._deliver(sender, message)

    def close(self) -> None:
        """Close every socket, giving queued messages a moment to leave."""
        if self._closed:
            return
        self._flush()
        self._closed = True
        self._loop.remove_reader(self._incoming.fd)
        self._incoming.close(linger=0)
        for socket in self._outgoing.values():
            socket.close(linger=_LINGER_MS)
        if self._key_check is not None:
            self._key_check.close()
        self._context.term()

    def _make_server(self, socket: zmq.Socket) -> None:
        if self._keys is None:
            return
        socket.curve_secretkey = self._keys.secret.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_server = True

    def _make_client(self, socket: zmq.Socket, server_key: str) -> None:
        if self._keys is None:
            return
        socket.curve_secretkey = self._keys.secret.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_serverkey = server_key.encode()

    def _make_socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, _LINGER_MS)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, _HIGH_WATER_MESSAGES)
        return socket

    def _socket_to(self, member: str) -> zmq.Socket | None:
        socket = self._outgoing.get(member)
        if socket is not None:
            return socket
        address = self._addresses.get(member)
        if address is None:
            return None
        server_key = self._server_key(member)
        if server_key is None:
            return None
        socket = self._make_socket(zmq.PUSH)
        self._make_client(socket, server_key)
        socket.connect(address)
        self._outgoing[member] = socket
        return socket

    def _server_key(self, member: str) -> str | None:
        # With keys, nothing is sent to a member whose key is not known:
        # a plain socket would show the message to anybody who listens.
        if self._keys is None:
            return ''
        return self._keys.admitted.get(member)

    def _drain(self) -> None:
        # The descriptor is edge-triggered: a reader that stops early must
        # come back by itself, or the rest would wait for the next message.
        for _ in range(_DRAIN_LIMIT):
            if self._closed:
                return
            try:
                frames = self._receive()
            except zmq.Again:
                return
            if frames is not None:
                self._read(frames)
        self._loop.call_soon(self._drain)

    def _receive(self) -> list[bytes] | None:
        """Return the next message, None if its sender is not who it says.

        A connection is admitted by its key, but the sender is a frame of
        the message: without a check, any admitted daemon could speak for
        another, for example say that it never sent a claimed request.
        """
        if self._keys is None:
            return self._incoming.recv_multipart(zmq.NOBLOCK)
        parts = self._incoming.recv_multipart(zmq.NOBLOCK, copy=False)
        frames = [part.bytes for part in parts]
        sender = frames[0].decode('utf-8', 'replace')
        if self._keys.admitted.get(sender) == parts[0].get('User-Id'):
            return frames
        self._metrics.add('peer_senders_refused')
        return None

    def _read(self, frames: list[bytes]) -> None:
        if len(frames) < 3 or len(frames) % 2 == 0:
            self._metrics.add('peer_messages_unreadable')
            return
        sender = frames[0].decode('utf-8', 'replace')
        for name, body in zip(frames[1::2], frames[2::2]):
            message = self._codec.decode(name, body)
            if isinstance(message, protocol.CodecError):
                self._metrics.add('peer_messages_unreadable')
                continue
            self._deliver(sender, message)

    def _deliver(self, sender: str, message: msgspec.Struct) -> None:
        for handler in self._handlers.get(type(message), ()):
            handler(sender, message)
