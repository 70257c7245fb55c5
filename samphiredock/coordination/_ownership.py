"""Which daemon dispatches for which target.

Ownership is an optimisation: it gives a target one queue and one counter
of slots.  Two daemons may disagree for a few seconds after a change of
membership, so no promise rests on it.
"""

import typing

import xxhash

from samphiredock import state


def owner_of(
    target: state.Target,
    members: typing.Iterable[state.Member],
    sites: typing.Mapping[str, state.Site],
) -> str | None:
    """Return the member that dispatches for ``target``, None if none lives.

    Rendezvous hashing over the live daemons of the target's site, or of
    its region, or of all, so that a leaving daemon moves only its own.
    """
    live = list(members)
    home = sites.get(target.site)
    region = home.region if home else ''
    nearest = (
        [member for member in live if member.site == target.site]
        or [member for member in live if member.region == region]
        or live
    )
    if not nearest:
        return None
    best = max(nearest, key=lambda member: _weight(target.name, member.name))
    return best.name


def _weight(group: str, member: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f'{group}/{member}'.encode()), member
