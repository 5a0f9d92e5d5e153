"""Watches how the shards of each service are shared out among its nodes."""

import asyncio
import dataclasses
import logging
from collections import Counter, defaultdict
from collections.abc import Collection, Iterator

from papayatack.core.identity import IncarnationId, LeaseId
from papayatack.core.ownership.node import NodeCore
from papayatack.core.ownership.selection import find_planner
from papayatack.core.shards import is_hot_shard
from papayatack.observability.events import Event, log_event
from papayatack.observability.metrics import Metrics

__all__ = ["ServiceShares", "ShareWatch", "measure_shares"]

LOGGER = logging.getLogger(__name__)

MIN_INTERVAL_S = 1.0
"""Minimum time between two measurements."""

INTERVAL_PER_SHARD_S = 0.0002
"""Time between two measurements for each shard, which bounds what they cost."""

MAX_SHARE_RATIO = 2.5
"""Bound on the share of the shards on one node, relative to its share of the slots. It
leaves room for nodes that have many shards because these have little load."""

TOLERATED_S = 2.0
"""Time for which the bounds may be exceeded without a log line."""

LOG_INTERVAL_S = 10.0
"""Minimum time between two lines about the same service."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShares:
    """How the shards of a service are shared out.

    Attributes:
        service: The service.
        shards: Number of its shards, without those of hot keys.
        unowned: Number of these that no live lease of their chain may serve.
        node: Node with the largest share relative to its share of the slots.
        share: Share of the shards that it owns.
        slot_share: Its share of the slots of all nodes with a live lease.
    """

    service: str
    shards: int
    unowned: int
    node: IncarnationId
    share: float
    slot_share: float

    @property
    def ratio(self) -> float:
        """Share of the shards relative to the share of the slots."""
        return self.share / self.slot_share if self.slot_share else 0.0

    @property
    def is_out_of_bounds(self) -> bool:
        """Whether a node has too many shards, or shards have no owner."""
        return self.unowned > 0 or self.ratio > MAX_SHARE_RATIO


def measure_shares(core: NodeCore) -> Iterator[ServiceShares]:
    """Return the shares of each service with shards, as far as this node knows."""
    state = core.state
    chains: dict[str, Counter[tuple[LeaseId, ...]]] = defaultdict(Counter)
    for shard, entry in state.shards.items():
        if entry.current.leases and not is_hot_shard(shard):
            chains[shard.partition("/")[0]][entry.current.leases] += 1
    slots: dict[str, dict[IncarnationId, int]] = defaultdict(dict)
    for member in state.list_live_members():
        lease = state.find_live_lease(member.incarnation)
        if lease is not None and not core.is_ended(lease):
            slots[member.service][member.incarnation] = max(1, member.slots)
    for service, counts in sorted(chains.items()):
        owned: Counter[IncarnationId] = Counter()
        for chain, count in counts.items():
            owned[_find_owner(core, chain)] += count
        unowned = owned.pop(IncarnationId(""), 0)
        yield _describe(service, counts.total(), unowned, owned, slots[service])


def _find_owner(core: NodeCore, chain: Collection[LeaseId]) -> IncarnationId:
    """Return the first holder whose lease has not ended, an empty string if none."""
    live = (lease.incarnation for lease in chain if not core.is_ended(lease))
    return next(live, IncarnationId(""))


def _describe(
    service: str,
    shards: int,
    unowned: int,
    owned: Counter[IncarnationId],
    slots: dict[IncarnationId, int],
) -> ServiceShares:
    total = sum(slots.values())
    largest = max(
        sorted(owned), key=lambda name: owned[name] / slots.get(name, 1), default=None
    )
    return ServiceShares(
        service=service,
        shards=shards,
        unowned=unowned,
        node=largest or IncarnationId(""),
        share=owned[largest] / shards if largest else 0.0,
        slot_share=slots.get(largest, 1) / max(total, 1) if largest else 0.0,
    )


class ShareWatch:
    """Measures the shares at intervals, and logs those that stay out of bounds.

    Each node counts for itself. Only the node with the largest share and the planner
    log, so that there are two lines at most about the same moment.

    Args:
        core: The ownership core of the node.
        metrics: Counters and gauges of the process.
    """

    def __init__(self, *, core: NodeCore, metrics: Metrics) -> None:
        self.shares: tuple[ServiceShares, ...] = ()
        self._core = core
        self._metrics = metrics
        self._last_inputs = (-1, -1)
        self._exceeded_since_s: dict[str, float] = {}
        self._logged_s: dict[str, float] = {}

    async def run(self) -> None:
        """Measure at intervals until cancelled."""
        while True:
            shards = len(self._core.state.shards)
            await asyncio.sleep(max(MIN_INTERVAL_S, INTERVAL_PER_SHARD_S * shards))
            self.measure(
                asyncio.get_running_loop().time(), is_planner=self._is_planner()
            )

    def _is_planner(self) -> bool:
        """Return whether this node plans the owners of shards, as far as it knows."""
        return find_planner(self._core.state) == self._core.incarnation

    def measure(self, now: float, *, is_planner: bool) -> None:
        """Measure the shares now and log what has been out of bounds for too long.

        Args:
            now: Time of the event loop in seconds.
            is_planner: Whether this node is the planner.
        """
        inputs = self._core.state.next_offset, self._core.count_reported_ends()
        if inputs != self._last_inputs:
            self._last_inputs = inputs
            self.shares = tuple(measure_shares(self._core))
        self._metrics.set_gauge(
            "largest_share_ratio", max((s.ratio for s in self.shares), default=0.0)
        )
        self._metrics.set_gauge(
            "shards_without_owner", sum(s.unowned for s in self.shares)
        )
        for found in self.shares:
            if not found.is_out_of_bounds:
                self._exceeded_since_s.pop(found.service, None)
                continue
            since_s = self._exceeded_since_s.setdefault(found.service, now)
            logged_s = self._logged_s.get(found.service, float("-inf"))
            concerned = is_planner or found.node == self._core.incarnation
            if (
                concerned
                and now - since_s >= TOLERATED_S
                and now - logged_s >= LOG_INTERVAL_S
            ):
                self._logged_s[found.service] = now
                _log(found, now - since_s)


def _log(found: ServiceShares, elapsed_s: float) -> None:
    log_event(
        LOGGER,
        Event.KEYS_CONCENTRATED,
        level=logging.WARNING,
        subject=found.service,
        node=found.node,
        share=round(found.share, 3),
        slot_share=round(found.slot_share, 3),
        shards=found.shards,
        unowned=found.unowned,
        elapsed_ms=int(elapsed_s * 1_000),
    )
