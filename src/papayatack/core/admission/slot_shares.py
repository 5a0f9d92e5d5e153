"""How the slots of an upstream are shared among the classes of requests."""

import random

from papayatack.core.admission.class_state import ClassState
from papayatack.core.admission.concurrency_limit import ConcurrencyLimit
from papayatack.core.admission.headroom import Headroom
from papayatack.core.admission.limits import AdmissionLimits
from papayatack.core.admission.rank_lanes import RankLanes
from papayatack.core.admission.rank_order import (
    estimate_ranked_wait,
    estimate_room,
    select_first,
)
from papayatack.core.admission.rate_limit import RateLimit
from papayatack.core.inventory import RequestClass

__all__ = ["SlotShares"]


class SlotShares:
    """Chooses the class that is served next, and estimates what each class gets.

    Attributes:
        limits: Capacity of the upstream.
        in_use: Number of slots in use.
    """

    def __init__(
        self,
        *,
        now: float,
        limits: AdmissionLimits,
        lanes: RankLanes,
        concurrency_limit: ConcurrencyLimit,
        rate_limit: RateLimit,
        rng: random.Random,
    ) -> None:
        self.limits = limits
        self.in_use = 0
        self._lanes = lanes
        self._concurrency_limit = concurrency_limit
        self._rate_limit = rate_limit
        self._rng = rng
        self._headroom = Headroom(updated_s=now)

    def record_load(self, now: float) -> None:
        """Record the load of the classes of short requests up to now."""
        if now <= self._headroom.updated_s:
            return
        self._lanes.fade(now)
        load = self._lanes.count_short_demand()
        self._headroom.record(now, min(load, self._concurrency_limit.slots))

    def choose_state(self, limit: int) -> ClassState | None:
        """Return the class whose request is served next, if any waits that may be.

        It is the one that uses its share the least, of those that have precedence.
        """
        waiting = [
            state
            for state in self._lanes
            if len(state.queue) and self.may_use_slot(state, limit)
        ]
        if waiting and self._lanes.compete(waiting[0].rank):
            waiting = select_first(self._lanes, waiting)
        return min(waiting, key=self._rank_class, default=None)

    def _rank_class(self, state: ClassState) -> float:
        """Return the use of a class's share; it is negative for a class that uses none.

        Those are ranked by a draw in proportion to their shares.
        """
        if state.in_use:
            return state.in_use / state.share
        return -(self._rng.random() ** (1.0 / state.share))

    def may_use_slot(self, state: ClassState, limit: int) -> bool:
        """Return whether a class may hold one more slot, if one is free."""
        if state.request_class is not RequestClass.DOWNLOAD:
            return True
        in_use = self._lanes.count_downloads()
        return in_use < self._max_class_slots(state, limit)

    def count_usable(self, now: float, state: ClassState) -> float:
        """Return the number of slots that a class gets under the present demand."""
        limit = self._concurrency_limit.current_limit(now)
        service_s = state.seconds_per_cost or 0.0
        if self._lanes.compete(state.rank):
            room = estimate_room(
                self._lanes, state, self._rate_limit.scale_slots(limit, service_s)
            )
            return min(room, self._count_shared(now, state))
        active = state.share
        for other in self._lanes.list_rank(state.rank):
            if other is not state and other.demand:
                active += other.share
        share = state.share / active
        others = self.in_use - state.in_use
        slots = max(limit * share, float(limit - others))
        slots = max(1.0, min(slots, self._max_class_slots(state, limit)))
        return self._rate_limit.scale_slots(slots, share * service_s)

    def estimate_wait(
        self, now: float, state: ClassState, flow: str, slots: float
    ) -> float:
        """Return the expected wait of a new request in seconds, 0 if not known.

        Args:
            now: The current time.
            state: Class of the request.
            flow: Flow of the request.
            slots: Slots that the class gets.
        """
        if state.seconds_per_cost is None:
            return 0.0
        if not self._lanes.compete(state.rank):
            return state.queue.estimate_wait(flow, slots)
        shared = self._count_shared(now, state)
        return estimate_ranked_wait(self._lanes, state, flow, room=slots, slots=shared)

    def _count_shared(self, now: float, state: ClassState) -> float:
        """Return how many slots a class would get if no other class wanted any."""
        limit = self._concurrency_limit.current_limit(now)
        most = self._max_class_slots(state, limit)
        return self._rate_limit.scale_slots(most, state.seconds_per_cost or 0.0)

    def _max_class_slots(self, state: ClassState, limit: int) -> int:
        """Return the maximum number of slots that a class may hold."""
        if state.request_class is not RequestClass.DOWNLOAD:
            return limit
        guaranteed = self.limits.guarantee_slots(RequestClass.DOWNLOAD)
        return max(min(guaranteed, limit), limit - self._headroom.required_slots())
