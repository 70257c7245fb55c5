"""What is in force: accepted, watched, told on, kept."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_accept': ('Acceptor',),
        '_knowledge': (
            'CONFIGURATION_KEY',
            'Knowledge',
        ),
        '_snapshot_door': ('SnapshotDoor',),
        '_spread': (
            'Spread',
            'follow_knowledge',
        ),
        '_watcher': ('Watcher',),
    },
)
