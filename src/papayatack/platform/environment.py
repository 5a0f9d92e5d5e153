"""The environment of a node on the platform."""

import functools
import random
from collections.abc import Awaitable, Collection

from returns.result import Failure, Result, Success

from papayatack.control.interface import ConfigState, GrantSink
from papayatack.control.node import ControlNode
from papayatack.control.planning import PlanningIntervals
from papayatack.control.snapshots import SnapshotPolicy
from papayatack.core.evacuation import EVACUATION_S
from papayatack.core.identity import IncarnationId, ShardId
from papayatack.core.inventory import Configuration
from papayatack.core.ownership import OwnershipState, apply_record, load_state
from papayatack.core.ownership.selection import TailPolicy
from papayatack.core.placement import PlacementLimits
from papayatack.core.records import OWNERSHIP_STREAM
from papayatack.core.shards import is_hot_shard
from papayatack.daemon.announcement import AnnouncedUpstream
from papayatack.daemon.environment import split_address
from papayatack.logservice.bootstrap import BootstrapFailure, load_stream
from papayatack.network.identified_connections import IdentifiedConnections
from papayatack.network.limits import PeerLimits, UpstreamLimits
from papayatack.network.upstream_connection import UpstreamConnection
from papayatack.network.upstreams import UpstreamPool
from papayatack.observability.metrics import Metrics
from papayatack.platform.coldness import ColdnessChecker
from papayatack.platform.fields import REQUEST_FIELDS, PlatformDialect
from papayatack.platform.grants import MAX_DELIVERY_S, RangeGrantClient
from papayatack.platform.health_check import read_instance
from papayatack.platform.heartbeats import HeartbeatReceiver
from papayatack.platform.manifest import ManifestDecoder, ManifestFold
from papayatack.platform.settings import PlatformSettings
from papayatack.platform.store import PlatformStore
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.route_classifier import RouteClassifier

__all__ = ["PlatformEnvironment"]

LOCAL_RETRY_SHARE = 0.15
"""Fraction of the users' retry budget that a node uses for its own retries. The calls
that a retried request makes count as retries too, at each service that it calls."""

LEASE_DRAIN_RATIO = 1.5
"""Duration of a lease, relative to the time for which a leaving upstream serves.

Upstreams end work that outlasts the grant under which it began, even if the grant was
renewed, so the time left just before a renewal must be enough for a whole request.
Installations with longer requests give leaving upstreams more time. All nodes of an
installation share this setting, as all leases must have the same duration.
"""

SNAPSHOT_AGE_SHARE = 0.25
"""Age of the oldest record without a snapshot from which the next snapshot is due, as a
share of the time for which the store retains all records."""

