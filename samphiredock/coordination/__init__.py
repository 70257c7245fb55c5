"""The decisions and the tasks that carry them out."""

from samphiredock.coordination._accept import Acceptor
from samphiredock.coordination._accept import RECENT_CHANGES
from samphiredock.coordination._accept import Standing
from samphiredock.coordination._accept import standing_of
from samphiredock.coordination._admission import Admission
from samphiredock.coordination._budget import ExtraBudget
from samphiredock.coordination._canary import KnownContents
from samphiredock.coordination._canary import Verdicts
from samphiredock.coordination._claim_book import ClaimBook
from samphiredock.coordination._claim_book import OpenResult
from samphiredock.coordination._claim_bucket import BucketWriter
from samphiredock.coordination._claim_bucket import Change
from samphiredock.coordination._claim_bucket import CloseChange
from samphiredock.coordination._claim_bucket import FRESH_MS
from samphiredock.coordination._claim_bucket import OpenChange
from samphiredock.coordination._claim_bucket import READ_BACK_LIMIT
from samphiredock.coordination._claim_bucket import Unavailable
from samphiredock.coordination._claim_bucket import wait_until
from samphiredock.coordination._claim_health import PROBE_MS
from samphiredock.coordination._claim_health import StoreHealth
from samphiredock.coordination._claim_holders import ASK_PERIOD_MS
from samphiredock.coordination._claim_holders import Holders
from samphiredock.coordination._claim_holders import UNSETTLED_LIMIT
from samphiredock.coordination._coordinator import Coordinator
from samphiredock.coordination._directory import Directory
from samphiredock.coordination._directory import MEMBERS_PREFIX
from samphiredock.coordination._dispatcher import Dispatcher
from samphiredock.coordination._exchange import ObjectExchange
from samphiredock.coordination._exchanges import Answer
from samphiredock.coordination._exchanges import Exchanges
from samphiredock.coordination._exchanges import Post
from samphiredock.coordination._gossip import Gossip
from samphiredock.coordination._gossip import GOSSIP_MESSAGES
from samphiredock.coordination._gossip import health_of
from samphiredock.coordination._gossip import TICK_MS
from samphiredock.coordination._gossip_parts import Forgotten
from samphiredock.coordination._gossip_parts import GossipEffect
from samphiredock.coordination._gossip_parts import Learned
from samphiredock.coordination._gossip_parts import News
from samphiredock.coordination._gossip_parts import OpenProbe
from samphiredock.coordination._gossip_parts import PeerAnswered
from samphiredock.coordination._gossip_parts import PeerHolds
from samphiredock.coordination._gossip_parts import Probes
from samphiredock.coordination._gossip_parts import ResetPeer
from samphiredock.coordination._gossip_parts import SendTo
from samphiredock.coordination._handover import Handover
from samphiredock.coordination._handover import Lanes
from samphiredock.coordination._handover import longest_deadline_ms
from samphiredock.coordination._hedging import Latencies
from samphiredock.coordination._knowledge import CONFIGURATION_KEY
from samphiredock.coordination._knowledge import Knowledge
from samphiredock.coordination._knowledge import SNAPSHOT_KEY
from samphiredock.coordination._lane import Lane
from samphiredock.coordination._lane_types import Ending
from samphiredock.coordination._lane_types import StartExchange
from samphiredock.coordination._lane_types import Work
from samphiredock.coordination._member_table import bucket_of
from samphiredock.coordination._member_table import BUCKETS
from samphiredock.coordination._member_table import member_of
from samphiredock.coordination._member_table import MemberTable
from samphiredock.coordination._member_table import order_of
from samphiredock.coordination._member_table import row_of
from samphiredock.coordination._member_table import with_state
from samphiredock.coordination._membership import Membership
from samphiredock.coordination._membership import watchers_of
from samphiredock.coordination._merge import covered_keys
from samphiredock.coordination._merge import covers
from samphiredock.coordination._merge import is_within
from samphiredock.coordination._merge import merge_records
from samphiredock.coordination._merge import missing_ranges
from samphiredock.coordination._merge import union_of
from samphiredock.coordination._neighbours import COUNT
from samphiredock.coordination._neighbours import Neighbours
from samphiredock.coordination._outbox import Outbox
from samphiredock.coordination._outbox import Place
from samphiredock.coordination._ownership import GROUP_SIZE
from samphiredock.coordination._ownership import owner_of
from samphiredock.coordination._ownership import OwnerChange
from samphiredock.coordination._ownership import owners_of
from samphiredock.coordination._ownership import ownership_groups
from samphiredock.coordination._ownership import OwnershipTable
from samphiredock.coordination._pause import pause
from samphiredock.coordination._planner import fingerprint_of
from samphiredock.coordination._planner import make_plan
from samphiredock.coordination._planner import Plan
from samphiredock.coordination._quarantine import Care
from samphiredock.coordination._quarantine import Quarantine
from samphiredock.coordination._quarantine import QUARANTINE_PREFIX
from samphiredock.coordination._relay import children_of
from samphiredock.coordination._relay import DIRECT_LIMIT
from samphiredock.coordination._relay import FAN_OUT
from samphiredock.coordination._relay import PeerLinks
from samphiredock.coordination._relay import Relay
from samphiredock.coordination._relay import tree_of
from samphiredock.coordination._replicas import Replicas
from samphiredock.coordination._reports import Reports
from samphiredock.coordination._run_admission import Admitted
from samphiredock.coordination._run_admission import FUTURE_SKEW_MS
from samphiredock.coordination._run_admission import KEY_LIMIT_CHARS
from samphiredock.coordination._run_admission import stale_key
from samphiredock.coordination._run_claiming import Claiming
from samphiredock.coordination._run_once import DRAIN_LIMIT_MS
from samphiredock.coordination._run_once import Runner
from samphiredock.coordination._run_orders import CANCEL_WAIT_MS
from samphiredock.coordination._run_orders import is_final
from samphiredock.coordination._run_orders import LateReport
from samphiredock.coordination._run_orders import Orders
from samphiredock.coordination._run_orders import OUTSTANDING_LIMIT
from samphiredock.coordination._run_orders import proves_not_begun
from samphiredock.coordination._run_request import Endings
from samphiredock.coordination._run_request import key_reused
from samphiredock.coordination._run_request import NoQuarantine
from samphiredock.coordination._run_request import open_claim
from samphiredock.coordination._run_request import replayed
from samphiredock.coordination._run_request import RETRY_AFTER_MS
from samphiredock.coordination._run_request import Run
from samphiredock.coordination._run_request import RunQuarantine
from samphiredock.coordination._run_sending import CANCEL_MARGIN_LIMIT_MS
from samphiredock.coordination._run_sending import CANCEL_SHARE
from samphiredock.coordination._run_sending import Sending
from samphiredock.coordination._run_sending import TARGET_LIMIT
from samphiredock.coordination._run_states import MAY_ANSWER_NOT_RUN
from samphiredock.coordination._run_states import new_progress
from samphiredock.coordination._run_states import RunProgress
from samphiredock.coordination._run_states import RunState
from samphiredock.coordination._scatter import Scatter
from samphiredock.coordination._scatter_attempts import Attempts
from samphiredock.coordination._scatter_caution import Caution
from samphiredock.coordination._scatter_hedges import Hedges
from samphiredock.coordination._scatter_hedges import OpenTo
from samphiredock.coordination._scatter_judge import apply
from samphiredock.coordination._scatter_judge import judge
from samphiredock.coordination._scatter_judge import RETRY_RULES
from samphiredock.coordination._scatter_judge import RetryRule
from samphiredock.coordination._scatter_judge import Verdict
from samphiredock.coordination._scatter_restart import SnapshotWait
from samphiredock.coordination._scatter_round import Attempt
from samphiredock.coordination._scatter_round import needed_keys
from samphiredock.coordination._scatter_round import outcome_of
from samphiredock.coordination._scatter_round import refusal_of
from samphiredock.coordination._scatter_round import Round
from samphiredock.coordination._scatter_round import ShardState
from samphiredock.coordination._scatter_types import COUNTED
from samphiredock.coordination._scatter_types import DropAttempts
from samphiredock.coordination._scatter_types import Finish
from samphiredock.coordination._scatter_types import Routes
from samphiredock.coordination._scatter_types import SendAttempts
from samphiredock.coordination._scatter_types import Suspicions
from samphiredock.coordination._scatter_types import Tally
from samphiredock.coordination._scatter_types import Tools
from samphiredock.coordination._settling import Settling
from samphiredock.coordination._shares import FairQueue
from samphiredock.coordination._shares import Flow
from samphiredock.coordination._shares import NO_SHARES
from samphiredock.coordination._shares import Queued
from samphiredock.coordination._shares import Shares
from samphiredock.coordination._shares import shares_of
from samphiredock.coordination._snapshot_door import SnapshotDoor
from samphiredock.coordination._suspects import Case
from samphiredock.coordination._suspects import QUARANTINE_MS
from samphiredock.coordination._suspects import Suspects
from samphiredock.coordination._suspects import TRIAL_MS
from samphiredock.coordination._target_answers import failed_answer
from samphiredock.coordination._target_answers import LINK_STATUS
from samphiredock.coordination._target_answers import refusal_message
from samphiredock.coordination._target_answers import run_report
from samphiredock.coordination._target_answers import sub_answer
from samphiredock.coordination._target_answers import target_query
from samphiredock.coordination._target_answers import target_run
from samphiredock.coordination._target_answers import TARGET_STATUS
from samphiredock.coordination._target_record import TARGET_STATES
from samphiredock.coordination._target_record import TARGET_TRANSITIONS
from samphiredock.coordination._target_record import TargetRecord
from samphiredock.coordination._target_signs import SignSource
from samphiredock.coordination._target_signs import TargetObject
from samphiredock.coordination._target_signs import TARGETS_PREFIX
from samphiredock.coordination._target_signs import TargetSigns
from samphiredock.coordination._watcher import follow_knowledge
from samphiredock.coordination._watcher import ObjectHandler
from samphiredock.coordination._watcher import Spread
from samphiredock.coordination._watcher import Watcher
from samphiredock.coordination._watcher import WATCHERS_PER_SITE

