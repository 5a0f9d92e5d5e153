"""Latency, throughput and processor time of requests: straight, local, forwarded.

Starts an upstream stand-in, its node and an entry node, each in a process of its own,
and sends the same small request to each in turn. The open loop sends at a given rate
and measures from the intended time of sending, so that a stall counts for all the
requests that it held up (coordinated omission). Ownership and gate are fakes.

    python -m bench.load --rate=400 --seconds=2 --rounds=3
"""

import asyncio
import collections
import dataclasses
import multiprocessing
import multiprocessing.connection
import os

import uvloop
from absl import app, flags
from hdrh.histogram import HdrHistogram

from papayatack.network.garbage_collection import shorten_collector_pauses
from standins.upstream import UpstreamStandin
from tests.proxy.fakes import Node

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
CONNECTIONS = 32
US_PER_S = 1_000_000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
TARGETS = ("straight", "local", "forwarded")
REQUEST = (
    b"GET /hiring/v/k1?bytes=200 HTTP/1.1\r\nHost: bench\r\nX-Partner: caribe\r\n\r\n"
)
HEADER_END = b"\r\n\r\n"
LENGTH_FIELD = b"content-length: "


@dataclasses.dataclass(slots=True, kw_only=True)
class Figures:
    """What was measured of one target."""

    latency: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )
    done: int = 0
    busy_s: float = 0.0
    failed: int = 0
    cpu_s: float = 0.0
    cpu_requests: int = 0

    @property
    def throughput(self) -> float:
        """Requests a second in the closed loop."""
        return self.done / self.busy_s

    @property
    def cpu_us(self) -> float:
        """Processor time of all three server processes for one request."""
        return self.cpu_s / self.cpu_requests * US_PER_S


class _Connection(asyncio.Protocol):
    """A keep-alive connection that sends the prepared request."""

    def __init__(self) -> None:
        self._buffer = b""
        self._waiter: asyncio.Future[bool] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Finish the request once its answer is whole."""
        self._buffer += data
        head, found, body = self._buffer.partition(HEADER_END)
        if not found:
            return
        _, _, rest = head.lower().partition(LENGTH_FIELD)
        if len(body) >= int(rest.split(b"\r\n", 1)[0]):
            self._buffer = b""
            assert self._waiter is not None
            self._waiter.set_result(head.startswith(b"HTTP/1.1 200"))

    async def send(self) -> bool:
        """Send one request; whether it was answered with 200."""
        assert self._transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(REQUEST)
        return await self._waiter

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()


async def _connect(port: int) -> list[_Connection]:
    loop = asyncio.get_running_loop()
    return [
        (await loop.create_connection(_Connection, "127.0.0.1", port))[1]
        for _ in range(CONNECTIONS)
    ]


async def run_open_loop(
    port: int, figures: Figures, rate: float, time_s: float
) -> None:
    """Send at a fixed rate; a request waits if all connections are in use."""
    loop = asyncio.get_running_loop()
    connections = await _connect(port)
    free: asyncio.Queue[_Connection] = asyncio.Queue()
    for connection in connections:
        free.put_nowait(connection)

    async def send(intended_s: float) -> None:
        connection = await free.get()
        figures.failed += not await connection.send()
        free.put_nowait(connection)
        latency_us = int((loop.time() - intended_s) * US_PER_S)
        figures.latency.record_value(max(latency_us, LOWEST_US))

    started_s = loop.time()
    tasks = []
    for index in range(int(rate * time_s)):
        intended_s = started_s + index / rate
        delay_s = intended_s - loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(loop.create_task(send(intended_s)))
    await asyncio.gather(*tasks)
    for connection in connections:
        connection.close()


async def run_closed_loop(port: int, figures: Figures, time_s: float) -> None:
    """Send on all connections as fast as answers come."""
    loop = asyncio.get_running_loop()
    connections = await _connect(port)
    end_s = loop.time() + time_s
    started_s = loop.time()

    async def send_all(connection: _Connection) -> None:
        while loop.time() < end_s:
            figures.failed += not await connection.send()
            figures.done += 1

    await asyncio.gather(*(send_all(connection) for connection in connections))
    figures.busy_s += loop.time() - started_s
    for connection in connections:
        connection.close()


def _read_cpu_s(pids: list[int]) -> float:
    """Return the processor time that processes have used."""
    ticks = 0
    for pid in pids:
        with open(f"/proc/{pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / CLOCK_TICKS


Pipe = multiprocessing.connection.Connection


async def _serve_upstream(pipe: Pipe) -> None:
    upstream = UpstreamStandin()
    await upstream.start()
    pipe.send(upstream.port)
    await asyncio.to_thread(pipe.recv)


async def _serve_owner(pipe: Pipe, upstream_port: int) -> None:
    node = await Node(name="owner").start(upstream_port)
    node.ownership.route = node.build_route(local=True)
    await node.grant()
    pipe.send((node.callers.port, node.build_route(local=False)))
    await asyncio.to_thread(pipe.recv)


async def _serve_entry(pipe: Pipe, route: object) -> None:
    node = await Node(name="entry").start()
    node.ownership.route = route
    pipe.send(node.callers.port)
    await asyncio.to_thread(pipe.recv)


def _run_process(
    kind: str, pipe: Pipe, use_uvloop: bool, freeze: bool, argument: object
) -> None:
    """Run one server process until its pipe is written to."""
    if freeze:
        shorten_collector_pauses()
    serve = {"owner": _serve_owner, "entry": _serve_entry}.get(kind)
    main = _serve_upstream(pipe) if serve is None else serve(pipe, argument)
    if use_uvloop:
        uvloop.run(main)
    else:
        asyncio.run(main)


class Fleet:
    """The three server processes."""

    def __init__(self, *, use_uvloop: bool, freeze: bool) -> None:
        self._use_uvloop = use_uvloop
        self._freeze = freeze
        self._processes: list[multiprocessing.Process] = []
        self._pipes: list[Pipe] = []

    def start(self) -> dict[str, int]:
        """Start all and return the callers' port of each target."""
        upstream_port = self._start("upstream", None)
        owner_port, route = self._start("owner", upstream_port)
        entry_port = self._start("entry", route)
        return dict(zip(TARGETS, (upstream_port, owner_port, entry_port), strict=True))

    @property
    def pids(self) -> list[int]:
        """Process ids."""
        return [process.pid for process in self._processes if process.pid]

    def stop(self) -> None:
        """End all."""
        for pipe in self._pipes:
            pipe.send(None)
        for process in self._processes:
            process.join()

    def _start(self, kind: str, argument: object):  # noqa: ANN202
        context = multiprocessing.get_context("spawn")
        here, there = context.Pipe()
        process = context.Process(
            target=_run_process,
            args=(kind, there, self._use_uvloop, self._freeze, argument),
        )
        process.start()
        self._processes.append(process)
        self._pipes.append(here)
        return here.recv()


