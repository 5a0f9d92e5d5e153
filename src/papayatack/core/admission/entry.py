"""Queue entries of admission control and the decisions on them."""

import dataclasses
import enum

from papayatack.core.errors import Refusal
from papayatack.core.inventory import RequestClass

__all__ = ["Admitted", "QueueEntry", "EntryState", "Refused", "AdmissionDecision"]


class EntryState(enum.Enum):
    """Stage of a request; it only advances in the order of this list."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class QueueEntry:
    """A request that was submitted for a slot.

    Attributes:
        number: Sequence number, unique within the controller.
        flow: Flow of the partner that is charged for the request.
        request_class: Class in whose queue the request waits.
        cost: Work relative to a browse request.
        deadline_s: Time after which the response is of no use.
        charge: Expected use of a slot, in slot-seconds.
        queue_deadline_s: Latest time at which the request may start and still finish in
            time.
        offered_s: Time of submission.
        work_ahead: Charges queued in its flow on submission, in slot-seconds.
        state: Current stage.
        started_s: Time at which the request got its slot.
        rank: Its precedence; 0 is the highest.
        is_sent: Whether the request was sent to the upstream.
    """

    number: int
    flow: str
    request_class: RequestClass
    cost: float
    deadline_s: float
    charge: float
    queue_deadline_s: float
    offered_s: float = 0.0
    work_ahead: float = 0.0
    state: EntryState = EntryState.QUEUED
    started_s: float = 0.0
    rank: int = 0
    is_sent: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """Decision that the request may run; it holds a slot."""

    entry: QueueEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Decision to refuse the request, with the refusal to return."""

    entry: QueueEntry
    refusal: Refusal


AdmissionDecision = Admitted | Refused
