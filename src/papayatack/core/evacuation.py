"""Decides until when upstreams of evacuated data centres may be used."""

import dataclasses
import math
from collections.abc import Collection

__all__ = ["EVACUATION_S", "Evacuations", "Order"]

EVACUATION_S = 5.0
"""Time after an order within which the last request is sent, unless a deployment sets
another, in seconds."""

SEND_MARGIN_S = 0.5
"""Time before the bound from which nothing is sent, so that what was sent arrives."""

SETTLE_S = 0.8
"""Time for which an order must be known before the planner moves shards away."""

OWN_MOVE_DELAY_S = 2.2
"""Time after which a node whose shards the planner does not move moves them itself."""

STALLED_S = 1.0
"""Time without a move after which that is so."""

OWN_MOVE_NOTICE_S = 1.2
"""Least time before the end at which it moves them anyway, however late it knew."""

STOP_NOTICE_S = 0.9
"""Time before the bound from which it no longer serves the shards that are left."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to evacuate a data centre, as one node knows it.

    Attributes:
        known_s: Time at which this node learned of it.
        issued_after_s: Latest time at which it had certainly not been given yet.
    """

    known_s: float
    issued_after_s: float


class Evacuations:
    """The evacuated data centres, with the times that follow from each order.

    Times are in seconds of the event loop's clock.

    Args:
        bound_s: Time after the acknowledgement of an order from which no request may
            reach an upstream of the data centre.
    """

    def __init__(self, *, bound_s: float = EVACUATION_S) -> None:
        self._bound_s = bound_s
        self._orders: dict[str, Order] = {}
        self._returned_s: dict[str, float] = {}

    @property
    def data_centres(self) -> Collection[str]:
        """Names of the evacuated data centres."""
        return self._orders.keys()

    def update(
        self, data_centres: Collection[str], *, current_s: float, now: float
    ) -> tuple[list[str], list[str]]:
        """Apply the set of a configuration that is now in force.

        Args:
            data_centres: Names of the evacuated data centres.
            current_s: Time at which the configuration before it was the newest.
            now: Current time.

        Returns:
            The data centres that are evacuated from now on, and those that no longer
            are.
        """
        begun = sorted(set(data_centres) - self._orders.keys())
        ended = sorted(self._orders.keys() - set(data_centres))
        for name in begun:
            order = Order(known_s=now, issued_after_s=min(current_s, now))
            self._orders[name] = order
            self._returned_s.pop(name, None)
        for name in ended:
            del self._orders[name]
            self._returned_s[name] = now
        return begun, ended

    def expire(self) -> None:
        """Let all orders be at their end: the clock may have stood still."""
        for name, order in self._orders.items():
            self._orders[name] = dataclasses.replace(order, issued_after_s=-math.inf)

    def find_end_s(self, data_centre: str) -> float:
        """Return the time from which nothing is sent to upstreams there."""
        order = self._orders.get(data_centre)
        if order is None:
            return math.inf
        return order.issued_after_s + self._bound_s - SEND_MARGIN_S

    def may_send(self, data_centre: str, now: float) -> bool:
        """Return whether a request may be sent to an upstream there now."""
        return not self._orders or now < self.find_end_s(data_centre)

    def must_stop_serving(self, data_centre: str, now: float) -> bool:
        """Return whether shards there may not be served any longer."""
        notice_s = STOP_NOTICE_S - SEND_MARGIN_S
        return now >= self.find_end_s(data_centre) - notice_s

    def must_move_own(self, data_centre: str, moved_s: float, now: float) -> bool:
        """Return whether a node there has to move its shards itself.

        Args:
            data_centre: The data centre.
            moved_s: Time of the last move of one of them.
            now: Current time.
        """
        order = self._orders.get(data_centre)
        if order is None:
            return False
        due_s = max(order.known_s + OWN_MOVE_DELAY_S, moved_s + STALLED_S)
        latest_s = self.find_end_s(data_centre) - OWN_MOVE_NOTICE_S
        return now >= min(due_s, latest_s)

    def list_moving(self, now: float) -> frozenset[str]:
        """Return the data centres whose nodes are to have no shards."""
        return frozenset(
            name
            for name, order in self._orders.items()
            if now >= order.known_s + SETTLE_S
        )

    def find_returned_s(self, data_centre: str) -> float:
        """Return when the data centre was last taken back; ``-inf`` if never."""
        return self._returned_s.get(data_centre, -math.inf)
