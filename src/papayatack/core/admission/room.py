"""Measures the room and the work left at the upstream, to be told to other nodes."""

import dataclasses

from papayatack.core.admission.controller import AdmissionController
from papayatack.core.admission.entry import QueueEntry
from papayatack.core.inventory import RequestClass
from papayatack.core.node_load import NodeLoad, find_wait

__all__ = ["RoomMeter"]

SAMPLES = 100
"""Requests over which service times are averaged."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _Mean:
    """Moving average over the last ``SAMPLES`` samples."""

    value: float = 0.0
    count: int = 0

    def record(self, sample: float) -> None:
        self.count = min(self.count + 1, SAMPLES)
        self.value += (sample - self.value) / self.count


@dataclasses.dataclass(slots=True, kw_only=True)
class _ClassRoom:
    """Running requests of one class.

    Attributes:
        running: Number of the running requests.
        running_cost: Sum of their costs.
        seconds_per_cost: Service time at the usual pace for a cost of 1.
    """

    running: int = 0
    running_cost: float = 0.0
    seconds_per_cost: _Mean = dataclasses.field(default_factory=_Mean)


class RoomMeter:
    """Running requests and mean service times of one upstream.

    Other nodes compare the speeds of upstreams by the mean service time of all requests
    as they come, since they send the same mix to each. It is taken over more requests
    than the estimates of admission, which need not tell similar upstreams apart.
    """

    def __init__(self) -> None:
        self._service_s = _Mean()
        self._classes = {name: _ClassRoom() for name in RequestClass}

    def start(self, entry: QueueEntry) -> None:
        """Record that a request began to run."""
        room = self._classes[entry.request_class]
        room.running += 1
        room.running_cost += entry.cost

    def finish(
        self, entry: QueueEntry, *, service_time_s: float | None, pace: float
    ) -> None:
        """Record that a request no longer runs.

        Args:
            entry: The request.
            service_time_s: Its service time, if it tells that of later requests.
            pace: How long work took meanwhile, relative to usual.
        """
        room = self._classes[entry.request_class]
        room.running -= 1
        room.running_cost = room.running_cost - entry.cost if room.running else 0.0
        if service_time_s is not None:
            usual_s = service_time_s / pace
            room.seconds_per_cost.record(usual_s / entry.cost)
            self._service_s.record(usual_s)

    def clear_service(self) -> None:
        """Forget the service times, since the upstream process has ended."""
        self._service_s = _Mean()
        for room in self._classes.values():
            room.seconds_per_cost = _Mean()

    def read(
        self, now: float, admission: AdmissionController, *, pace: float
    ) -> NodeLoad | None:
        """Return what to tell other nodes; ``None`` before the first answer.

        Args:
            now: The current time, in seconds.
            admission: The queues before the upstream.
            pace: How long work takes there now, relative to usual.
        """
        usual_s = self._service_s.value
        if not usual_s:
            return None
        service_s = usual_s * pace
        work_s = pace * sum(
            self._count_work(admission, request_class) for request_class in RequestClass
        )
        slots = max(1, admission.current_limit(now))
        requests_per_s = admission.find_rate(now) or 0.0
        wait_s = 0.0
        if admission.queued or admission.in_use >= slots:
            wait_s = find_wait(work_s / service_s, 0.0, slots, service_s)
        if requests_per_s:
            wait_s = max(wait_s, admission.queued / requests_per_s)
        return NodeLoad(
            wait_s=wait_s,
            work_s=work_s,
            slots=slots,
            service_s=usual_s,
            requests_per_s=requests_per_s,
            pace=pace,
        )

    def _count_work(
        self, admission: AdmissionController, request_class: RequestClass
    ) -> float:
        """Return the slot-seconds of a class at the usual pace that run or wait."""
        room = self._classes[request_class]
        per_cost_s = room.seconds_per_cost.value or self._service_s.value
        queued_cost = sum(
            state.estimate_cost(state.queue.backlog_s)
            for state in admission.list_class_states(request_class)
        )
        return (room.running_cost + queued_cost) * per_cost_s
