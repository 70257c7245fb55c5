"""The decisions and the tasks that carry them out."""

from samphiredock.coordination._coordinator import Coordinator
from samphiredock.coordination._dispatcher import Dispatcher
from samphiredock.coordination._freshness import Freshness
from samphiredock.coordination._handover import Handover
from samphiredock.coordination._lane import Lane
from samphiredock.coordination._lane_types import StartExchange
from samphiredock.coordination._lane_types import Work
from samphiredock.coordination._membership import Heartbeat
from samphiredock.coordination._membership import MEMBERS_PREFIX
from samphiredock.coordination._membership import Membership
from samphiredock.coordination._merge import coverage_of
from samphiredock.coordination._merge import covered_ranges
from samphiredock.coordination._merge import merge_records
from samphiredock.coordination._merge import missing_ranges
from samphiredock.coordination._ownership import GROUP_SIZE
from samphiredock.coordination._ownership import owner_of
from samphiredock.coordination._ownership import OwnerChange
from samphiredock.coordination._ownership import owners_of
from samphiredock.coordination._ownership import ownership_groups
from samphiredock.coordination._ownership import OwnershipTable
from samphiredock.coordination._planner import fingerprint_of
from samphiredock.coordination._planner import make_plan
from samphiredock.coordination._planner import Plan
from samphiredock.coordination._run_once import Runner
from samphiredock.coordination._scatter import DropAttempts
from samphiredock.coordination._scatter import Finish
from samphiredock.coordination._scatter import Scatter
from samphiredock.coordination._scatter import SendAttempts
from samphiredock.coordination._shares import FairQueue
from samphiredock.coordination._shares import Flow
from samphiredock.coordination._shares import NO_SHARES
from samphiredock.coordination._shares import Shares
from samphiredock.coordination._shares import shares_of
from samphiredock.coordination._spread import CONFIGURATION_KEY
from samphiredock.coordination._spread import follow_knowledge
from samphiredock.coordination._spread import Knowledge
from samphiredock.coordination._spread import ObjectHandler
from samphiredock.coordination._spread import SNAPSHOT_KEY
from samphiredock.coordination._spread import Watcher
from samphiredock.coordination._target_record import TARGET_STATES
from samphiredock.coordination._target_record import TARGET_TRANSITIONS
from samphiredock.coordination._target_record import TargetRecord
from samphiredock.coordination._target_signs import SignSource
from samphiredock.coordination._target_signs import TargetObject
from samphiredock.coordination._target_signs import TARGETS_PREFIX
from samphiredock.coordination._target_signs import TargetSigns

__all__ = [
    'CONFIGURATION_KEY',
    'Coordinator',
    'Dispatcher',
    'DropAttempts',
    'FairQueue',
    'Finish',
    'Flow',
    'Freshness',
    'GROUP_SIZE',
    'Handover',
    'Heartbeat',
    'Knowledge',
    'Lane',
    'MEMBERS_PREFIX',
    'Membership',
    'NO_SHARES',
    'ObjectHandler',
    'OwnerChange',
    'OwnershipTable',
    'Plan',
    'Runner',
    'SNAPSHOT_KEY',
    'Scatter',
    'SendAttempts',
    'Shares',
    'SignSource',
    'StartExchange',
    'TARGETS_PREFIX',
    'TARGET_STATES',
    'TARGET_TRANSITIONS',
    'TargetObject',
    'TargetRecord',
    'TargetSigns',
    'Watcher',
    'Work',
    'coverage_of',
    'covered_ranges',
    'fingerprint_of',
    'follow_knowledge',
    'make_plan',
    'merge_records',
    'missing_ranges',
    'owner_of',
    'owners_of',
    'ownership_groups',
    'shares_of',
]