PLANNING_INTERVALS = PlanningIntervals(
    interval_s=0.2, idle_interval_s=0.6, report_interval_s=0.6, quiet_period_s=0.8
)
PLACEMENT_LIMITS = PlacementLimits(
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


class PlatformEnvironment:
    """Implements :class:`papayatack.daemon.environment.Environment`.

    Args:
        settings: Platform settings of the node.
        metrics: Counters of the process.
        earlier: Configuration that was in force before in this process, if any.
    """

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        metrics: Metrics,
        earlier: Configuration | None = None,
    ) -> None:
        host, port = split_address(settings.store.address)
        self._settings = settings
        self._metrics = metrics
        self._hot_shards: tuple[int, Collection[ShardId]] = (-1, ())
        self._state: OwnershipState | None = None
        self._fold: ManifestFold | None = None
        self._earlier = earlier
        self.log = PlatformStore(host=host, port=port, metrics=metrics)
        self.dialect = PlatformDialect()
        self.desk = HeartbeatReceiver(
            metrics=metrics,
            interval_s=settings.upstream.heartbeat,
            service=settings.upstream.service,
            address=settings.upstream.address,
            find_health_path=self._find_health_path,
        )
        self.decoder = ManifestDecoder(places=settings.all_places, metrics=metrics)
        self.upstream_limits = UpstreamLimits(accepts_unframed=True)
        self.peer_limits = PeerLimits(
            connect_timeout_s=0.5, probe_after_s=0.1, unresponsive_after_s=0.3
        )
        self.retention_s: float | None = None
        self.snapshots = SnapshotPolicy(
            store=self.log, interval_s=SNAPSHOT_AGE_SHARE * settings.store.keep
        )
        self.pace = PLANNING_INTERVALS
        self.placement = PLACEMENT_LIMITS
        self.tailing: TailPolicy | None = TailPolicy(
            small_fleet_size=2, tailers_per_data_centre=1
        )
        self.lease_s = min(
            LEASE_DRAIN_RATIO * settings.bounds.drain, settings.bounds.longest_hold
        )
        self.delivery_s = MAX_DELIVERY_S
        self.evacuation_s = settings.bounds.evacuation or EVACUATION_S
        self.ejects_upstream = False
        self.retry_share = settings.bounds.retry_share * LOCAL_RETRY_SHARE
        self.build_classifier = functools.partial(
            RouteClassifier,
            fields=REQUEST_FIELDS,
            caller_service=settings.upstream.service,
        )

    @property
    def newest(self) -> Configuration | None:
        """The newest configuration that was in force in this process, if any."""
        if self._fold is None or not self._fold.version:
            return self._earlier
        return self._fold.configuration

    def build_sink(self) -> GrantSink:
        """Return the client that sends grants to the upstream."""
        return RangeGrantClient(
            list_hot=self._list_hot_shards,
            build_connections=self._build_grant_connections,
        )

    def _build_grant_connections(self, pool: UpstreamPool) -> IdentifiedConnections:
        async def read_id(
            connection: UpstreamConnection, *, deadline_s: float
        ) -> str | None:
            path = self._find_health_path()
            if not path:
                return None
            return await read_instance(
                connection, address=pool.address, path=path, deadline_s=deadline_s
            )

        return IdentifiedConnections(
            pool=pool,
            read_id=read_id,
            on_replaced=self.desk.note_replaced,
            may_have_restarted=self.desk.note_interruption,
        )

    def build_publisher(self, control: ControlNode, writer: IncarnationId) -> None:
        """Return ``None``: operators publish directly to the store."""

    async def load(
        self, *, random: random.Random, deadline_s: float
    ) -> Result[tuple[OwnershipState, ConfigState], BootstrapFailure]:
        """Load the ownership state from the store; the tailer reads the manifest."""
        loaded = await load_stream(
            log=self.log,
            stream=OWNERSHIP_STREAM,
            create=OwnershipState,
            load=load_state,
            metrics=self._metrics,
            random=random,
            deadline_s=deadline_s,
            snapshots=self.log,
        )
        match loaded:
            case Failure(failure):
                return Failure(failure)
        owned = loaded.unwrap()
        for logged in owned.records:
            apply_record(owned.state, logged.offset, logged.record)
        self._state = owned.state
        self._fold = ManifestFold(
            places=self._settings.all_places,
            earlier=self._earlier,
            notify_change=self.desk.note_manifest,
        )
        return Success((owned.state, self._fold))

    def note_upstream(self, upstream: AnnouncedUpstream) -> None:
        """Record the instance id of the current upstream process."""
        self.dialect.upstream_id = upstream.instance

    def follow(self, control: ControlNode, gate: AdmissionGate) -> list[Awaitable]:
        """Return the tasks to run beside the node.

        The store can restore its history from the node's records from now on.
        """
        self.log.serve_history(control.applied_records)
        checker = ColdnessChecker(
            watch=gate.cold, desk=self.desk, find_health_path=self._find_health_path
        )
        return [checker.run()]

    def _find_health_path(self) -> str:
        """Return the path of the upstream's health check, empty while unknown."""
        services = self._fold.configuration.services if self._fold is not None else ()
        name = self._settings.upstream.service
        return next((s.health_path for s in services if s.name == name), "")

    def _list_hot_shards(self) -> Collection[ShardId]:
        """Return the ids of the hot shards, each split from its parent shard."""
        state = self._state
        if state is None:
            return ()
        if self._hot_shards[0] != state.next_offset:
            hot = tuple(shard for shard in state.shards if is_hot_shard(shard))
            self._hot_shards = (state.next_offset, hot)
        return self._hot_shards[1]
