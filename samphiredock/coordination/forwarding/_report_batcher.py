"""Decides when the results of a merge order are reported, and which together.

Performs no I/O: results and timeouts go in, reports come out.  Failures are
reported at once, so that the coordinator can ask another target.  Parts are
held until all are in or the gather time is over, and are then merged; later
parts are reported one by one.

Only first attempts are gathered, so a shard is in at most one merged part of a
search.  A merged part cannot be taken apart, but a part of the same shard from
another target can always be discarded in its favour.  The coordinator keeps
every merged part, so later parts are cut to the records greater than its least
one.  It may discard a part that is reported alone, so such a part never cuts
others.
"""

import dataclasses

from samphiredock.coordination.forwarding import _route_plans
from samphiredock import protocol
from samphiredock import state


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """The answer of one target: its receipt and records.

    ``number`` is that of the ordered item.
    """

    number: int
    receipt: str
    took_ms: float
    body: bytes


class ReportBatcher:
    """Holds the results of one order until they are reported.

    Parameters
    ----------
    order
        The order: its attempts, and how long parts are gathered.
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
        """Add a part; return the report to send now, if any."""
        self._open.discard(part.number)
        self._parts.append(part)
        if self._is_gathering and self._open:
            return None
        return self._report((), is_late=False)

    def on_failure(self, ended: protocol.EndedItem) -> protocol.MergeReport:
        """Return the report of a failed attempt."""
        self._open.discard(ended.number)
        if self._is_gathering and self._open:
            return protocol.MergeReport(ended=(ended,))
        return self._report((ended,), is_late=False)

    def on_gather_timeout(self) -> protocol.MergeReport | None:
        """End the gathering; return the report of the parts so far.

        None if the order does not gather or all has been reported.
        """
        if not self._is_gathering or self.is_done():
            return None
        self._is_gathering = False
        report = self._report((), is_late=True)
        if report.merged:
            self._raise_floor(report.records)
        return report

    def _report(
        self, ended: tuple[protocol.EndedItem, ...], is_late: bool
    ) -> protocol.MergeReport:
        held, self._parts = self._parts, []
        records = _route_plans.merge_parts(
            [part.body for part in held], self._top, self._floor
        )
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

    def _raise_floor(self, merged_records: bytes) -> None:
        """Cut later parts to the records that can still be in the answer."""
        if len(merged_records) == self._top * state.RECORD_BYTES:
            self._floor = merged_records[-state.RECORD_BYTES :]
