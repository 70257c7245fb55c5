"""Weighted fair queueing of one target's jobs over sites and services.

Start-time fair queueing on two levels: first the site with the lowest start
tag, then the service within it.  The share of an idle site goes to the
others; when it has jobs again, they overtake what the others have queued.
"""

import collections
import dataclasses
import math
import typing

from samphiredock import state

_MIN_WEIGHT = 0.001
_CAP_BURST_MS = 50.0


class Flow(typing.NamedTuple):
    """A service and the entry site that its requests came in at."""

    service: str
    site: str


class QueueItem(typing.Protocol):
    """What the queue needs of its items."""

    @property
    def flow(self) -> Flow:
        """The service and entry site of the item."""

    @property
    def expires_at_ms(self) -> float:
        """When the answer comes too late to be used."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """Weights and caps of sites and services, as fractions of 1.0.

    Weights divide one target's throughput; caps bound the fraction of its
    slot time that a site or service may use.  A missing site or service gets
    the minimum weight; a missing cap is 1.0, which is no bound.
    """

    site_shares: typing.Mapping[str, float]
    site_caps: typing.Mapping[str, float]
    service_weights: typing.Mapping[str, float]
    service_caps: typing.Mapping[Flow, float]


NO_SHARES = Shares({}, {}, {}, {})


def shares_of(configuration: state.Configuration) -> Shares:
    """Return the weights and caps of a configuration."""
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
    """A leaky bucket of used slot time that leaks at the capped rate."""

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
        return self._at_ms + over_ms / max(self._rate, _MIN_WEIGHT)


class _FlowQueue:
    """The queue of one flow."""

    def __init__(self, weight: float, meter: _CapMeter) -> None:
        self.items: collections.deque[typing.Any] = collections.deque()
        self.weight = max(weight, _MIN_WEIGHT)
        self.meter = meter
        self.start_tag = 0.0


class _SiteQueue:
    """The queues of one site's services."""

    def __init__(self, weight: float, meter: _CapMeter) -> None:
        self.flow_queues: dict[str, _FlowQueue] = {}
        self.weight = max(weight, _MIN_WEIGHT)
        self.meter = meter
        self.start_tag = 0.0
        self.virtual_time = 0.0
        self.backlog = 0


