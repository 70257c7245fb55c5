"""Encoding of the messages between daemons.

A message is sent as two frames: the name of its type and its MessagePack
body.  Only a fixed set of types is accepted.  Decoding any other name, or a
malformed body, returns a :class:`CodecError`; the receiver counts it and drops
the message.
"""

import dataclasses
import typing

import msgspec

DECODE_ERRORS = (ValueError, RecursionError)
"""What decoding bytes of another process may raise.

``msgspec.DecodeError`` is a ``ValueError``; values that are nested too deeply
raise ``RecursionError``.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class CodecError:
    """Why a message could not be decoded."""

    detail: str


class Codec:
    """Encodes and decodes a fixed set of message types.

    Parameters
    ----------
    types
        The struct types that may be sent; each is identified by its name.
    """

    def __init__(self, types: typing.Iterable[type]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._names = {kind: kind.__name__.encode() for kind in types}
        self._decoders = {
            name: msgspec.msgpack.Decoder(kind)
            for kind, name in self._names.items()
        }

    def encode(self, message: msgspec.Struct) -> tuple[bytes, bytes]:
        """Return the two frames of ``message``: type name and body.

        Raises ``KeyError`` for a type that the codec was not made for.
        """
        return self._names[type(message)], self._encoder.encode(message)

    def decode(self, name: bytes, body: bytes) -> msgspec.Struct | CodecError:
        """Return the message, or why it could not be decoded."""
        decoder = self._decoders.get(name)
        if decoder is None:
            return CodecError(
                f'got message type {name[:40]!r}, expected a known one'
            )
        try:
            return decoder.decode(body)
        except DECODE_ERRORS as error:
            return CodecError(f'{name.decode()}: {error}')
