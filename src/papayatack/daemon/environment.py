"""What differs between the deployments in which a node can run."""

import random
from collections.abc import Awaitable
from typing import TYPE_CHECKING, Protocol

from returns.result import Failure, Result, Success

from papayatack.control.interface import ConfigState, GrantSink
from papayatack.control.node import ControlNode
from papayatack.control.planning import PlanningIntervals
from papayatack.control.snapshots import SnapshotPolicy
from papayatack.core.evacuation import EVACUATION_S
from papayatack.core.identity import IncarnationId
from papayatack.core.inventory import Configuration
from papayatack.core.ownership import OwnershipState
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.ownership.timing import LEASE_DURATION_S
from papayatack.core.placement import PlacementLimits
from papayatack.core.records import CONFIG_STREAM
from papayatack.core.retry import RETRY_BUDGET_RATIO
from papayatack.daemon.announcement import (
    AnnouncedUpstream,
    AnnouncementDesk,
    UpstreamNews,
)
from papayatack.daemon.health import follow_health
from papayatack.daemon.settings import Settings
from papayatack.logservice.appender import Appender
from papayatack.logservice.bootstrap import BootstrapFailure
from papayatack.logservice.decoding import RecordDecoder
from papayatack.logservice.interface import LogService
from papayatack.network.exchanges import Request, Response
from papayatack.network.grants import GrantClient
from papayatack.network.limits import PeerLimits, UpstreamLimits
from papayatack.observability.metrics import Metrics
from papayatack.proxy.classification import Classifier, RequestClassifier
from papayatack.proxy.dialect import DefaultDialect, Dialect
from papayatack.proxy.gate import AdmissionGate

if TYPE_CHECKING:
    from papayatack.daemon.publication import Publisher

__all__ = ["StandaloneEnvironment", "Environment", "UpstreamDesk", "split_address"]


class UpstreamDesk(Protocol):
    """Takes what the upstream beside this node says of itself."""

    async def handle(self, request: Request) -> Response:
        """Answer one call of the upstream."""

    async def wait_changed(self) -> UpstreamNews:
        """Wait for news that differ from those before."""

    def suspect(self) -> None:
        """Take in that the upstream accepts no connections."""

    def note_leaving(self, instance: str) -> None:
        """Record that an upstream says in its responses that it leaves."""

    async def watch(self) -> None:
        """Notice an upstream that has stopped without a word, until cancelled."""


class Environment(Protocol):
    """The deployment round a node.

    Attributes:
        log: The platform's log service.
        dialect: Header fields of requests and answers.
        desk: Where the upstream reports.
        decoder: Decodes the records of both streams.
        upstream_limits: Limits towards the upstream.
        peer_limits: Limits between nodes.
        retention_s: Seconds for which the log keeps records; ``None`` if for ever.
        snapshots: Where snapshots of the ownership state are stored, if they are.
        pace: How soon placement follows changes.
        placement: What one plan may change.
        tailing: Which nodes follow the log themselves; ``None`` for the usual ones.
        lease_s: Length of a node's lease. Where an upstream ends the work that
            outlasts the grant under which it began, a lease lasts as long as work.
        delivery_s: Longest time that a grant takes to reach an upstream that counts
            its duration from its arrival.
        evacuation_s: Seconds after an order to evacuate a data centre from which no
            request may reach an upstream there.
        ejects_upstream: Whether the gate takes an upstream that fails out of use.
        retry_share: Further attempts allowed for each request.
    """

    log: LogService
    dialect: Dialect
    desk: UpstreamDesk
    decoder: RecordDecoder
    upstream_limits: UpstreamLimits
    peer_limits: PeerLimits
    retention_s: float | None
    snapshots: SnapshotPolicy | None
    pace: PlanningIntervals
    placement: PlacementLimits
    tailing: TailPolicy | None
    lease_s: float
    delivery_s: float
    evacuation_s: float
    ejects_upstream: bool
    retry_share: float

    def build_classifier(self, *, configuration: Configuration) -> RequestClassifier:
        """Return what classifies requests under a configuration."""

    def build_sink(self) -> GrantSink:
        """Return what tells the upstream its grants."""

    def build_publisher(
        self, control: ControlNode, writer: IncarnationId
    ) -> "Publisher | None":
        """Return what publishes configurations, ``None`` if that is done elsewhere."""

    async def load(
        self, *, random: random.Random, deadline_s: float
    ) -> Result[tuple[OwnershipState, ConfigState], BootstrapFailure]:
        """Load the state of both streams from the log."""

    def note_upstream(self, upstream: AnnouncedUpstream) -> None:
        """Take in the upstream's present life."""

    def follow(self, control: ControlNode, gate: AdmissionGate) -> list[Awaitable]:
        """Return what else runs beside the node until it is cancelled."""


class StandaloneEnvironment:
    """The product's own interfaces, without the users' platform.

    What they alone need is imported where it is used: elsewhere it would cost time and
    memory at each start.

    Args:
        settings: The daemon's settings.
        metrics: Counters of the process.
    """

    def __init__(self, *, settings: Settings, metrics: Metrics) -> None:
        from papayatack.logservice.http import HttpLogService

        host, port = split_address(settings.log.address)
        self._metrics = metrics
        self.log: LogService = HttpLogService(host=host, port=port)
        self.dialect: Dialect = DefaultDialect()
        self.desk = AnnouncementDesk(metrics=metrics)
        self.decoder = RecordDecoder(metrics=metrics)
        self.upstream_limits = UpstreamLimits()
        self.peer_limits = PeerLimits()
        self.retention_s: float | None = settings.log.retention_s
        self.snapshots: SnapshotPolicy | None = None
        self.pace = PlanningIntervals()
        self.placement = PlacementLimits()
        self.tailing: TailPolicy | None = None
        self.lease_s = LEASE_DURATION_S
        self.delivery_s = 0.0
        self.evacuation_s = EVACUATION_S
        self.ejects_upstream = True
        self.retry_share = RETRY_BUDGET_RATIO
        self._sink = GrantClient()

    def build_classifier(self, *, configuration: Configuration) -> RequestClassifier:
        """Return what classifies requests under a configuration."""
        return Classifier(configuration=configuration)

    def build_sink(self) -> GrantSink:
        """Return what tells the upstream its grants."""
        return self._sink

    def build_publisher(
        self, control: ControlNode, writer: IncarnationId
    ) -> "Publisher | None":
        """Return what publishes configurations."""
        from papayatack.core.config_fold import ConfigFold
        from papayatack.daemon.publication import Publisher

        config = control.config
        if not isinstance(config, ConfigFold):
            return None
        appender = Appender(
            log=self.log,
            stream=CONFIG_STREAM,
            metrics=self._metrics,
            random=random.Random(),
        )
        return Publisher(config=config, appender=appender, writer=writer)

    async def load(
        self, *, random: random.Random, deadline_s: float
    ) -> Result[tuple[OwnershipState, ConfigState], BootstrapFailure]:
        """Load the state of both streams from the log."""
        from papayatack.control.loading import load_streams

        loaded = await load_streams(
            log=self.log, metrics=self._metrics, random=random, deadline_s=deadline_s
        )
        match loaded:
            case Success((state, config)):
                return Success((state, config))
            case Failure(failure):
                return Failure(failure)

    def note_upstream(self, upstream: AnnouncedUpstream) -> None:
        """Take in the upstream's present life, which nothing here depends on."""

    def follow(self, control: ControlNode, gate: AdmissionGate) -> list[Awaitable]:
        """Return what else runs beside the node until it is cancelled."""
        return [follow_health(self._sink, gate)]


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``<ip>:<port>``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
