"""Admission before one upstream: who gets the next slot, and who is refused."""

import math
import random
from collections.abc import Iterable, Mapping

from papayatack.core.admission.class_state import ClassState
from papayatack.core.admission.concurrency_limit import (
    POLL_INTERVAL_S,
    ConcurrencyLimit,
)
from papayatack.core.admission.entry import (
    AdmissionDecision,
    Admitted,
    EntryState,
    QueueEntry,
    Refused,
)
from papayatack.core.admission.fair_queue import FairQueue
from papayatack.core.admission.headroom import Headroom
from papayatack.core.admission.limits import AdmissionLimits
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.heap import KeyedHeap
from papayatack.core.inventory import Partner, RequestClass

__all__ = ["AdmissionController"]

MIN_RETRY_AFTER_S = 0.05

MIN_COST = 0.001

LATE_REQUEST_MAX_WAIT_S = 0.03
"""Longest wait of a request whose answer comes late in any case."""


class AdmissionController:
    """Shares an upstream's slots among classes and partners.

    Every operation leaves its verdicts in an outbox, which :meth:`poll` returns;
    each entry gets exactly one verdict, unless it was cancelled before.

    Args:
        now: The current time.
        limits: What the upstream takes.
        partners: Partners of the inventory with their weights.
        rng: Spreads the times at which refused callers come back.
    """

    def __init__(
        self,
        *,
        now: float,
        limits: AdmissionLimits,
        partners: Iterable[Partner] = (),
        rng: random.Random | None = None,
    ) -> None:
        self.limits = limits
        self._rng = rng or random.Random()
        self._concurrency_limit = ConcurrencyLimit(
            slots=limits.usable_slots,
            started_s=now,
            ramp_s=limits.ramp_s,
            least_share=limits.least_share,
        )
        self._headroom = Headroom(updated_s=now)
        self._queue_deadlines: KeyedHeap[QueueEntry] = KeyedHeap()
        self._outbox: list[AdmissionDecision] = []
        self._in_use = 0
        self._last_number = 0
        weights = _list_weights(partners)
        self._classes: Mapping[RequestClass, ClassState] = {
            request_class: ClassState(
                share=limits.class_shares[request_class],
                queue=FairQueue(weights=weights),
            )
            for request_class in RequestClass
        }
        self._order = self._classes[RequestClass.ORDER]
        self._browse = self._classes[RequestClass.BROWSE]
        self._download = self._classes[RequestClass.DOWNLOAD]

    @property
    def in_use(self) -> int:
        """Slots that are held."""
        return self._in_use

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue_deadlines)

    def get_class_state(self, request_class: RequestClass) -> ClassState:
        """Return the state of a class, for metrics."""
        return self._classes[request_class]

    def current_limit(self, now: float) -> int:
        """Return the slots that may be in use now."""
        return self._concurrency_limit.current_limit(now)

    def configure(
        self, *, limits: AdmissionLimits, partners: Iterable[Partner]
    ) -> None:
        """Put new limits and partners in force; waiting requests keep waiting."""
        self.limits = limits
        self._concurrency_limit.resize(limits.usable_slots)
        self._concurrency_limit.ramp_s = limits.ramp_s
        self._concurrency_limit.least_share = limits.least_share
        weights = _list_weights(partners)
        for request_class, state in self._classes.items():
            state.share = limits.class_shares[request_class]
            state.queue.set_weights(weights)

    def restart(self, now: float) -> None:
        """Ramp up again, for the upstream was restarted and is cold."""
        self._concurrency_limit.restart(now)

    def offer(
        self,
        now: float,
        *,
        partner: str,
        request_class: RequestClass,
        cost: float,
        deadline_s: float,
        target_s: float | None = None,
    ) -> QueueEntry:
        """Ask for a slot; the verdict comes with :meth:`poll`.

        A request waits for a slot only as long as its answer can still come by its
        target: while more is asked than can be served, a slot given to a late answer
        makes the next one late as well.
        """
        self._record_load(now)
        state = self._classes[request_class]
        cost = max(cost, MIN_COST)
        self._last_number += 1
        entry = QueueEntry(
            number=self._last_number,
            flow=state.queue.find_flow(partner),
            request_class=request_class,
            cost=cost,
            deadline_s=deadline_s,
            charge=state.estimate_charge(cost),
            queue_deadline_s=min(
                deadline_s - state.estimate_service_time(cost),
                _find_queue_deadline(now, state, cost, target_s),
            ),
            offered_s=now,
        )
        self._enqueue_or_refuse(now, state, entry)
        return entry

    def cancel(self, now: float, entry: QueueEntry) -> None:
        """End an entry whose caller left; a held slot is given back."""
        if entry.state is EntryState.RUNNING:
            self.release(now, entry, service_time_s=None)
        elif entry.state is EntryState.QUEUED:
            self._record_load(now)
            self._remove_queued(entry)

    def release(
        self,
        now: float,
        entry: QueueEntry,
        *,
        service_time_s: float | None,
        error: ErrorKind | None = None,
    ) -> None:
        """Take a slot back.

        Args:
            now: The current time.
            entry: An admitted entry; releasing it again has no effect.
            service_time_s: How long the upstream took; ``None`` if it was not asked.
            error: Why there was no answer. Only answers teach service times: those
                of failures say nothing about the next request.
        """
        if entry.state is not EntryState.RUNNING:
            return
        self._record_load(now)
        entry.state = EntryState.ENDED
        state = self._classes[entry.request_class]
        state.in_use -= 1
        if error is ErrorKind.UPSTREAM_SHED:
            self._concurrency_limit.record_shed(now, self._in_use)
        elif error is None and service_time_s is not None:
            self._concurrency_limit.record_response()
            state.record_service(entry.cost, service_time_s)
        self._in_use -= 1
        state.queue.adjust(entry, (service_time_s or 0.0) - entry.charge)

    def refuse_queued(self, refusal: Refusal) -> None:
        """Give all waiting requests their final answer."""
        while (head := self._queue_deadlines.peek()) is not None:
            self._remove_queued(head[1])
            self._outbox.append(Refused(entry=head[1], refusal=refusal))

    def poll(self, now: float) -> tuple[AdmissionDecision, ...]:
        """Give up what is late, fill the free slots, and return all verdicts."""
        self._record_load(now)
        self._refuse_expired(now)
        limit = self._concurrency_limit.current_limit(now)
        while self._in_use < limit:
            state = self._choose_class(limit)
            if state is None:
                break
            self._start_next(now, state)
        decisions = tuple(self._outbox)
        self._outbox.clear()
        return decisions

    def next_wakeup(self, now: float) -> float | None:
        """Return when :meth:`poll` must be called next without another event."""
        head = self._queue_deadlines.peek()
        if head is None:
            return None
        limit = self._concurrency_limit.current_limit(now)
        if self._concurrency_limit.is_ramping(now) or self._in_use < limit:
            return min(head[0], now + POLL_INTERVAL_S)
        return head[0]

    def _enqueue_or_refuse(
        self, now: float, state: ClassState, entry: QueueEntry
    ) -> None:
        """Queue an entry, or refuse it or another one in its place."""
        if now >= entry.deadline_s:
            self._refuse(entry, ErrorKind.DEADLINE_EXPIRED, "late on arrival")
            return
        if self._has_free_slot(now, state):
            # A free slot is used even if the estimate is pessimistic: only a new
            # sample can correct the estimate.
            entry.queue_deadline_s = entry.deadline_s
        else:
            slots = self._count_usable_slots(now, state)
            wait_s = _estimate_wait(state, entry.flow, slots)
            if not state.accepts(wait_s, entry.queue_deadline_s - now):
                self._refuse(
                    entry,
                    ErrorKind.DEADLINE_UNREACHABLE,
                    f"expected wait of {wait_s:.3f} s",
                    wait_s,
                )
                return
            # The bound is proportional to the slots that the class can use, so that a
            # full queue means the same wait whether or not the other classes are busy.
            if len(state.queue) >= slots * self.limits.queue_per_slot:
                self._drop_from_longest_queue(state, entry, slots)
                if entry.state is EntryState.ENDED:
                    return
        state.queue.push(entry)
        self._queue_deadlines.put(entry, entry.queue_deadline_s)

    def _has_free_slot(self, now: float, state: ClassState) -> bool:
        limit = self._concurrency_limit.current_limit(now)
        return (
            not len(state.queue)
            and self._in_use < limit
            and state.in_use < self._max_class_slots(state, limit)
        )

    def _drop_from_longest_queue(
        self, state: ClassState, entry: QueueEntry, slots: float
    ) -> None:
        """Refuse the newest request of the partner with the most waiting."""
        victim = state.queue.find_drop_candidate()
        own_length = state.queue.weighted_length(entry.flow)
        if victim is None or own_length >= state.queue.weighted_length(victim.flow):
            victim = entry
        else:
            self._remove_queued(victim)
        wait_s = _estimate_wait(state, victim.flow, slots)
        self._refuse(victim, ErrorKind.QUEUE_FULL, "queue is full", wait_s)

    def _count_usable_slots(self, now: float, state: ClassState) -> float:
        """Return the slots that a class gets while the others ask as they do now."""
        limit = self._concurrency_limit.current_limit(now)
        active = state.share
        for other in self._classes.values():
            if other is not state and other.demand:
                active += other.share
        others = self._in_use - state.in_use
        slots = max(limit * state.share / active, float(limit - others))
        return max(1.0, min(slots, self._max_class_slots(state, limit)))

    def _max_class_slots(self, state: ClassState, limit: int) -> int:
        """Return the slots that a class may hold at once."""
        if state is not self._download:
            return limit
        guaranteed = self.limits.guarantee_slots(RequestClass.DOWNLOAD)
        return max(min(guaranteed, limit), limit - self._headroom.required_slots())

    def _choose_class(self, limit: int) -> ClassState | None:
        """Return the waiting class that holds the fewest slots for its share."""
        chosen = None
        lowest = 0.0
        for state in self._classes.values():
            if not len(state.queue) or state.in_use >= self._max_class_slots(
                state, limit
            ):
                continue
            held = state.in_use / state.share
            if chosen is None or held < lowest:
                chosen, lowest = state, held
        return chosen

    def _start_next(self, now: float, state: ClassState) -> None:
        entry = state.queue.pop()
        state.queue.record_wait(entry, now - entry.offered_s)
        self._queue_deadlines.remove(entry)
        entry.state = EntryState.RUNNING
        entry.started_s = now
        state.in_use += 1
        self._in_use += 1
        self._outbox.append(Admitted(entry=entry))

    def _refuse_expired(self, now: float) -> None:
        """Answer at once what can no longer finish in time."""
        while (head := self._queue_deadlines.peek()) is not None and head[0] <= now:
            entry = head[1]
            self._remove_queued(entry)
            state = self._classes[entry.request_class]
            slots = self._count_usable_slots(now, state)
            wait_s = _estimate_wait(state, entry.flow, slots)
            self._refuse(
                entry,
                ErrorKind.DEADLINE_UNREACHABLE,
                "no slot in time",
                wait_s,
            )

    def _remove_queued(self, entry: QueueEntry) -> None:
        entry.state = EntryState.ENDED
        self._classes[entry.request_class].queue.remove(entry)
        self._queue_deadlines.remove(entry)

    def _refuse(
        self,
        entry: QueueEntry,
        kind: ErrorKind,
        detail: str,
        wait_s: float | None = None,
    ) -> None:
        entry.state = EntryState.ENDED
        retry_after_s = None
        if wait_s is not None:
            retry_after_s = max(wait_s, MIN_RETRY_AFTER_S) * self._rng.uniform(1.0, 2.0)
        refusal = Refusal(kind=kind, detail=detail, retry_after_s=retry_after_s)
        self._outbox.append(Refused(entry=entry, refusal=refusal))

    def _record_load(self, now: float) -> None:
        """Record the short classes' load up to now."""
        if now <= self._headroom.updated_s:
            return
        load = self._order.demand + self._browse.demand
        self._headroom.record(now, min(load, self._concurrency_limit.slots))


def _find_queue_deadline(
    now: float, state: ClassState, cost: float, target_s: float | None
) -> float:
    """Return until when a request may start for its answer to come by its target."""
    if target_s is None:
        return math.inf
    mean_s = cost * (state.seconds_per_cost or 0.0)
    return max(target_s - mean_s, now + LATE_REQUEST_MAX_WAIT_S)


def _list_weights(partners: Iterable[Partner]) -> dict[str, float]:
    return {partner.name: partner.weight for partner in partners}


def _estimate_wait(state: ClassState, flow: str, slots: float) -> float:
    """Return how long a new request of the flow would wait, 0 if not known."""
    if state.seconds_per_cost is None:
        return 0.0
    return state.queue.estimate_wait(flow, slots)
