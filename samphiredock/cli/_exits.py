"""Exit codes of the command line, part of its public interface."""

import enum
import typing

from samphiredock import protocol


class Exit(enum.IntEnum):
    """Exit codes; :data:`EXIT_HELP` describes each."""

    OK = 0
    DECLINED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    PARTIAL = 7
    WRONG_TOKEN = 8
    UNCONFIRMED = 9
    TARGET_REFUSED = 10


EXIT_HELP = """\b
Exit codes:
   0  done
   1  you answered no to the question
   2  wrong use of the command, or a file that cannot be read
   3  refused: nothing was run or changed
   4  conflict: another change was accepted first; nothing was changed
   5  unknown: it may or may not have run; ask again with the same key
   6  no daemon answered; nothing was run or changed
   7  the answer is partial; it says what is missing
   8  the token is missing or wrong
   9  accepted, but not yet confirmed by every site
  10  it ran, and the target said no to it
"""

_OUTCOME_EXITS: typing.Mapping[type, Exit] = {
    protocol.Answered: Exit.OK,
    protocol.Partial: Exit.PARTIAL,
    protocol.Completed: Exit.OK,
    protocol.NotRun: Exit.REFUSED,
    protocol.Unknown: Exit.UNKNOWN,
    protocol.ChangeAccepted: Exit.OK,
    protocol.ChangeConflict: Exit.CONFLICT,
    protocol.ChangeInvalid: Exit.REFUSED,
    protocol.ChangeUnavailable: Exit.REFUSED,
    protocol.ChangeUnknown: Exit.UNKNOWN,
    protocol.OperatorDone: Exit.OK,
}

_ERROR_EXITS = {
    protocol.OperatorErrorKind.WRONG_TOKEN: Exit.WRONG_TOKEN,
    protocol.OperatorErrorKind.UNKNOWN: Exit.UNKNOWN,
    protocol.OperatorErrorKind.INTERNAL: Exit.UNKNOWN,
}


def exit_code_for(outcome: object) -> Exit:
    """Return the exit code for an outcome or an ``OperatorError``."""
    if isinstance(outcome, protocol.OperatorError):
        return _ERROR_EXITS.get(outcome.kind, Exit.REFUSED)
    if isinstance(outcome, protocol.Completed) and not outcome.accepted:
        return Exit.TARGET_REFUSED
    return _OUTCOME_EXITS[type(outcome)]
