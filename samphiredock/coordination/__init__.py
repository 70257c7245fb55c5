"""The decisions and the tasks that carry them out."""

from samphiredock.coordination._admission import Admission
from samphiredock.coordination._budget import ExtraBudget
from samphiredock.coordination._canary import KnownContents
from samphiredock.coordination._coordinator import Coordinator
from samphiredock.coordination._dispatcher import Dispatcher
from samphiredock.coordination._hedging import Latencies
from samphiredock.coordination._lane import Lane
from samphiredock.coordination._lane import StartExchange
from samphiredock.coordination._lane import Work
from samphiredock.coordination._membership import Heartbeat
from samphiredock.coordination._membership import MEMBERS_PREFIX
from samphiredock.coordination._membership import Membership
from samphiredock.coordination._merge import covered_keys
from samphiredock.coordination._merge import covers
from samphiredock.coordination._merge import is_within
from samphiredock.coordination._merge import merge_records
from samphiredock.coordination._merge import missing_ranges
from samphiredock.coordination._merge import union_of
from samphiredock.coordination._ownership import owner_of
from samphiredock.coordination._planner import fingerprint_of
from samphiredock.coordination._planner import make_plan
from samphiredock.coordination._planner import Plan
from samphiredock.coordination._quarantine import Care
from samphiredock.coordination._quarantine import Quarantine
from samphiredock.coordination._quarantine import QUARANTINE_PREFIX
from samphiredock.coordination._replicas import Replicas
from samphiredock.coordination._run_once import Runner
from samphiredock.coordination._scatter import Scatter
from samphiredock.coordination._scatter_types import DropAttempts
from samphiredock.coordination._scatter_types import Finish
from samphiredock.coordination._scatter_types import SendAttempts
from samphiredock.coordination._scatter_types import Tools
from samphiredock.coordination._snapshot_door import SnapshotDoor
from samphiredock.coordination._spread import CONFIGURATION_KEY
from samphiredock.coordination._spread import follow_knowledge
from samphiredock.coordination._spread import Knowledge
from samphiredock.coordination._spread import ObjectHandler
from samphiredock.coordination._spread import SNAPSHOT_KEY
from samphiredock.coordination._spread import Watcher
from samphiredock.coordination._suspects import Suspects

__all__ = [
    'Admission',
    'CONFIGURATION_KEY',
    'Care',
    'Coordinator',
    'Dispatcher',
    'DropAttempts',
    'ExtraBudget',
    'Finish',
    'Heartbeat',
    'Knowledge',
    'KnownContents',
    'Lane',
    'Latencies',
    'MEMBERS_PREFIX',
    'Membership',
    'ObjectHandler',
    'Plan',
    'QUARANTINE_PREFIX',
    'Quarantine',
    'Replicas',
    'Runner',
    'SNAPSHOT_KEY',
    'Scatter',
    'SendAttempts',
    'SnapshotDoor',
    'StartExchange',
    'Suspects',
    'Tools',
    'Watcher',
    'Work',
    'covered_keys',
    'covers',
    'fingerprint_of',
    'follow_knowledge',
    'is_within',
    'make_plan',
    'merge_records',
    'missing_ranges',
    'owner_of',
    'union_of',
]
