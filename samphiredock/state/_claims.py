"""Claims of unrepeatable requests, and the stored buckets that hold them.

A daemon that wants to send an unrepeatable request first opens a claim for
its idempotency key, so that no other daemon sends it too, and later closes
the claim with the outcome.  Claims are stored in a fixed number of bucket
objects.  This module decodes, changes and encodes buckets; the calls to the
store are made in :mod:`samphiredock.coordination`.
"""

import enum
import hashlib
import typing

import msgspec

from samphiredock import protocol

CLAIMS_PREFIX = 'claims/'
BUCKET_COUNT = 2**18
"""Number of bucket objects; docs/design/claims.md, section 3, derives it."""

KEY_RETENTION_LIMIT_MS = 24 * 3_600_000
"""Upper bound of the setting ``key_retention_ms``, the age up to which
idempotency keys are accepted."""

CLAIM_RETENTION_MS = KEY_RETENTION_LIMIT_MS + 3_600_000
"""Age at which claims are dropped.  It does not depend on the setting, so
that raising the setting cannot make a key acceptable whose claim is gone.
The additional hour exceeds clock differences and every deadline."""

BUCKET_LIMIT_BYTES = 900_000
"""Size above which a bucket opens no further claims."""

OUTCOME_LIMIT_BYTES = 4_096
"""Space that an open claim reserves, so that its outcome always fits."""

_FORMAT = 1  # of stored buckets; one of another format is not decoded
_DIGEST_BYTES = 16
_OVERHEAD_BYTES = 64  # allowance for the JSON syntax around one claim


