"""Requests that ask for another protocol arrive whole, or not at all."""

import asyncio
import os
import random
import unittest

from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
DRAWN_CONNECTIONS = 150

_UPGRADE = b'Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n'
_BODY = b'pay 100 to 7'


def _head(*lines: bytes, method: bytes = b'POST') -> bytes:
    return b'%b /pay HTTP/1.1\r\nHost: h\r\n%b\r\n' % (
        method,
        b''.join(lines),
    )


def _with_length(body: bytes, *lines: bytes) -> bytes:
    return _head(b'Content-Length: %d\r\n' % len(body), *lines) + body


def _in_chunks(body: bytes, *lines: bytes) -> bytes:
    chunks = [body[at : at + 5] for at in range(0, len(body), 5)]
    return (
        _head(b'Transfer-Encoding: chunked\r\n', *lines)
        + b''.join(b'%x\r\n%b\r\n' % (len(row), row) for row in chunks)
        + b'0\r\nX-Trailer: a\r\n\r\n'
    )


class _Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        """Start a server whose handler records the bodies."""
        self.bodies: list[bytes] = []
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        limits = state.CallerLimits(header_bytes=16_384, body_bytes=100)
        callbacks = transport.EntryCallbacks(
            self._handle, lambda: False, lambda: limits
        )
        clock = timers.LoopTimers()
        self.addCleanup(clock.close)
        self.server = transport.EntryServer(callbacks, counters, clock)
        await self.server.start('127.0.0.1:0', 16)
        self.addAsyncCleanup(self.server.close)

    async def _handle(
        self, method: str, path: str, headers: protocol.Headers, body: bytes
    ) -> protocol.HttpReply:
        self.bodies.append(body)
        return protocol.HttpReply(207, (), b'done')

    async def _send(self, *pieces: bytes) -> bytes:
        """Send pieces one after the other; return all that comes back."""
        host, _, port = self.server.address().partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        answer = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        return answer


class UpgradeRequestTest(_Case):
    """The other protocol isn't supported: requests are served as usual."""

    async def test_body_arrives(self) -> None:
        """A payout with ``Upgrade`` ran without its body, and got 200."""
        for raw in (
            _with_length(_BODY, _UPGRADE),
            _in_chunks(_BODY, _UPGRADE),
        ):
            for pieces in (
                [raw],
                [raw[at : at + 1] for at in range(len(raw))],
            ):
                with self.subTest(raw, pieces=len(pieces)):
                    self.bodies.clear()
                    answer = await self._send(*pieces)
                    self.assertEqual(1, answer.count(b' 207 '))
                    self.assertEqual([_BODY], self.bodies)

    async def test_body_of_a_pipelined_request(self) -> None:
        """Requests before it are not affected."""
        before = _with_length(b'first')
        answer = await self._send(before + _with_length(_BODY, _UPGRADE))
        self.assertEqual(2, answer.count(b' 207 '))
        self.assertEqual([b'first', _BODY], self.bodies)

    async def test_bytes_behind_are_no_request(self) -> None:
        """They may be of the other protocol."""
        for behind in (
            b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
            _with_length(b'x'),
            _with_length(b'x', _UPGRADE),
        ):
            with self.subTest(behind):
                self.bodies.clear()
                raw = _with_length(_BODY, _UPGRADE) + behind
                answer = await self._send(raw)
                self.assertEqual(1, answer.count(b' 207 '))
                self.assertEqual(1, answer.count(b'HTTP/1.1'))
                self.assertEqual([_BODY], self.bodies)

    async def test_expect_100_continue(self) -> None:
        """Without ``100 Continue`` the caller would not send its body."""
        raw = _with_length(_BODY, _UPGRADE, b'Expect: 100-continue\r\n')
        answer = await self._send(raw[: -len(_BODY)], _BODY)
        self.assertTrue(answer.startswith(b'HTTP/1.1 100 Continue\r\n\r\n'))
        self.assertEqual(1, answer.count(b' 207 '))
        self.assertEqual([_BODY], self.bodies)

    async def test_limits_hold(self) -> None:
        """Its body is limited like any other, announced or in chunks."""
        for raw in (
            _with_length(b'x' * 101, _UPGRADE),
            _in_chunks(b'x' * 101, _UPGRADE),
        ):
            with self.subTest(raw[:40]):
                self.assertIn(b' 413 ', await self._send(raw))
        self.assertEqual([], self.bodies)

    async def test_malformed_body_is_refused(self) -> None:
        """What can't be served whole is refused, and never passed on."""
        chunked = _head(b'Transfer-Encoding: chunked\r\n', _UPGRADE)
        for raw in (
            chunked + b'zz\r\n',
            chunked + b'3\r\nabcd\r\n0\r\n\r\n',
            _head(
                b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
                _UPGRADE,
            ),
        ):
            with self.subTest(raw):
                answer = await self._send(raw, b'abc')
                self.assertEqual(1, answer.count(b' 400 '))
        self.assertEqual([], self.bodies)

    async def test_incomplete_body_is_not_passed_on(self) -> None:
        """The caller left before it had sent all of it."""
        host, _, port = self.server.address().partition(':')
        for raw in (
            _with_length(_BODY, _UPGRADE),
            _in_chunks(_BODY, _UPGRADE),
        ):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(raw[:-1])
            writer.write_eof()
            self.assertEqual(b'', await asyncio.wait_for(reader.read(), 10.0))
            writer.close()
        self.assertEqual([], self.bodies)

    async def test_connect_is_refused(self) -> None:
        """It was handled without its body; this server opens no tunnels."""
        raw = b'CONNECT h:80 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc'
        answer = await self._send(raw + _with_length(b'x'))
        self.assertIn(b' 405 ', answer)
        self.assertEqual(1, answer.count(b'HTTP/1.1'))
        self.assertEqual([], self.bodies)


class DrawnConnectionsTest(_Case):
    """No request reaches the handler with another body than announced."""

    async def test_bodies_are_as_announced(self) -> None:
        """``Upgrade`` and CONNECT ended requests at their heads."""
        rng = random.Random(SEED)
        for _ in range(DRAWN_CONNECTIONS):
            sent = []
            raw = b''
            for number in range(rng.randrange(1, 4)):
                body = rng.choice((b'', b'a%d' % number, _BODY))
                lines = rng.choice(((), (_UPGRADE,), (b'Upgrade: x\r\n',)))
                frame = rng.choice((_with_length, _in_chunks))
                raw += frame(body, *lines)
                sent.append(body)
                if lines == (_UPGRADE,):
                    break
            else:
                raw += _with_length(b'', b'Connection: close\r\n')
                sent.append(b'')
            cuts = sorted(rng.sample(range(len(raw)), rng.randrange(6)))
            bounds = zip([0, *cuts], [*cuts, len(raw)])
            self.bodies.clear()
            await self._send(*[raw[low:high] for low, high in bounds])
            with self.subTest(raw):
                self.assertEqual(sent, self.bodies)
