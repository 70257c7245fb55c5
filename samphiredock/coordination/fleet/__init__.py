"""The daemons: who lives, who owns which target, how news spread."""

from samphiredock.coordination.fleet._member_table import MemberTable
from samphiredock.coordination.fleet._member_table import row_of
from samphiredock.coordination.fleet._membership import Membership
from samphiredock.coordination.fleet._ownership import owner_of
from samphiredock.coordination.fleet._ownership import owners_of
from samphiredock.coordination.fleet._ownership import ownership_groups
from samphiredock.coordination.fleet._ownership import OwnershipTable

__all__ = [
    'MemberTable',
    'Membership',
    'OwnershipTable',
    'owner_of',
    'owners_of',
    'ownership_groups',
    'row_of',
]
