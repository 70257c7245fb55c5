"""Messages between daemons about claims of unrepeatable requests.

A claim is a stored record by which one daemon reserves a request's
idempotency key, so that no other daemon sends the request too; see
:class:`samphiredock.state.Claim`.  The holder of a claim is the daemon that
wrote it to the store.
"""

import enum

import msgspec

from samphiredock.protocol import _outcomes


class ClaimStatus(enum.Enum):
    """What a holder reports about one of its claims.

    ``NEVER_SENT`` is final: the holder did not send the request to a target
    and never will.  ``UNSETTLED``: the request was sent and its outcome is
    not known.  ``UNTRACKED``: the holder has no record of the claim, because
    it has restarted or has dropped the record; the request may have run.
    """

    RUNNING = 'running'
    DONE = 'done'
    NEVER_SENT = 'never-sent'
    UNSETTLED = 'unsettled'
    UNTRACKED = 'untracked'


class ClaimAsk(msgspec.Struct, frozen=True):
    """Asks a holder for a claim's status, now and whenever it changes.

    ``token`` is the text of a :class:`ClaimToken`.
    """

    token: str


class ClaimAnswer(msgspec.Struct, frozen=True):
    """The holder's answer; sent again when the status changes.

    ``outcome`` is set only with the status ``DONE``.
    """

    token: str
    status: ClaimStatus
    outcome: _outcomes.Completed | None = None


class ClaimToken(msgspec.Struct, frozen=True):
    """The unique identifier of a claim; sent and stored as its text.

    ``holder`` is the name of the daemon that made the claim,
    ``incarnation`` identifies the daemon's start, and ``number`` is unique
    among its claims since then.
    """

    holder: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        return f'{self.holder}/{self.incarnation}/{self.number}'


def parse_token(text: str) -> ClaimToken | None:
    """Return the token written as ``text``, None if it is malformed."""
    parts = text.rsplit('/', 2)
    if len(parts) != 3 or not (parts[1] + parts[2]).isdecimal():
        return None
    return ClaimToken(parts[0], int(parts[1]), int(parts[2]))
