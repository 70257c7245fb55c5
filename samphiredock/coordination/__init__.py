"""The decisions and the tasks that carry them out."""

from samphiredock.coordination._accept import Acceptor
from samphiredock.coordination._admission import Admission
from samphiredock.coordination._budget import ExtraBudget
from samphiredock.coordination._canary import KnownContents
from samphiredock.coordination._coordinator import Coordinator
from samphiredock.coordination._dispatcher import Dispatcher
from samphiredock.coordination._hedging import Latencies
from samphiredock.coordination._knowledge import CONFIGURATION_KEY
from samphiredock.coordination._knowledge import Knowledge
from samphiredock.coordination._member_table import MemberTable
from samphiredock.coordination._member_table import row_of
from samphiredock.coordination._membership import Membership
from samphiredock.coordination._ownership import owner_of
from samphiredock.coordination._ownership import owners_of
from samphiredock.coordination._ownership import ownership_groups
from samphiredock.coordination._ownership import OwnershipTable
from samphiredock.coordination._planner import Plan
from samphiredock.coordination._quarantine import Quarantine
from samphiredock.coordination._quarantine import QUARANTINE_PREFIX
from samphiredock.coordination._replicas import Replicas
from samphiredock.coordination._run_once import Runner
from samphiredock.coordination._run_request import RunQuarantine
from samphiredock.coordination._scatter import Scatter
from samphiredock.coordination._scatter_types import DropAttempts
from samphiredock.coordination._scatter_types import SendAttempts
from samphiredock.coordination._scatter_types import Tools
from samphiredock.coordination._snapshot_door import SnapshotDoor
from samphiredock.coordination._target_signs import TARGETS_PREFIX
from samphiredock.coordination._target_signs import TargetSigns
from samphiredock.coordination._watcher import follow_knowledge
from samphiredock.coordination._watcher import Spread
from samphiredock.coordination._watcher import Watcher

__all__ = [
    'Acceptor',
    'Admission',
    'CONFIGURATION_KEY',
    'Coordinator',
    'Dispatcher',
    'DropAttempts',
    'ExtraBudget',
    'Knowledge',
    'KnownContents',
    'Latencies',
    'MemberTable',
    'Membership',
    'OwnershipTable',
    'Plan',
    'QUARANTINE_PREFIX',
    'Quarantine',
    'Replicas',
    'RunQuarantine',
    'Runner',
    'Scatter',
    'SendAttempts',
    'SnapshotDoor',
    'Spread',
    'TARGETS_PREFIX',
    'TargetSigns',
    'Tools',
    'Watcher',
    'follow_knowledge',
    'owner_of',
    'owners_of',
    'ownership_groups',
    'row_of',
]
