"""Arrivals of requests."""

import dataclasses
import random

from bench.policy.model import Request
from papayatack.core.inventory import RequestClass

__all__ = ["Source", "draw_requests"]

MEAN_SERVICE_S = {
    RequestClass.ORDER: 0.05,
    RequestClass.BROWSE: 0.05,
    RequestClass.DOWNLOAD: 2.0,
}
DEADLINE_S = {
    RequestClass.ORDER: 2.0,
    RequestClass.BROWSE: 1.0,
    RequestClass.DOWNLOAD: 20.0,
}
DOWNLOAD_COST = 40.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """One partner's requests of one class.

    Attributes:
        partner: The partner.
        request_class: The class.
        work: Slot seconds a second that it asks for, over all nodes.
        on_s: Length of its bursts; 0 for a steady source.
        off_s: Mean pause between bursts.
    """

    partner: str
    request_class: RequestClass
    work: float
    on_s: float = 0.0
    off_s: float = 0.0


def draw_requests(
    sources: list[Source], *, nodes: int, duration_s: float, seed: int
) -> list[Request]:
    """Return Poisson arrivals with exponential service times, by arrival.

    A bursty source asks for ``work`` on average, all of it in its bursts.
    """
    rng = random.Random(seed)
    requests: list[Request] = []
    for source in sources:
        for begin_s, end_s, work in _list_bursts(source, duration_s, rng):
            rate = work / MEAN_SERVICE_S[source.request_class]
            now = begin_s + rng.expovariate(rate)
            while now < end_s:
                requests.append(_build_request(source, now, nodes, rng))
                now += rng.expovariate(rate)
    requests.sort(key=lambda request: request.arrival_s)
    return requests


def _list_bursts(
    source: Source, duration_s: float, rng: random.Random
) -> list[tuple[float, float, float]]:
    if not source.on_s:
        return [(0.0, duration_s, source.work)]
    work = source.work * (source.on_s + source.off_s) / source.on_s
    bursts = []
    now = rng.uniform(0.0, source.off_s)
    while now < duration_s:
        end_s = min(now + source.on_s, duration_s)
        bursts.append((now, end_s, work))
        now = end_s + rng.expovariate(1.0 / source.off_s)
    return bursts


def _build_request(
    source: Source, now: float, nodes: int, rng: random.Random
) -> Request:
    kind = source.request_class
    return Request(
        partner=source.partner,
        request_class=kind,
        cost=DOWNLOAD_COST if kind is RequestClass.DOWNLOAD else 1.0,
        arrival_s=now,
        deadline_s=now + DEADLINE_S[kind],
        service_s=rng.expovariate(1.0 / MEAN_SERVICE_S[kind]),
        node=rng.randrange(nodes),
    )
