"""Searches: admission, planning, scatter, hedges and merging."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_admission': ('Admission',),
        '_arrival': ('MAX_TRANSIT_MS',),
        '_coordinator': ('Coordinator',),
        '_hedging': ('Latencies',),
        '_planner': ('Plan',),
        '_scatter': ('Scatter',),
        '_scatter_types': (
            'DropAttempts',
            'ExtraAttempt',
            'SendAttempts',
            'ScatterContext',
        ),
    },
)
