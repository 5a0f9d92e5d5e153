"""Print the figures of the request policy on a queueing model.

Run ``python -m bench.queueing``, or with the names of parts: ``goodput``,
``attempts``, ``fairness``, ``downloads``, ``sharing``, ``freeze``, ``cost``.
"""

import logging
import sys
from collections.abc import Callable, Iterable

from tabulate import tabulate

from bench.policy.cost import measure_decision_ratio
from bench.policy.figures import compute_jain_index
from bench.policy.freeze import run_freeze
from bench.policy.model import UpstreamModel
from bench.policy.scenarios import (
    BARRANQUILLA,
    DISCIPLINES,
    ESTONIA,
    Discipline,
    Size,
    run_bursts,
    run_downloads,
    run_load,
    run_unequal_partners,
)
from papayatack.core.inventory import RequestClass

SIZES = (BARRANQUILLA, ESTONIA)
LOADS = (1, 2, 4)
SEED = 1
SHARING_SEEDS = (1, 2, 3, 4, 5)
SMALL = Size(name="two instances", nodes=2, slots=14, connections=130)
MEASURED_S = 10.0


def print_table(title: str, headers: list[str], rows: Iterable[list]) -> None:
    """Print one table."""
    print(f"\n## {title}\n")
    print(tabulate(list(rows), headers, tablefmt="github", floatfmt=".3f"), flush=True)


def measure_goodput() -> None:
    """Work in time at one, two and four times the capacity."""
    rows = []
    for size in SIZES:
        for discipline in DISCIPLINES:
            for load in LOADS:
                tally = run_load(discipline, size, load=load, seed=SEED)
                goodput = tally.read_goodput() / size.capacity / MEASURED_S
                rows.append([size.name, discipline.value, load, goodput])
    headers = ["size", "gate", "load", "work in time / capacity"]
    print_table("Goodput", headers, rows)


def measure_attempts() -> None:
    """Attempts for each request where upstreams fail or shed."""
    troubles = {
        "3 in 10 connections cut": UpstreamModel(failure_share=0.3),
        "sheds above 10 of 14": UpstreamModel(true_slots=10),
    }
    rows = []
    for name, upstream in troubles.items():
        for discipline in DISCIPLINES:
            for load in LOADS:
                tally = run_load(
                    discipline,
                    BARRANQUILLA,
                    load=load,
                    seed=SEED,
                    duration_s=8.0,
                    upstream=upstream,
                )
                attempts = tally.read_attempts_per_request()
                goodput = tally.read_goodput() / BARRANQUILLA.capacity / 5.0
                rows.append([name, discipline.value, load, attempts, goodput])
    headers = ["upstreams", "gate", "load", "attempts / request", "work in time"]
    print_table("Attempts for each request", headers, rows)


def measure_fairness() -> None:
    """Shares when one partner sends ten times what the others do."""
    rows = []
    for size in SIZES:
        for light in (0.8, 1.5):
            for discipline in DISCIPLINES:
                tally = run_unequal_partners(discipline, size, light=light, seed=SEED)
                ratios = tally.read_fair_ratios().values()
                goodput = tally.read_goodput() / size.capacity / MEASURED_S
                jain = compute_jain_index(ratios)
                rows.append(
                    [size.name, light, discipline.value, goodput, jain, min(ratios)]
                )
    headers = [
        "size",
        "others ask / equal share",
        "gate",
        "work in time",
        "Jain",
        "worst partner / fair share",
    ]
    print_table("One partner sends ten times what the others do", headers, rows)


def measure_downloads() -> None:
    """Browsing with and without heavy downloads."""
    rows = []
    for size in SIZES:
        for discipline in DISCIPLINES:
            for short in (0.5, 0.7, 0.8):
                rows.append(_compare_downloads(size, discipline, short))
    headers = [
        "size",
        "gate",
        "short load",
        "p99 without, ms",
        "p99 with, ms",
        "ratio",
        "browse in time",
        "slots used well",
    ]
    print_table("Browsing beside downloads of the whole capacity", headers, rows)


def _compare_downloads(size: Size, discipline: Discipline, short: float) -> list:
    runs = [
        run_downloads(
            discipline,
            size,
            downloads=downloads,
            short=short,
            seed=SEED,
            duration_s=23.0,
        )
        for downloads in (0.0, 1.0)
    ]
    p99_ms = [run.read_p99_ms(RequestClass.BROWSE) for run in runs]
    return [
        size.name,
        discipline.value,
        short,
        *p99_ms,
        p99_ms[1] / p99_ms[0],
        runs[1].read_good_share(RequestClass.BROWSE),
        runs[1].read_goodput() / size.capacity / 20.0,
    ]


def measure_sharing() -> None:
    """Weighted fair queueing against max-min rates, over seeds."""
    rows = []
    for load in (0.9, 1.2):
        for seed in SHARING_SEEDS:
            for discipline in (
                Discipline.POLICY,
                Discipline.MAX_MIN,
                Discipline.MAX_MIN_CONSERVING,
            ):
                tally = run_bursts(discipline, SMALL, load=load, seed=seed)
                ratios = tally.read_fair_ratios()
                offered = sum(tally.offered_work.values())
                rows.append(
                    [
                        load,
                        seed,
                        discipline.value,
                        tally.read_goodput() / min(offered, SMALL.capacity * 20.0),
                        min(ratios.values()),
                        min(ratios[f"p{number}"] for number in range(5)),
                        tally.read_steady_p99_ms([f"p{number}" for number in range(5)]),
                    ]
                )
    headers = [
        "load",
        "seed",
        "gate",
        "work in time / possible",
        "worst / fair share",
        "worst steady / fair share",
        "p99 of steady partners, ms",
    ]
    print_table("Spare capacity between steady and bursty partners", headers, rows)


def measure_freeze() -> None:
    """An instance that freezes for ten seconds."""
    logging.disable(logging.WARNING)
    rows = []
    for size in SIZES:
        for load in (0.5, 0.8):
            for seed in (1, 2, 3):
                for discipline in (Discipline.POLICY, Discipline.FIFO):
                    figures = run_freeze(
                        discipline, slots=size.slots, load=load, seed=seed
                    )
                    rows.append(
                        [
                            size.name,
                            load,
                            seed,
                            discipline.value,
                            figures.recovery_s,
                            figures.sent_in_vain,
                            figures.refused,
                            figures.worst_refusal_s,
                            figures.attempts,
                        ]
                    )
    headers = [
        "size",
        "load",
        "seed",
        "gate",
        "recovered after, s",
        "sent in vain",
        "refused, not run",
        "longest wait for a refusal, s",
        "attempts / request",
    ]
    print_table("One instance frozen for 10 s", headers, rows)


def measure_cost() -> None:
    """Processor time of a decision."""
    rows = []
    for partners in (10, 100, 1000):
        for load in (0.8, 4.0):
            microseconds, ratio = measure_decision_ratio(
                partners=partners, load=load, seed=SEED
            )
            rows.append([partners, load, microseconds, ratio])
    headers = ["partners", "load", "us / request", "ratio to FIFO"]
    print_table("Processor time for each request", headers, rows)


PARTS: dict[str, Callable[[], None]] = {
    "goodput": measure_goodput,
    "attempts": measure_attempts,
    "fairness": measure_fairness,
    "downloads": measure_downloads,
    "sharing": measure_sharing,
    "freeze": measure_freeze,
    "cost": measure_cost,
}


def main(names: list[str]) -> None:
    """Print the named parts, or all."""
    for name in names or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])
