"""Messages, outcomes and their encoding."""

from samphiredock.protocol._claims import ClaimAnswer
from samphiredock.protocol._claims import ClaimAsk
from samphiredock.protocol._claims import ClaimStatus
from samphiredock.protocol._claims import ClaimToken
from samphiredock.protocol._claims import parse_token
from samphiredock.protocol._codec import Codec
from samphiredock.protocol._codec import CodecError
from samphiredock.protocol._dispatch_messages import Release
from samphiredock.protocol._dispatch_messages import Released
from samphiredock.protocol._dispatch_messages import TargetSign
from samphiredock.protocol._dispatch_messages import TargetSignsWanted
from samphiredock.protocol._forwarding import ForwardOutcome
from samphiredock.protocol._forwarding import ForwardRequest
from samphiredock.protocol._forwarding import Gathered
from samphiredock.protocol._forwarding import Headers
from samphiredock.protocol._forwarding import HttpReply
from samphiredock.protocol._forwarding import HttpRequest
from samphiredock.protocol._forwarding import Passed
from samphiredock.protocol._forwarding import TargetReply
from samphiredock.protocol._forwarding import TimedOut
from samphiredock.protocol._idempotency import canonical_key
from samphiredock.protocol._idempotency import issue_time_ms
from samphiredock.protocol._idempotency import new_idempotency_key
from samphiredock.protocol._membership import CONTROL_MESSAGES
from samphiredock.protocol._membership import Envelope
from samphiredock.protocol._membership import HeldVersions
from samphiredock.protocol._membership import MemberRow
from samphiredock.protocol._membership import MemberState
from samphiredock.protocol._membership import ObjectAsk
from samphiredock.protocol._membership import ObjectChanged
from samphiredock.protocol._membership import ObjectVersion
from samphiredock.protocol._membership import Probe
from samphiredock.protocol._membership import ProbeAnswer
from samphiredock.protocol._membership import ProbeAsk
from samphiredock.protocol._membership import RevisionHeld
from samphiredock.protocol._membership import StateAnswer
from samphiredock.protocol._membership import StateAsk
from samphiredock.protocol._membership import StatePush
from samphiredock.protocol._operations import ChangeAccepted
from samphiredock.protocol._operations import ChangeConflict
from samphiredock.protocol._operations import ChangeInvalid
from samphiredock.protocol._operations import ChangeOutcome
from samphiredock.protocol._operations import ChangeSummary
from samphiredock.protocol._operations import ChangeUnavailable
from samphiredock.protocol._operations import ChangeUnknown
from samphiredock.protocol._operations import ConfigurationChange
from samphiredock.protocol._operations import QuarantineEntry
from samphiredock.protocol._operator_api import Confirmations
from samphiredock.protocol._operator_api import DaemonRevision
from samphiredock.protocol._operator_api import OperatorDone
from samphiredock.protocol._operator_api import OperatorError
from samphiredock.protocol._operator_api import OperatorErrorKind
from samphiredock.protocol._operator_api import TargetRow
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
from samphiredock.protocol._queries import RunBody
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
    'CONTROL_MESSAGES',
    'CancelAttempts',
    'ChangeAccepted',
    'ChangeConflict',
    'ChangeInvalid',
    'ChangeOutcome',
    'ChangeSummary',
    'ChangeUnavailable',
    'ChangeUnknown',
    'ClaimAnswer',
    'ClaimAsk',
    'ClaimStatus',
    'ClaimToken',
    'ClearedNotice',
    'Codec',
    'CodecError',
    'Completed',
    'ConfigurationChange',
    'Confirmations',
    'DaemonRevision',
    'Envelope',
    'ForwardOutcome',
    'ForwardRequest',
    'Gathered',
    'Headers',
    'HeldVersions',
    'HttpReply',
    'HttpRequest',
    'KeyRange',
    'MemberRow',
    'MemberState',
    'NEVER_STARTED',
    'NotRun',
    'NotRunReason',
    'ObjectAsk',
    'ObjectChanged',
    'ObjectVersion',
    'OperatorDone',
    'OperatorError',
    'OperatorErrorKind',
    'Outcome',
    'Partial',
    'Passed',
    'Probe',
    'ProbeAnswer',
    'ProbeAsk',
    'QuarantineEntry',
    'QuarantineNotice',
    'Record',
    'Release',
    'Released',
    'RevisionHeld',
    'RunBody',
    'RunOrder',
    'RunOutcome',
    'RunReport',
    'RunRequest',
    'SearchOutcome',
    'SearchRequest',
    'StateAnswer',
    'StateAsk',
    'StatePush',
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
    'TargetReply',
    'TargetRow',
    'TargetRun',
    'TargetRunAnswer',
    'TargetSign',
    'TargetSignsWanted',
    'TargetStatus',
    'TimedOut',
    'Unknown',
    'canonical_key',
    'issue_time_ms',
    'new_idempotency_key',
    'parse_token',
]
