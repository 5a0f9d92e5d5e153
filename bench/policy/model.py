"""An event-driven model of nodes, each with a gate before an upstream."""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Protocol

from bench.policy.figures import Tally
from papayatack.core.errors import ErrorKind
from papayatack.core.inventory import RequestClass
from papayatack.core.retry import RetryPolicy

__all__ = ["Gate", "Request", "Simulation", "UpstreamModel"]

FAILURE_TIME_S = 0.002


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """One caller's request.

    Attributes:
        partner: Who sends it.
        request_class: Its class.
        cost: Declared cost.
        arrival_s: When it comes.
        deadline_s: When its caller gives up.
        service_s: Slot seconds that it takes.
        node: Number of the node that owns its key.
        attempts: Times it was offered to a gate.
    """

    partner: str
    request_class: RequestClass
    cost: float
    arrival_s: float
    deadline_s: float
    service_s: float
    node: int
    attempts: int = 0


class Gate(Protocol):
    """Admission under comparison."""

    cancels_late: bool

    def offer(self, now: float, request: Request) -> None:
        """Ask for a slot."""

    def poll(self, now: float) -> list[tuple[Request, ErrorKind | None]]:
        """Return what got a slot, and what was refused and why."""

    def release(
        self, now: float, request: Request, service_s: float, error: ErrorKind | None
    ) -> None:
        """Give a slot back."""

    def next_wakeup(self, now: float) -> float | None:
        """Return when to poll without another event."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamModel:
    """How upstreams behave.

    Attributes:
        failure_share: Share of the requests whose connection is cut.
        true_slots: Requests above which it sheds, whatever the inventory says.
    """

    failure_share: float = 0.0
    true_slots: int | None = None


class Simulation:
    """Runs requests through gates and upstreams on a clock of its own.

    Args:
        gates: One for each node.
        upstream: How the upstreams behave.
        seed: Seed of the upstreams' failures.
        retry: Policy of the nodes; ``None`` retries everything until the deadline.
        measure_from_s: Requests that come earlier are not counted.
    """

    def __init__(
        self,
        *,
        gates: list[Gate],
        upstream: UpstreamModel,
        seed: int,
        retry: list[RetryPolicy] | None,
        measure_from_s: float,
    ) -> None:
        self.tally = Tally(measure_from_s=measure_from_s)
        self._gates = gates
        self._upstream = upstream
        self._rng = random.Random(seed)
        self._retry = retry
        self._running = [0] * len(gates)
        self._wakeups: list[float | None] = [None] * len(gates)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()

    def run(self, requests: list[Request], until_s: float) -> Tally:
        """Run the requests, in the order of their arrival, and return the counts."""
        for request in requests:
            self._at(request.arrival_s, self._arrive, request)
        while self._events and self._events[0][0] <= until_s:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.tally

    def _at(self, at_s: float, action: Callable[..., None], *arguments) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action, arguments))

    def _arrive(self, now: float, request: Request) -> None:
        self.tally.record_offer(request)
        if self._retry is not None:
            self._retry[request.node].record_request(now)
        self._attempt(now, request)

    def _attempt(self, now: float, request: Request) -> None:
        request.attempts += 1
        self.tally.record_attempt(request)
        self._gates[request.node].offer(now, request)
        self._pump(now, request.node)

    def _pump(self, now: float, node: int) -> None:
        gate = self._gates[node]
        for request, error in gate.poll(now):
            if error is None:
                self._serve(now, request)
            else:
                self.tally.record_refusal(now, request, error)
                self._fail(now, request, error)
        wakeup_s = gate.next_wakeup(now)
        planned_s = self._wakeups[node]
        if wakeup_s is not None and (planned_s is None or wakeup_s < planned_s):
            self._wakeups[node] = wakeup_s
            self._at(wakeup_s, self._wake, node)

    def _wake(self, now: float, node: int) -> None:
        self._wakeups[node] = None
        self._pump(now, node)

    def _serve(self, now: float, request: Request) -> None:
        """Plan the end of an attempt that got a slot."""
        node = request.node
        self._running[node] += 1
        true_slots = self._upstream.true_slots
        if true_slots is not None and self._running[node] > true_slots:
            end_s, error = now + FAILURE_TIME_S, ErrorKind.UPSTREAM_SHED
        elif self._rng.random() < self._upstream.failure_share:
            end_s, error = now + FAILURE_TIME_S, ErrorKind.UPSTREAM_LOST
        else:
            end_s, error = now + request.service_s, None
        if self._gates[node].cancels_late and end_s > request.deadline_s:
            end_s = max(now, request.deadline_s)
            error = ErrorKind.UPSTREAM_TIMEOUT
        self._at(end_s, self._end, request, now, error)

    def _end(
        self, now: float, request: Request, started_s: float, error: ErrorKind | None
    ) -> None:
        node = request.node
        self._running[node] -= 1
        self._gates[node].release(now, request, now - started_s, error)
        if error is None:
            self.tally.record_answer(now, request)
        else:
            self.tally.record_error(request, error)
            self._fail(now, request, error)
        self._pump(now, node)

    def _fail(self, now: float, request: Request, error: ErrorKind) -> None:
        """Plan another attempt, or end the request."""
        if self._retry is None:
            delay_s = 0.001 if now + 0.001 < request.deadline_s else None
        else:
            delay_s = (
                self._retry[request.node]
                .decide(
                    now,
                    kind=error,
                    attempt=request.attempts,
                    deadline=request.deadline_s,
                    repeatable=request.request_class is not RequestClass.ORDER,
                )
                .delay_s
            )
        if delay_s is not None:
            self._at(now + delay_s, self._attempt, request)
        else:
            self.tally.record_end(now, request)
