"""Processor time of one admission decision, against a plain queue."""

import random
import time

from bench.policy.gates import FifoGate, PolicyGate
from bench.policy.model import Gate, Request
from papayatack.core.admission import AdmissionLimits
from papayatack.core.inventory import Partner, RequestClass

__all__ = ["measure_decision_ratio"]

SLOTS = 14
SERVICE_S = 0.05


def measure_decision_ratio(
    *, partners: int, load: float, seed: int, requests: int = 20_000
) -> tuple[float, float]:
    """Return the policy's time for each request, and its ratio to that of FIFO.

    Both gates get the same arrivals, and each admitted request ends after its
    service time. The order of the two is balanced, and the least of three counts.

    Returns:
        Microseconds for each request, and the ratio.
    """
    names = tuple(Partner(name=f"p{number}") for number in range(partners))
    policy_s, fifo_s = [], []
    for _ in range(3):
        policy = PolicyGate(limits=AdmissionLimits(slots=SLOTS), partners=names)
        policy_s.append(_drive(policy, partners, load, seed, requests))
        fifo = FifoGate(slots=SLOTS, cancels_late=True)
        fifo_s.append(_drive(fifo, partners, load, seed, requests))
    return min(policy_s) / requests * 1e6, min(policy_s) / min(fifo_s)


def _drive(gate: Gate, partners: int, load: float, seed: int, requests: int) -> float:
    """Return the processor time of a gate's calls."""
    rng = random.Random(seed)
    now, spent_s = 0.0, 0.0
    running: list[tuple[float, Request]] = []
    for _ in range(requests):
        now += rng.expovariate(load * SLOTS / SERVICE_S)
        request = _build_request(now, f"p{rng.randrange(partners)}", rng)
        ended = [item for item in running if item[0] <= now]
        running = [item for item in running if item[0] > now]
        began_s = time.process_time()
        for end_s, done in ended:
            gate.release(end_s, done, done.service_s, None)
        gate.offer(now, request)
        verdicts = gate.poll(now)
        spent_s += time.process_time() - began_s
        for admitted, error in verdicts:
            if error is None:
                running.append((now + admitted.service_s, admitted))
    return spent_s


def _build_request(now: float, partner: str, rng: random.Random) -> Request:
    return Request(
        partner=partner,
        request_class=RequestClass.BROWSE,
        cost=1.0,
        arrival_s=now,
        deadline_s=now + 1.0,
        service_s=rng.expovariate(1.0 / SERVICE_S),
        node=0,
    )