class ClaimState(enum.Enum):
    """The stored state of a claim.

    ``OPEN``: the request may have been sent, its outcome is not recorded.
    ``DONE``: it ran and its outcome is recorded.  ``NOT_RUN``: it was not
    run, so another claim may replace this one.
    """

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not-run'


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One stored claim.

    ``token`` is the text of a :class:`samphiredock.protocol.ClaimToken`.
    ``content`` is the digest of the request that the claim was made for.
    ``since_ms`` is the wall-clock time, in ms since the epoch, at which the
    claim was made or the key was created, whichever is later.  ``accepted``
    and ``result`` are those of :class:`samphiredock.protocol.Completed`;
    ``result_dropped`` says that the result was too large to be stored.
    """

    token: str
    content: str
    state: ClaimState
    since_ms: int
    accepted: bool = False
    result: dict[str, str] = {}
    result_dropped: bool = False


class ClaimLocation(msgspec.Struct, frozen=True):
    """Where a key's claim is stored.

    ``path`` is the key of the bucket object in the store, ``digest`` the key
    of the claim within the bucket.
    """

    path: str
    digest: str


class OpenStatus(enum.Enum):
    """Result of an attempt to open a claim.

    ``CLAIMED``: another claim for the same request exists.
    ``KEY_REUSED``: the key has been claimed for a request with other content.
    ``FULL``: the bucket has no space left.
    """

    GRANTED = 'granted'
    CLAIMED = 'claimed'
    KEY_REUSED = 'key-reused'
    FULL = 'full'


class OpenDecision(msgspec.Struct, frozen=True):
    """The status, with the existing claim if it is the obstacle."""

    status: OpenStatus
    claim: Claim | None = None


class _StoredBucket(msgspec.Struct, frozen=True):
    """The value of a bucket object; ``claims`` is keyed by digest."""

    format: int
    claims: dict[str, Claim]


_DECODER = msgspec.json.Decoder(_StoredBucket)


class Bucket:
    """A decoded copy of one bucket object, to be changed and encoded.

    ``changed`` is set once a claim has been written to the copy.

    Parameters
    ----------
    claims
        The claims by digest.
    size_bytes
        Size of the stored object.
    """

    def __init__(
        self, claims: dict[str, Claim] | None = None, size_bytes: int = 0
    ) -> None:
        self.claims = claims or {}
        self.changed = False
        self._size_bytes = size_bytes

    def expire(self, wall_ms: int) -> None:
        """Drop claims whose keys are too old to be accepted.

        This alone does not set ``changed``: the claims are removed from the
        store with the next write of the bucket.
        """
        self.claims = {
            digest: claim
            for digest, claim in self.claims.items()
            if wall_ms - claim.since_ms <= CLAIM_RETENTION_MS
        }

    def open(
        self, digest: str, wanted: Claim, replaces: str | None
    ) -> OpenDecision:
        """Write the open claim ``wanted`` unless another claim prevents it.

        ``replaces`` is the token of an open claim whose holder has reported
        that it never sent the request and never will.  Opening a claim again
        with the same token changes nothing, so a write whose response was
        lost can be repeated.
        """
        existing = self.claims.get(digest)
        if existing is None:
            return self._add(digest, wanted)
        if (
            existing.token == wanted.token
            and existing.state is ClaimState.OPEN
        ):
            return OpenDecision(OpenStatus.GRANTED)
        if existing.content != wanted.content:
            return OpenDecision(OpenStatus.KEY_REUSED, existing)
        is_replaceable = (
            existing.state is ClaimState.OPEN and existing.token == replaces
        )
        if existing.state is ClaimState.NOT_RUN or is_replaceable:
            self._set(digest, wanted)
            return OpenDecision(OpenStatus.GRANTED)
        return OpenDecision(OpenStatus.CLAIMED, existing)

    def close(self, digest: str, final: Claim) -> bool:
        """Write the final state of a claim.

        Returns False if the key is claimed with another token by now.  The
        final state is also written if the claim is missing: the write that
        opens it may still reach the store, and it fails then because this
        one has changed the object's version.
        """
        existing = self.claims.get(digest)
        if existing is not None and existing.token != final.token:
            return False
        if existing is None or existing.state is ClaimState.OPEN:
            self._set(digest, final)
        return True

    def encode(self) -> bytes:
        """Return the value of the bucket object, as JSON."""
        return msgspec.json.encode(_StoredBucket(_FORMAT, self.claims))

    def _add(self, digest: str, wanted: Claim) -> OpenDecision:
        open_claims = sum(
            claim.state is ClaimState.OPEN for claim in self.claims.values()
        )
        reserved_bytes = (open_claims + 1) * OUTCOME_LIMIT_BYTES
        if self._size_bytes + reserved_bytes > BUCKET_LIMIT_BYTES:
            return OpenDecision(OpenStatus.FULL)
        self._set(digest, wanted)
        return OpenDecision(OpenStatus.GRANTED)

    def _set(self, digest: str, claim: Claim) -> None:
        self.claims[digest] = claim
        self.changed = True
        size_bytes = len(msgspec.json.encode(claim))
        self._size_bytes += size_bytes + len(digest) + _OVERHEAD_BYTES


def decode_bucket(value: bytes) -> Bucket | None:
    """Return the bucket, None if the value cannot be decoded.

    Callers must not treat such a bucket as empty: it may hold claims.
    """
    try:
        stored = _DECODER.decode(value)
    except protocol.DECODE_ERRORS:
        return None
    if stored.format != _FORMAT:
        return None
    return Bucket(stored.claims, len(value))


def locate_claim(service: str, key: str) -> ClaimLocation:
    """Return where the claim of a service's idempotency key is stored.

    Only the service and the key count, not the request's content, so that
    every request with the same key finds the same claim.
    """
    digest = _digest([service, key])
    return ClaimLocation(
        f'{CLAIMS_PREFIX}{int(digest, 16) % BUCKET_COUNT:05x}', digest
    )


def content_digest(operation: str, body: typing.Mapping[str, str]) -> str:
    """Return a digest of the content of an unrepeatable request."""
    return _digest([operation, sorted(body.items())])


def done_claim(opened: Claim, accepted: bool, result: dict[str, str]) -> Claim:
    """Return a claim closed as ``DONE``.

    The result is left out if it exceeds ``OUTCOME_LIMIT_BYTES``.
    """
    size_bytes = len(msgspec.json.encode(result))
    fits = size_bytes + 2 * _OVERHEAD_BYTES <= OUTCOME_LIMIT_BYTES
    return msgspec.structs.replace(
        opened,
        state=ClaimState.DONE,
        accepted=accepted,
        result=result if fits else {},
        result_dropped=not fits,
    )


def not_run_claim(opened: Claim) -> Claim:
    """Return a claim closed as ``NOT_RUN``."""
    return msgspec.structs.replace(opened, state=ClaimState.NOT_RUN)


def _digest(parts: list) -> str:
    # Must be collision-resistant: callers choose the key and the body, and
    # a collision would return another request's outcome.
    encoded = msgspec.json.encode(parts)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()
