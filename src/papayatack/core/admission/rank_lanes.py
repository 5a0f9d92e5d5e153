"""The classes of requests of each rank at one upstream, and the work that they got."""

import math
from collections.abc import Callable, Iterator

from papayatack.core.admission.class_state import WORK_MEMORY_S, ClassState
from papayatack.core.inventory import RequestClass

__all__ = ["MAX_RANK", "RankLanes"]

MAX_RANK = 7
"""Last rank that is told apart; greater ones count as this one."""

NEGLIGIBLE_LOAD = 0.01
"""Load in slots below which a class does not compete."""

_POSITIONS = {request_class: place for place, request_class in enumerate(RequestClass)}


class RankLanes:
    """Holds the state of each class of each rank that has been seen.

    Decided and started work is measured only once there are several ranks.

    Args:
        build: Returns the state of a class of a rank that is seen for the first time.
    """

    def __init__(self, *, build: Callable[[RequestClass, int], ClassState]) -> None:
        self._build = build
        self._by_class: dict[tuple[int, RequestClass], ClassState] = {}
        self._states: tuple[ClassState, ...] = ()
        self._has_several = False
        self._updated_s = 0.0
        self._decided_work = 0.0
        self._started_work = 0.0
        self._pace = 1.0

    def set_pace(self, pace: float) -> None:
        """Set how long work takes at the upstream now, relative to usual."""
        self._pace = pace
        for state in self._states:
            state.pace = pace

    def __iter__(self) -> Iterator[ClassState]:
        """Iterate over the states by their ranks and classes."""
        return iter(self._states)

    def get_state(self, rank: int, request_class: RequestClass) -> ClassState:
        """Return the state of a class of a rank."""
        state = self._by_class.get((rank, request_class))
        if state is not None:
            return state
        if not 0 <= rank <= MAX_RANK:
            return self.get_state(max(0, min(rank, MAX_RANK)), request_class)
        state = self._build(request_class, rank)
        state.pace = self._pace
        self._by_class[rank, request_class] = state
        self._states = tuple(sorted(self._by_class.values(), key=_find_position))
        self._has_several = self._states[0].rank != self._states[-1].rank
        return state

    @property
    def served_ratio(self) -> float:
        """Share of the decided work of all classes that was started."""
        if self._started_work >= self._decided_work:
            return 1.0
        return self._started_work / self._decided_work

    def list_rank(self, rank: int) -> list[ClassState]:
        """Return the states of a rank."""
        return [state for state in self._states if state.rank == rank]

    def list_worse(self, rank: int) -> list[ClassState]:
        """Return the states of worse ranks, the worst one first."""
        return [state for state in reversed(self._states) if state.rank > rank]

    def count_downloads(self) -> int:
        """Return the number of slots that downloads of all ranks hold."""
        return sum(
            state.in_use
            for state in self._states
            if state.request_class is RequestClass.DOWNLOAD
        )

    def count_short_demand(self) -> int:
        """Return the slots that the classes of short requests hold or wait for."""
        return sum(
            state.demand
            for state in self._states
            if state.request_class is not RequestClass.DOWNLOAD
        )

    def compete(self, rank: int) -> bool:
        """Return whether requests of a rank compete with those of another rank."""
        return self._has_several and any(
            state.rank != rank and (state.demand or state.load > NEGLIGIBLE_LOAD)
            for state in self._states
        )

    def record_start(self, state: ClassState, work: float) -> None:
        """Record a request that got a slot, with its expected slot-seconds."""
        if self._has_several:
            state.decided_work += work
            state.started_work += work
            self._decided_work += work
            self._started_work += work

    def record_refusal(self, state: ClassState, work: float) -> None:
        """Record a request that got no slot, with its expected slot-seconds."""
        if self._has_several:
            state.decided_work += work
            self._decided_work += work

    def fade(self, now: float) -> None:
        """Reduce the measured work by the time that has passed."""
        elapsed_s = now - self._updated_s
        if elapsed_s <= 0 or not self._has_several:
            return
        self._updated_s = now
        factor = math.exp(-elapsed_s / WORK_MEMORY_S)
        self._decided_work *= factor
        self._started_work *= factor
        for state in self._states:
            state.decided_work *= factor
            state.started_work *= factor


def _find_position(state: ClassState) -> tuple[int, int]:
    return state.rank, _POSITIONS[state.request_class]
