"""Start-time fair queueing of one class's requests among partners."""

import dataclasses
from collections import OrderedDict
from collections.abc import Mapping

from papayatack.core.admission.entry import QueueEntry
from papayatack.core.heap import KeyedHeap

__all__ = ["SHARED_FLOW", "FairQueue"]

WAIT_RATE_SMOOTHING = 0.2
"""Weight of a new sample in the moving average of a flow's wait rate."""

SHARED_FLOW = ""
"""Name of the flow that all partners without a configured weight share."""


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Flow:
    """Queued requests of a partner, with its start and finish tags in virtual time.

    ``entries`` is in the order of submission, ``start_order`` in that of the latest
    starts, in which requests are served.
    ``backlog`` is the sum of the queued charges, in slot-seconds. ``wait_rate`` is the
    measured wait of a request, divided by the work queued in the flow up to and
    including that request, in seconds per slot-second. It is reset when the queue
    becomes empty.
    """

    name: str
    weight: float
    start: float = 0.0
    finish: float = 0.0
    backlog: float = 0.0
    wait_rate: float = 0.0
    entries: OrderedDict[int, QueueEntry] = dataclasses.field(
        default_factory=OrderedDict
    )
    start_order: KeyedHeap[int] = dataclasses.field(default_factory=KeyedHeap)

    def pop(self) -> QueueEntry:
        """Remove and return the request that must start first."""
        _, number = self.start_order.peek()
        entry = self.entries[number]
        self.remove(entry)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request."""
        del self.entries[entry.number]
        self.start_order.remove(entry.number)


class FairQueue:
    """Serves the flow that has received the least slot time relative to its weight.

    In a flow, the request that must start first is served first, so that requests that
    may wait for different times are equally likely to start in time.
    A request is charged its expected slot-seconds when it is popped; :meth:`adjust`
    corrects the charge to the actual use. Idle flows accumulate no credit. All partners
    without a configured weight share one flow of weight 1, so that memory is bounded by
    the number of configured partners and of queued requests.
    """

    def __init__(self, *, weights: Mapping[str, float]) -> None:
        self._flows: dict[str, _Flow] = {}
        self._weights: dict[str, float] = {}
        self._start_tags: KeyedHeap[str] = KeyedHeap()
        self._by_length: KeyedHeap[str] = KeyedHeap()
        self._virtual_time = 0.0
        self._length = 0
        self._backlog = 0.0
        self._active_weight = 0.0
        self._total_weight = 0.0
        self.set_weights(weights)

    def __len__(self) -> int:
        return self._length

    @property
    def backlog_s(self) -> float:
        """Expected use of slots by the queued requests, in slot-seconds."""
        return self._backlog

    @property
    def flow_count(self) -> int:
        """Number of flows held in memory."""
        return len(self._flows)

    @property
    def backlog(self) -> float:
        """Queued work, in slot-seconds."""
        return self._backlog

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Apply new weights; queued requests keep their positions."""
        self._weights = {SHARED_FLOW: 1.0, **weights}
        self._total_weight = sum(self._weights.values())
        for name, flow in list(self._flows.items()):
            if flow.entries:
                self._active_weight -= flow.weight
                flow.weight = self._weights.get(name, flow.weight)
                self._active_weight += flow.weight
                self._update_length_rank(flow)
            elif name in self._weights:
                flow.weight = self._weights[name]
            else:
                del self._flows[name]

    def find_flow(self, partner: str) -> str:
        """Return the name of the flow that a partner's requests belong to."""
        return partner if partner in self._weights else SHARED_FLOW

    def push(self, entry: QueueEntry) -> None:
        """Add a request to its flow."""
        flow = self._flows.get(entry.flow)
        if flow is None:
            weight = self._weights.get(entry.flow, 1.0)
            flow = _Flow(name=entry.flow, weight=weight)
            self._flows[entry.flow] = flow
        if not flow.entries:
            flow.start = max(self._virtual_time, flow.finish)
            self._active_weight += flow.weight
            self._start_tags.put(flow.name, flow.start)
        flow.entries[entry.number] = entry
        flow.start_order.put(entry.number, entry.queue_deadline_s)
        entry.work_ahead = flow.backlog
        flow.backlog += entry.charge
        self._backlog += entry.charge
        self._length += 1
        self._update_length_rank(flow)

    def pop(self) -> QueueEntry | None:
        """Remove and return the next request in fair order, and charge its flow."""
        head = self._start_tags.peek()
        if head is None:
            return None
        flow = self._flows[head[1]]
        self._virtual_time = max(self._virtual_time, flow.start)
        entry = flow.pop()
        flow.finish = flow.start + entry.charge / flow.weight
        flow.start = flow.finish
        self._update_after_removal(flow, entry)
        if flow.entries:
            self._start_tags.put(flow.name, flow.start)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Remove a queued request without charging its flow."""
        flow = self._flows[entry.flow]
        flow.remove(entry)
        self._update_after_removal(flow, entry)

    def adjust(self, entry: QueueEntry, difference: float) -> None:
        """Charge a flow for the difference between actual and expected slot-seconds."""
        flow = self._flows.get(entry.flow)
        if flow is None:
            return
        flow.finish += difference / flow.weight
        if flow.entries:
            flow.start = max(self._virtual_time, flow.start + difference / flow.weight)
            self._start_tags.put(flow.name, flow.start)

    def find_drop_candidate(self) -> QueueEntry | None:
        """Return the newest request of the flow with the longest weighted queue."""
        head = self._by_length.peek()
        if head is None:
            return None
        flow = self._flows[head[1]]
        return flow.entries[next(reversed(flow.entries))]

    def weighted_length(self, flow_name: str) -> float:
        """Return the number of queued requests of a flow, divided by its weight."""
        flow = self._flows.get(flow_name)
        return len(flow.entries) / flow.weight if flow else 0.0

    def record_wait(self, entry: QueueEntry, waited_s: float) -> None:
        """Update the wait rate of a flow from the wait of a request that was popped."""
        flow = self._flows.get(entry.flow)
        if flow is None or not flow.entries:
            return
        sample = waited_s / (entry.work_ahead + entry.charge)
        if flow.wait_rate:
            sample = flow.wait_rate + WAIT_RATE_SMOOTHING * (sample - flow.wait_rate)
        flow.wait_rate = sample

    def estimate_wait(self, flow_name: str, slots: float) -> float:
        """Return the expected wait of a new request of the flow, in seconds.

        This is the greater of two estimates: one from the work that fair queueing
        schedules before the request, and one from the flow's measured wait rate, which
        also reflects partners whose requests never queue. The measured rate is capped
        at the rate that corresponds to the flow's share among all partners.
        """
        flow = self._flows.get(flow_name)
        if flow is None or not flow.entries:
            return 0.0
        max_wait_rate = self._total_weight / (flow.weight * slots)
        measured_wait_s = flow.backlog * min(flow.wait_rate, max_wait_rate)
        return max(measured_wait_s, self.estimate_work_ahead(flow_name) / slots)

    def estimate_work_ahead(self, flow_name: str) -> float:
        """Return the slot-seconds that are served before a new request of the flow."""
        flow = self._flows.get(flow_name)
        if flow is None or not flow.entries:
            return 0.0
        fair = flow.backlog * self._active_weight / flow.weight
        return min(fair, self._backlog)

    def _update_length_rank(self, flow: _Flow) -> None:
        self._by_length.put(flow.name, -len(flow.entries) / flow.weight)

    def _update_after_removal(self, flow: _Flow, entry: QueueEntry) -> None:
        """Update the sums after a request has left its flow."""
        flow.backlog = max(0.0, flow.backlog - entry.charge)
        self._backlog = max(0.0, self._backlog - entry.charge)
        self._length -= 1
        if flow.entries:
            self._update_length_rank(flow)
            return
        self._start_tags.remove(flow.name)
        self._by_length.remove(flow.name)
        self._active_weight -= flow.weight
        flow.backlog = 0.0
        flow.wait_rate = 0.0
        if not self._length:
            self._backlog = 0.0
            self._active_weight = 0.0
        if flow.name not in self._weights:
            del self._flows[flow.name]
