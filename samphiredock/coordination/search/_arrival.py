"""Until when an attempt that is sent now may reach its target.

The retry budget holds for what arrives, so a charge must last as long as the
attempt, or an earlier one for the same shard, may still be on its way.
"""

from samphiredock import transport

SEND_WITHIN_MS = 500.0
"""Attempts of a shard, and orders, that have not been written this long after
the last extra attempt was decided are dropped."""

ORDERED_SEND_WITHIN_MS = 1_000.0
"""An ordered attempt that has not been written this long after its order was
received is dropped."""


MAX_TRANSIT_MS = (
    SEND_WITHIN_MS + ORDERED_SEND_WITHIN_MS + 2 * transport.DELIVERY_LIMIT_MS
)
"""Longest time between the decision on an attempt and its arrival."""


def longest_transit_ms(left_ms: float, is_ordered: bool) -> float:
    """Return how long after its decision an attempt may reach its target.

    Parameters
    ----------
    left_ms
        Time left until the request's deadline.
    is_ordered
        Whether an attempt for the same shard was ordered from another daemon,
        which sends it on.
    """
    left_ms = max(0.0, left_ms)
    delivery_ms = transport.DELIVERY_LIMIT_MS
    transit_ms = min(left_ms, SEND_WITHIN_MS + delivery_ms)
    if is_ordered:
        transit_ms += min(left_ms, ORDERED_SEND_WITHIN_MS + delivery_ms)
    return transit_ms
