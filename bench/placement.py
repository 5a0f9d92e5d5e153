"""Measures the planner against plain rendezvous hashing and full rebalancing.

Usage: python -m bench.placement [--part=all|small|thousand|speed]
"""

import copy
import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable

from absl import app, flags
from tabulate import tabulate

from bench.placement_baselines import plan_rendezvous, rebalance_fully
from bench.placement_client import measure_status
from bench.placement_fleet import (
    BARRANQUILLA,
    ESTONIA,
    ROUND_S,
    THOUSAND,
    FleetSize,
    Imbalance,
    Workload,
    count_keys,
    make_view,
    measure_imbalance,
)
from bench.placement_folds import measure_ownership, measure_publications
from papayatack.core.placement import PlacementPlan, PlacementView, plan_placement
from papayatack.core.shards import locate_shard
from tests.core.placement.fleets import apply_plan

PART = flags.DEFINE_enum(
    "part", "all", ["all", "small", "thousand", "speed"], "What to measure."
)
SEED = 20
BALANCED_HIGHEST = 1.10
SMALL_ROUNDS = 360
CHANGE_ROUNDS = 60
THOUSAND_ROUNDS = 12

Planner = Callable[[PlacementView], PlacementPlan]
PLANNERS: dict[str, Planner] = {
    "papayatack": plan_placement,
    "plain rendezvous": plan_rendezvous,
    "full rebalancing": rebalance_fully,
}


@dataclasses.dataclass(slots=True, kw_only=True)
class Simulation:
    """A fleet under one planner, round after round."""

    size: FleetSize
    planner: Planner
    view: PlacementView
    workload: Workload
    keys_moved: float = 0.0
    shards_moved: int = 0
    plan_times_s: list[float] = dataclasses.field(default_factory=list)

    @classmethod
    def start(cls, size: FleetSize, planner: Planner) -> "Simulation":
        """Return a fleet after its first assignments."""
        view = make_view(size)
        workload = Workload(size=size, view=view, seed=SEED)
        simulation = cls(size=size, planner=planner, view=view, workload=workload)
        while len(simulation.view.shards) < size.shards:
            simulation.view = apply_plan(simulation.view, planner(simulation.view))
        return simulation

    def fork(self) -> "Simulation":
        """Return a copy that goes its own way."""
        return dataclasses.replace(
            self,
            workload=copy.deepcopy(self.workload),
            keys_moved=0.0,
            shards_moved=0,
        )

    def run_round(self) -> Imbalance:
        """Measure, plan and apply once; return the true imbalance afterwards."""
        self.workload.measure()
        view = self.workload.report(self.view)
        started = time.perf_counter()
        planned = self.planner(view)
        self.plan_times_s.append(time.perf_counter() - started)
        after = apply_plan(view, planned)
        moved = [
            shard
            for shard, state in after.shards.items()
            if shard in view.shards and view.shards[shard].chain[:1] != state.chain[:1]
        ]
        self.shards_moved += len(moved)
        self.keys_moved += count_keys(self.size, moved)
        self.view = after
        return self.imbalance()

    def imbalance(self) -> Imbalance:
        """Return the true imbalance."""
        hot = {shard for shard in self.view.shards if "/=" in shard}
        return measure_imbalance(self.view, self.workload.sum_shards(hot))

    def run_until_balanced(self, rounds: int) -> float | None:
        """Return the minutes until the load is balanced, ``None`` if it never is."""
        for number in range(1, rounds + 1):
            if self.run_round().highest <= BALANCED_HIGHEST:
                return number * ROUND_S / 60
        return None


def measure_steady(name: str, settled: Simulation, rounds: int) -> list[object]:
    """Return imbalance and churn under a steady load."""
    simulation = settled.fork()
    seen = [simulation.run_round() for _ in range(rounds)]
    hours = rounds * ROUND_S / 3600
    return [
        name,
        statistics.fmean(i.highest for i in seen),
        max(i.highest for i in seen),
        statistics.fmean(i.variation for i in seen),
        simulation.shards_moved / hours,
        100 * simulation.keys_moved / simulation.size.keys / hours,
    ]


def measure_change(name: str, settled: Simulation, rounds: int) -> list[object]:
    """Return how a change of the hottest keys is followed."""
    simulation = settled.fork()
    simulation.workload.change_hottest()
    before = simulation.imbalance()
    minutes = simulation.run_until_balanced(rounds)
    after = simulation.imbalance()
    return [
        name,
        before.highest,
        "never" if minutes is None else f"{minutes:.1f}",
        after.highest,
        simulation.shards_moved,
        100 * simulation.keys_moved / simulation.size.keys,
    ]


