"""Random requests of callers, and random frames of peers."""

import asyncio
import json
import unittest

from aiohttp import test_utils
import hypothesis
from hypothesis import strategies
import msgspec

from samphiredock.daemon import _components
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import transport
from standins import cluster
from standins import memory_services
from tests.unit import test_caller_http

_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_TEXT = strategies.text(max_size=6)

# MessagePack has no integers outside of this range.
_FRAME_INTEGERS = strategies.integers(-(2**63), 2**64 - 1)


def _values(
    integers: strategies.SearchStrategy[int],
) -> strategies.SearchStrategy[object]:
    """Return values of every JSON type, nested at most once."""
    return (
        strategies.none()
        | strategies.booleans()
        | integers
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | _TEXT
        | strategies.lists(_TEXT, max_size=2)
        | strategies.dictionaries(_TEXT, _TEXT | integers, max_size=2)
    )


_FIELDS = strategies.sampled_from(
    [*test_caller_http.SEARCH, *test_caller_http.RUN, 'deadline_ms', 'limit']
)
_BODIES = strategies.binary(max_size=200) | strategies.builds(
    lambda base, changes: json.dumps({**base, **changes}).encode(),
    strategies.sampled_from([test_caller_http.SEARCH, test_caller_http.RUN]),
    strategies.dictionaries(
        _FIELDS | _TEXT, _values(strategies.integers()), max_size=2
    ),
)
# aiohttp's client refuses to send control characters in headers.
_KEY = test_caller_http.KEY
_TEXTS = strategies.text(
    strategies.characters(
        min_codepoint=32, max_codepoint=255, exclude_categories=['Cc']
    ),
    max_size=140,
)
_KEYS = strategies.one_of(
    _TEXTS, strategies.uuids(version=4).map(str), strategies.just(_KEY)
)
_NAMES = [kind.__name__.encode() for kind in _components.PEER_MESSAGES]
_FRAMES = strategies.lists(
    strategies.sampled_from(_NAMES)
    | strategies.binary(max_size=40)
    | strategies.builds(msgspec.msgpack.encode, _values(_FRAME_INTEGERS)),
    max_size=7,
)


class RequestFuzzTest(unittest.TestCase):
    """Random bodies and idempotency keys; one application for all examples."""

    def setUp(self) -> None:
        """Start the caller interface over a service in memory."""
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.service = memory_services.MemoryService()
        self.counters = metrics.Metrics('fuzz')
        self.client = self.loop.run_until_complete(self._start())
        self.addCleanup(
            lambda: self.loop.run_until_complete(self.client.close())
        )

    async def _start(self) -> test_utils.TestClient:
        app = transport.caller_application(self.service, 500, self.counters)
        client = test_utils.TestClient(test_utils.TestServer(app))
        await client.start_server()
        return client

    @_SETTINGS
    @hypothesis.given(
        strategies.sampled_from(['/v1/search', '/v1/run']), _BODIES, _KEYS
    )
    def test_any_body_gets_a_typed_answer(
        self, path: str, body: bytes, key: str
    ) -> None:
        """A body is either refused as not run, or reaches the service."""
        before = len(self.service.asked)
        status, answer = self.loop.run_until_complete(
            self._post(path, body, key)
        )
        started = len(self.service.asked) - before
        expected = 'answered' if started else 'not-run'
        self.assertEqual(expected, answer['type'], answer)
        self.assertEqual(bool(started), status == 200)
        self.assertEqual(0, self.counters.total('http_handler_failures'))

    async def _post(
        self, path: str, body: bytes, key: str
    ) -> tuple[int, dict]:
        headers = {transport.IDEMPOTENCY_KEY_HEADER: key}
        async with self.client.post(path, data=body, headers=headers) as got:
            return got.status, await got.json()


class PeerFuzzTest(unittest.TestCase):
    """Random frames at a peer hub, and random bodies at its codec."""

    def setUp(self) -> None:
        """Make a peer hub on an event loop."""
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.counters = metrics.Metrics('fuzz')
        self.codec = protocol.Codec(_components.PEER_MESSAGES)
        self.hub = self.loop.run_until_complete(self._make())
        self.addCleanup(self.hub.close)
        self.received: list[object] = []
        for kind in _components.PEER_MESSAGES:
            self.hub.subscribe(
                kind, lambda _, each: self.received.append(each)
            )

    async def _make(self) -> transport.PeerHub:
        (port,) = cluster.free_ports(1)
        address = f'tcp://127.0.0.1:{port}'
        return transport.PeerHub('a', address, self.codec, self.counters)

    @_SETTINGS
    @hypothesis.given(_FRAMES)
    def test_unreadable_frames_are_counted_and_dropped(
        self, frames: list[bytes]
    ) -> None:
        """Each message is either delivered or counted, never both."""
        before = self.counters.total('peer_messages_unreadable')
        self.received.clear()
        self.hub._dispatch(frames)
        counted = self.counters.total('peer_messages_unreadable') - before
        whole = len(frames) >= 3 and len(frames) % 2 == 1
        messages = len(frames) // 2 if whole else 1
        self.assertEqual(messages, counted + len(self.received))

    @_SETTINGS
    @hypothesis.given(
        strategies.sampled_from(_NAMES) | strategies.binary(max_size=60),
        strategies.binary(max_size=200),
    )
    def test_decode_gives_a_value(self, name: bytes, body: bytes) -> None:
        """Decoding returns a message or a codec error, and never raises."""
        got = self.codec.decode(name, body)
        self.assertIsInstance(
            got, (protocol.CodecError, *_components.PEER_MESSAGES)
        )
