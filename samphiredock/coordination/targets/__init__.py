"""Dispatching to targets: queues, slots, health, draining, retry budget."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_budget': ('RetryBudget',),
        '_dispatcher': ('Dispatcher',),
        '_replica_selector': ('ReplicaSelector',),
        '_target_signs': (
            'TARGETS_PREFIX',
            'TargetSigns',
        ),
    },
)
