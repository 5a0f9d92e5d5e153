"""An upstream that freezes for a while, before the real gate on virtual time."""

import asyncio
import dataclasses
import random
from typing import Protocol

import looptime
from returns.result import Result, Success

from bench.policy.scenarios import Discipline
from bench.policy.workload import MEAN_SERVICE_S
from papayatack.core.admission import AdmissionController, AdmissionLimits
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.inventory import Partner, RequestClass
from papayatack.core.retry import RetryPolicy
from papayatack.observability.metrics import Metrics
from papayatack.proxy.gate import AdmissionGate
from papayatack.proxy.interface import AdmissionRequest, Permit

__all__ = ["FreezeFigures", "run_freeze"]

RAMPED_S = 12.0
FREEZE_S = 10.0
AFTER_S = 15.0
WINDOW_S = 0.5
RECOVERED_SHARE = 0.9
DEADLINE_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class FreezeFigures:
    """What the callers saw.

    Attributes:
        recovery_s: From the end of the freeze to the first half second in which nine
            in ten requests are answered in time; ``None`` if there is none.
        sent_in_vain: Requests that reached the upstream and got no answer.
        refused: Requests that were refused as not run.
        worst_refusal_s: Longest wait for a refusal.
        attempts: Attempts for each request.
    """

    recovery_s: float | None = None
    sent_in_vain: int = 0
    refused: int = 0
    worst_refusal_s: float = 0.0
    attempts: float = 0.0


