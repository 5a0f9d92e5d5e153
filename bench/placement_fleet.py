"""A fleet with Zipf-distributed keys, for measuring planners."""

import bisect
import dataclasses
import math
import random
import statistics
from collections import defaultdict

from papayatack.core.identity import IncarnationId, LeaseId, ShardId
from papayatack.core.inventory import (
    Configuration,
    KeyRange,
    KeySource,
    Place,
    Service,
)
from papayatack.core.messages import LoadReport, ShardLoad
from papayatack.core.placement import PlacementNode, PlacementView
from papayatack.core.shards import format_hot_shard_id, list_shards, locate_shard

SERVICE = "bench"
RANGE = "all"
WINDOW_S = 30.0
ROUND_S = 10.0
REPORTED_KEYS = 8
HOTTEST = 29


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """A fleet to be measured.

    Attributes:
        name: What it stands for.
        nodes: Number of instances.
        places: Number of data centres.
        regions: Number of regions.
        slots: Slots of an instance.
        shards: Number of shards.
        keys: Number of keys in use.
        exponent: Exponent of the Zipf distribution.
        explicit: Number of hottest keys modelled one by one.
        utilisation: Mean share of slots in use.
        service_time_s: Mean time of a request.
    """

    name: str
    nodes: int
    places: int
    regions: int
    slots: int
    shards: int
    keys: int
    exponent: float
    explicit: int
    utilisation: float
    service_time_s: float


BARRANQUILLA = FleetSize(
    name="Barranquilla hiring, 9 instances",
    nodes=9,
    places=3,
    regions=1,
    slots=14,
    shards=256,
    keys=200_000,
    exponent=0.9,
    explicit=2_000,
    utilisation=0.5,
    service_time_s=0.02,
)
ESTONIA = FleetSize(
    name="Estonia ordering, 6 instances",
    nodes=6,
    places=4,
    regions=1,
    slots=18,
    shards=192,
    keys=100_000,
    exponent=0.9,
    explicit=2_000,
    utilisation=0.5,
    service_time_s=0.02,
)
THOUSAND = FleetSize(
    name="1,000 nodes, 900 million keys",
    nodes=1_000,
    places=24,
    regions=7,
    slots=14,
    shards=24_576,
    keys=900_000_000,
    exponent=0.7,
    explicit=4_000,
    utilisation=0.5,
    service_time_s=0.0005,
)


def make_view(size: FleetSize) -> PlacementView:
    """Return the fleet without any assignment."""
    names = [f"dc{number}" for number in range(size.places)]
    service = Service(
        name=SERVICE,
        prefix="/bench",
        key=KeySource(kind="path", name="1"),
        key_ranges=(KeyRange(name=RANGE, shards=size.shards),),
        slots=size.slots,
        places=tuple(names),
    )
    configuration = Configuration(
        version=1,
        services=(service,),
        places=tuple(
            Place(name=name, region=f"r{number % size.regions}")
            for number, name in enumerate(names)
        ),
    )
    nodes = tuple(make_node(size, number) for number in range(size.nodes))
    return PlacementView(configuration=configuration, nodes=nodes, shards={})


def make_node(size: FleetSize, number: int) -> PlacementNode:
    """Return a warm node."""
    place = number % size.places
    address = f"10.{number >> 8}.{number & 255}.7:7000"
    return PlacementNode(
        lease=LeaseId(IncarnationId(f"{address}#{number:08x}"), 1),
        data_centre=f"dc{place}",
        region=f"r{place % size.regions}",
        service=SERVICE,
        slots=size.slots,
        age_s=3600.0,
    )


def _sum_zipf(size: FleetSize) -> float:
    """Return the sum of all weights; the tail is integrated."""
    cut, power = size.explicit, 1.0 - size.exponent
    head = sum(rank**-size.exponent for rank in range(1, cut + 1))
    return head + ((size.keys + 0.5) ** power - (cut + 0.5) ** power) / power


