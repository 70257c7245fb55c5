"""Limits on what a target may send in one exchange."""

REPLY_LIMIT_BYTES = 7 * 1024 * 1024
"""Everything received in one exchange; an object of the platform's store has
at most 1 MiB, a page of them about as much."""

BUFFERED_LIMIT_BYTES = 16 * 1024 * 1024
"""Bodies that are being received from all targets together.  A host has
160 MB of memory."""

UNSHARED_BODY_BYTES = 256 * 1024
"""A body up to this size is received whatever the others take."""

HEAD_LIMIT_BYTES = 65_536
"""The head of one reply, with its trailers."""

HEADER_LIMIT = 256
"""Number of headers and trailers of one reply."""

INTERIM_LIMIT = 16
"""Number of interim replies (1xx) in one exchange."""

SKIPPED_LIMIT = 16
"""Number of replies to earlier requests in one exchange."""

CHUNK_ALLOWANCE = 4_096
"""Number of chunks that may be of any size: the most reports that a daemon
sends on one merge order."""

MIN_MEAN_CHUNK_BYTES = 64
"""Least mean size of further chunks."""

_HEADER_FRAMING_BYTES = 4


class LimitExceeded(Exception):
    """What a target has sent exceeds a limit; the text says which."""


class BufferedBytes:
    """Counts the bodies that a daemon is receiving from all its targets."""

    def __init__(self) -> None:
        self.held_bytes = 0


class ReplyMeter:
    """Counts what is received in one exchange; raises above a limit.

    A target that sends without end would otherwise hold the event loop and
    fill the memory until the timeout of the request.

    Parameters
    ----------
    buffered
        The bodies that this daemon is receiving.
    """

    def __init__(self, buffered: BufferedBytes) -> None:
        self._buffered = buffered
        self._held_bytes = 0
        self._received_bytes = 0
        self._unparsed_bytes = 0
        self._interim_count = 0
        self._skipped_count = 0
        self.begin_reply()

    def begin_reply(self) -> None:
        """Count a new reply from its first byte."""
        self._head_bytes = 0
        self._header_count = 0
        self._chunk_count = 0
        self._body_bytes = 0
        self._unparsed_bytes = 0
        self.release()

    def release(self) -> None:
        """Give back what the body takes, which is dropped or passed on."""
        self._buffered.held_bytes -= self._held_bytes
        self._held_bytes = 0

    def on_received(self, size_bytes: int) -> None:
        """Count bytes before they are parsed."""
        self._received_bytes += size_bytes
        if self._received_bytes > REPLY_LIMIT_BYTES:
            raise LimitExceeded(f'over {REPLY_LIMIT_BYTES} bytes')
        if self._unparsed_bytes > HEAD_LIMIT_BYTES:
            raise LimitExceeded(
                f'over {HEAD_LIMIT_BYTES} bytes of a head or of framing'
            )
        self._unparsed_bytes += size_bytes

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header or a trailer."""
        self._header_count += 1
        self._head_bytes += len(name) + len(value) + _HEADER_FRAMING_BYTES
        if self._header_count > HEADER_LIMIT:
            raise LimitExceeded(f'over {HEADER_LIMIT} headers')
        if self._head_bytes > HEAD_LIMIT_BYTES:
            raise LimitExceeded(f'over {HEAD_LIMIT_BYTES} bytes of headers')

    def on_headers_complete(self) -> None:
        """Note that the head has been parsed."""
        self._unparsed_bytes = 0

    def on_chunk(self) -> None:
        """Count a chunk."""
        self._chunk_count += 1
        further = self._body_bytes // MIN_MEAN_CHUNK_BYTES
        if self._chunk_count > CHUNK_ALLOWANCE + further:
            raise LimitExceeded(f'{self._chunk_count} small chunks')

    def on_body(self, size_bytes: int) -> None:
        """Count a part of the body that is held until the reply is whole."""
        self._unparsed_bytes = 0
        self._body_bytes += size_bytes
        self._held_bytes += size_bytes
        self._buffered.held_bytes += size_bytes
        if (
            self._held_bytes > UNSHARED_BODY_BYTES
            and self._buffered.held_bytes > BUFFERED_LIMIT_BYTES
        ):
            raise LimitExceeded(
                f'over {BUFFERED_LIMIT_BYTES} bytes of all replies together'
            )

    def on_interim(self) -> None:
        """Count an interim reply."""
        self._interim_count += 1
        if self._interim_count > INTERIM_LIMIT:
            raise LimitExceeded(f'over {INTERIM_LIMIT} interim replies')

    def on_skipped(self) -> None:
        """Count a reply to another request."""
        self._skipped_count += 1
        if self._skipped_count > SKIPPED_LIMIT:
            raise LimitExceeded(f'over {SKIPPED_LIMIT} replies to others')
