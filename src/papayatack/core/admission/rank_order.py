"""Which rank is served next, and how long the others wait for it.

Better ranks are served first, and in a rank the calls. Each class of a rank has a
guarantee: a part of the work that is asked of it, which depends on the part that is
served of all.
"""

from papayatack.core.admission.class_state import WORK_MEMORY_S, ClassState
from papayatack.core.admission.rank_lanes import RankLanes
from papayatack.core.inventory import RequestClass

__all__ = ["estimate_ranked_wait", "estimate_room", "select_first"]

MIN_SERVED_RATIO = 0.4
"""Guaranteed share of the decided work of a class, relative to the share that is served
of all classes."""

CALL_SERVED_RATIO = 2.5
"""The share up to which calls compete with first requests of better ranks, likewise. If
a call is refused, the work of its parent is lost too."""

MIN_ROOM_SHARE = 0.05
"""Share of the slots that a class is expected to get at least."""


def select_first(lanes: RankLanes, waiting: list[ClassState]) -> list[ClassState]:
    """Return those of the waiting classes of which one is served next.

    Classes that got less than their guarantee go before the others. Calls of worse
    ranks compete with the first requests of the best waiting rank.

    Args:
        lanes: All classes.
        waiting: Classes with a request that may be started.
    """
    served_ratio = lanes.served_ratio
    starved = [
        state
        for state in waiting
        if state.started_work < MIN_SERVED_RATIO * served_ratio * state.decided_work
    ]
    if starved:
        return _list_first(starved)
    first = _list_first(waiting)
    if first[0].request_class is RequestClass.CALL:
        return first
    owed = [state for state in waiting if _measure_owed_work(state, served_ratio) > 0]
    return first + _list_first(owed)


def _list_first(states: list[ClassState]) -> list[ClassState]:
    """Return those of the classes that precede the others."""
    first = min((state.precedence for state in states), default=None)
    return [state for state in states if state.precedence == first]


def estimate_room(lanes: RankLanes, state: ClassState, slots: float) -> float:
    """Return how many slots the other classes leave to a class.

    Args:
        lanes: All classes.
        state: The class.
        slots: Slots that all classes share.
    """
    served_ratio = lanes.served_ratio
    room = slots
    share = state.share
    for other in lanes:
        if other is state:
            continue
        if other.precedence < state.precedence:
            room -= other.load
        elif other.precedence > state.precedence:
            room -= _guarantee_work(other, served_ratio) / WORK_MEMORY_S
        elif other.demand:
            share += other.share
    return max(
        room * state.share / share,
        _guarantee_work(state, served_ratio) / WORK_MEMORY_S,
        MIN_ROOM_SHARE * slots,
    )


def estimate_ranked_wait(
    lanes: RankLanes,
    state: ClassState,
    flow: str,
    *,
    room: float,
    slots: float,
) -> float:
    """Return the expected wait of a new request in seconds.

    What its class is owed is served at once; what waits beyond that, after the classes
    that precede it.

    Args:
        lanes: All classes.
        state: Class of the request.
        flow: Flow of the request.
        room: Slots that the other classes leave to the class.
        slots: Slots that all classes share.
    """
    ahead = state.queue.estimate_work_ahead(flow)
    owed = max(0.0, _measure_owed_work(state, lanes.served_ratio))
    if ahead < owed:
        return ahead / slots
    before = sum(
        other.queue.backlog for other in lanes if other.precedence < state.precedence
    )
    wait_s = (owed + before) / slots
    if ahead:
        wait_s += state.queue.estimate_wait(flow, room) * (ahead - owed) / ahead
    return wait_s


def _measure_owed_work(state: ClassState, served_ratio: float) -> float:
    """Return the slot-seconds that a class lacks of its guarantee."""
    return _guarantee_work(state, served_ratio) - state.started_work


def _guarantee_work(state: ClassState, served_ratio: float) -> float:
    """Return the slot-seconds of the measured time that a class is guaranteed."""
    is_call = state.request_class is RequestClass.CALL
    ratio = CALL_SERVED_RATIO if is_call else MIN_SERVED_RATIO
    return min(1.0, ratio * served_ratio) * state.decided_work
