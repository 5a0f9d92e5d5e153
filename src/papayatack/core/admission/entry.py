"""One request's way through admission."""

import dataclasses
import enum

from papayatack.core.errors import Refusal
from papayatack.core.inventory import RequestClass

__all__ = ["Admitted", "QueueEntry", "EntryState", "Refused", "AdmissionDecision"]


class EntryState(enum.Enum):
    """Where a request stands; it only moves downwards in this list."""

    QUEUED = enum.auto()
    RUNNING = enum.auto()
    ENDED = enum.auto()


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class QueueEntry:
    """A request that asked for a slot.

    Attributes:
        number: Unique within the admission.
        flow: The partner under which it is charged.
        request_class: The class in which it queues.
        cost: Work relative to a browse request.
        deadline_s: Time after which it is of no use.
        charge: Slot seconds that it is expected to take.
        queue_deadline_s: Time after which it can no longer finish in time.
        offered_s: When it came.
        ahead: Expected slot seconds of its flow that waited before it.
        state: Where it stands.
        started_s: When it got its slot.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The entry has a slot."""

    entry: QueueEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The entry's final answer."""

    entry: QueueEntry
    refusal: Refusal


AdmissionDecision = Admitted | Refused
