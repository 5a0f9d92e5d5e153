"""Start-time fair queueing of the requests of one class over partners."""

import dataclasses
from collections import OrderedDict
from collections.abc import Mapping

from papayatack.core.admission.entry import QueueEntry
from papayatack.core.heap import KeyedHeap

__all__ = ["SHARED_FLOW", "FairQueue"]

WAIT_RATE_SMOOTHING = 0.2

SHARED_FLOW = ""
"""The flow of all partners that the inventory does not name."""


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class _Flow:
    """A partner's waiting requests and its virtual time.

    ``pace`` is the measured wait for each slot second that waited before a request,
    while the partner's queue has not been empty.
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


class FairQueue:
    """Serves the partner with the least slot time received per weight.

    A request is charged its expected slot seconds when it is taken; what it really
    took is charged with :meth:`adjust`. An idle partner earns no credit. All
    partners without a weight of their own share one flow of weight 1, so that
    memory is bounded by the inventory and the number of waiting requests.
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
    def flow_count(self) -> int:
        """Number of partners that take memory."""
        return len(self._flows)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Put new weights in force; waiting requests keep their place."""
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
        """Return the flow in which a partner's requests wait."""
        return partner if partner in self._weights else SHARED_FLOW

    def push(self, entry: QueueEntry) -> None:
        """Append a request to its partner's flow."""
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
        entry.work_ahead = flow.backlog
        flow.backlog += entry.charge
        self._backlog += entry.charge
        self._length += 1
        self._update_length_rank(flow)

    def pop(self) -> QueueEntry | None:
        """Take the next request in fair order and charge its partner."""
        head = self._start_tags.peek()
        if head is None:
            return None
        flow = self._flows[head[1]]
        self._virtual_time = max(self._virtual_time, flow.start)
        _, entry = flow.entries.popitem(last=False)
        flow.finish = flow.start + entry.charge / flow.weight
        flow.start = flow.finish
        self._update_after_removal(flow, entry)
        if flow.entries:
            self._start_tags.put(flow.name, flow.start)
        return entry

    def remove(self, entry: QueueEntry) -> None:
        """Take out a waiting request without charging it."""
        flow = self._flows[entry.flow]
        del flow.entries[entry.number]
        self._update_after_removal(flow, entry)

    def adjust(self, entry: QueueEntry, difference: float) -> None:
        """Charge a partner for slot seconds beyond, or below, the expected ones."""
        flow = self._flows.get(entry.flow)
        if flow is None:
            return
        flow.finish += difference / flow.weight
        if flow.entries:
            flow.start = max(self._virtual_time, flow.start + difference / flow.weight)
            self._start_tags.put(flow.name, flow.start)

    def find_drop_candidate(self) -> QueueEntry | None:
        """Return the newest request of the partner with the longest queue."""
        head = self._by_length.peek()
        if head is None:
            return None
        flow = self._flows[head[1]]
        return flow.entries[next(reversed(flow.entries))]

    def weighted_length(self, flow_name: str) -> float:
        """Return the number of a flow's waiting requests per weight."""
        flow = self._flows.get(flow_name)
        return len(flow.entries) / flow.weight if flow else 0.0

    def record_wait(self, entry: QueueEntry, waited_s: float) -> None:
        """Learn how fast a partner's queue moves from a request that was taken."""
        flow = self._flows.get(entry.flow)
        if flow is None or not flow.entries:
            return
        sample = waited_s / (entry.work_ahead + entry.charge)
        if flow.wait_rate:
            sample = flow.wait_rate + WAIT_RATE_SMOOTHING * (sample - flow.wait_rate)
        flow.wait_rate = sample

    def estimate_wait(self, flow_name: str, slots: float) -> float:
        """Return how long a new request of the flow would wait.

        The greater of two estimates: the work that fairness puts before it, and the
        measured pace of its flow, which also knows of partners that never wait. No
        flow is slower than its share among all partners, whatever was measured.
        """
        flow = self._flows.get(flow_name)
        if flow is None or not flow.entries:
            return 0.0
        max_wait_rate = self._total_weight / (flow.weight * slots)
        measured_wait_s = flow.backlog * min(flow.wait_rate, max_wait_rate)
        return max(measured_wait_s, self.estimate_work_ahead(flow_name) / slots)

    def estimate_work_ahead(self, flow_name: str) -> float:
        """Return the slot seconds served before a new request of the flow."""
        flow = self._flows.get(flow_name)
        if flow is None or not flow.entries:
            return 0.0
        fair = flow.backlog * self._active_weight / flow.weight
        return min(fair, self._backlog)

    def _update_length_rank(self, flow: _Flow) -> None:
        self._by_length.put(flow.name, -len(flow.entries) / flow.weight)

    def _update_after_removal(self, flow: _Flow, entry: QueueEntry) -> None:
        """Keep the sums after a request left its flow."""
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
