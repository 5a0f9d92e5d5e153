"""Latency of small requests beside large bodies on one connection of two nodes.

The answering node runs in a process of its own. Small requests are sent at a fixed
rate and measured from the intended time, alone and while large bodies are fetched on
the same connection; then again with chunks and windows so large that bodies do not
take turns, as a baseline.

    python -m bench.peerlink --rate=200 --seconds=3 --downloads=4
"""

import asyncio
import dataclasses
import multiprocessing
import random
import socket

from absl import app, flags
from hdrh.histogram import HdrHistogram
from returns.result import Success

from bench.load import HIGHEST_US, LOWEST_US, SIGNIFICANT_DIGITS, US_PER_S, Pipe
from papayatack.core.identity import IncarnationId, PeerAddress
from papayatack.core.inventory import RequestClass
from papayatack.network.exchanges import PeerRequest, Request, Response
from papayatack.network.garbage_collection import shorten_collector_pauses
from papayatack.network.limits import PeerLimits
from papayatack.network.peers import PeerNetwork
from papayatack.observability.metrics import Metrics

SMALL_BYTES = 200
_CHUNK = b"x" * (16 * 1024)
LARGE_BYTES = 4 * 1024 * 1024
DEADLINE_S = 60.0
IN_TURNS = PeerLimits()
IN_LARGE_PIECES = PeerLimits(
    chunk_bytes=1000 * 1024,
    window_bytes=2 * LARGE_BYTES,
    unresponsive_after_s=DEADLINE_S,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Figures:
    """Latency of the small requests, and bytes of the large ones."""

    latency: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )
    large_bytes: int = 0


def _find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _build_network(name: str, limits: PeerLimits) -> PeerNetwork:
    port = _find_port()
    return PeerNetwork(
        incarnation=IncarnationId(f"127.0.0.1:{port}#{name}"),
        host="127.0.0.1",
        port=port,
        metrics=Metrics(),
        rng=random.Random(1),
        limits=limits,
    )


class _ChunkBody:
    """A body that comes in chunks, as from an upstream."""

    ready = True

    def __init__(self, *, size: int) -> None:
        self._left = size

    async def read(self) -> bytes:
        """Return the next chunk, after a turn of the event loop."""
        await asyncio.sleep(0)
        size = min(self._left, len(_CHUNK))
        self._left -= size
        return _CHUNK[:size]

    def close(self) -> None:
        """Give up the rest."""
        self._left = 0


async def _answer(peer_request: PeerRequest):  # noqa: ANN202
    size = int(peer_request.request.target)
    body = _ChunkBody(size=size)
    return Success(Response(status=200, body=body))


async def _serve(pipe: Pipe, limits: PeerLimits) -> None:
    network = _build_network("answering", limits)
    network.on_request = _answer
    await network.start()
    pipe.send(network.port)
    await asyncio.to_thread(pipe.recv)


def _run_process(pipe: Pipe, limits: PeerLimits) -> None:
    shorten_collector_pauses()
    asyncio.run(_serve(pipe, limits))


async def fetch(network: PeerNetwork, port: int, size: int) -> int:
    """Fetch one body and return its size."""
    peer_request = PeerRequest(
        request=Request(method=b"GET", target=b"%d" % size),
        service="bench",
        shard="",
        key="",
        remaining_s=DEADLINE_S,
        partner="",
        request_class=RequestClass.BROWSE,
        cost=1.0,
        repeatable=True,
        request_id="",
    )
    result = await network.exchange(
        address=PeerAddress(f"127.0.0.1:{port}"),
        peer_request=peer_request,
        deadline_s=asyncio.get_running_loop().time() + DEADLINE_S,
    )
    body = result.unwrap().body
    received = 0
    while data := await body.read():
        received += len(data)
    body.close()
    return received


async def measure(
    limits: PeerLimits, port: int, *, rate: float, time_s: float, downloads: int
) -> Figures:
    """Send small requests at a rate beside a number of endless downloads."""
    network = _build_network("asking", limits)
    await network.start()
    figures = Figures()
    loop = asyncio.get_running_loop()
    await fetch(network, port, SMALL_BYTES)

    async def download() -> None:
        while True:
            figures.large_bytes += await fetch(network, port, LARGE_BYTES)

    async def send(intended_s: float) -> None:
        await fetch(network, port, SMALL_BYTES)
        latency_us = int((loop.time() - intended_s) * US_PER_S)
        figures.latency.record_value(max(latency_us, LOWEST_US))

    large = [loop.create_task(download()) for _ in range(downloads)]
    started_s = loop.time()
    small = []
    for index in range(int(rate * time_s)):
        intended_s = started_s + index / rate
        await asyncio.sleep(max(0.0, intended_s - loop.time()))
        small.append(loop.create_task(send(intended_s)))
    await asyncio.gather(*small)
    for task in large:
        task.cancel()
    await asyncio.gather(*large, return_exceptions=True)
    await network.abort()
    return figures


def run_variant(name: str, limits: PeerLimits, base: Figures | None) -> Figures:
    """Measure one variant alone and beside downloads, and print both."""
    values = flags.FLAGS
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    process = context.Process(target=_run_process, args=(there, limits))
    process.start()
    port = here.recv()
    alone = base
    for downloads in (0, values.downloads):
        figures = asyncio.run(
            measure(
                limits,
                port,
                rate=values.rate,
                time_s=values.seconds,
                downloads=downloads,
            )
        )
        alone = alone or figures
        print_figures(name, downloads, figures, alone, values.seconds)
    here.send(None)
    process.join()
    return alone


def print_figures(
    name: str, downloads: int, figures: Figures, alone: Figures, time_s: float
) -> None:
    """Print latencies, and their ratio to small requests alone."""
    p50 = figures.latency.get_value_at_percentile(50)
    p99 = figures.latency.get_value_at_percentile(99)
    rate_mib = figures.large_bytes / time_s / 1024 / 1024
    ratio = p99 / alone.latency.get_value_at_percentile(99)
    print(f"{name:<16}{downloads:>10}{p50:>9}{p99:>9}{ratio:>8.2f}{rate_mib:>9.0f}")


def main(argv: list[str]) -> None:
    """Measure both variants."""
    shorten_collector_pauses()
    print(f"{'bodies':<16}{'downloads':>10}{'p50 us':>9}{'p99 us':>9}", end="")
    print(f"{'p99 x':>8}{'MiB/s':>9}")
    alone = run_variant("in turns", IN_TURNS, None)
    run_variant("in large pieces", IN_LARGE_PIECES, alone)


if __name__ == "__main__":
    flags.DEFINE_float("rate", 200.0, "Small requests a second.")
    flags.DEFINE_float("seconds", 3.0, "Length of each measurement, in seconds.")
    flags.DEFINE_integer("downloads", 4, "Large bodies fetched at once.")
    app.run(main)