__all__ = [
    'ASK_PERIOD_MS',
    'Acceptor',
    'Admission',
    'Admitted',
    'Answer',
    'Attempt',
    'Attempts',
    'BUCKETS',
    'BucketWriter',
    'CANCEL_MARGIN_LIMIT_MS',
    'CANCEL_SHARE',
    'CANCEL_WAIT_MS',
    'CONFIGURATION_KEY',
    'COUNT',
    'COUNTED',
    'Care',
    'Case',
    'Caution',
    'Change',
    'ClaimBook',
    'Claiming',
    'CloseChange',
    'Coordinator',
    'DIRECT_LIMIT',
    'DRAIN_LIMIT_MS',
    'Directory',
    'Dispatcher',
    'DropAttempts',
    'Ending',
    'Endings',
    'Exchanges',
    'ExtraBudget',
    'FAN_OUT',
    'FRESH_MS',
    'FUTURE_SKEW_MS',
    'FairQueue',
    'Finish',
    'Flow',
    'Forgotten',
    'GOSSIP_MESSAGES',
    'GROUP_SIZE',
    'Gossip',
    'GossipEffect',
    'Handover',
    'Hedges',
    'Holders',
    'KEY_LIMIT_CHARS',
    'Knowledge',
    'KnownContents',
    'LINK_STATUS',
    'Lane',
    'Lanes',
    'LateReport',
    'Latencies',
    'Learned',
    'MAY_ANSWER_NOT_RUN',
    'MEMBERS_PREFIX',
    'MemberTable',
    'Membership',
    'NO_SHARES',
    'Neighbours',
    'News',
    'NoQuarantine',
    'OUTSTANDING_LIMIT',
    'ObjectExchange',
    'ObjectHandler',
    'OpenChange',
    'OpenProbe',
    'OpenResult',
    'OpenTo',
    'Orders',
    'Outbox',
    'OwnerChange',
    'OwnershipTable',
    'PROBE_MS',
    'PeerAnswered',
    'PeerHolds',
    'PeerLinks',
    'Place',
    'Plan',
    'Post',
    'Probes',
    'QUARANTINE_MS',
    'QUARANTINE_PREFIX',
    'Quarantine',
    'Queued',
    'READ_BACK_LIMIT',
    'RECENT_CHANGES',
    'RETRY_AFTER_MS',
    'RETRY_RULES',
    'Relay',
    'Replicas',
    'Reports',
    'ResetPeer',
    'RetryRule',
    'Round',
    'Routes',
    'Run',
    'RunProgress',
    'RunQuarantine',
    'RunState',
    'Runner',
    'SNAPSHOT_KEY',
    'Scatter',
    'SendAttempts',
    'SendTo',
    'Sending',
    'Settling',
    'ShardState',
    'Shares',
    'SignSource',
    'SnapshotDoor',
    'SnapshotWait',
    'Spread',
    'Standing',
    'StartExchange',
    'StoreHealth',
    'Suspects',
    'Suspicions',
    'TARGETS_PREFIX',
    'TARGET_LIMIT',
    'TARGET_STATES',
    'TARGET_STATUS',
    'TARGET_TRANSITIONS',
    'TICK_MS',
    'TRIAL_MS',
    'Tally',
    'TargetObject',
    'TargetRecord',
    'TargetSigns',
    'Tools',
    'UNSETTLED_LIMIT',
    'Unavailable',
    'Verdict',
    'Verdicts',
    'WATCHERS_PER_SITE',
    'Watcher',
    'Work',
    'apply',
    'bucket_of',
    'children_of',
    'covered_keys',
    'covers',
    'failed_answer',
    'fingerprint_of',
    'follow_knowledge',
    'health_of',
    'is_final',
    'is_within',
    'judge',
    'key_reused',
    'longest_deadline_ms',
    'make_plan',
    'member_of',
    'merge_records',
    'missing_ranges',
    'needed_keys',
    'new_progress',
    'open_claim',
    'order_of',
    'outcome_of',
    'owner_of',
    'owners_of',
    'ownership_groups',
    'pause',
    'proves_not_begun',
    'refusal_message',
    'refusal_of',
    'replayed',
    'row_of',
    'run_report',
    'shares_of',
    'stale_key',
    'standing_of',
    'sub_answer',
    'target_query',
    'target_run',
    'tree_of',
    'union_of',
    'wait_until',
    'watchers_of',
    'with_state',
]