async def measure(
    ports: dict[str, int], pids: list[int], *, rate: float, time_s: float, rounds: int
) -> dict[str, Figures]:
    """Measure all targets in turn, several times."""
    figures: dict[str, Figures] = collections.defaultdict(Figures)
    for target in TARGETS:
        await run_closed_loop(ports[target], Figures(), 0.5)
    for _ in range(rounds):
        for target in TARGETS:
            seen = figures[target]
            await run_open_loop(ports[target], seen, rate, time_s)
            before_s, before = _read_cpu_s(pids), seen.done
            await run_closed_loop(ports[target], seen, time_s)
            seen.cpu_s += _read_cpu_s(pids) - before_s
            seen.cpu_requests += seen.done - before
    return figures


def print_figures(figures: dict[str, Figures]) -> None:
    """Print each target's figures and their ratio to going straight."""
    base = figures["straight"]
    print(
        f"{'target':<10}{'p50 us':>9}{'p99 us':>9}{'req/s':>9}{'cpu us':>9}"
        f"{'p50 x':>8}{'p99 x':>8}{'req/s x':>9}{'cpu x':>7}{'failed':>8}"
    )
    for target, seen in figures.items():
        p50 = seen.latency.get_value_at_percentile(50)
        p99 = seen.latency.get_value_at_percentile(99)
        print(
            f"{target:<10}{p50:>9}{p99:>9}{seen.throughput:>9.0f}{seen.cpu_us:>9.0f}"
            f"{p50 / base.latency.get_value_at_percentile(50):>8.2f}"
            f"{p99 / base.latency.get_value_at_percentile(99):>8.2f}"
            f"{seen.throughput / base.throughput:>9.3f}"
            f"{seen.cpu_us / base.cpu_us:>7.2f}{seen.failed:>8}"
        )


def main(argv: list[str]) -> None:
    """Start the processes, measure, and print the figures."""
    values = flags.FLAGS
    fleet = Fleet(use_uvloop=values.uvloop, freeze=values.freeze)
    shorten_collector_pauses()
    ports = fleet.start()
    try:
        figures = asyncio.run(
            measure(
                ports,
                fleet.pids,
                rate=values.rate,
                time_s=values.seconds,
                rounds=values.rounds,
            )
        )
    finally:
        fleet.stop()
    print_figures(figures)


if __name__ == "__main__":
    flags.DEFINE_float("rate", 300.0, "Requests a second in the open loop.")
    flags.DEFINE_float("seconds", 2.0, "Length of each measurement, in seconds.")
    flags.DEFINE_integer("rounds", 3, "Times that all targets are measured.")
    flags.DEFINE_bool("uvloop", False, "Run the server processes on uvloop.")
    flags.DEFINE_bool("freeze", True, "Shorten the collector's pauses, as the daemon.")
    app.run(main)
