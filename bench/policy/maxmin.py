"""Sharing after the paper on dynamic bandwidth allocation, to compare.

J. Elias, F. Martignon, A. Capone, G. Pujolle: "A new approach to dynamic bandwidth
allocation in Quality of Service networks: Performance and bounds", 2006. Once an
interval, each partner that uses less than its guaranteed rate keeps up to twice what
it used, and what is left is shared by max-min among those that use all of theirs, up
to what they ask for (the iterative algorithm, IDBA). Unlike there, a guaranteed share
is given back at once: a partner below its guarantee is always served first.
"""

import dataclasses
from collections import deque

from bench.policy.model import Request
from papayatack.core.errors import ErrorKind

__all__ = ["MaxMinGate"]

INTERVAL_S = 1.0
BURST_S = 0.2
GREEDY_SHARE = 0.95


@dataclasses.dataclass(slots=True, kw_only=True)
class _PartnerState:
    """A partner's queue and rates, in slot seconds a second."""

    guaranteed: float
    extra: float = 0.0
    guaranteed_tokens: float = 0.0
    extra_tokens: float = 0.0
    used: float = 0.0
    asked: float = 0.0
    queue: deque[Request] = dataclasses.field(default_factory=deque)


class MaxMinGate:
    """Allocates rates to partners once an interval.

    Args:
        slots: Requests that run at once.
        partners: Names of the partners, with equal guarantees.
        queue_length: Requests that may wait; the longest queue is cut.
        work_conserving: Whether a slot that no rate claims is given in turn.
        service_s: Mean service time, as a measured estimate.
    """

    cancels_late = True

    def __init__(
        self,
        *,
        slots: int,
        partners: list[str],
        queue_length: int,
        work_conserving: bool,
        service_s: float,
    ) -> None:
        self._slots = slots
        self._running = 0
        self._queue_length = queue_length
        self._work_conserving = work_conserving
        self._service_s = service_s
        guaranteed = slots / len(partners)
        self._partners = {
            name: _PartnerState(guaranteed=guaranteed) for name in partners
        }
        self._turns = deque(partners)
        self._updated_s = 0.0
        self._interval_s = 0.0
        self._refused: list[tuple[Request, ErrorKind]] = []

    def offer(self, now: float, request: Request) -> None:
        """Ask for a slot."""
        state = self._partners[request.partner]
        state.asked += self._service_s
        waiting = sum(len(other.queue) for other in self._partners.values())
        state.queue.append(request)
        if waiting >= self._queue_length:
            longest = max(self._partners.values(), key=lambda other: len(other.queue))
            self._refused.append((longest.queue.pop(), ErrorKind.QUEUE_FULL))

    def poll(self, now: float) -> list[tuple[Request, ErrorKind | None]]:
        """Return what got a slot, and what was refused and why."""
        self._refill(now)
        results: list[tuple[Request, ErrorKind | None]] = list(self._refused)
        self._refused.clear()
        while self._running < self._slots:
            state = self._choose(now, results)
            if state is None:
                break
            self._running += 1
            results.append((state.queue.popleft(), None))
            state.used += self._service_s
            if state.guaranteed_tokens > 0:
                state.guaranteed_tokens -= self._service_s
            else:
                state.extra_tokens -= self._service_s
        return results

    def release(
        self, now: float, request: Request, service_s: float, error: ErrorKind | None
    ) -> None:
        """Give a slot back, and charge what it really took."""
        self._running -= 1
        state = self._partners[request.partner]
        state.used += service_s - self._service_s
        state.guaranteed_tokens -= service_s - self._service_s

    def next_wakeup(self, now: float) -> float | None:
        """Return when to poll without another event."""
        if any(state.queue for state in self._partners.values()):
            return now + 0.005
        return None

    def _choose(self, now: float, results: list) -> _PartnerState | None:
        """Return the next partner: below its guarantee, below its rate, or in turn."""
        self._drop_late(now, results)
        spare: _PartnerState | None = None
        waiting: _PartnerState | None = None
        for _ in range(len(self._turns)):
            state = self._partners[self._turns[0]]
            self._turns.rotate(-1)
            if not state.queue:
                continue
            if state.guaranteed_tokens > 0:
                return state
            if state.extra_tokens > 0:
                spare = spare or state
            waiting = waiting or state
        if spare is None and self._work_conserving:
            return waiting
        return spare

    def _drop_late(self, now: float, results: list) -> None:
        for state in self._partners.values():
            while state.queue and now + self._service_s >= state.queue[0].deadline_s:
                request = state.queue.popleft()
                results.append((request, ErrorKind.DEADLINE_UNREACHABLE))

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._updated_s
        self._updated_s = now
        for state in self._partners.values():
            state.guaranteed_tokens = min(
                state.guaranteed_tokens + elapsed_s * state.guaranteed,
                state.guaranteed * BURST_S,
            )
            state.extra_tokens = min(
                state.extra_tokens + elapsed_s * state.extra,
                max(state.extra * BURST_S, self._service_s),
            )
        if now >= self._interval_s + INTERVAL_S:
            self._allocate(now - self._interval_s)
            self._interval_s = now

    def _allocate(self, elapsed_s: float) -> None:
        """Share the rate that the partners' guarantees leave unused."""
        left = float(self._slots)
        greedy: list[_PartnerState] = []
        for state in self._partners.values():
            used = state.used / elapsed_s
            state.extra = 0.0
            if used >= GREEDY_SHARE * state.guaranteed:
                greedy.append(state)
                left -= state.guaranteed
            else:
                left -= min(2.0 * used, state.guaranteed)
        self._share_extra(greedy, max(0.0, left), elapsed_s)
        for state in self._partners.values():
            state.used = 0.0
            state.asked = 0.0

    @staticmethod
    def _share_extra(
        greedy: list[_PartnerState], left: float, elapsed_s: float
    ) -> None:
        """Give each greedy partner an equal part, up to what it asked for."""
        wants = {
            index: max(0.0, state.asked / elapsed_s - state.guaranteed)
            for index, state in enumerate(greedy)
        }
        order = sorted(wants, key=wants.__getitem__)
        for position, index in enumerate(order):
            greedy[index].extra = min(wants[index], left / (len(order) - position))
            left -= greedy[index].extra
