"""Weighted fair queueing of one target's work over sites and services.

Start-time fair queueing on two levels: first the site with the least
virtual time, then within it the service.  A site that is alone gets
everything (its share is lent); when another one returns, its next item
overtakes whatever the borrower has queued.
"""

import collections
import dataclasses
import math
import typing

from samphiredock import state

_LEAST_WEIGHT = 0.001
_CAP_BURST_MS = 50.0


class Flow(typing.NamedTuple):
    """Whose work it is: a service's, at one entry site."""

    service: str
    site: str


class Queued(typing.Protocol):
    """What the queue reads of its items."""

    @property
    def flow(self) -> Flow:
        """Whose work it is."""

    @property
    def expires_at_ms(self) -> float:
        """When the answer is of no more use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Weights and caps, as parts of one target's slot time.

    A missing site or service gets the least weight; a missing cap is 1.0.
    """

    site_shares: typing.Mapping[str, float]
    site_caps: typing.Mapping[str, float]
    service_weights: typing.Mapping[str, float]
    service_caps: typing.Mapping[Flow, float]


NO_SHARES = Shares({}, {}, {}, {})


def shares_of(configuration: state.Configuration) -> Shares:
    """Return the shares that a configuration gives."""
    sites = configuration.sites.values()
    return Shares(
        {site.name: site.share for site in sites},
        {site.name: site.share_cap for site in sites},
        {row.name: row.weight for row in configuration.services.values()},
        {
            Flow(service, site.name): cap
            for site in sites
            for service, cap in site.service_caps.items()
        },
    )


class _CapMeter:
    """A leaky bucket of slot time: it leaks at the capped rate."""

    def __init__(self, cap: float, slots: int) -> None:
        self._rate = cap * slots if cap < 1.0 else math.inf
        self._level_ms = 0.0
        self._at_ms = 0.0

    def charge(self, busy_ms: float, now_ms: float) -> None:
        if self._rate == math.inf:
            return
        leaked_ms = (now_ms - self._at_ms) * self._rate
        self._level_ms = max(0.0, self._level_ms - leaked_ms) + busy_ms
        self._at_ms = now_ms

    def ready_at_ms(self) -> float:
        over_ms = self._level_ms - _CAP_BURST_MS
        if over_ms <= 0.0 or self._rate == math.inf:
            return 0.0
        return self._at_ms + over_ms / max(self._rate, _LEAST_WEIGHT)


class _Line:
    """The queue of one flow."""

    def __init__(self, weight: float, meter: _CapMeter) -> None:
        self.items: collections.deque[typing.Any] = collections.deque()
        self.weight = max(weight, _LEAST_WEIGHT)
        self.meter = meter
        self.tag = 0.0


class _SiteLines:
    """The lines of one site."""

    def __init__(self, weight: float, meter: _CapMeter) -> None:
        self.lines: dict[str, _Line] = {}
        self.weight = max(weight, _LEAST_WEIGHT)
        self.meter = meter
        self.tag = 0.0
        self.virtual = 0.0
        self.backlog = 0


