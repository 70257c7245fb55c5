"""Membership of the daemons, ownership of targets, relayed broadcasts."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_member_table': (
            'MemberTable',
            'row_of',
        ),
        '_membership': ('Membership',),
        '_ownership': (
            'OwnershipTable',
            'owner_of',
            'owners_of',
            'ownership_groups',
        ),
    },
)
