"""Refuses request contents that crash targets."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_crash_tracker': ('KnownContents',),
        '_quarantine': (
            'QUARANTINE_PREFIX',
            'Quarantine',
        ),
    },
)