class FairQueue:
    """The bounded queue of one target.

    Parameters
    ----------
    limit
        Most items in all lines together.
    slots
        The target's slots, for the caps.
    shares
        Weights and caps.
    """

    def __init__(self, limit: int, slots: int, shares: Shares) -> None:
        self._limit = limit
        self._slots = slots
        self._shares = shares
        self._sites: dict[str, _SiteLines] = {}
        self._virtual = 0.0
        self._size = 0
        self.capped_until_ms: float | None = None

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether a further item would exceed the bound."""
        return self._size >= self._limit

    def push(self, item: Queued) -> None:
        """Append to the item's own line; the caller saw to the bound."""
        flow = item.flow
        site = self._site(flow.site)
        line = self._line(site, flow)
        # An idle line gets no credit for the time it asked for nothing.
        if not site.backlog:
            site.tag = max(site.tag, self._virtual)
        if not line.items:
            line.tag = max(line.tag, site.virtual)
        line.items.append(item)
        site.backlog += 1
        self._size += 1

    def head(self, now_ms: float) -> typing.Any | None:
        """Return the item whose turn it is, None if none may go now.

        ``capped_until_ms`` is then when a capped line may go again.
        """
        self.capped_until_ms = None
        waiting = [site for site in self._sites.values() if site.backlog]
        while waiting:
            site = min(waiting, key=_tag)
            line = self._next_line(site, now_ms)
            if line is not None:
                return line.items[0]
            waiting.remove(site)
        return None

    def take(self, item: Queued) -> None:
        """Remove the item that :meth:`head` gave and charge its line."""
        site = self._sites[item.flow.site]
        line = site.lines[item.flow.service]
        line.items.popleft()
        self._virtual = site.tag
        site.virtual = line.tag
        site.tag += 1.0 / site.weight
        line.tag += 1.0 / line.weight
        site.backlog -= 1
        self._size -= 1

    def charge(self, flow: Flow, busy_ms: float, now_ms: float) -> None:
        """Count slot time that a flow used against its caps."""
        site = self._site(flow.site)
        site.meter.charge(busy_ms, now_ms)
        self._line(site, flow).meter.charge(busy_ms, now_ms)

    def remove(self, item: Queued) -> None:
        """Remove an item that nobody wants any more."""
        site = self._sites[item.flow.site]
        site.lines[item.flow.service].items.remove(item)
        site.backlog -= 1
        self._size -= 1

    def items(self) -> list[typing.Any]:
        """Return every item, in no particular order."""
        return [
            item
            for site in self._sites.values()
            for line in site.lines.values()
            for item in line.items
        ]

    def victim(
        self, newcomer: Queued, useless_before_ms: float
    ) -> typing.Any | None:
        """Return what to drop so that ``newcomer`` fits, None for itself.

        The line that is most beyond its guaranteed places gives way, so a
        flooding site only ever fills its own.  Within it the oldest item
        that can no longer be of use goes first.
        """
        fullest, excess = newcomer.flow, self._excess(newcomer.flow, 1)
        for site_name, site in self._sites.items():
            for service in site.lines:
                flow = Flow(service, site_name)
                over = self._excess(flow, int(flow == newcomer.flow))
                if over > excess:
                    fullest, excess = flow, over
        items = self._sites[fullest.site].lines[fullest.service].items
        for item in items:
            if item.expires_at_ms <= useless_before_ms:
                return item
        return None if fullest == newcomer.flow else items[-1]

    def _excess(self, flow: Flow, more: int) -> float:
        site = self._site(flow.site)
        line = self._line(site, flow)
        sites = sum(row.weight for row in self._sites.values())
        lines = sum(row.weight for row in site.lines.values())
        part = site.weight / sites * line.weight / lines
        return len(line.items) + more - part * self._limit

    def _next_line(self, site: _SiteLines, now_ms: float) -> _Line | None:
        if not self._may_go(site.meter, now_ms):
            return None
        waiting = [line for line in site.lines.values() if line.items]
        while waiting:
            line = min(waiting, key=_tag)
            if self._may_go(line.meter, now_ms):
                return line
            waiting.remove(line)
        return None

    def _may_go(self, meter: _CapMeter, now_ms: float) -> bool:
        ready_at_ms = meter.ready_at_ms()
        if ready_at_ms <= now_ms:
            return True
        if self.capped_until_ms is None or ready_at_ms < self.capped_until_ms:
            self.capped_until_ms = ready_at_ms
        return False

    def _site(self, name: str) -> _SiteLines:
        site = self._sites.get(name)
        if site is None:
            shares = self._shares
            cap = shares.site_caps.get(name, 1.0)
            site = _SiteLines(
                shares.site_shares.get(name, _LEAST_WEIGHT),
                _CapMeter(cap, self._slots),
            )
            self._sites[name] = site
        return site

    def _line(self, site: _SiteLines, flow: Flow) -> _Line:
        line = site.lines.get(flow.service)
        if line is None:
            shares = self._shares
            cap = shares.service_caps.get(flow, 1.0)
            line = _Line(
                shares.service_weights.get(flow.service, _LEAST_WEIGHT),
                _CapMeter(cap, self._slots),
            )
            site.lines[flow.service] = line
        return line


def _tag(row: _SiteLines | _Line) -> float:
    return row.tag
