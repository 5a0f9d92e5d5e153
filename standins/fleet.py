"""Starts a log stand-in, upstream stand-ins and real nodes as processes on loopback.

Every process is started here and ended here, by its id.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import socket
import sys
import tempfile

__all__ = ["Fleet", "Member", "Site", "call", "pick_ports"]

PORT_RANGE = (20_000, 32_000)
_given_ports: set[int] = set()
_share = {"part": 0, "parts": 1}
LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
LOG_TAIL_CHARACTERS = 2_000
SETTINGS = """[node]
data_centre = {place}
region = {region}
[listen]
callers = 127.0.0.1:{callers}
peers = 127.0.0.1:{peers}
operators = 127.0.0.1:{operators}
upstream = 127.0.0.1:{desk}
[log]
address = 127.0.0.1:{log}
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Where a node runs and what its upstream serves.

    Attributes:
        service: The upstream's service.
        place: Data centre.
        region: Region.
        slots: Requests that the upstream runs at once.
        connections: Connections that the upstream accepts.
    """

    service: str
    place: str
    region: str
    slots: int = 14
    connections: int = 130


@dataclasses.dataclass(slots=True, kw_only=True)
class Member:
    """One VM: an upstream and the node beside it.

    Attributes:
        site: Where it runs.
        callers: Port for callers.
        peers: Port for nodes.
        operators: Port for operators.
        desk: Port for the upstream's announcements.
        upstream: Port of the upstream.
        node: The node's process.
        server: The upstream's process.
        ended: The node was told to end.
    """

    site: Site
    callers: int
    peers: int
    operators: int
    desk: int
    upstream: int
    node: asyncio.subprocess.Process | None = None
    server: asyncio.subprocess.Process | None = None
    ended: bool = False

    @property
    def operator_address(self) -> str:
        """The node's operators' address."""
        return f"{LOOPBACK}:{self.operators}"

    def kill(self) -> None:
        """End node and upstream at once, as the loss of a VM does."""
        self.ended = True
        for process in (self.node, self.server):
            _signal(process, signal.SIGKILL)

    def freeze(self) -> None:
        """Pause node and upstream."""
        for process in (self.node, self.server):
            _signal(process, signal.SIGSTOP)

    def thaw(self) -> None:
        """Let node and upstream go on."""
        for process in (self.node, self.server):
            _signal(process, signal.SIGCONT)

    def drain(self) -> None:
        """Begin the node's graceful shutdown."""
        self.ended = True
        _signal(self.node, signal.SIGTERM)


class Fleet:
    """All processes of one experiment.

    Args:
        sites: One VM each.
        check_grants: Services whose upstreams check grants.
    """

    def __init__(self, *, sites: tuple[Site, ...], check_grants: frozenset[str]):
        self._check_grants = check_grants
        self._folder = tempfile.TemporaryDirectory(prefix="papayatack-")
        ports = iter(pick_ports(1 + 5 * len(sites)))
        self.log_port = next(ports)
        self.log: asyncio.subprocess.Process | None = None
        self.members = [_build_member(site, ports) for site in sites]

    async def __aenter__(self) -> "Fleet":
        await self.start_log()
        for member in self.members:
            await self.start_member(member)
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._report_ended()
        processes = [p for m in self.members for p in (m.node, m.server)]
        for process in (*processes, self.log):
            _signal(process, signal.SIGCONT)
            _signal(process, signal.SIGKILL)
        for process in (*processes, self.log):
            if process is not None:
                await process.wait()
        self._folder.cleanup()

    def _report_ended(self) -> None:
        """Print the last lines of nodes that ended by themselves."""
        for member in self.members:
            node = member.node
            if node is not None and node.returncode is not None and not member.ended:
                print(f"node {member.peers} ended with status {node.returncode}:")
                print(self.read_log(member)[-LOG_TAIL_CHARACTERS:])

    async def start_log(self) -> None:
        """Start the log stand-in."""
        self.log = await self._start("standins.logservice", f"--port={self.log_port}")
        await _wait_port(self.log_port)

    async def start_member(self, member: Member) -> None:
        """Start a VM's node and its upstream."""
        await self.start_node(member)
        await self.start_upstream(member)

    async def start_node(self, member: Member) -> None:
        """Start a node alone."""
        member.ended = False
        text = SETTINGS.format(
            place=member.site.place,
            region=member.site.region,
            callers=member.callers,
            peers=member.peers,
            operators=member.operators,
            desk=member.desk,
            log=self.log_port,
        )
        path = pathlib.Path(self._folder.name) / f"{member.peers}.ini"
        path.write_text(text, encoding="utf-8")
        member.node = await self._start(
            "papayatack.daemon.main",
            f"--settings={path}",
            log_path=path.with_suffix(".log"),
        )

    async def start_upstream(self, member: Member) -> None:
        """Start an upstream alone."""
        checks = member.site.service in self._check_grants
        member.server = await self._start(
            "standins.upstream",
            f"--port={member.upstream}",
            f"--service={member.site.service}",
            f"--slots={member.site.slots}",
            f"--connections={member.site.connections}",
            f"--check_grants={'true' if checks else 'false'}",
            f"--announce={LOOPBACK}:{member.desk}",
        )

    def read_log(self, member: Member) -> str:
        """Return what a node has written to its log."""
        path = pathlib.Path(self._folder.name) / f"{member.peers}.log"
        return path.read_text(encoding="utf-8") if path.exists() else ""

    async def _start(
        self, module: str, *arguments: str, log_path: pathlib.Path | None = None
    ) -> asyncio.subprocess.Process:
        output = asyncio.subprocess.DEVNULL
        with contextlib.ExitStack() as stack:
            if log_path is not None:
                output = stack.enter_context(log_path.open("ab"))
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *arguments, stdout=output, stderr=output
            )


def share_ports(*, part: int, parts: int) -> None:
    """Have :func:`pick_ports` leave the ports of other processes of the tests alone.

    Args:
        part: Number of this process, from 0.
        parts: Number of processes that pick ports at the same time.
    """
    _share.update(part=part, parts=parts)


def pick_ports(count: int) -> list[int]:
    """Return free ports on loopback, each given out once by this process.

    They lie below those that the system gives to outgoing connections, so that none
    of these takes one before it is used.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        is_other = port % _share["parts"] != _share["part"]
        if is_other or port in _given_ports or not _is_free(port):
            continue
        _given_ports.add(port)
        found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


async def call(
    port: int,
    target: str,
    *,
    method: str = "GET",
    headers: tuple[str, ...] = (),
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Send one HTTP request on a connection of its own.

    Returns:
        Status and the rest of the answer; status 0 if there was none in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            lines = [f"{method} {target} HTTP/1.1", "Host: papayatack", *headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            answer = await reader.read(-1)
            writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    head = answer.split(b" ", 2)
    if len(head) < 3 or not head[1].isdigit():
        return 0, answer
    return int(head[1]), answer


async def _wait_port(port: int) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(LOOPBACK, port)
            except OSError:
                await asyncio.sleep(READY_POLL_S)
                continue
            writer.close()
            return


def _build_member(site: Site, ports) -> Member:
    return Member(
        site=site,
        callers=next(ports),
        peers=next(ports),
        operators=next(ports),
        desk=next(ports),
        upstream=next(ports),
    )


def _signal(process: asyncio.subprocess.Process | None, number: int) -> None:
    if process is not None and process.returncode is None:
        process.send_signal(number)
