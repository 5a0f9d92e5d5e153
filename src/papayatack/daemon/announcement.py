"""How the upstream beside a node announces itself.

The upstream posts ``{"service", "address", "slots", "connections", "instance"}`` to
``/announce`` and repeats it until it is accepted. A new ``instance`` at the same node
means that the upstream was restarted and remembers no grants.
"""

import asyncio
import dataclasses
from typing import Annotated

import pydantic

from papayatack.daemon.replies import read_json, reply_json
from papayatack.daemon.settings import Address, Name
from papayatack.network.exchanges import Request, Response
from papayatack.observability.metrics import Metrics

__all__ = [
    "AnnouncedUpstream",
    "AnnouncementDesk",
    "UpstreamGone",
    "UpstreamInterrupted",
    "UpstreamNews",
]

MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
ANNOUNCE_TARGET = b"/announce"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncedUpstream:
    """The upstream beside this node.

    Attributes:
        service: Name of its service.
        address: Where it takes requests: ``<ip>:<port>``.
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        instance: Changes with each start of the upstream.
        leaving: It stops soon and wants no new work.
    """

    service: str
    address: str
    slots: int
    connections: int
    instance: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamGone:
    """There is no upstream beside this node any more.

    Attributes:
        is_certain: It has ended; otherwise it may only be out of reach, and hold its
            grants until they run out.
    """

    is_certain: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamInterrupted:
    """All connections to the upstream were lost, and it may have restarted since.

    It has the same id and address, so that nobody else has its grants.
    """


UpstreamNews = AnnouncedUpstream | UpstreamGone | UpstreamInterrupted
"""What becomes known of the upstream beside this node."""


class _Announcement(pydantic.BaseModel):
    """The body of an announcement; unknown fields are ignored."""

    service: Name
    address: Address
    slots: Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, pydantic.Field(ge=1, le=MAX_CONNECTIONS)]
    instance: str = ""


class AnnouncementDesk:
    """Takes announcements and passes each new one on.

    Args:
        metrics: Counts ``announcements`` by result.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._latest: AnnouncedUpstream | None = None
        self._changed: asyncio.Queue[AnnouncedUpstream | UpstreamGone] = asyncio.Queue()

    async def handle(self, request: Request) -> Response:
        """Answer one request of the upstream."""
        if request.method != b"POST" or request.target != ANNOUNCE_TARGET:
            return reply_json(404, {"detail": "POST /announce is all there is here"})
        try:
            announcement = _Announcement.model_validate(await read_json(request))
        except ValueError as error:
            self._metrics.count("announcements", "invalid")
            return reply_json(422, {"detail": str(error)})
        self._take(AnnouncedUpstream(**announcement.model_dump()))
        return reply_json(200, {"result": "accepted"})

    async def wait_changed(self) -> AnnouncedUpstream | UpstreamGone:
        """Wait for news that differ from those before."""
        return await self._changed.get()

    def suspect(self) -> None:
        """Take no notice: the gate finds out what an upstream does."""

    def note_leaving(self, instance: str) -> None:
        """Take no notice: these upstreams do not say so in their responses."""

    async def watch(self) -> None:
        """Wait until cancelled: these upstreams send no heartbeats."""
        await asyncio.get_running_loop().create_future()

    def _take(self, upstream: AnnouncedUpstream) -> None:
        if upstream == self._latest:
            self._metrics.count("announcements", "repeated")
            return
        self._metrics.count("announcements", "new")
        self._latest = upstream
        self._changed.put_nowait(upstream)
