"""Messages between daemons over ZeroMQ.

Each daemon binds one PULL socket and connects one PUSH socket to each peer
that it sends to, so that a slow peer fills only its own queue.  A ZeroMQ
message has the sender's member name as its first frame, then two frames for
each message of the protocol: its type name and its encoded body.  Sockets are
read by ``loop.add_reader``, which costs less CPU time than pyzmq's asyncio
sockets (see ``docs/design/peer-sockets.md``).
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
_MAX_READS_PER_TURN = 100
"""Limit of ZeroMQ messages that are read in one turn of the event loop."""

_LINGER_MS = 200
_RESET_LINGER_MS = 1_000
"""Long enough for a few connection attempts to a peer that restarts."""

_MAX_HELD_ANSWERS = 256
"""Answers held for one member until its address is known.  A daemon that has
just started may be sent requests by members that it does not know yet."""

_MAX_HELD_MEMBERS = 64

MessageHandler = typing.Callable[[str, typing.Any], None]
"""Called with the sender's member name and the decoded message."""


class Peers(typing.Protocol):
    """Sends messages to other daemons and dispatches received ones."""

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message; return False if it cannot be queued."""

    def answer(self, member: str, message: msgspec.Struct) -> None:
        """Queue an answer; hold it until the member's address is known."""

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler(sender, message)`` for messages of type ``kind``."""


class Broadcaster(typing.Protocol):
    """Sends messages to all daemons."""

    def broadcast(self, message: msgspec.Struct) -> None:
        """Send a message to every other live member, best effort.

        A caller whose state must reach every daemon also writes it to the
        platform's store.
        """


class CurveKeys(msgspec.Struct, frozen=True):
    """CURVE key pair of a daemon, and the admitted public keys by member."""

    public: str
    secret: str
    admitted: dict[str, str]


class _CurveAuthenticator:
    """Admits or refuses CURVE clients by their public keys.

    The sockets of a ZeroMQ context send authentication requests (ZAP) to an
    in-process socket, which is read by ``loop.add_reader`` as in
    :class:`PeerHub`.
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
        self._authenticator = zmq.auth.base.Authenticator(context)
        self._authenticator.configure_curve_callback('*', self)
        self._authenticator.start()
        self._socket = self._authenticator.zap_socket
        self._loop.add_reader(self._socket.fd, self._receive_available)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is admitted."""
        admitted = key in self._admitted
        if not admitted:
            self._metrics.add('peer_connections_refused')
        return admitted

    def close(self) -> None:
        """Stop authenticating."""
        self._loop.remove_reader(self._socket.fd)
        self._authenticator.stop()

    def _receive_available(self) -> None:
        while not self._socket.closed:
            try:
                zap_request = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            # With a synchronous callback this coroutine never suspends, so
            # one send() runs it to its end.
            coroutine = self._authenticator.handle_zap_message(zap_request)
            try:
                coroutine.send(None)
            except StopIteration:
                continue


class PeerHub:
    """The peer sockets of one daemon; implements :class:`Peers`.

    Parameters
    ----------
    name
        This daemon's member name, sent with each message.
    bind_address
        For example ``tcp://127.0.0.1:7301``; ``zmq.ZMQError`` is raised if
        it cannot be bound.
    codec
        Encodes and decodes the known message types.
    counters
        Counts sent, dropped and unreadable messages.
    keys
        CURVE keys, or None for sockets without encryption.
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
        self._recently_used: set[str] = set()
        self._unsent_frames: dict[str, list[bytes]] = {}
        self._held_answers: dict[str, collections.deque[msgspec.Struct]] = {}
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._curve_authenticator: _CurveAuthenticator | None = None
        if keys is not None:
            self._curve_authenticator = _CurveAuthenticator(
                self._context, self._loop, keys, counters
            )
        self._incoming = self._make_socket(zmq.PULL)
        self._set_server_keys(self._incoming)
        try:
            self._incoming.bind(bind_address)
        except zmq.ZMQError:
            self.close()
            raise
        self._loop.add_reader(self._incoming.fd, self._receive_available)

    def set_address(self, member: str, address: str) -> None:
        """Set where a member listens, and send the answers held for it.

        A changed address replaces the member's socket.
        """
        if self._addresses.get(member) == address:
            return
        self.reset(member)
        self._addresses[member] = address
        for message in self._held_answers.pop(member, ()):
            self.send(member, message)

    def reset(self, member: str) -> None:
        """Close the socket to a member; the next send opens a new one.

        A connection can stay open but silent while new ones work.  It may
        also belong to a peer that restarts, so queued messages are kept for
        a few connection attempts: a dropped order would leave its caller
        without an outcome.
        """
        socket = self._outgoing.pop(member, None)
        if socket is not None:
            socket.close(linger=_RESET_LINGER_MS)

    def close_idle(self) -> None:
        """Close the sockets that were not used since the last call.

        Each open connection takes memory at both ends, and among hundreds
        of daemons most are rarely used.
        """
        for member in self._outgoing.keys() - self._recently_used:
            self._outgoing.pop(member).close(linger=_LINGER_MS)
        self._recently_used.clear()

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler(sender, message)`` for messages of type ``kind``."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, member: str, message: msgspec.Struct) -> bool:
        """Queue a message; return False if the member's address is unknown.

        With CURVE keys, messages to a member without an admitted key are
        dropped and counted, although True is returned.

        Messages queued for one member in one turn of the event loop are
        sent as one multipart message, which costs less for each.
        """
        if member == self._name:
            self._loop.call_soon(self._deliver, member, message)
            return True
        if member not in self._addresses:
            self._metrics.add('peer_messages_dropped', reason='no-address')
            return False
        if not self._unsent_frames:
            self._loop.call_soon(self._flush)
        frames = self._unsent_frames.setdefault(member, [self._name_frame])
        frames.extend(self._codec.encode(message))
        return True

    def answer(self, member: str, message: msgspec.Struct) -> None:
        """Queue an answer; hold it until the member's address is known.

        A daemon that has just started while the store is unreachable may
        get requests from a member that it does not know yet.  If it dropped
        the answer, that member would wait until its search's deadline.
        Messages that start something are never held: :meth:`send` reports
        at once whether they were queued.
        """
        if member == self._name or member in self._addresses:
            self.send(member, message)
            return
        if (
            member not in self._held_answers
            and len(self._held_answers) >= _MAX_HELD_MEMBERS
        ):
            self._held_answers.pop(next(iter(self._held_answers)))
        held = self._held_answers.setdefault(
            member, collections.deque(maxlen=_MAX_HELD_ANSWERS)
        )
        held.append(message)
        self._metrics.add('peer_answers_held')

    def _flush(self) -> None:
        unsent_frames, self._unsent_frames = self._unsent_frames, {}
        if self._closed:
            return
        for member, frames in unsent_frames.items():
            self._send_frames(member, frames)

    def _send_frames(self, member: str, frames: list[bytes]) -> None:
        messages = len(frames) // 2
        self._recently_used.add(member)
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
        """Pass a message that arrived inside another one to its handlers."""
        self._deliver(sender, message)

    def close(self) -> None:
        """Close all sockets; queued messages have a short linger time."""
        if self._closed:
            return
        self._flush()
        self._closed = True
        self._loop.remove_reader(self._incoming.fd)
        self._incoming.close(linger=0)
        for socket in self._outgoing.values():
            socket.close(linger=_LINGER_MS)
        if self._curve_authenticator is not None:
            self._curve_authenticator.close()
        self._context.term()

    def _set_server_keys(self, socket: zmq.Socket) -> None:
        if self._keys is None:
            return
        socket.curve_secretkey = self._keys.secret.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.curve_server = True

    def _set_client_keys(self, socket: zmq.Socket, server_key: str) -> None:
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
        self._set_client_keys(socket, server_key)
        socket.connect(address)
        self._outgoing[member] = socket
        return socket

    def _server_key(self, member: str) -> str | None:
        # With CURVE keys, nothing is sent to a member whose key is unknown:
        # its socket would not be encrypted.  Without them, the returned key
        # is not used.
        if self._keys is None:
            return ''
        return self._keys.admitted.get(member)

    def _receive_available(self) -> None:
        # ZeroMQ's descriptor is edge-triggered: if reading stops early, it
        # must be scheduled again, or the rest waits for the next message.
        for _ in range(_MAX_READS_PER_TURN):
            if self._closed:
                return
            try:
                frames = self._receive()
            except zmq.Again:
                return
            if frames is not None:
                self._dispatch(frames)
        self._loop.call_soon(self._receive_available)

    def _receive(self) -> list[bytes] | None:
        """Return the next message, None if its sender does not match its key.

        A connection is authenticated by its key, but the sender's name is a
        frame of the message.  Without this check, an admitted daemon could
        send messages in another one's name.
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

    def _dispatch(self, frames: list[bytes]) -> None:
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
