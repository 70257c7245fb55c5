"""The adapter to targets: the HTTP protocol of one target."""

import asyncio
import dataclasses
import enum
import typing

import aiohttp
import msgspec
from returns import result

from samphiredock import protocol
from samphiredock import state

_KEEPALIVE_S = 30.0
_SLACK_MS = 20.0

_BATCH_ANSWER = msgspec.json.Decoder(protocol.TargetBatchAnswer)
_RUN_ANSWER = msgspec.json.Decoder(protocol.TargetRunAnswer)
_CANCEL_ANSWER = msgspec.json.Decoder(protocol.TargetCancelAnswer)
_HEALTH = msgspec.json.Decoder(protocol.TargetHealth)


class LinkErrorKind(enum.Enum):
    """Why an exchange with a target gave no answer.

    Only ``UNREACHABLE`` proves that the target saw nothing of it.
    """

    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    SILENT = 'silent'
    BAD_ANSWER = 'bad-answer'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkError:
    """A failed exchange with a target."""

    kind: LinkErrorKind
    detail: str


class TargetLink(typing.Protocol):
    """One target's protocol, as the dispatcher uses it."""

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result[protocol.TargetBatchAnswer, LinkError]:
        """Run sub-queries; they take one slot."""

    async def run(
        self, body: protocol.TargetRun, timeout_ms: float
    ) -> result.Result[protocol.TargetRunAnswer, LinkError]:
        """Run an unrepeatable request; never sent twice."""

    async def cancel(
        self, body: protocol.TargetCancel, timeout_ms: float
    ) -> result.Result[protocol.TargetCancelAnswer, LinkError]:
        """Cancel attempts; the answer names those that never began."""

    async def health(
        self, timeout_ms: float
    ) -> result.Result[protocol.TargetHealth, LinkError]:
        """Read the target's own view, which may lag or mislead."""

    async def close(self) -> None:
        """Close every connection."""


class HttpTargetLink:
    """The HTTP connections to one target, never more than it allows.

    One of them is kept for cancels and health, so that a cancel does not
    wait behind the work that it is meant to stop.
    """

    def __init__(self, target: state.Target) -> None:
        self._url = target.url.rstrip('/')
        self._work = _session(max(1, target.connections - 1))
        self._side = _session(1)

    async def batch(
        self, body: protocol.TargetBatch, timeout_ms: float
    ) -> result.Result[protocol.TargetBatchAnswer, LinkError]:
        """Run sub-queries; they take one slot."""
        return await self._post(
            self._work, '/batch', body, timeout_ms, _BATCH_ANSWER
        )

    async def run(
        self, body: protocol.TargetRun, timeout_ms: float
    ) -> result.Result[protocol.TargetRunAnswer, LinkError]:
        """Run an unrepeatable request.

        The library re-sends only idempotent methods after a lost
        connection; POST is not one, so a run is never sent twice.
        """
        return await self._post(
            self._work, '/run', body, timeout_ms, _RUN_ANSWER
        )

    async def cancel(
        self, body: protocol.TargetCancel, timeout_ms: float
    ) -> result.Result[protocol.TargetCancelAnswer, LinkError]:
        """Cancel attempts; the answer names those that never began."""
        return await self._post(
            self._side, '/cancel', body, timeout_ms, _CANCEL_ANSWER
        )

    async def health(
        self, timeout_ms: float
    ) -> result.Result[protocol.TargetHealth, LinkError]:
        """Read the target's own view, which may lag or mislead."""
        return await self._exchange(
            self._side, 'GET', '/health', None, timeout_ms, _HEALTH
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._work.close()
        await self._side.close()

    async def _post(
        self,
        session: aiohttp.ClientSession,
        path: str,
        body: msgspec.Struct,
        timeout_ms: float,
        decoder: msgspec.json.Decoder,
    ) -> result.Result[typing.Any, LinkError]:
        content = msgspec.json.encode(body)
        return await self._exchange(
            session, 'POST', path, content, timeout_ms, decoder
        )

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        content: bytes | None,
        timeout_ms: float,
        decoder: msgspec.json.Decoder,
    ) -> result.Result[typing.Any, LinkError]:
        limit = aiohttp.ClientTimeout(total=(timeout_ms + _SLACK_MS) / 1000.0)
        try:
            async with session.request(
                method, self._url + path, data=content, timeout=limit
            ) as response:
                reply = await response.read()
        except aiohttp.ClientConnectorError as error:
            return _failure(LinkErrorKind.UNREACHABLE, str(error))
        except aiohttp.ConnectionTimeoutError as error:
            return _failure(LinkErrorKind.UNREACHABLE, str(error))
        except asyncio.TimeoutError:
            return _failure(
                LinkErrorKind.SILENT, f'no answer in {timeout_ms:.0f} ms'
            )
        except (aiohttp.ClientError, OSError) as error:
            return _failure(LinkErrorKind.BROKEN, type(error).__name__)
        if response.status != 200:
            text = reply[:200].decode('utf-8', 'replace')
            return _failure(
                LinkErrorKind.BAD_ANSWER, f'{response.status} {text}'
            )
        try:
            return result.Success(decoder.decode(reply))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return _failure(LinkErrorKind.BAD_ANSWER, str(error))


def _session(connections: int) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=connections, keepalive_timeout=_KEEPALIVE_S
    )
    return aiohttp.ClientSession(
        connector=connector,
        headers={'Content-Type': 'application/json'},
        skip_auto_headers=('User-Agent', 'Accept-Encoding'),
    )


def _failure(kind: LinkErrorKind, detail: str) -> result.Failure[LinkError]:
    return result.Failure(LinkError(kind, detail))
