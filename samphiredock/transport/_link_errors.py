"""Why an exchange with a target gave no answer."""

import dataclasses
import enum


class LinkErrorKind(enum.Enum):
    """Why an exchange with a target gave no answer.

    Only ``UNREACHABLE`` and ``NO_CONNECTION`` prove that the target saw
    nothing of it; the second is this daemon's own limit, and says nothing
    of the target.
    """

    UNREACHABLE = 'unreachable'
    NO_CONNECTION = 'no-connection'
    BROKEN = 'broken'
    SILENT = 'silent'
    BAD_ANSWER = 'bad-answer'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkError:
    """A failed exchange with a target.

    ``ended`` says that the target ended the exchange itself, with an error,
    so that nothing of it still runs there.
    """

    kind: LinkErrorKind
    detail: str
    ended: bool = False
