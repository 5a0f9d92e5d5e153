"""Measures how long shards have no owner, over many seeds, on virtual time.

Usage: python -m bench.takeover [--runs=30]

Six nodes in three data centres, six shards, one-way latency of 1 to 3 ms. The time is
the longest for which any shard had no owner in the ten seconds after the event.
"""

from collections.abc import Callable

from absl import app, flags
from hdrh.histogram import HdrHistogram
from tabulate import tabulate

from tests.fakes.fleet import Fleet

RUNS = flags.DEFINE_integer("runs", 30, "Runs of each scenario.")
PLACES = {"a": "1", "b": "2", "c": "3", "d": "1", "e": "2", "f": "3"}
SETTLED_S = 6.0
WATCHED_S = 10.0
HIGHEST_MS = 60_000

SCENARIOS: dict[str, Callable[[Fleet, str], None]] = {
    "kill": Fleet.kill,
    "freeze": Fleet.freeze,
    "isolate": Fleet.isolate,
    "graceful stop": Fleet.leave,
}


def measure(scenario: str, *, seed: int, log_up: bool) -> float:
    """Return the longest time without an owner, in seconds."""
    fleet = Fleet(seed=seed)
    for number, (name, data_centre) in enumerate(PLACES.items()):
        fleet.add(name, data_centre, rate=1 + 0.0099 * (-1) ** number)
    fleet.run_until(fleet.all_served, 20)
    fleet.run(SETTLED_S + fleet.random.random())
    fleet.log_up = log_up
    fleet.run(fleet.random.random())
    fleet.reset_outages()
    SCENARIOS[scenario](fleet, sorted(PLACES)[seed % len(PLACES)])
    fleet.run(WATCHED_S)
    return fleet.measure_longest_outage()


def main(_):
    """Print the distribution of each scenario."""
    rows = []
    for scenario in SCENARIOS:
        for log_up in (True, False):
            histogram = HdrHistogram(1, HIGHEST_MS, 3)
            for seed in range(RUNS.value):
                gap_s = measure(scenario, seed=seed, log_up=log_up)
                histogram.record_value(max(int(gap_s * 1000), 1))
            quantiles = [histogram.get_value_at_percentile(q) for q in (50, 90, 100)]
            rows.append((scenario, "up" if log_up else "down", *quantiles))
    headers = ("event", "log", "p50 ms", "p90 ms", "max ms")
    print(tabulate(rows, headers=headers))


if __name__ == "__main__":
    app.run(main)
