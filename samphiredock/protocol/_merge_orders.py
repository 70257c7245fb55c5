"""Merge orders: a daemon asks targets of its site and merges their parts.

A search over many shards whose targets are at another site sends one order to
a daemon there instead of a request to each target, and receives merged parts
instead of a response from each.  A part is the response body of one shard:
records of fixed length, which are compared as bytes.  The order is the body of
an HTTP request; each chunk of the response is one report.
"""

import msgspec
from returns import result

from samphiredock.protocol import _codec
from samphiredock.protocol import _forwarding
from samphiredock.protocol import _queries

MAX_ITEMS = 4_096
"""Most targets of one order, so that a corrupt order cannot start an unlimited
number of requests."""

MAX_DURATION_MS = 3_600_000.0
"""Longest duration in an order; excludes infinity, which no timer takes."""


class OrderedItem(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of an order: the target to ask.

    ``number`` identifies the attempt within its search.  ``target`` is the
    target's id and ``service`` the service that the sender expects there.
    If another target has taken over the id since, the receiver does not ask
    it and reports ``NOT_ORDERED``.
    """

    number: int
    service: str
    target: str


class MergeOrder(msgspec.Struct, frozen=True, array_like=True):
    """Asks the receiver to pass a caller's request on to targets of its site.

    The first six fields are the request; see :class:`ForwardRequest`.
    ``left_ms`` is the time left until the deadline when the order was sent.
    Parts that arrive within ``gather_ms`` after the order was received are
    merged to their greatest ``top`` records; later parts, and all parts if
    ``gather_ms`` is 0, are reported one by one.  Records not greater than
    ``floor`` cannot be in the search's answer and may be dropped.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    left_ms: float
    gather_ms: float
    top: int
    floor: bytes
    items: tuple[OrderedItem, ...]

    def request(self) -> _forwarding.ForwardRequest:
        """Return the caller's request, with ``left_ms`` as its deadline."""
        return _forwarding.ForwardRequest(
            self.request_id,
            self.method,
            self.host,
            self.path,
            self.headers,
            self.body,
            self.left_ms,
        )


class MergedItem(msgspec.Struct, frozen=True, array_like=True):
    """An attempt whose part is merged into the records of its report.

    ``receipt`` is the target's proof that it ran the request; ``took_us``
    is the duration of the attempt in microseconds.
    """

    number: int
    receipt: str
    took_us: int


class EndedItem(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that gave no part, and how it ended.

    ``took_us`` is the duration of the attempt in microseconds.
    """

    number: int
    status: _queries.SubStatus
    took_us: int
    detail: str = ''


class MergeReport(msgspec.Struct, frozen=True, array_like=True):
    """The results of an order's attempts since the previous report.

    ``records`` are the greatest records of the parts in ``merged``, the
    greatest first.  ``is_late`` says that ``gather_ms`` of the order has
    passed, so attempts that no report has listed yet are late.
    """

    merged: tuple[MergedItem, ...] = ()
    ended: tuple[EndedItem, ...] = ()
    records: bytes = b''
    is_late: bool = False


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(MergeOrder)
_report_decoder = msgspec.msgpack.Decoder(MergeReport)


def encode_merge_message(message: MergeOrder | MergeReport) -> bytes:
    """Return the MessagePack encoding of an order or a report."""
    return _encoder.encode(message)


def decode_order(body: bytes) -> result.Result[MergeOrder, str]:
    """Return the order, or a text that says what is wrong with it."""
    try:
        order = _order_decoder.decode(body)
    except _codec.DECODE_ERRORS as error:
        return result.Failure(f'merge order cannot be decoded: {error}')
    numbers = {item.number for item in order.items}
    if not 0 < len(order.items) <= MAX_ITEMS:
        return result.Failure(
            f'got an order of {len(order.items)} items, '
            f'expected 1 to {MAX_ITEMS}'
        )
    if len(numbers) < len(order.items):
        return result.Failure(
            'got an order with two items of one number, '
            'expected a different number for each item'
        )
    if not 0.0 < order.left_ms <= MAX_DURATION_MS or order.top < 0:
        return result.Failure(
            f'got left_ms {order.left_ms} and top {order.top}, '
            f'expected left_ms above 0 and at most {MAX_DURATION_MS:.0f}, '
            'and top 0 or more'
        )
    if not 0.0 <= order.gather_ms <= MAX_DURATION_MS:
        return result.Failure(
            f'got gather_ms {order.gather_ms}, '
            f'expected 0 to {MAX_DURATION_MS:.0f}'
        )
    return result.Success(order)


def decode_report(chunk: bytes) -> result.Result[MergeReport, str]:
    """Return the report, or a text that says what is wrong with it."""
    try:
        return result.Success(_report_decoder.decode(chunk))
    except _codec.DECODE_ERRORS as error:
        return result.Failure(f'merge report cannot be decoded: {error}')
