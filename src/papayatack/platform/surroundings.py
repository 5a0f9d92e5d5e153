"""The platform round a node."""

import functools
import random
from collections.abc import Awaitable, Collection

from returns.result import Failure, Result, Success

from papayatack.control.interface import ConfigState, GrantSink
from papayatack.control.node import ControlNode
from papayatack.control.planning import PlanPace
from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.ownership import OwnershipState, apply_record, load_state
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.placement import PlacementLimits
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.core.shards import is_hot_shard
from papayatack.daemon.announcement import AnnouncedUpstream
from papayatack.daemon.surroundings import split_address
from papayatack.logservice.bootstrap import BootstrapFailure, load_stream
from papayatack.logservice.interface import LogService
from papayatack.network.limits import PeerLimits, UpstreamLimits
from papayatack.observability.metrics import Metrics
from papayatack.platform.fields import FIELDS, PlatformDialect
from papayatack.platform.grants import RangeGrants
from papayatack.platform.heartbeats import HeartbeatDesk
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from papayatack.platform.settings import PlatformSettings
from papayatack.platform.store import PlatformStore
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.routing import RouteClassifier

__all__ = ["PlatformSurroundings"]

OWN_RETRY_SHARE = 0.15
"""Part of the users' retry budget for a node's further attempts: the calls that a
repeated run makes count as repeats too, each at the service that it calls."""

LEASE_S = 3.0
"""Upstreams end work that outlasts the grant under which it began, renewed or not: of
a lease just before its renewal, the time for a whole request must be left."""

PACE = PlanPace(
    interval_s=0.2, idle_interval_s=0.6, report_interval_s=0.6, gather_s=0.8
)
PLACEMENT = PlacementLimits(
    max_moves=48,
    max_hourly_move_share=float("inf"),
    max_hot_shards=96,
    start_imbalance=0.25,
    stop_imbalance=0.1,
    min_gain=0.02,
    hot_threshold=0.1,
    cool_threshold=0.03,
    move_cooldown_s=2.5,
    min_hot_age_s=10.0,
)


class PlatformSurroundings:
    """Implements :class:`papayatack.daemon.surroundings.Surroundings`.

    Args:
        settings: The node's settings on the platform.
        metrics: Counters of the process.
    """

    def __init__(self, *, settings: PlatformSettings, metrics: Metrics) -> None:
        host, port = split_address(settings.store.address)
        self._settings = settings
        self._metrics = metrics
        self._hot: tuple[int, Collection[ShardId]] = (-1, ())
        self._state: OwnershipState | None = None
        self._fold: ManifestFold | None = None
        self.log: LogService = PlatformStore(host=host, port=port, metrics=metrics)
        self.dialect = PlatformDialect()
        self.desk = HeartbeatDesk(
            metrics=metrics,
            interval_s=settings.upstream.heartbeat,
            service=settings.upstream.service,
            address=settings.upstream.address,
            find_health_path=self._find_health_path,
        )
        self.decoder = ManifestDecoder(places=settings.all_places, metrics=metrics)
        self.upstream_limits = UpstreamLimits(accepts_unframed=True)
        self.peer_limits = PeerLimits(
            connect_timeout_s=0.5, probe_after_s=0.4, unresponsive_after_s=1.0
        )
        self.retention_s: float | None = None
        self.pace = PACE
        self.placement = PLACEMENT
        self.tailing: TailPolicy | None = TailPolicy(
            small_fleet_size=2, tailers_per_data_centre=1
        )
        self.lease_s = min(LEASE_S, settings.bounds.longest_hold)
        self.judges_upstream = False
        self.retry_share = settings.bounds.retry_share * OWN_RETRY_SHARE
        self.build_classifier = functools.partial(
            RouteClassifier, fields=FIELDS, caller_service=settings.upstream.service
        )

    def build_sink(self) -> GrantSink:
        """Return what tells the upstream its grants."""
        return RangeGrants(list_hot=self._list_hot)

    def build_publisher(self, control: ControlNode, writer: IncarnationId) -> None:
        """Return nothing: operators publish in the store itself."""

    async def load(
        self, *, random: random.Random, deadline_s: float
    ) -> Result[tuple[OwnershipState, ConfigState], BootstrapFailure]:
        """Load the ownership from the store; the manifest is read by its tailer."""
        loaded = await load_stream(
            log=self.log,
            stream=OWNERSHIP_STREAM,
            create=OwnershipState,
            load=load_state,
            metrics=self._metrics,
            random=random,
            deadline_s=deadline_s,
        )
        match loaded:
            case Failure(failure):
                return Failure(failure)
        owned = loaded.unwrap()
        for logged in owned.records:
            apply_record(owned.state, logged.offset, logged.record)
        self._state = owned.state
        self._fold = ManifestFold(places=self._settings.all_places)
        return Success((owned.state, self._fold))

    def note_upstream(self, upstream: AnnouncedUpstream) -> None:
        """Take in the upstream's present life."""
        self.dialect.upstream_id = upstream.instance

    def follow(self, control: ControlNode, gate: AdmissionGate) -> list[Awaitable]:
        """Return nothing: heartbeats tell what is to be known."""
        return []

    def _find_health_path(self) -> str:
        """Return where the upstream says how it is, empty while not known."""
        services = self._fold.configuration.services if self._fold is not None else ()
        name = self._settings.upstream.service
        return next((s.health_path for s in services if s.name == name), "")

    def _list_hot(self) -> Collection[ShardId]:
        """Return the hot slices that are shards of their own."""
        state = self._state
        if state is None:
            return ()
        if self._hot[0] != state.next_offset:
            hot = tuple(shard for shard in state.shards if is_hot_shard(shard))
            self._hot = (state.next_offset, hot)
        return self._hot[1]
