"""Loopback relays that inject network faults at targets and the store."""

import asyncio
import random

from standins import prepared_system
from standins import relay

_FAULTS = (
    'cut',
    'reset-old',
    'silence-old',
    'silence-all',
    'hold-requests',
    'hold-answers',
    'delay',
)


class Links:
    """One relay before each target, and one to the store for each daemon.

    Parameters
    ----------
    system
        The system whose connections pass through the relays.
    """

    def __init__(self, system: prepared_system.PreparedSystem) -> None:
        self._system = system
        self._targets: dict[str, relay.Route] = {}
        self._stores: dict[str, relay.Route] = {}
        self._restarting = asyncio.Lock()

    async def place_before_targets(self) -> None:
        """Start a relay before each target and register its address."""
        for name in self._system.targets:
            await self._place_before(name)

    async def _place_before(self, name: str) -> None:
        target = self._system.targets[name]
        port = int(target.address.rpartition(':')[2])
        self._targets[name] = relay.Route(name, 0, port)
        target.address = await self._targets[name].start()
        self._system.register(name)

    async def restart_target(self, name: str) -> None:
        """Restart a target and its relay; both get new addresses."""
        async with self._restarting:
            self._targets[name].stop()
            born = self._system.targets[name].born
            await self._system.restart_target(name, born)
            await self._place_before(name)

    async def place_before_store(self, daemon: str) -> str:
        """Start a daemon's relay to the store; return its address."""
        port = int(self._system.store_address.rpartition(':')[2])
        self._stores[daemon] = relay.Route(daemon, 0, port)
        return await self._stores[daemon].start()

    async def disturb_target(self, rng: random.Random, for_s: float) -> None:
        """Inject a random fault on the link to a random target."""
        route = self._targets[rng.choice(sorted(self._targets))]
        await _disturb(route, rng.choice(_FAULTS), for_s)

    async def disturb_store(self, rng: random.Random, for_s: float) -> None:
        """Inject a random fault on a random daemon's link to the store."""
        route = self._stores[rng.choice(sorted(self._stores))]
        await _disturb(route, rng.choice(_FAULTS), for_s)

    def heal_store(self, daemon: str) -> None:
        """End the fault of a daemon's store link, so that it can start."""
        self._stores[daemon].switch('pass')

    def heal(self) -> None:
        """End the faults of all links."""
        for route in (*self._targets.values(), *self._stores.values()):
            route.switch('pass')

    def close(self) -> None:
        """Stop the relays."""
        for route in (*self._targets.values(), *self._stores.values()):
            route.stop()


async def _disturb(route: relay.Route, mode: str, for_s: float) -> None:
    route.switch(mode)
    await asyncio.sleep(for_s)
    route.switch('pass')