class _FreezingUpstream:
    """Runs requests on its slots; answers nothing and hears nothing when frozen."""

    def __init__(self, *, slots: int, frozen_s: float, thawed_s: float) -> None:
        self._slots = asyncio.Semaphore(slots)
        self._frozen_s = frozen_s
        self._thawed_s = thawed_s

    async def serve(self, service_s: float, given_up: asyncio.Event) -> None:
        """Run one request, unless it was given up and the upstream heard of it."""
        async with self._slots:
            await self._thaw()
            if given_up.is_set():
                return
            await asyncio.sleep(service_s)
            await self._thaw()

    async def _thaw(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._frozen_s <= now < self._thawed_s:
            await asyncio.sleep(self._thawed_s - now)


class _FifoPermit:
    def __init__(self, *, slots: asyncio.Semaphore) -> None:
        self._slots = slots

    def release(self, *, service_time_s: float, error: str | None = None) -> None:
        """Give the slot back."""
        self._slots.release()


class _FifoGate:
    """An unbounded queue in the order of arrival."""

    def __init__(self, *, slots: int) -> None:
        self._slots = asyncio.Semaphore(slots)

    async def acquire(self, ticket: AdmissionRequest) -> Result[Permit, Refusal]:
        """Wait for a slot."""
        await self._slots.acquire()
        return Success(_FifoPermit(slots=self._slots))


class _Gate(Protocol):
    async def acquire(self, ticket: AdmissionRequest) -> Result[Permit, Refusal]: ...


class _Caller:
    """Sends requests through a gate to the upstream, as the request path does."""

    def __init__(
        self,
        *,
        gate: _Gate,
        upstream: _FreezingUpstream,
        retry: RetryPolicy | None,
    ) -> None:
        self.figures = FreezeFigures()
        self.requests = 0
        self.attempts = 0
        self.outcomes: list[tuple[float, bool]] = []
        self._gate = gate
        self._upstream = upstream
        self._retry = retry

    async def send(self, service_s: float) -> None:
        """Send one request, with its retries."""
        loop = asyncio.get_running_loop()
        arrival_s = loop.time()
        deadline_s = arrival_s + DEADLINE_S
        self.requests += 1
        if self._retry is not None:
            self._retry.record_request(arrival_s)
        for attempt in range(1, 10_000):
            self.attempts += 1
            error = await self._attempt(service_s, deadline_s)
            delay_s = self._plan_retry(error, attempt, deadline_s)
            if delay_s is None:
                break
            await asyncio.sleep(delay_s)
        self.outcomes.append((arrival_s, error is None and loop.time() <= deadline_s))

    def _plan_retry(
        self, error: ErrorKind | None, attempt: int, deadline_s: float
    ) -> float | None:
        now = asyncio.get_running_loop().time()
        if error is None:
            return None
        if self._retry is None:
            return 0.001 if now + 0.001 < deadline_s else None
        return self._retry.decide(
            now, kind=error, attempt=attempt, deadline=deadline_s, repeatable=True
        ).delay_s

    async def _attempt(self, service_s: float, deadline_s: float) -> ErrorKind | None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        ticket = AdmissionRequest(
            partner="p0",
            request_class=RequestClass.BROWSE,
            cost=1.0,
            deadline_s=deadline_s,
            repeatable=True,
        )
        result = await self._gate.acquire(ticket)
        if not isinstance(result, Success):
            self.figures.refused += 1
            waited_s = loop.time() - started_s
            self.figures.worst_refusal_s = max(self.figures.worst_refusal_s, waited_s)
            return result.failure().kind
        return await self._forward(result.unwrap(), service_s, deadline_s)

    async def _forward(
        self, permit: Permit, service_s: float, deadline_s: float
    ) -> ErrorKind | None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        given_up = asyncio.Event()
        serving = asyncio.create_task(self._upstream.serve(service_s, given_up))
        # The naive gate neither stops nor skips what is late.
        timeout_s = None if self._retry is None else max(0.0, deadline_s - sent_s)
        done, _ = await asyncio.wait({serving}, timeout=timeout_s)
        error = None if done else ErrorKind.UPSTREAM_TIMEOUT
        if error is not None:
            given_up.set()
            self.figures.sent_in_vain += 1
        elif loop.time() > deadline_s:
            self.figures.sent_in_vain += 1
        permit.release(service_time_s=loop.time() - sent_s, error=error)
        return error


def run_freeze(discipline: Discipline, *, slots: int, load: float, seed: int):
    """Run one instance through a freeze and return what its callers saw."""
    loop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(_run(discipline, slots, load, seed))
    finally:
        loop.close()


async def _run(
    discipline: Discipline, slots: int, load: float, seed: int
) -> FreezeFigures:
    rng = random.Random(seed)
    frozen_s = RAMPED_S + 3.0
    thawed_s = frozen_s + FREEZE_S
    mean_s = MEAN_SERVICE_S[RequestClass.BROWSE]
    caller = _Caller(
        gate=_build_gate(discipline, slots, rng),
        upstream=_FreezingUpstream(slots=slots, frozen_s=frozen_s, thawed_s=thawed_s),
        retry=RetryPolicy(rng=rng) if discipline is Discipline.POLICY else None,
    )
    loop = asyncio.get_running_loop()
    tasks = []
    await asyncio.sleep(RAMPED_S)
    while loop.time() < thawed_s + AFTER_S:
        service_s = rng.expovariate(1.0 / mean_s)
        tasks.append(asyncio.create_task(caller.send(service_s)))
        await asyncio.sleep(rng.expovariate(load * slots / mean_s))
    await asyncio.wait(tasks)
    caller.figures.recovery_s = _find_recovery(caller.outcomes, thawed_s)
    caller.figures.attempts = caller.attempts / caller.requests
    return caller.figures


def _build_gate(discipline: Discipline, slots: int, rng: random.Random) -> _Gate:
    if discipline is not Discipline.POLICY:
        return _FifoGate(slots=slots)
    admission = AdmissionController(
        now=0.0,
        limits=AdmissionLimits(slots=slots),
        partners=(Partner(name="p0"),),
        rng=rng,
    )
    return AdmissionGate(admission=admission, metrics=Metrics(), rng=rng)


def _find_recovery(outcomes: list[tuple[float, bool]], thawed_s: float) -> float | None:
    """Return when the first good half second after the freeze begins."""
    begin_s = thawed_s
    while begin_s + WINDOW_S <= thawed_s + AFTER_S:
        window = [
            good
            for arrival_s, good in outcomes
            if begin_s <= arrival_s < begin_s + WINDOW_S
        ]
        if window and sum(window) >= RECOVERED_SHARE * len(window):
            return begin_s - thawed_s
        begin_s += 0.1
    return None
