"""Encoding of the messages between daemons.

A message travels as two frames: the name of its type and its body.  The
table of types is closed: a frame whose name or body cannot be read gives a
:class:`CodecError` value, which the receiver counts and drops.
"""

import dataclasses
import typing

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class CodecError:
    """Why a message could not be read."""

    detail: str


class Codec:
    """Encode and decode a closed set of message types.

    Parameters
    ----------
    types
        The struct types that may cross the wire; their names are the tags.
    """

    def __init__(self, types: typing.Iterable[type]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._names = {kind: kind.__name__.encode() for kind in types}
        self._decoders = {
            name: msgspec.msgpack.Decoder(kind)
            for kind, name in self._names.items()
        }

    def encode(self, message: msgspec.Struct) -> tuple[bytes, bytes]:
        """Return the two frames of ``message``.

        Raises ``KeyError`` for a type outside the table, which is a
        programming error.
        """
        return self._names[type(message)], self._encoder.encode(message)

    def decode(self, name: bytes, body: bytes) -> msgspec.Struct | CodecError:
        """Return the message, or why it cannot be read."""
        decoder = self._decoders.get(name)
        if decoder is None:
            return CodecError(f'got message type {name[:40]!r}, not known')
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return CodecError(f'{name.decode()}: {error}')
