"""Runs at the sizes of the two meshes."""

import dataclasses
import enum
import random

from bench.policy.figures import Tally
from bench.policy.gates import FifoGate, PolicyGate
from bench.policy.maxmin import MaxMinGate
from bench.policy.model import Gate, Simulation, UpstreamModel
from bench.policy.workload import MEAN_SERVICE_S, Source, draw_requests
from papayatack.core.admission import AdmissionLimits
from papayatack.core.inventory import Partner, RequestClass
from papayatack.core.retry import RetryPolicy

__all__ = [
    "BARRANQUILLA",
    "ESTONIA",
    "DISCIPLINES",
    "Discipline",
    "Size",
    "run_bursts",
    "run_downloads",
    "run_load",
    "run_unequal_partners",
]

WARM_UP_S = 3.0
QUEUE_PER_SLOT = 8
PARTNERS = tuple(Partner(name=f"p{number}") for number in range(10))


class Discipline(enum.StrEnum):
    """Gates under comparison."""

    POLICY = "policy"
    FIFO = "fifo"
    FIFO_DEADLINES = "fifo with deadlines"
    MAX_MIN = "max-min rates"
    MAX_MIN_CONSERVING = "max-min rates, work conserving"


DISCIPLINES = (Discipline.POLICY, Discipline.FIFO, Discipline.FIFO_DEADLINES)
"""The product's gate and its baselines."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """A service's instances.

    Attributes:
        name: Where it runs.
        nodes: Number of instances.
        slots: Slots of each.
        connections: Connections of each.
    """

    name: str
    nodes: int
    slots: int
    connections: int

    @property
    def capacity(self) -> float:
        """Return the slot seconds a second of all instances."""
        return float(self.nodes * self.slots)


BARRANQUILLA = Size(name="Barranquilla", nodes=9, slots=14, connections=130)
ESTONIA = Size(name="Estonia", nodes=6, slots=18, connections=110)


def build_gates(discipline: Discipline, size: Size) -> list[Gate]:
    """Return one gate for each instance."""
    if discipline is Discipline.POLICY:
        limits = AdmissionLimits(slots=size.slots, connections=size.connections)
        return [
            PolicyGate(limits=limits, partners=PARTNERS, seed=node)
            for node in range(size.nodes)
        ]
    if discipline in (Discipline.MAX_MIN, Discipline.MAX_MIN_CONSERVING):
        return [
            MaxMinGate(
                slots=size.slots,
                partners=[partner.name for partner in PARTNERS],
                queue_length=size.slots * QUEUE_PER_SLOT,
                work_conserving=discipline is Discipline.MAX_MIN_CONSERVING,
                service_s=MEAN_SERVICE_S[RequestClass.BROWSE],
            )
            for _ in range(size.nodes)
        ]
    looks = discipline is Discipline.FIFO_DEADLINES
    return [FifoGate(slots=size.slots, cancels_late=looks) for _ in range(size.nodes)]


def run_sources(
    discipline: Discipline,
    size: Size,
    sources: list[Source],
    *,
    seed: int,
    duration_s: float,
    upstream: UpstreamModel | None = None,
) -> Tally:
    """Run the sources' requests against one discipline."""
    requests = draw_requests(
        sources, nodes=size.nodes, duration_s=duration_s, seed=seed
    )
    retry = None
    if discipline not in (Discipline.FIFO, Discipline.FIFO_DEADLINES):
        retry = [
            RetryPolicy(rng=random.Random(seed + node)) for node in range(size.nodes)
        ]
    simulation = Simulation(
        gates=build_gates(discipline, size),
        upstream=upstream or UpstreamModel(),
        seed=seed,
        retry=retry,
        measure_from_s=WARM_UP_S,
    )
    return simulation.run(requests, duration_s)


def run_load(
    discipline: Discipline,
    size: Size,
    *,
    load: float,
    seed: int,
    duration_s: float = 13.0,
    upstream: UpstreamModel | None = None,
) -> Tally:
    """Run browsing and a fifth of orders at a multiple of the capacity."""
    each = load * size.capacity / len(PARTNERS)
    sources = []
    for partner in PARTNERS:
        sources.append(
            Source(
                partner=partner.name,
                request_class=RequestClass.BROWSE,
                work=0.8 * each,
            )
        )
        sources.append(
            Source(
                partner=partner.name, request_class=RequestClass.ORDER, work=0.2 * each
            )
        )
    return run_sources(
        discipline,
        size,
        sources,
        seed=seed,
        duration_s=duration_s,
        upstream=upstream,
    )


def run_unequal_partners(
    discipline: Discipline,
    size: Size,
    *,
    light: float,
    seed: int,
    duration_s: float = 13.0,
) -> Tally:
    """Let one partner send ten times what each of the others does.

    Args:
        discipline: The gate.
        size: The instances.
        light: What each other partner asks for, against an equal share.
        seed: Seed of the arrivals.
        duration_s: Length of the run.
    """
    each = light * size.capacity / len(PARTNERS)
    sources = [
        Source(
            partner=partner.name,
            request_class=RequestClass.BROWSE,
            work=each * (10 if partner is PARTNERS[0] else 1),
        )
        for partner in PARTNERS
    ]
    return run_sources(discipline, size, sources, seed=seed, duration_s=duration_s)


def run_downloads(
    discipline: Discipline,
    size: Size,
    *,
    downloads: float,
    seed: int,
    short: float = 0.7,
    duration_s: float = 63.0,
) -> Tally:
    """Run browsing and orders beside heavy downloads.

    Args:
        discipline: The gate.
        size: The instances.
        downloads: Work of the downloads, against the capacity.
        seed: Seed of the arrivals.
        short: Work of browsing (six sevenths) and orders, against the capacity.
        duration_s: Length of the run.
    """
    work = {
        RequestClass.BROWSE: short * 6 / 7,
        RequestClass.ORDER: short / 7,
        RequestClass.DOWNLOAD: downloads,
    }
    sources = [
        Source(
            partner=partner.name,
            request_class=request_class,
            work=share * size.capacity / len(PARTNERS),
        )
        for partner in PARTNERS
        for request_class, share in work.items()
        if share
    ]
    return run_sources(discipline, size, sources, seed=seed, duration_s=duration_s)


def run_bursts(discipline: Discipline, size: Size, *, load: float, seed: int) -> Tally:
    """Run steady and bursty partners, so that spare capacity moves between them.

    Half of the partners ask for 80% of an equal share all the time; the others ask
    in bursts of two seconds for the rest of the load.
    """
    count = len(PARTNERS)
    share = size.capacity / count
    steady = 0.8 * share
    bursty = (load * size.capacity - steady * (count // 2)) / (count - count // 2)
    sources = [
        Source(partner=partner.name, request_class=RequestClass.BROWSE, work=steady)
        for partner in PARTNERS[: count // 2]
    ]
    sources += [
        Source(
            partner=partner.name,
            request_class=RequestClass.BROWSE,
            work=bursty,
            on_s=2.0,
            off_s=2.0,
        )
        for partner in PARTNERS[count // 2 :]
    ]
    return run_sources(discipline, size, sources, seed=seed, duration_s=23.0)
