"""Claims of unrepeatable requests, and the bucket objects that hold them.

Pure functions and types: a bucket is read, changed and encoded here; the
calls to the platform's store are made in :mod:`samphiredock.coordination`.
"""

import enum
import hashlib
import typing

import msgspec

CLAIMS_PREFIX = 'claims/'
BUCKET_COUNT = 2**18
"""Why this number: docs/design/claims.md, section 3."""

KEY_RETENTION_LIMIT_MS = 24 * 3_600_000
"""No key is older than this; ``key_retention_ms`` may not exceed it."""

CLAIM_RETENTION_MS = KEY_RETENTION_LIMIT_MS + 3_600_000
"""A claim is dropped when it is older, never by a setting, so that a
change of the setting cannot make a key acceptable whose claim is gone.  The
hour is much more than clocks differ and than the longest deadline."""

FULL_BYTES = 900_000
OUTCOME_LIMIT_BYTES = 4_096
"""An open claim reserves this much, so that its outcome always fits."""

_FORMAT = 1
_DIGEST_BYTES = 16
_OVERHEAD_BYTES = 64


class ClaimState(enum.Enum):
    """What the store knows of a claimed request."""

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not-run'


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One claim; ``content`` is the digest of the request it was made for.

    ``since_ms`` is the later of the claim's and the key's wall time;
    ``result_dropped`` marks an outcome that was too large to be kept.
    """

    token: str
    content: str
    state: ClaimState
    since_ms: int
    accepted: bool = False
    result: dict[str, str] = {}
    result_dropped: bool = False


class ClaimLocation(msgspec.Struct, frozen=True):
    """Where a key's claim lives: the bucket object and the entry in it."""

    path: str
    digest: str


class OpenStatus(enum.Enum):
    """What became of an attempt to open a claim."""

    GRANTED = 'granted'
    MET = 'met'
    KEY_REUSED = 'key-reused'
    FULL = 'full'


class OpenDecision(msgspec.Struct, frozen=True):
    """The verdict and, for ``MET``, the claim that is in the way."""

    status: OpenStatus
    claim: Claim | None = None


class _Stored(msgspec.Struct, frozen=True):
    format: int
    claims: dict[str, Claim]


_DECODER = msgspec.json.Decoder(_Stored)


class Bucket:
    """A working copy of one bucket object."""

    def __init__(
        self, claims: dict[str, Claim] | None = None, size_bytes: int = 0
    ) -> None:
        self.claims = claims or {}
        self.changed = False
        self._size_bytes = size_bytes

    def expire(self, wall_ms: int) -> None:
        """Drop the claims of keys that nobody accepts any more.

        They go with the next write, so that no object grows for ever and
        none needs a write of its own.
        """
        self.claims = {
            digest: claim
            for digest, claim in self.claims.items()
            if wall_ms - claim.since_ms <= CLAIM_RETENTION_MS
        }

    def open(
        self, digest: str, wanted: Claim, replaces: str | None
    ) -> OpenDecision:
        """Write an open claim unless another's is in the way.

        ``replaces`` is the token of an open claim whose holder has said
        that it never sent the request and never will.  Opening again with
        a token that already holds the claim changes nothing, so a change
        whose answer was lost is tried again safely.
        """
        held = self.claims.get(digest)
        if held is None:
            return self._add(digest, wanted)
        if held.token == wanted.token and held.state is ClaimState.OPEN:
            return OpenDecision(OpenStatus.GRANTED)
        if held.content != wanted.content:
            return OpenDecision(OpenStatus.KEY_REUSED, held)
        given_up = held.state is ClaimState.OPEN and held.token == replaces
        if held.state is ClaimState.NOT_RUN or given_up:
            self._set(digest, wanted)
            return OpenDecision(OpenStatus.GRANTED)
        return OpenDecision(OpenStatus.MET, held)

    def close(self, digest: str, final: Claim) -> bool:
        """Write the end of a claim; False if it is another's by now.

        An end is also written where the claim itself is missing: the put
        that carried it may still be on its way, and this change of the
        object's version makes that put fail for good.
        """
        held = self.claims.get(digest)
        if held is not None and held.token != final.token:
            return False
        if held is None or held.state is ClaimState.OPEN:
            self._set(digest, final)
        return True

    def encode(self) -> bytes:
        """Return the object's value."""
        return msgspec.json.encode(_Stored(_FORMAT, self.claims))

    def _add(self, digest: str, wanted: Claim) -> OpenDecision:
        open_claims = sum(
            claim.state is ClaimState.OPEN for claim in self.claims.values()
        )
        reserved_bytes = (open_claims + 1) * OUTCOME_LIMIT_BYTES
        if self._size_bytes + reserved_bytes > FULL_BYTES:
            return OpenDecision(OpenStatus.FULL)
        self._set(digest, wanted)
        return OpenDecision(OpenStatus.GRANTED)

    def _set(self, digest: str, claim: Claim) -> None:
        self.claims[digest] = claim
        self.changed = True
        size_bytes = len(msgspec.json.encode(claim))
        self._size_bytes += size_bytes + len(digest) + _OVERHEAD_BYTES


def decode_bucket(value: bytes) -> Bucket | None:
    """Return the bucket, or None if the value cannot be read.

    An unreadable bucket may hold claims: it must not pass for an empty
    one.
    """
    try:
        stored = _DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if stored.format != _FORMAT:
        return None
    return Bucket(stored.claims, len(value))


def locate_claim(service: str, key: str) -> ClaimLocation:
    """Return where the claim of a service's idempotency key lives.

    The key alone decides: a caller that retries with the same key and a
    new issue time must meet the claim of its first try.
    """
    digest = _digest([service, key])
    return ClaimLocation(
        f'{CLAIMS_PREFIX}{int(digest, 16) % BUCKET_COUNT:05x}', digest
    )


def content_digest(operation: str, body: typing.Mapping[str, str]) -> str:
    """Return a digest that differs for a request with other content."""
    return _digest([operation, sorted(body.items())])


def done_claim(opened: Claim, accepted: bool, result: dict[str, str]) -> Claim:
    """Return a claim with its outcome, without a result too large."""
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
    """Return a claim that its holder has given up."""
    return msgspec.structs.replace(opened, state=ClaimState.NOT_RUN)


def _digest(parts: list) -> str:
    # A caller chooses the key and body: a digest that it could make
    # collide would replay another request's outcome to it.
    encoded = msgspec.json.encode(parts)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()
