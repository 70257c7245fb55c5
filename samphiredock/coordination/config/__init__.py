"""Accepts, watches, distributes and holds the configuration in force."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_accept': ('Acceptor',),
        '_current_state': (
            'CONFIGURATION_KEY',
            'CurrentState',
        ),
        '_snapshot_validator': ('SnapshotValidator',),
        '_distribution': (
            'ObjectDistribution',
            'follow_configuration',
        ),
        '_watcher': ('Watcher',),
    },
)
