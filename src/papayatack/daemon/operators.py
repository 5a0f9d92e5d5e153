"""The operators' endpoint: status, publications, draining, counters.

It has no passwords; bind it where only operators reach it.
"""

import asyncio
import dataclasses
import uuid
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Annotated
from urllib.parse import parse_qs, urlsplit

import pydantic
from returns.result import Failure, Result, Success

from papayatack.control.node import ControlNode
from papayatack.core.admission import ColdState
from papayatack.core.identity import IncarnationId
from papayatack.core.records import Announce, DeclareLost
from papayatack.daemon.publication_answer import PublicationStatus
from papayatack.daemon.replies import read_json, reply_json, reply_text
from papayatack.daemon.status import (
    describe_key,
    describe_node,
    describe_quarantine,
)
from papayatack.logservice.appender import Appender
from papayatack.logservice.interface import LogFailure, LogFailureKind
from papayatack.network.exchanges import Request, Response
from papayatack.observability.metrics import Metrics
from papayatack.wire.answers import (
    ConfigAnswer,
    ExplainAnswer,
    LiftAnswer,
    PublishAnswer,
)

if TYPE_CHECKING:
    from papayatack.daemon.publication import Publisher

__all__ = ["OperatorEndpoint", "ServingParts"]

DECLARE_TIMEOUT_S = 10.0
MAX_ID_LENGTH = 128
MAX_LIFTED = 100
PUBLICATION_STATUSES = {
    PublicationStatus.ACCEPTED: 200,
    PublicationStatus.CONFLICT: 409,
    PublicationStatus.INVALID: 422,
    PublicationStatus.REFUSED: 503,
    PublicationStatus.UNKNOWN: 503,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServingParts:
    """What exists once the upstream has announced itself.

    Attributes:
        announcement: How the node announced itself.
        control: Its control side.
        publisher: Appends publications, ``None`` if they are made elsewhere.
        declarer: Appends to the ownership stream.
        read_load: Returns the requests in flight and those that wait.
        describe_coldness: Returns whether the upstream is cold.
        read_pace: Returns how long work takes at the upstream now, relative to usual,
            and the age of its last report; ``None`` if it reports no load.
    """

    announcement: Announce
    control: ControlNode
    publisher: "Publisher | None"
    declarer: Appender
    read_load: Callable[[], tuple[int, int]]
    describe_coldness: Callable[[], ColdState]
    read_pace: Callable[[], tuple[float, float] | None]


class _PublishRequest(pydantic.BaseModel, defer_build=True):
    record_id: Annotated[str, pydantic.Field(min_length=1, max_length=MAX_ID_LENGTH)]
    base_version: Annotated[int, pydantic.Field(ge=0)]
    inventory: str
    rules: str = ""


class _DeclareRequest(pydantic.BaseModel, defer_build=True):
    incarnations: Annotated[list[str], pydantic.Field(min_length=1)]


class _LiftRequest(pydantic.BaseModel, defer_build=True):
    fingerprints: Annotated[
        list[Annotated[str, pydantic.Field(min_length=1, max_length=MAX_ID_LENGTH)]],
        pydantic.Field(min_length=1, max_length=MAX_LIFTED),
    ]


class OperatorEndpoint:
    """Answers operators.

    Args:
        metrics: The process's counters.
        start_drain: Begins the graceful shutdown of the process.
    """

    def __init__(self, *, metrics: Metrics, start_drain: Callable[[], None]) -> None:
        self._metrics = metrics
        self._start_drain = start_drain
        self.parts: ServingParts | None = None
        self._free_routes: dict[tuple[bytes, str], Callable[[], Response]] = {
            (b"GET", "/metrics"): self._read_metrics,
            (b"GET", "/latency"): self._read_latency,
            (b"POST", "/drain"): self._drain,
        }
        self._routes: dict[
            tuple[bytes, str], Callable[[ServingParts, Request], Awaitable[Response]]
        ] = {
            (b"GET", "/status"): self._read_status,
            (b"GET", "/config"): self._read_config,
            (b"GET", "/explain"): self._explain,
            (b"POST", "/publish"): self._publish,
            (b"POST", "/declare-lost"): self._declare_lost,
            (b"GET", "/quarantine"): self._read_quarantine,
            (b"POST", "/lift"): self._lift,
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request of an operator."""
        path = urlsplit(request.target.decode("latin-1")).path
        route = (request.method, path)
        if route in self._free_routes:
            return self._free_routes[route]()
        handler = self._routes.get(route)
        if handler is None:
            return reply_json(404, {"detail": f"no {path} here; see docs/operators"})
        if self.parts is None:
            detail = "the upstream beside this node has not announced itself yet"
            return reply_json(503, {"result": "refused", "detail": detail})
        try:
            return await handler(self.parts, request)
        except ValueError as error:
            return reply_json(422, {"result": "invalid", "faults": [str(error)]})

    def _read_metrics(self) -> Response:
        return reply_text(200, self._metrics.format_text())

    def _read_latency(self) -> Response:
        latencies = self._metrics.latencies.items()
        return reply_json(200, {name: h.read_quantiles() for name, h in latencies})

    def _drain(self) -> Response:
        self._start_drain()
        return reply_json(202, {"result": "draining"})

    async def _read_status(self, parts: ServingParts, request: Request) -> Response:
        in_flight, queue = parts.read_load()
        status = describe_node(
            parts.control,
            parts.announcement,
            now=asyncio.get_running_loop().time(),
            in_flight=in_flight,
            queue=queue,
            coldness=parts.describe_coldness(),
            pace=parts.read_pace(),
        )
        return reply_json(200, status.model_dump())

    async def _read_config(self, parts: ServingParts, request: Request) -> Response:
        config = parts.control.config
        if parts.publisher is None:
            return reply_json(200, {"version": config.version})
        answer = ConfigAnswer(
            version=config.version, inventory=config.inventory, rules=config.rules
        )
        return reply_json(200, answer.model_dump())

    async def _explain(self, parts: ServingParts, request: Request) -> Response:
        query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
        service = query.get("service", [""])[0]
        key = query.get("key", [""])[0]
        found = describe_key(parts.control, service, key)
        if isinstance(found, ExplainAnswer):
            return reply_json(200, found.model_dump())
        return reply_json(404, {"detail": found})

    async def _publish(self, parts: ServingParts, request: Request) -> Response:
        if parts.publisher is None:
            detail = "publications go to the platform's store here"
            return reply_json(404, {"result": "refused", "detail": detail})
        document = _PublishRequest.model_validate(await read_json(request))
        answer = await parts.publisher.publish(**document.model_dump())
        self._metrics.count("publications", answer.status.value)
        reply = PublishAnswer(
            result=answer.status.value,
            version=answer.version,
            difference=list(answer.difference),
            faults=list(answer.faults),
            detail=answer.detail,
        )
        return reply_json(PUBLICATION_STATUSES[answer.status], reply.model_dump())

    async def _declare_lost(self, parts: ServingParts, request: Request) -> Response:
        document = _DeclareRequest.model_validate(await read_json(request))
        members = parts.control.core.state.members
        unknown = [name for name in document.incarnations if name not in members]
        if unknown:
            detail = f"not known: {', '.join(unknown)}; see papayatackctl status"
            reply = PublishAnswer(result="invalid", detail=detail, faults=[detail])
            return reply_json(409, reply.model_dump())
        record = DeclareLost(
            record_id=uuid.uuid4().hex,
            writer=parts.announcement.incarnation,
            incarnations=tuple(IncarnationId(name) for name in document.incarnations),
        )
        deadline_s = asyncio.get_running_loop().time() + DECLARE_TIMEOUT_S
        result = await parts.declarer.append(record, deadline_s=deadline_s)
        return _reply_append(result)

    async def _read_quarantine(self, parts: ServingParts, request: Request) -> Response:
        answer = describe_quarantine(parts.control.quarantine.list_open())
        return reply_json(200, answer.model_dump())

    async def _lift(self, parts: ServingParts, request: Request) -> Response:
        """Clear suspicions; other nodes learn it at once, the log a little later."""
        document = _LiftRequest.model_validate(await read_json(request))
        quarantine = parts.control.quarantine
        lifted = [name for name in document.fingerprints if quarantine.lift(name)]
        unknown = [name for name in document.fingerprints if name not in lifted]
        answer = LiftAnswer(lifted=lifted, unknown=unknown)
        return reply_json(200, answer.model_dump())


def _reply_append(result: Result[int, LogFailure]) -> Response:
    match result:
        case Success(_):
            return reply_json(200, PublishAnswer(result="accepted").model_dump())
        case Failure(failure) if failure.kind is LogFailureKind.UNKNOWN:
            reply = PublishAnswer(result="unknown", detail="repeat the declaration")
            return reply_json(503, reply.model_dump())
    reply = PublishAnswer(result="refused", detail="the log service is away")
    return reply_json(503, reply.model_dump())
