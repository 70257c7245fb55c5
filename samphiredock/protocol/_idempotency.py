"""Idempotency keys: UUIDs of version 7 (RFC 9562).

Claims are kept for a limited time, so a key that is older must be refused:
its claim may be gone, and the request would run a second time.  A UUID of
version 7 contains the time of its creation, which, unlike a separate
timestamp, a caller cannot change between retries with the same key.
"""

import random
import uuid

_VERSION = 7
_VARIANT = 0b10
_TIME_BITS = 48
_RANDOM_HIGH_BITS = 12
_RANDOM_LOW_BITS = 62


def new_idempotency_key(wall_ms: int, rng: random.Random) -> str:
    """Return a new key created at ``wall_ms`` (ms since the epoch).

    >>> key = new_idempotency_key(1_700_000_000_000, random.Random(1))
    >>> issue_time_ms(key)
    1700000000000
    """
    value = wall_ms % 2**_TIME_BITS
    value = value << 4 | _VERSION
    value = value << _RANDOM_HIGH_BITS | rng.getrandbits(_RANDOM_HIGH_BITS)
    value = value << 2 | _VARIANT
    value = value << _RANDOM_LOW_BITS | rng.getrandbits(_RANDOM_LOW_BITS)
    return str(uuid.UUID(int=value))


def canonical_key(text: str) -> str | None:
    """Return a key in its canonical form, None if it is not a valid key.

    The same UUID can be written in several ways.  Claims compare keys as
    text, so two spellings would run the same request twice.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        return None
    if key.version != _VERSION:
        return None
    return str(key)


def issue_time_ms(key: str) -> int:
    """Return when a canonical key was created (ms since the epoch)."""
    return uuid.UUID(key).int >> (128 - _TIME_BITS)
