"""Idempotency keys: UUIDs of version 7 (RFC 9562).

Such a key carries the time at which it was made.  A claim is kept for a
bounded time only, so a request must tell how old its key is; a time beside
the key could be set anew by a caller that retries, and after the claim is
gone the same key would run a second time.  The time in the key cannot.
"""

import random
import uuid

_VERSION = 7
_VARIANT = 0b10
_TIME_BITS = 48
_RANDOM_HIGH_BITS = 12
_RANDOM_LOW_BITS = 62


def new_idempotency_key(wall_ms: int, rng: random.Random) -> str:
    """Return a new key made at ``wall_ms`` (ms since the epoch).

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
    """Return the one spelling of a key, None if it is not one.

    The same UUID may be written in several ways; as different texts they
    would be claimed, and run, apart.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        return None
    if key.version != _VERSION:
        return None
    return str(key)


def issue_time_ms(key: str) -> int:
    """Return when a canonical key was made (ms since the epoch)."""
    return uuid.UUID(key).int >> (128 - _TIME_BITS)
