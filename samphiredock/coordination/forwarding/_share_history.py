"""Which share of the retry slack a daemon may use, and who should have one.

The daemons that share the slack, the sharers, are listed in one object of the
store, and each has an equal share.  For every moment there is one version of
the list that limits all of them, whatever they have read since:

- Every version lasts at least ``LEASE_MS`` (see :class:`SharerPolicy`), and a
  daemon uses its share only while its last read is not older than that.  So it
  has read every version up to that long ago.
- It uses the smallest share of all versions that it has read in the last lease
  and ``settle_ms``, which is the window and the longest transit of an extra
  request.  So the extra requests in any window are limited by the version that
  was current one lease before the first of them was sent.
- A daemon that has not followed the list without a gap uses nothing for
  ``settle_ms``.  Others may still act on the version before the one that it
  reads first, so that one, which the list names, limits its share too.
- A store that has lost writes (a new era) may show an older list, and give
  the same version numbers again.  No read of an earlier era counts any more.
  Others may still act on a list that is lost, so a list that was not written
  in the era in which it is read gives no share until they have lapsed.
"""

import dataclasses
import typing

LEASE_MS = 12_000.0
"""How long a read of the list allows to use a share, counted from before the
read was sent."""

REMOVE_AFTER_MS = 15_000.0
"""How long a sharer must not coordinate before it is taken off the list.  As
long as it is on it, the others have smaller shares."""

START_MS = 4_000.0
"""How long after its start a daemon may see that no list exists yet, if the
system starts for the first time.  No extra requests were sent before, so the
shares of the first list need not settle.  They are used after a read that was
sent when all daemons had passed this time: had the store lost a first list
before, this read would have shown the new era."""

_START_SKEW_MS = 1_000.0
"""How much earlier than others a daemon may start."""

STABLE_MS = 1_500.0
"""How long the known coordinators must not have changed before they are added
to the list.  Daemons that start together learn of each other meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharerList:
    """One version of the list of sharers.

    ``version`` is the store's, ``generation`` counts the writes; both are 0 if
    there is no list.  ``before`` are the names of the version before this one,
    ``era`` is the store's when it was written.
    """

    version: int = 0
    generation: int = 0
    names: tuple[str, ...] = ()
    before: tuple[str, ...] = ()
    era: int = 0


def share_of(name: str, sharers: tuple[str, ...]) -> float:
    """Return the share of a daemon, 0 to 1."""
    return 1.0 / len(sharers) if name in sharers else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A read of the list: when it was sent and answered, and by which era."""

    sent_ms: float
    received_ms: float
    era: int
    sharers: SharerList


class ShareHistory:
    """The reads of one daemon, and the share that they allow it to use.

    Parameters
    ----------
    name
        This daemon.
    settle_ms
        Returns the length of a window and the longest transit together.
    is_first_start
        Whether the whole system starts for the first time.
    started_ms
        When this process started.
    """

    def __init__(
        self,
        name: str,
        settle_ms: typing.Callable[[], float],
        is_first_start: bool,
        started_ms: float,
    ) -> None:
        self._name = name
        self._settle_ms = settle_ms
        self._first_until_ms = started_ms + START_MS
        self._is_first_start = is_first_start
        self._last: Reading | None = None
        self._followed_since_ms = 0.0
        # Since when each share was held, the oldest first.
        self._shares: list[tuple[float, float]] = []
        self._has_seen_no_list = False
        self._has_first_list = False

    @property
    def sharers(self) -> SharerList:
        """The list that was read last."""
        return self._last.sharers if self._last else SharerList()

    def on_read(self, reading: Reading) -> None:
        """Take in a read of the list."""
        sharers = reading.sharers
        if self._last is None or self._has_gap(self._last, reading):
            self._followed_since_ms = reading.received_ms
            self._shares = [(reading.received_ms, self._share_before(reading))]
            self._has_first_list = False
            self._has_seen_no_list = (
                self._is_first_start
                and self._last is None
                and not sharers.generation
                and reading.received_ms <= self._first_until_ms
            )
        share = share_of(self._name, sharers.names)
        if sharers.generation and self._has_seen_no_list:
            # Before the first list nobody had a share.
            self._has_seen_no_list = False
            self._has_first_list = sharers.generation == 1
            self._shares.clear()
        if not self._shares or self._shares[-1][1] != share:
            self._shares.append((reading.received_ms, share))
        self._last = reading

    def _share_before(self, reading: Reading) -> float:
        """Return the share in the version before the one that is read."""
        sharers = reading.sharers
        if sharers.era != reading.era:
            return 0.0
        return share_of(self._name, sharers.before)

    def _has_gap(self, last: Reading, reading: Reading) -> bool:
        """Return whether a version may have come and gone unread."""
        if reading.era != last.era:
            return True
        if reading.sharers.version == last.sharers.version:
            return False
        return reading.received_ms - last.sent_ms > LEASE_MS

    def share(self, now_ms: float, era: int) -> float:
        """Return the share of the slack that may be used now, 0 to 1.

        ``era`` is the newest era that the store has shown in any reply.
        """
        last = self._last
        if last is None or era != last.era:
            return 0.0
        if now_ms - last.sent_ms > LEASE_MS:
            return 0.0
        settled_ms = now_ms - self._settle_ms()
        lapsed_ms = settled_ms - LEASE_MS
        while len(self._shares) > 1 and self._shares[1][0] <= lapsed_ms:
            self._shares.pop(0)
        has_settled = self._followed_since_ms <= settled_ms
        is_first = (
            self._has_first_list
            and last.sent_ms >= self._first_until_ms + _START_SKEW_MS
        )
        if not has_settled and not is_first:
            return 0.0
        return min(share for _, share in self._shares)


class SharerPolicy:
    """Decides when a daemon writes a new version of the list.

    Parameters
    ----------
    name
        This daemon.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._version: tuple[int, int] | None = None
        self._version_since_ms = 0.0
        self._idle_since_ms: dict[str, float] = {}
        self._coordinators: typing.AbstractSet[str] = frozenset()
        self._stable_since_ms = 0.0

    def next_names(
        self,
        reading: Reading,
        coordinators: typing.AbstractSet[str],
        now_ms: float,
    ) -> tuple[str, ...] | None:
        """Return the names to write, None to leave the list as it is.

        Parameters
        ----------
        reading
            The last read of the list.
        coordinators
            The daemons that coordinate, as known here.
        now_ms
            The current time, not before the read was answered.
        """
        if coordinators != self._coordinators:
            self._coordinators = frozenset(coordinators)
            self._stable_since_ms = now_ms
        names = set(reading.sharers.names)
        self._idle_since_ms = {
            name: self._idle_since_ms.get(name, now_ms)
            for name in names - coordinators
        }
        idle = {
            name
            for name, since_ms in self._idle_since_ms.items()
            if now_ms - since_ms >= REMOVE_AFTER_MS
        }
        era_and_version = (reading.era, reading.sharers.version)
        if era_and_version != self._version:
            self._version = era_and_version
            self._version_since_ms = reading.received_ms
        if self._name not in coordinators:
            return None
        wanted = names - idle
        is_stable = now_ms - self._stable_since_ms >= STABLE_MS
        if self._name not in names and is_stable:
            wanted |= coordinators
        version = reading.sharers.version
        is_outdated = bool(version) and reading.sharers.era != reading.era
        if wanted == names and not is_outdated:
            return None
        lasted_ms = now_ms - self._version_since_ms
        if version and lasted_ms < LEASE_MS:
            return None
        return tuple(sorted(wanted))
