"""The system under test, with calls that record their outcome."""

import asyncio
import contextlib
import itertools
import typing

import aiohttp
import msgspec

from standins import relayed_system
from standins import target_log
from tests import history

SITES = relayed_system.SITES
RELAY = relayed_system.RELAY
RECORD_LIMIT = relayed_system.RECORD_LIMIT
now_ms = target_log.now_ms

_CALL_TIMEOUT_S = 15.0


class System(relayed_system.RelayedSystem):
    """A store, targets and daemons, with recorded calls."""

    def __init__(self) -> None:
        super().__init__()
        self._call_numbers = itertools.count()

    def executions(self) -> list[history.Execution]:
        """Return the executions that the targets logged."""
        if not self.execution_log.exists():
            return []
        lines = self.execution_log.read_bytes().splitlines()
        return [
            history.Execution(
                target,
                row['kind'],
                row['attempt_id'],
                row['idempotency_key'],
                row['started_ms'],
            )
            for target, row in map(msgspec.json.decode, lines)
        ]

    async def search(
        self, daemon: str, terms: dict[str, str], url: str = ''
    ) -> history.Call:
        """Search the claims; return the recorded call."""
        body = {
            'service': 'field-claims',
            'search': 'claimant-history',
            'terms': terms,
        }
        return await self._record('search', daemon, url, body, terms=terms)

    async def pay(
        self,
        daemon: str,
        key: str,
        household: str = 'household-1',
        url: str = '',
    ) -> history.Call:
        """Release a payout; return the recorded call."""
        body = {
            'service': 'relief-payout',
            'operation': 'release-payout',
            'body': {'household': household},
        }
        return await self._record('run', daemon, url, body, key=key)

    async def _record(
        self,
        kind: str,
        daemon: str,
        url: str,
        body: dict[str, typing.Any],
        terms: typing.Mapping[str, str] | None = None,
        key: str = '',
    ) -> history.Call:
        """Send a request to a daemon, or to ``url`` if one is given."""
        number = next(self._call_numbers)
        url = url or self.daemons[daemon].caller_url
        headers = {'Idempotency-Key': key} if key else {}
        invoked_ms = now_ms()
        status, outcome = None, None
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                async with self.session.post(
                    f'{url}/v1/{kind}', json=body, headers=headers
                ) as response:
                    status = response.status
                    outcome = msgspec.json.decode(await response.read())
        except (
            aiohttp.ClientError,
            OSError,
            asyncio.TimeoutError,
            msgspec.DecodeError,
        ):
            pass
        return history.Call(
            number,
            kind,
            daemon,
            body.get('search', body.get('operation')),
            terms or {},
            key,
            invoked_ms,
            now_ms(),
            status,
            outcome,
        )


@contextlib.asynccontextmanager
async def running(daemons: int, targets: int = 6) -> typing.AsyncIterator:
    """Run a system for the duration of a ``with`` block."""
    async with System() as system:
        await system.build(daemons, targets)
        yield system
