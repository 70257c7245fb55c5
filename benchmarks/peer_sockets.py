"""Compares the CPU time of two ways to read peer messages from a socket.

Plain ZeroMQ sockets read by an event loop reader are compared with the
asyncio sockets of pyzmq.  Both ends run in this process over loopback, so a
figure includes sending, receiving and the codec.  The figures are quoted in
``docs/design/peer-sockets.md``.
"""

import asyncio
import collections
import itertools
import statistics
import time
import typing

import click
import zmq
import zmq.asyncio

from samphiredock import protocol

_CODEC = protocol.Codec((protocol.SubAnswerBatch,))
_ANSWERS = [
    protocol.SubAnswer(f'q-{n}', f'shard-{n}', protocol.SubStatus.ANSWERED)
    for n in range(8)
]
_ITEM_COUNTS = (1, 2, 5, 8)
_BURSTS = (1, 10)
_RUN_TIMEOUT_S = 60.0


def _frames(items: int) -> list[bytes]:
    message = protocol.SubAnswerBatch('q', _ANSWERS[:items])
    return [b'entry-1', *_CODEC.encode(message)]


def _decode(frames: list[bytes]) -> None:
    for name, body in zip(frames[1::2], frames[2::2]):
        _CODEC.decode(name, body)


def _pair(
    context: zmq.Context,
) -> tuple[zmq.Socket, zmq.Socket]:
    incoming, outgoing = context.socket(zmq.PULL), context.socket(zmq.PUSH)
    port = incoming.bind_to_random_port('tcp://127.0.0.1')
    outgoing.connect(f'tcp://127.0.0.1:{port}')
    return incoming, outgoing


async def _loop_reader(messages: int, items: int, burst: int) -> None:
    """Drain a plain socket from a reader of the event loop."""
    loop = asyncio.get_running_loop()
    context = zmq.Context()
    incoming, outgoing = _pair(context)
    received = asyncio.Semaphore(0)

    def drain() -> None:
        while True:
            try:
                frames = incoming.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            _decode(frames)
            received.release()

    loop.add_reader(incoming.fd, drain)
    for _ in range(messages // burst):
        for _ in range(burst):
            outgoing.send_multipart(_frames(items), zmq.NOBLOCK)
        for _ in range(burst):
            await received.acquire()
    loop.remove_reader(incoming.fd)
    context.destroy(linger=0)


async def _asyncio_sockets(messages: int, items: int, burst: int) -> None:
    """Send and receive with the library's asyncio sockets."""
    context = zmq.asyncio.Context()
    incoming, outgoing = _pair(context)
    received = asyncio.Semaphore(0)

    async def receive() -> None:
        for _ in range(messages // burst * burst):
            _decode(await incoming.recv_multipart())
            received.release()

    receiver = asyncio.create_task(receive())
    for _ in range(messages // burst):
        for _ in range(burst):
            await outgoing.send_multipart(_frames(items))
        for _ in range(burst):
            await received.acquire()
    await receiver
    context.destroy(linger=0)


_VARIANTS: dict[str, typing.Callable[[int, int, int], typing.Coroutine]] = {
    'read by the loop': _loop_reader,
    'asyncio sockets': _asyncio_sockets,
}


def _cost_us(variant: str, messages: int, items: int, burst: int) -> float:
    run = _VARIANTS[variant](messages, items, burst)
    started_s = time.process_time()
    asyncio.run(asyncio.wait_for(run, _RUN_TIMEOUT_S))
    return (time.process_time() - started_s) * 1e6 / (messages * items)


@click.command()
@click.option('--messages', default=10_000)
@click.option('--runs', default=5)
def main(messages: int, runs: int) -> None:
    """Print the median, least and greatest CPU time per item."""
    costs = collections.defaultdict(list)
    for _ in range(runs):
        for burst, items, variant in itertools.product(
            _BURSTS, _ITEM_COUNTS, _VARIANTS
        ):
            cost_us = _cost_us(variant, messages, items, burst)
            costs[burst, items, variant].append(cost_us)
    for (burst, items, variant), costs_us in costs.items():
        median_us = statistics.median(costs_us)
        print(
            f'{variant}, {burst} messages at once of {items} items: '
            f'{median_us:.1f} us per item '
            f'({min(costs_us):.1f} to {max(costs_us):.1f})'
        )


if __name__ == '__main__':
    main()
