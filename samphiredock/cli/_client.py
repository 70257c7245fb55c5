"""HTTP calls to daemons, with failover to other addresses where safe."""

import asyncio
import dataclasses
import typing

import aiohttp

_CONNECT_TIMEOUT_S = 3.0
DEFAULT_TIMEOUT_MS = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A daemon's HTTP response; ``url`` is the address that sent it."""

    url: str
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """No daemon replied.

    ``may_be_received`` is False if no connection was made, so that no daemon
    can have received the request.
    """

    detail: str
    may_be_received: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request.

    If a daemon does not reply, the request is sent to the next address.  A
    request that is not repeatable is sent again only if no connection was
    made, since the first daemon may otherwise have started to run it.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: typing.Mapping[str, str] = dataclasses.field(default_factory=dict)
    is_repeatable: bool = True
    timeout_ms: int = DEFAULT_TIMEOUT_MS


def send(urls: typing.Sequence[str], call: Call) -> Reply | NoReply:
    """Send a request to each of ``urls`` in turn until one replies."""
    return asyncio.run(_send(urls, call))


async def _send(urls: typing.Sequence[str], call: Call) -> Reply | NoReply:
    failures = []
    may_be_received = False
    client_timeout = aiohttp.ClientTimeout(
        total=call.timeout_ms / 1000.0, sock_connect=_CONNECT_TIMEOUT_S
    )
    for url in urls:
        # A new session for each address: aiohttp silently sends a request
        # again if a reused connection turns out to be closed.
        async with aiohttp.ClientSession(timeout=client_timeout) as session:
            try:
                return await _exchange(session, url, call)
            except _CONNECT_ERRORS as error:
                failures.append(f'{url}: {_describe_error(error)}')
                continue
            except (
                aiohttp.ClientError,
                OSError,
                asyncio.TimeoutError,
            ) as error:
                failures.append(f'{url}: {_describe_error(error)}')
                may_be_received = True
        if not call.is_repeatable:
            break
    return NoReply('; '.join(failures), may_be_received)


# Raised only before a connection exists, so that nothing has been sent.
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


async def _exchange(
    session: aiohttp.ClientSession, url: str, call: Call
) -> Reply:
    headers = {'Content-Type': 'application/json', **call.headers}
    async with session.request(
        call.method, url.rstrip('/') + call.path, data=call.body,
        headers=headers, allow_redirects=False,
    ) as response:  # fmt: skip
        return Reply(url, response.status, await response.read())


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__
