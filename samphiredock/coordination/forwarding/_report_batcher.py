"""When the parts of an order are reported, and which of them as one.

A pure object: ends of attempts and the time go in, reports come out.
Failures are reported at once, since the search asks another target then.
Parts wait until all are in or the time to gather is over, and are merged;
what comes later is reported one by one.  So a shard is in at most one merged
part of a search, as only first attempts are gathered: a part of it that
another target gave can always give way, though a merged part cannot be taken
apart.  And since the search keeps each merged part, later ones are cut to the
records that are greater than the least of it.
"""

import dataclasses

from samphiredock.coordination.forwarding import _route_plans
from samphiredock import protocol
from samphiredock import state


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What a target gave to one attempt."""

    number: int
    receipt: str
    took_ms: float
    body: bytes


class ReportBatcher:
    """The attempts of one order that have not been reported.

    Parameters
    ----------
    order
        What is asked, and for how long its parts are gathered.
    """

    def __init__(self, order: protocol.MergeOrder) -> None:
        self._top = order.top
        self._floor = order.floor
        self._open = {item.number for item in order.items}
        self._parts: list[Part] = []
        self._is_gathering = order.gather_ms > 0.0

    def is_done(self) -> bool:
        """Whether every attempt has been reported."""
        return not self._open and not self._parts

    def on_part(self, part: Part) -> protocol.MergeReport | None:
        """Take a part in; return what to report now, if anything."""
        self._open.discard(part.number)
        self._parts.append(part)
        if self._is_gathering and self._open:
            return None
        return self._report((), is_late=False)

    def on_failure(self, ended: protocol.EndedItem) -> protocol.MergeReport:
        """Return the report of an attempt that gave no part."""
        self._open.discard(ended.number)
        if self._is_gathering and self._open:
            return protocol.MergeReport(ended=(ended,))
        return self._report((ended,), is_late=False)

    def on_gather_timeout(self) -> protocol.MergeReport | None:
        """The time to gather is over; None if all has been reported."""
        if not self._is_gathering or self.is_done():
            return None
        self._is_gathering = False
        return self._report((), is_late=True)

    def _report(
        self, ended: tuple[protocol.EndedItem, ...], is_late: bool
    ) -> protocol.MergeReport:
        held, self._parts = self._parts, []
        records = _route_plans.merge_parts(
            [part.body for part in held], self._top, self._floor
        )
        if len(records) == self._top * state.RECORD_BYTES:
            # What a later part has below these cannot be in the answer.
            self._floor = records[-state.RECORD_BYTES :]
        return protocol.MergeReport(
            tuple(
                protocol.MergedItem(
                    part.number, part.receipt, round(part.took_ms * 1000.0)
                )
                for part in held
            ),
            ended,
            records,
            is_late,
        )
