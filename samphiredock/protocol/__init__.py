"""Messages, outcomes and their encoding."""

from samphiredock.protocol._codec import Codec
from samphiredock.protocol._codec import CodecError
from samphiredock.protocol._dispatch_messages import Release
from samphiredock.protocol._dispatch_messages import Released
from samphiredock.protocol._dispatch_messages import TargetSign
from samphiredock.protocol._dispatch_messages import TargetSignsWanted
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
    'Record',
    'Release',
    'Released',
    'RunOrder',
    'RunOutcome',
    'RunReport',
    'RunRequest',
    'SearchOutcome',
    'SearchRequest',
    'SubAnswer',
    'SubAnswerBatch',
    'SubQuery',
    'SubQueryBatch',
    'SubStatus',
    'TargetAnswer',
    'TargetBatch',
    'TargetBatchAnswer',
    'TargetCancel',
    'TargetCancelAnswer',
    'TargetHealth',
    'TargetQuery',
    'TargetRun',
    'TargetRunAnswer',
    'TargetSign',
    'TargetSignsWanted',
    'TargetStatus',
    'Unknown',
]
