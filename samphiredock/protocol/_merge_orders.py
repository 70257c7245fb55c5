"""Orders between daemons: ask targets of your site and merge their parts.

A search that asks many targets of another site sends that site one order
in place of a request to each of them, and gets one merged part back in place
of an answer from each.  An order travels as the body of a request, its
reports as the chunks of the answer.
"""

import msgspec
from returns import result

from samphiredock.protocol import _forwarding
from samphiredock.protocol import _queries

ITEM_LIMIT = 4_096
"""Targets that one order may name.  The largest search planned for asks 55
shards; a broken length must not make a daemon send thousands of requests."""


TIME_LIMIT_MS = 3_600_000.0
"""Longest time that an order may state; a timer takes no other number."""


class OrderedItem(msgspec.Struct, frozen=True, array_like=True):
    """One target to ask; ``number`` tells the attempts of a search apart.

    ``service`` is what the sender takes the target for: an address, and
    perhaps an id, may come to belong to another one.
    """

    number: int
    service: str
    target: str


class MergeOrder(msgspec.Struct, frozen=True, array_like=True):
    """Ask these targets for a caller's request, which they get unchanged.

    ``left_ms`` is what was left of the deadline when this was sent.  Parts
    that come within ``gather_ms`` are merged to their greatest ``top``
    records; later ones, and all if it is 0, are reported one by one.
    Records that are not greater than ``floor`` cannot be in the answer.
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
        """Return the caller's request."""
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
    """An attempt whose part is among the records of its report."""

    number: int
    receipt: str
    took_us: int


class EndedItem(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that gave no part, and how it ended."""

    number: int
    status: _queries.SubStatus
    took_us: int
    detail: str = ''


class MergeReport(msgspec.Struct, frozen=True, array_like=True):
    """What has come of an order since the report before.

    ``records`` are the greatest of the parts in ``merged``, greatest first.
    ``is_late`` says that the time to gather is over: whatever no report has
    named yet is late.
    """

    merged: tuple[MergedItem, ...] = ()
    ended: tuple[EndedItem, ...] = ()
    records: bytes = b''
    is_late: bool = False


_encoder = msgspec.msgpack.Encoder()
_order_decoder = msgspec.msgpack.Decoder(MergeOrder)
_report_decoder = msgspec.msgpack.Decoder(MergeReport)


def encode_merge_message(message: MergeOrder | MergeReport) -> bytes:
    """Return an order or a report as it travels."""
    return _encoder.encode(message)


def decode_order(body: bytes) -> result.Result[MergeOrder, str]:
    """Return an order, or what is wrong with it."""
    try:
        order = _order_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(f'the order cannot be read: {error}')
    numbers = {item.number for item in order.items}
    if not 0 < len(order.items) <= ITEM_LIMIT:
        return result.Failure(
            f'got an order of {len(order.items)} items, '
            f'expected 1 to {ITEM_LIMIT}'
        )
    if len(numbers) < len(order.items):
        return result.Failure('got two items of one number in an order')
    if not 0.0 < order.left_ms <= TIME_LIMIT_MS or order.top < 0:
        return result.Failure(
            f'got left_ms {order.left_ms} and top {order.top}, '
            f'expected more than 0 up to {TIME_LIMIT_MS:.0f}, and 0 or more'
        )
    if not 0.0 <= order.gather_ms <= TIME_LIMIT_MS:
        return result.Failure(
            f'got gather_ms {order.gather_ms}, '
            f'expected 0 to {TIME_LIMIT_MS:.0f}'
        )
    return result.Success(order)


def decode_report(chunk: bytes) -> result.Result[MergeReport, str]:
    """Return a report, or what is wrong with it."""
    try:
        return result.Success(_report_decoder.decode(chunk))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(f'the report cannot be read: {error}')
