"""What daemons ask each other about claims of unrepeatable requests."""

import enum

import msgspec

from samphiredock.protocol import _outcomes


class ClaimStatus(enum.Enum):
    """A holder's word on one of its claims.

    ``NEVER_SENT`` is final: the holder did not send the request and never
    will.  ``UNSETTLED`` was sent and its end is not known.  ``UNTRACKED``
    says nothing: the holder has restarted or has forgotten the claim.
    """

    RUNNING = 'running'
    DONE = 'done'
    NEVER_SENT = 'never-sent'
    UNSETTLED = 'unsettled'
    UNTRACKED = 'untracked'


class ClaimAsk(msgspec.Struct, frozen=True):
    """Ask a claim's holder for its status, and for the end when it comes."""

    token: str


class ClaimAnswer(msgspec.Struct, frozen=True):
    """The holder's answer; sent again when the status changes."""

    token: str
    status: ClaimStatus
    outcome: _outcomes.Completed | None = None


class ClaimToken(msgspec.Struct, frozen=True):
    """The unique name of one claimant's one claim."""

    holder: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        return f'{self.holder}/{self.incarnation}/{self.number}'


def parse_token(text: str) -> ClaimToken | None:
    """Return the parts of a token, None if it cannot be read."""
    parts = text.rsplit('/', 2)
    if len(parts) != 3 or not (parts[1] + parts[2]).isdecimal():
        return None
    return ClaimToken(parts[0], int(parts[1]), int(parts[2]))