def measure_loss(name: str, settled: Simulation, rounds: int) -> list[object]:
    """Return the owner changes after one instance is lost."""
    simulation = settled.fork()
    lost = simulation.view.nodes[0].lease
    shards = simulation.view.shards.values()
    owned = sum(state.chain[:1] == (lost,) for state in shards)
    nodes = simulation.view.nodes[1:]
    simulation.view = dataclasses.replace(simulation.view, nodes=nodes)
    for _ in range(rounds):
        simulation.run_round()
    return [
        name,
        owned,
        simulation.shards_moved,
        simulation.shards_moved / max(1, owned),
        simulation.imbalance().highest,
    ]


def measure_speed() -> list[list[object]]:
    """Return time and memory of one plan, and their slopes over the shards."""
    rows = []
    for nodes in (125, 250, 500, 1_000):
        size = dataclasses.replace(THOUSAND, nodes=nodes, shards=24 * nodes)
        simulation = Simulation.start(size, plan_placement)
        idle = _time_plan(simulation.view)
        simulation.workload.measure()
        view = simulation.workload.report(simulation.view)
        loaded = _time_plan(view)
        tracemalloc.start()
        plan_placement(view)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        rows.append(
            [
                nodes,
                size.shards,
                1e3 * idle,
                1e3 * loaded,
                1e6 * loaded / size.shards,
                peak / 2**20,
            ]
        )
    return rows


def _time_plan(view: PlacementView) -> float:
    """Return the shortest of three runs, in seconds of processor time."""
    times = []
    for _ in range(3):
        started = time.process_time()
        plan_placement(view)
        times.append(time.process_time() - started)
    return min(times)


def measure_locate() -> float:
    """Return the nanoseconds of one call of locate_shard."""
    configuration = make_view(THOUSAND).configuration
    keys = [f"key-{number}" for number in range(1_000)]
    best = float("inf")
    for _ in range(5):
        started = time.process_time()
        for _ in range(100):
            for key in keys:
                locate_shard(configuration, "bench", key)
        best = min(best, time.process_time() - started)
    return 1e9 * best / (100 * len(keys))


def print_table(title: str, headers: list[str], rows: Iterable[list[object]]) -> None:
    """Print one table as Markdown."""
    print(f"\n{title}\n")
    print(tabulate(rows, headers=headers, tablefmt="github", floatfmt=".3g"))


STEADY_HEADERS = [
    "planner",
    "max/mean, mean",
    "max/mean, worst",
    "variation",
    "shards moved/h",
    "% of keys moved/h",
]
CHANGE_HEADERS = [
    "planner",
    "max/mean before",
    f"min to <= {BALANCED_HIGHEST:g}",
    "max/mean then",
    "shards moved",
    "% of keys moved",
]
LOSS_HEADERS = ["planner", "shards of the lost", "moved", "ratio", "max/mean then"]
FOLD_HEADERS = [
    "stream",
    "records",
    "entries",
    "us/entry",
    "state MiB",
    "bytes/record",
    "bytes/entry",
]
CLIENT_HEADERS = ["nodes", "KiB", "encode ms", "decode ms", "version ms"]
SPEED_HEADERS = ["nodes", "shards", "idle ms", "loaded ms", "us/shard", "peak MiB"]


def print_fleet(size: FleetSize, rounds: int, change_rounds: int) -> None:
    """Print all figures of one fleet."""
    print(f"\n## {size.name}")
    steady, changes, losses = [], [], []
    for name, planner in PLANNERS.items():
        settled = Simulation.start(size, planner)
        for _ in range(change_rounds):
            settled.run_round()
        steady.append(measure_steady(name, settled, rounds))
        changes.append(measure_change(name, settled, change_rounds))
        losses.append(measure_loss(name, settled, change_rounds))
    print_table("Steady load:", STEADY_HEADERS, steady)
    print_table("The 29 hottest keys change:", CHANGE_HEADERS, changes)
    print_table("One instance is lost:", LOSS_HEADERS, losses)


def main(argv: list[str]) -> None:
    """Print the figures asked for."""
    del argv
    if PART.value in ("all", "small"):
        for size in (BARRANQUILLA, ESTONIA):
            print_fleet(size, SMALL_ROUNDS, CHANGE_ROUNDS)
    if PART.value in ("all", "thousand"):
        print_fleet(THOUSAND, THOUSAND_ROUNDS, THOUSAND_ROUNDS)
    if PART.value in ("all", "speed"):
        print_table("One plan:", SPEED_HEADERS, measure_speed())
        figures = [measure_ownership(250), measure_ownership(1_000)]
        figures.append(measure_publications())
        rows = [list(dataclasses.asdict(figure).values()) for figure in figures]
        print_table("Folding the streams:", FOLD_HEADERS, rows)
        answers = [measure_status(250), measure_status(1_000)]
        rows = [list(dataclasses.asdict(figure).values()) for figure in answers]
        print_table("One status of a node:", CLIENT_HEADERS, rows)
        print(f"\nlocate_shard: {measure_locate():.0f} ns a call")


if __name__ == "__main__":
    app.run(main)