class Workload:
    """The true load of each key, and what nodes measure of it."""

    def __init__(self, *, size: FleetSize, view: PlacementView, seed: int) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.configuration = view.configuration
        self.shards = list_shards(view.configuration)
        total = size.nodes * size.slots * size.utilisation / _sum_zipf(size)
        self.busy = {
            f"key-{rank}": total * rank**-size.exponent
            for rank in range(1, size.explicit + 1)
        }
        head = sum(self.busy.values())
        rest = size.nodes * size.slots * size.utilisation - head
        self.tail = dict.fromkeys(self.shards, rest / size.shards)
        self.parents = {
            key: locate_shard(view.configuration, SERVICE, key).unwrap()
            for key in self.busy
        }
        self._measured_keys = dict(self.busy)
        self._measured_tail = dict(self.tail)

    def change_hottest(self) -> None:
        """Give the load of the hottest keys to as many others."""
        ranked = sorted(self.busy, key=self.busy.__getitem__, reverse=True)
        heirs = self.rng.sample(ranked[len(ranked) // 2 :], HOTTEST)
        for old, new in zip(ranked[:HOTTEST], heirs, strict=True):
            self.busy[old], self.busy[new] = self.busy[new], self.busy[old]

    def measure(self) -> None:
        """Let one round pass: measured loads follow the true ones, with noise."""
        share = 1.0 - math.exp(-ROUND_S / WINDOW_S)
        for true, measured in (
            (self.busy, self._measured_keys),
            (self.tail, self._measured_tail),
        ):
            for name, busy in true.items():
                requests = max(1.0, busy / self.size.service_time_s * ROUND_S)
                seen = busy * max(0.0, self.rng.gauss(1.0, 1.0 / math.sqrt(requests)))
                measured[name] += share * (seen - measured[name])

    def sum_shards(
        self, hot: set[ShardId], *, measured: bool = False
    ) -> dict[ShardId, float]:
        """Return the load of each shard, hot keys apart."""
        loads = dict(self._measured_tail if measured else self.tail)
        busy = self._measured_keys if measured else self.busy
        for key, load in busy.items():
            shard = format_hot_shard_id(SERVICE, RANGE, key)
            if shard in hot:
                loads[shard] = load
            else:
                loads[self.parents[key]] += load
        return loads

    def report(self, view: PlacementView) -> PlacementView:
        """Return the view with the reports of all nodes."""
        hot = {shard for shard in view.shards if "/=" in shard}
        by_owner: dict[IncarnationId, list[ShardLoad]] = defaultdict(list)
        for shard, busy in self.sum_shards(hot, measured=True).items():
            chain = view.shards[shard].chain if shard in view.shards else ()
            if chain:
                load = ShardLoad(shard=shard, rate=busy, busy=busy)
                by_owner[chain[0].incarnation].append(load)
        hottest = self._list_hottest(view, hot)
        reports = tuple(
            LoadReport(
                incarnation=incarnation,
                busy=sum(load.busy for load in loads),
                shards=tuple(loads),
                hot_keys=tuple(hottest.get(incarnation, ())),
            )
            for incarnation, loads in by_owner.items()
        )
        return dataclasses.replace(view, loads=reports)

    def _list_hottest(
        self, view: PlacementView, hot: set[ShardId]
    ) -> dict[IncarnationId, list[ShardLoad]]:
        found: dict[IncarnationId, list[ShardLoad]] = defaultdict(list)
        ranked = sorted(self._measured_keys.items(), key=lambda item: -item[1])
        for key, busy in ranked:
            shard = format_hot_shard_id(SERVICE, RANGE, key)
            state = view.shards.get(self.parents[key])
            if shard in hot or state is None or not state.chain:
                continue
            loads = found[state.chain[0].incarnation]
            if len(loads) < REPORTED_KEYS:
                loads.append(ShardLoad(shard=shard, rate=busy, busy=busy))
        return found


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Imbalance:
    """How evenly load is spread.

    Attributes:
        highest: Highest over mean.
        variation: Standard deviation over mean.
    """

    highest: float
    variation: float


def measure_imbalance(view: PlacementView, loads: dict[ShardId, float]) -> Imbalance:
    """Return the imbalance of true loads over the nodes."""
    totals = {node.lease: 0.0 for node in view.nodes}
    for shard, load in loads.items():
        state = view.shards.get(shard)
        if state is not None and state.chain and state.chain[0] in totals:
            totals[state.chain[0]] += load
    mean = statistics.fmean(totals.values())
    return Imbalance(
        highest=max(totals.values()) / mean,
        variation=statistics.pstdev(totals.values()) / mean,
    )


def count_keys(size: FleetSize, shards: list[ShardId]) -> float:
    """Return how many keys these shards hold."""
    whole = size.keys / size.shards
    return sum(1 if "/=" in shard else whole for shard in shards)


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile of some values."""
    ordered = sorted(values)
    position = bisect.bisect_left(range(len(ordered)), len(ordered) * percent / 100)
    return ordered[min(position, len(ordered) - 1)]
