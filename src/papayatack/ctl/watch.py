"""Watches a version take effect on all nodes."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable

from returns.result import Result, Success

from papayatack.ctl.exits import CommandError
from papayatack.ctl.http import CallFailure, Reply, call_node
from papayatack.ctl.session import Session, decode_reply
from papayatack.wire.answers import StatusAnswer, VersionAnswer

__all__ = ["NodeVersion", "WatchReport", "watch_version"]

POLL_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 2.0
MAX_CALLS = 64
ENDED_STATES = frozenset({"lost", "retired", "superseded", "ended"})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeVersion:
    """The version in force on a node.

    Attributes:
        incarnation: The node.
        operator_address: Where it answers operators.
        version: The version, or ``None`` if it did not answer.
    """

    incarnation: str
    operator_address: str
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchReport:
    """How far a version has spread.

    Attributes:
        version: The version watched for.
        in_force: Number of nodes on which it or a later one is in force.
        behind: Nodes that answered with an older version.
        away: Nodes that did not answer.
    """

    version: int
    in_force: int
    behind: tuple[NodeVersion, ...]
    away: tuple[NodeVersion, ...]


async def watch_version(
    session: Session, version: int, *, print_progress: Callable[[str], None]
) -> WatchReport:
    """Ask all nodes until ``version`` is in force on each, or the time is over."""
    loop = asyncio.get_running_loop()
    end = loop.time() + session.timeout_s
    done: set[str] = set()
    shown = ""
    while True:
        nodes = await _list_nodes(session)
        done &= nodes.keys()
        waiting = {name: nodes[name] for name in nodes if name not in done}
        versions = await _ask_all(waiting)
        done |= {v.incarnation for v in versions if (v.version or 0) >= version}
        report = _summarize(version, len(done), versions)
        line = f"version {version}: in force on {len(done)} of {len(nodes)} nodes"
        if line != shown:
            print_progress(line)
            shown = line
        if len(done) == len(nodes) or loop.time() + POLL_INTERVAL_S >= end:
            return report
        await asyncio.sleep(POLL_INTERVAL_S)


def _summarize(
    version: int, in_force: int, versions: Iterable[NodeVersion]
) -> WatchReport:
    behind = [v for v in versions if v.version is not None and v.version < version]
    away = [v for v in versions if v.version is None]
    return WatchReport(
        version=version, in_force=in_force, behind=tuple(behind), away=tuple(away)
    )


async def _list_nodes(session: Session) -> dict[str, str]:
    """Return the operators' address of each live incarnation."""
    status = decode_reply(StatusAnswer, await session.get("/status"))
    nodes = {
        node.incarnation: node.operator_address
        for node in status.nodes
        if node.state not in ENDED_STATES
    }
    nodes.setdefault(status.incarnation, status.operator_address)
    return nodes


async def _ask_all(nodes: dict[str, str]) -> list[NodeVersion]:
    limit = asyncio.Semaphore(MAX_CALLS)
    tasks = [_ask(limit, name, address) for name, address in nodes.items()]
    return list(await asyncio.gather(*tasks))


async def _ask(limit: asyncio.Semaphore, name: str, address: str) -> NodeVersion:
    async with limit:
        result = await call_node(address, "GET", "/status", timeout_s=CALL_TIMEOUT_S)
    version = _read_version(name, result)
    return NodeVersion(incarnation=name, operator_address=address, version=version)


def _read_version(name: str, result: Result[Reply, CallFailure]) -> int | None:
    """Return the version if the incarnation itself answered."""
    match result:
        case Success(reply) if reply.status == 200:
            try:
                answer = decode_reply(VersionAnswer, reply)
            except CommandError:
                return None
            return answer.config_version if answer.incarnation == name else None
    return None
