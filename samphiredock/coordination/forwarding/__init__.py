"""Requests that are passed on to targets unchanged, and merged."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_crash_guard': (
            'CrashGuard',
            'Loss',
            'fingerprint_of',
        ),
        '_forward_types': (
            'Dialect',
            'ForwardSettings',
            'Links',
        ),
        '_asking': ('TargetAsker',),
        '_flights': ('UnderWay',),
        '_forwarder': ('Forwarder',),
        '_handover': (
            'HandoverDialect',
            'HandoverRouting',
            'LOSS_PATH',
            'StaleHandoverDialect',
            'as_target',
            'coordinator_reply',
            'goes_elsewhere',
            'loss_notice',
            'read_handed_over',
            'read_loss',
            'refusal',
        ),
        '_introduce': (
            'INTRODUCTION_PATH',
            'introduce_every_ms',
            'introduction',
            'read_introduction',
            'successors',
        ),
        '_live_targets': ('LiveTargets',),
        '_null_crash_tracker': ('NullCrashTracker',),
        '_merger': ('Merger',),
        '_orders': (
            'ORDER_PATH',
            'Orders',
        ),
        '_presence': ('Presence',),
        '_roles': (
            'Daemon',
            'Role',
            'connections_of_one',
            'coordinators_of',
            'is_near',
        ),
        '_routing': ('RoutingKnowledge',),
        '_splitter': ('Splitter',),
        '_vouching': (
            'ASKED',
            'ASK_EVERY_MS',
            'QUESTION_PATH',
            'Vouch',
            'Vouching',
            'read_vouch',
            'vouch',
            'vouch_question',
        ),
        '_window_budget': ('WindowBudget',),
    },
)
