"""Messages, outcomes and their encoding."""

from samphiredock.protocol._codec import Codec
from samphiredock.protocol._codec import CodecError
from samphiredock.protocol._operations import ChangeAccepted
from samphiredock.protocol._operations import ChangeConflict
from samphiredock.protocol._operations import ChangeInvalid
from samphiredock.protocol._operations import ChangeOutcome
from samphiredock.protocol._operations import ChangeSummary
from samphiredock.protocol._operations import ChangeUnavailable
from samphiredock.protocol._operations import ChangeUnknown
from samphiredock.protocol._operations import ConfigurationChange
from samphiredock.protocol._operations import QuarantineEntry
from samphiredock.protocol._outcomes import Answered
from samphiredock.protocol._outcomes import Completed
from samphiredock.protocol._outcomes import KeyRange
from samphiredock.protocol._outcomes import NotRun
from samphiredock.protocol._outcomes import NotRunReason
from samphiredock.protocol._outcomes import Outcome
from samphiredock.protocol._outcomes import Partial
from samphiredock.protocol._outcomes import Record
from samphiredock.protocol._outcomes import RunOutcome
from samphiredock.protocol._outcomes import SearchOutcome
from samphiredock.protocol._outcomes import Unknown
from samphiredock.protocol._quarantine import ClearedNotice
from samphiredock.protocol._quarantine import QuarantineNotice
from samphiredock.protocol._quarantine import StoredQuarantine
from samphiredock.protocol._quarantine import SuspectNotice
from samphiredock.protocol._queries import CancelAttempts
from samphiredock.protocol._queries import NEVER_STARTED
from samphiredock.protocol._queries import RunOrder
from samphiredock.protocol._queries import RunReport
from samphiredock.protocol._queries import RunRequest
from samphiredock.protocol._queries import SearchRequest
from samphiredock.protocol._queries import SubAnswer
from samphiredock.protocol._queries import SubAnswerBatch
from samphiredock.protocol._queries import SubQuery
from samphiredock.protocol._queries import SubQueryBatch
from samphiredock.protocol._queries import SubStatus
from samphiredock.protocol._target_api import TargetAnswer
from samphiredock.protocol._target_api import TargetBatch
from samphiredock.protocol._target_api import TargetBatchAnswer
from samphiredock.protocol._target_api import TargetCancel
from samphiredock.protocol._target_api import TargetCancelAnswer
from samphiredock.protocol._target_api import TargetHealth
from samphiredock.protocol._target_api import TargetQuery
from samphiredock.protocol._target_api import TargetRun
from samphiredock.protocol._target_api import TargetRunAnswer
from samphiredock.protocol._target_api import TargetStatus

__all__ = [
    'Answered',
    'CancelAttempts',
    'ChangeAccepted',
    'ChangeConflict',
    'ChangeInvalid',
    'ChangeOutcome',
    'ChangeSummary',
    'ChangeUnavailable',
    'ChangeUnknown',
    'ClearedNotice',
    'Codec',
    'CodecError',
    'Completed',
    'ConfigurationChange',
    'KeyRange',
    'NEVER_STARTED',
    'NotRun',
    'NotRunReason',
    'Outcome',
    'Partial',
    'QuarantineEntry',
    'QuarantineNotice',
    'Record',
    'RunOrder',
    'RunOutcome',
    'RunReport',
    'RunRequest',
    'SearchOutcome',
    'SearchRequest',
    'StoredQuarantine',
    'SubAnswer',
    'SubAnswerBatch',
    'SubQuery',
    'SubQueryBatch',
    'SubStatus',
    'SuspectNotice',
    'TargetAnswer',
    'TargetBatch',
    'TargetBatchAnswer',
    'TargetCancel',
    'TargetCancelAnswer',
    'TargetHealth',
    'TargetQuery',
    'TargetRun',
    'TargetRunAnswer',
    'TargetStatus',
    'Unknown',
]