class FairQueue:
    """The bounded queue of one target.

    Parameters
    ----------
    limit
        Maximum number of items.
    slots
        The target's slots; caps are fractions of their time.
    shares
        Weights and caps.
    """

    def __init__(self, limit: int, slots: int, shares: Shares) -> None:
        self._limit = limit
        self._slots = slots
        self._shares = shares
        self._sites: dict[str, _SiteQueue] = {}
        self._virtual_time = 0.0
        self._size = 0
        self.capped_until_ms: float | None = None

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Whether another item would exceed the limit."""
        return self._size >= self._limit

    def push(self, item: QueueItem) -> None:
        """Append an item; the caller must have checked :attr:`is_full`."""
        flow = item.flow
        site = self._site(flow.site)
        flow_queue = self._flow_queue(site, flow)
        # An idle site or flow gets no credit for the time it was idle.
        if not site.backlog:
            site.start_tag = max(site.start_tag, self._virtual_time)
        if not flow_queue.items:
            flow_queue.start_tag = max(flow_queue.start_tag, site.virtual_time)
        flow_queue.items.append(item)
        site.backlog += 1
        self._size += 1

    def head(self, now_ms: float) -> typing.Any | None:
        """Return the next item, None if there is none or caps forbid all.

        In the latter case ``capped_until_ms`` is when the first cap allows
        an item again.
        """
        self.capped_until_ms = None
        waiting = [site for site in self._sites.values() if site.backlog]
        while waiting:
            site = min(waiting, key=_start_tag)
            flow_queue = self._next_flow_queue(site, now_ms)
            if flow_queue is not None:
                return flow_queue.items[0]
            waiting.remove(site)
        return None

    def take(self, item: QueueItem) -> None:
        """Remove the item that :meth:`head` returned; advance the tags."""
        site = self._sites[item.flow.site]
        flow_queue = site.flow_queues[item.flow.service]
        flow_queue.items.popleft()
        self._virtual_time = site.start_tag
        site.virtual_time = flow_queue.start_tag
        site.start_tag += 1.0 / site.weight
        flow_queue.start_tag += 1.0 / flow_queue.weight
        site.backlog -= 1
        self._size -= 1

    def charge(self, flow: Flow, busy_ms: float, now_ms: float) -> None:
        """Count slot time used by a flow against its site's and own cap."""
        site = self._site(flow.site)
        site.meter.charge(busy_ms, now_ms)
        self._flow_queue(site, flow).meter.charge(busy_ms, now_ms)

    def remove(self, item: QueueItem) -> None:
        """Remove a queued item without serving it."""
        site = self._sites[item.flow.site]
        site.flow_queues[item.flow.service].items.remove(item)
        site.backlog -= 1
        self._size -= 1

    def items(self) -> list[typing.Any]:
        """Return every item, in no particular order."""
        return [
            item
            for site in self._sites.values()
            for flow_queue in site.flow_queues.values()
            for item in flow_queue.items
        ]

    def victim(
        self, newcomer: QueueItem, expires_before_ms: float
    ) -> typing.Any | None:
        """Return the item to drop for ``newcomer``, None to refuse it.

        It is taken from the flow that is most beyond its guaranteed part of
        the limit, so that a flooding site displaces only its own items.
        Within that flow it is the oldest item that expires before
        ``expires_before_ms``, else the newest.
        """
        fullest, excess = newcomer.flow, self._excess(newcomer.flow, 1)
        for site_name, site in self._sites.items():
            for service in site.flow_queues:
                flow = Flow(service, site_name)
                excess_here = self._excess(flow, int(flow == newcomer.flow))
                if excess_here > excess:
                    fullest, excess = flow, excess_here
        items = self._sites[fullest.site].flow_queues[fullest.service].items
        for item in items:
            if item.expires_at_ms <= expires_before_ms:
                return item
        return None if fullest == newcomer.flow else items[-1]

    def _excess(self, flow: Flow, added: int) -> float:
        site = self._site(flow.site)
        flow_queue = self._flow_queue(site, flow)
        total_sites = sum(row.weight for row in self._sites.values())
        total_flows = sum(row.weight for row in site.flow_queues.values())
        guaranteed_share = (
            site.weight / total_sites * flow_queue.weight / total_flows
        )
        return len(flow_queue.items) + added - guaranteed_share * self._limit

    def _next_flow_queue(
        self, site: _SiteQueue, now_ms: float
    ) -> _FlowQueue | None:
        if not self._is_under_cap(site.meter, now_ms):
            return None
        waiting = [
            flow_queue
            for flow_queue in site.flow_queues.values()
            if flow_queue.items
        ]
        while waiting:
            flow_queue = min(waiting, key=_start_tag)
            if self._is_under_cap(flow_queue.meter, now_ms):
                return flow_queue
            waiting.remove(flow_queue)
        return None

    def _is_under_cap(self, meter: _CapMeter, now_ms: float) -> bool:
        ready_at_ms = meter.ready_at_ms()
        if ready_at_ms <= now_ms:
            return True
        if self.capped_until_ms is None or ready_at_ms < self.capped_until_ms:
            self.capped_until_ms = ready_at_ms
        return False

    def _site(self, name: str) -> _SiteQueue:
        site = self._sites.get(name)
        if site is None:
            shares = self._shares
            cap = shares.site_caps.get(name, 1.0)
            site = _SiteQueue(
                shares.site_shares.get(name, _MIN_WEIGHT),
                _CapMeter(cap, self._slots),
            )
            self._sites[name] = site
        return site

    def _flow_queue(self, site: _SiteQueue, flow: Flow) -> _FlowQueue:
        flow_queue = site.flow_queues.get(flow.service)
        if flow_queue is None:
            shares = self._shares
            cap = shares.service_caps.get(flow, 1.0)
            flow_queue = _FlowQueue(
                shares.service_weights.get(flow.service, _MIN_WEIGHT),
                _CapMeter(cap, self._slots),
            )
            site.flow_queues[flow.service] = flow_queue
        return flow_queue


def _start_tag(row: _SiteQueue | _FlowQueue) -> float:
    return row.start_tag
