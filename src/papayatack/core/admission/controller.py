"""Admission control for one upstream: which request runs next, which is refused."""

import random
from collections.abc import Iterable

from papayatack.core.admission.class_state import ClassState
from papayatack.core.admission.cold_limit import ColdLimit
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
from papayatack.core.admission.latest_start import find_late_wait, find_latest_start
from papayatack.core.admission.limits import AdmissionLimits
from papayatack.core.admission.rank_lanes import RankLanes
from papayatack.core.admission.rate_limit import RateLimit
from papayatack.core.admission.slot_shares import SlotShares
from papayatack.core.errors import ErrorKind, Refusal
from papayatack.core.heap import KeyedHeap
from papayatack.core.inventory import Partner, RequestClass

__all__ = ["AdmissionController"]

MIN_RETRY_AFTER_S = 0.05
"""Minimum delay before a retry that a refusal suggests, in seconds, before jitter."""

MIN_COST = 0.001
"""Lower bound on the declared cost of a request."""


class AdmissionController:
    """Shares an upstream's slots among request classes and partners.

    Operations add their decisions to an outbox, which :meth:`poll` returns. Each entry
    gets exactly one decision, unless it is cancelled first.

    Args:
        now: The current time, in seconds.
        limits: Capacity of the upstream.
        partners: Partners of the inventory with their weights.
        rng: Source of the jitter of suggested retry delays.

    Attributes:
        limits: Capacity of the upstream.
        cold_limit: Limit on the requests that the upstream gets while it is cold.
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
        self._rate_limit = RateLimit()
        self.cold_limit = ColdLimit(now=now)
        self._queue_deadlines: KeyedHeap[QueueEntry] = KeyedHeap()
        self._outbox: list[AdmissionDecision] = []
        self._last_number = 0
        self._weights = _list_weights(partners)
        self._lanes = RankLanes(build=self._build_state)
        self._shares = SlotShares(
            now=now,
            limits=limits,
            lanes=self._lanes,
            concurrency_limit=self._concurrency_limit,
            rate_limit=self._rate_limit,
            rng=self._rng,
        )

    @property
    def in_use(self) -> int:
        """Number of slots in use."""
        return self._shares.in_use

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue_deadlines)

    @property
    def requests_per_s(self) -> float | None:
        """Limit that the upstream names, ``None`` if it names none."""
        return self._rate_limit.requests_per_s

    def observe_limit(self, now: float, requests_per_s: float | None) -> None:
        """Record the limit that a response of the upstream names, if any."""
        self._rate_limit.observe(now, requests_per_s)

    def find_rate(self, now: float) -> float | None:
        """Return the requests per second that the upstream takes, if it has a limit."""
        limits = (self._rate_limit.requests_per_s, self.cold_limit.find_rate(now))
        return min((limit for limit in limits if limit is not None), default=None)

    def set_pace(self, pace: float) -> None:
        """Set how long work takes at the upstream now, relative to usual."""
        self._lanes.set_pace(pace)

    def get_class_state(self, request_class: RequestClass, rank: int = 0) -> ClassState:
        """Return the state of a class of a rank, for metrics."""
        return self._lanes.get_state(rank, request_class)

    def list_class_states(self, request_class: RequestClass) -> list[ClassState]:
        """Return the states of a class of all ranks that were seen."""
        return [state for state in self._lanes if state.request_class is request_class]

    def current_limit(self, now: float) -> int:
        """Return the number of slots that may be in use now."""
        return self._concurrency_limit.current_limit(now)

    def configure(
        self, *, limits: AdmissionLimits, partners: Iterable[Partner]
    ) -> None:
        """Apply new limits and partners; queued requests stay in their queues."""
        self.limits = limits
        self._shares.limits = limits
        self._concurrency_limit.resize(limits.usable_slots)
        self._concurrency_limit.ramp_s = limits.ramp_s
        self._concurrency_limit.least_share = limits.least_share
        self._weights = _list_weights(partners)
        for state in self._lanes:
            state.share = limits.class_shares[state.request_class]
            state.set_weights(self._weights)

    def restart(self, now: float) -> None:
        """Begin a new slow start, because the upstream was restarted and is cold."""
        self._concurrency_limit.restart(now)
        self._rate_limit.clear()
        self.cold_limit.restart(now)

    def offer(
        self,
        now: float,
        *,
        partner: str,
        request_class: RequestClass,
        cost: float,
        deadline_s: float,
        target_s: float | None = None,
        rank: int = 0,
    ) -> QueueEntry:
        """Submit a request for a slot; :meth:`poll` returns the decision.

        A request waits for a slot only as long as it can still be answered by its
        target: under overload, a slot that is spent on a late response makes the
        next response late as well.
        """
        self._shares.record_load(now)
        state = self._lanes.get_state(rank, request_class)
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
                find_latest_start(now, state, cost, target_s),
            ),
            offered_s=now,
            rank=state.rank,
        )
        self._enqueue_or_refuse(now, state, entry)
        return entry

    def cancel(self, now: float, entry: QueueEntry) -> None:
        """Drop an entry whose caller has disconnected; release its slot, if any."""
        if entry.state is EntryState.RUNNING:
            self.release(now, entry, service_time_s=None)
        elif entry.state is EntryState.QUEUED:
            self._shares.record_load(now)
            self._remove_queued(entry)
            self._lanes.record_refusal(self._find_state(entry), entry.charge)

    def release(
        self,
        now: float,
        entry: QueueEntry,
        *,
        service_time_s: float | None,
        error: ErrorKind | None = None,
    ) -> None:
        """Release the slot of an entry.

        Args:
            now: The current time, in seconds.
            entry: An admitted entry; releasing it again has no effect.
            service_time_s: Time that the upstream took, in seconds; ``None`` if the
                request was not sent to it.
            error: why there was no response. Only the service times of responses are
                recorded, since those of failures do not predict the next request's.
        """
        if entry.state is not EntryState.RUNNING:
            return
        self._shares.record_load(now)
        entry.state = EntryState.ENDED
        if not entry.is_sent:
            self.cold_limit.cancel_reservation()
        state = self._find_state(entry)
        state.in_use -= 1
        if error is ErrorKind.UPSTREAM_SHED:
            self._concurrency_limit.record_shed(now, self._shares.in_use)
        elif error is None and service_time_s is not None:
            self._concurrency_limit.record_response()
            state.record_service(entry.cost, service_time_s)
        self._shares.in_use -= 1
        state.queue.adjust(entry, (service_time_s or 0.0) - entry.charge)

    def record_sent(self, now: float, entry: QueueEntry) -> None:
        """Record that the request of an admitted entry is sent to the upstream."""
        if entry.state is EntryState.RUNNING and not entry.is_sent:
            entry.is_sent = True
            self.cold_limit.record_sent(now)

    def refuse_unreachable(self, now: float) -> None:
        """Refuse the queued requests for which a cold upstream has no room in time."""
        ahead = 0
        for entry in self._queue_deadlines.list_keys():
            room_s = self.cold_limit.find_room(now, ahead=ahead)
            if room_s <= entry.queue_deadline_s:
                ahead += 1
                continue
            self._remove_queued(entry)
            self._refuse_cold(entry, room_s - now)

    def refuse_queued(self, refusal: Refusal) -> None:
        """Refuse all queued requests with the given refusal."""
        while (head := self._queue_deadlines.peek()) is not None:
            self._remove_queued(head[1])
            self._outbox.append(Refused(entry=head[1], refusal=refusal))

    def poll(self, now: float) -> tuple[AdmissionDecision, ...]:
        """Refuse expired requests, fill the free slots, and return new decisions."""
        self._shares.record_load(now)
        self._refuse_expired(now)
        limit = self._concurrency_limit.current_limit(now)
        while self._shares.in_use < limit and self._may_send(now):
            state = self._shares.choose_state(limit)
            if state is None:
                break
            self._start_next(now, state)
        decisions = tuple(self._outbox)
        self._outbox.clear()
        return decisions

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call :meth:`poll` if nothing else happens, or ``None``."""
        head = self._queue_deadlines.peek()
        if head is None:
            return None
        limit = self._concurrency_limit.current_limit(now)
        if self._shares.in_use < limit and not self._may_send(now):
            return min(head[0], self._find_next_send(now))
        if self._concurrency_limit.is_ramping(now) or self._shares.in_use < limit:
            return min(head[0], now + POLL_INTERVAL_S)
        return head[0]

    def _enqueue_or_refuse(
        self, now: float, state: ClassState, entry: QueueEntry
    ) -> None:
        """Queue an entry, or refuse it or an entry of a longer queue."""
        if now >= entry.deadline_s:
            self._refuse(
                entry, ErrorKind.DEADLINE_EXPIRED, "the deadline passed before arrival"
            )
            return
        if self._has_free_slot(now, state):
            # A free slot is used even if the estimate is pessimistic: only a new
            # sample can correct the estimate.
            entry.queue_deadline_s = entry.deadline_s
        elif not self._may_wait(now, state, entry):
            return
        state.queue.push(entry)
        self._queue_deadlines.put(entry, entry.queue_deadline_s)

    def _may_wait(self, now: float, state: ClassState, entry: QueueEntry) -> bool:
        """Return whether an entry may wait for a slot; refuse it if not."""
        slots = self._shares.count_usable(now, state)
        if not self._may_expect_slot(now, state, entry, slots):
            return False
        # The bound is proportional to the slots that the class can use, so that a
        # full queue means the same wait whether or not the other classes are busy.
        if len(state.queue) >= slots * self.limits.queue_per_slot:
            self._drop_from_longest_queue(now, state, entry, slots)
            if entry.state is EntryState.ENDED:
                return False
        self._make_way(now, state)
        return True

    def _may_expect_slot(
        self, now: float, state: ClassState, entry: QueueEntry, slots: float
    ) -> bool:
        """Return whether an entry can start in time; refuse it if not."""
        cold_wait_s = self.cold_limit.find_room(now, ahead=self.queued) - now
        wait_s = max(
            self._shares.estimate_wait(now, state, entry.flow, slots),
            self._rate_limit.find_next(now) - now,
            cold_wait_s,
        )
        max_wait_s = entry.queue_deadline_s - now
        wait_limit = state.get_wait_limit(entry.flow)
        if wait_limit.accept(
            now,
            wait_s=wait_s,
            max_wait_s=max_wait_s,
            min_limit_s=self._find_least_limit(state, entry, max_wait_s),
        ):
            return True
        if wait_s == cold_wait_s > 0:
            self._refuse_cold(entry, wait_s)
            return False
        self._refuse(
            entry,
            ErrorKind.DEADLINE_UNREACHABLE,
            f"expected wait of {wait_s:.3f} s, "
            f"limit {wait_limit.limit_s:.3f} s, permitted {max_wait_s:.3f} s",
            wait_s,
        )
        return False

    def _find_least_limit(
        self, state: ClassState, entry: QueueEntry, max_wait_s: float
    ) -> float:
        """Return the lower bound on the limit of a request's wait in seconds.

        Calls need not wait alike: those that permit little are of requests that have
        little time left.
        """
        if state.request_class is RequestClass.CALL:
            return max_wait_s
        return find_late_wait(state, entry.cost)

    def _has_free_slot(self, now: float, state: ClassState) -> bool:
        limit = self._concurrency_limit.current_limit(now)
        return (
            not len(state.queue)
            and self._shares.in_use < limit
            and self._may_send(now)
            and self._shares.may_use_slot(state, limit)
        )

    def _may_send(self, now: float) -> bool:
        return self._rate_limit.allows(now) and self.cold_limit.allows(now)

    def _find_next_send(self, now: float) -> float:
        """Return the time at which the limits permit the next request."""
        return max(self._rate_limit.find_next(now), self.cold_limit.find_room(now))

    def _make_way(self, now: float, state: ClassState) -> None:
        """Refuse a request of a worse rank that can no longer expect to start in time.

        At most one is refused for each request that begins to wait.
        """
        for other in self._lanes.list_worse(state.rank):
            victim = other.queue.find_drop_candidate()
            if victim is None:
                continue
            slots = self._shares.count_usable(now, other)
            wait_s = self._shares.estimate_wait(now, other, victim.flow, slots)
            if wait_s - victim.charge / slots > victim.queue_deadline_s - now:
                self._remove_queued(victim)
                detail = "requests of a better rank go first"
                self._refuse(victim, ErrorKind.DEADLINE_UNREACHABLE, detail, wait_s)
                return

    def _drop_from_longest_queue(
        self, now: float, state: ClassState, entry: QueueEntry, slots: float
    ) -> None:
        """Refuse the newest request of the flow with the longest weighted queue."""
        victim = state.queue.find_drop_candidate()
        own_length = state.queue.weighted_length(entry.flow)
        if victim is None or own_length >= state.queue.weighted_length(victim.flow):
            victim = entry
        else:
            self._remove_queued(victim)
        wait_s = self._shares.estimate_wait(now, state, victim.flow, slots)
        self._refuse(victim, ErrorKind.QUEUE_FULL, "the queue is full", wait_s)

    def _start_next(self, now: float, state: ClassState) -> None:
        entry = state.queue.pop()
        state.queue.record_wait(entry, now - entry.offered_s)
        self._queue_deadlines.remove(entry)
        entry.state = EntryState.RUNNING
        entry.started_s = now
        self._lanes.record_start(state, entry.charge)
        state.in_use += 1
        self._shares.in_use += 1
        self._rate_limit.take(now)
        self.cold_limit.reserve()
        self._outbox.append(Admitted(entry=entry))

    def _refuse_expired(self, now: float) -> None:
        """Refuse the queued requests that can no longer finish in time."""
        while (head := self._queue_deadlines.peek()) is not None and head[0] <= now:
            entry = head[1]
            self._remove_queued(entry)
            if not self.cold_limit.allows(now):
                room_s = self.cold_limit.find_room(now, ahead=self.queued)
                self._refuse_cold(entry, room_s - now)
                continue
            state = self._find_state(entry)
            slots = self._shares.count_usable(now, state)
            wait_s = self._shares.estimate_wait(now, state, entry.flow, slots)
            self._refuse(
                entry,
                ErrorKind.DEADLINE_UNREACHABLE,
                "no slot became free in time",
                wait_s,
            )

    def _remove_queued(self, entry: QueueEntry) -> None:
        entry.state = EntryState.ENDED
        self._find_state(entry).queue.remove(entry)
        self._queue_deadlines.remove(entry)

    def _refuse_cold(self, entry: QueueEntry, wait_s: float) -> None:
        detail = f"the limit for cold upstreams has room in {wait_s:.3f} s"
        self._refuse(entry, ErrorKind.UPSTREAM_COLD, detail, wait_s)

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
            self._lanes.record_refusal(self._find_state(entry), entry.charge)
            retry_after_s = max(wait_s, MIN_RETRY_AFTER_S) * self._rng.uniform(1.0, 2.0)
        refusal = Refusal(kind=kind, detail=detail, retry_after_s=retry_after_s)
        self._outbox.append(Refused(entry=entry, refusal=refusal))

    def _build_state(self, request_class: RequestClass, rank: int) -> ClassState:
        return ClassState(
            request_class=request_class,
            rank=rank,
            share=self.limits.class_shares[request_class],
            queue=FairQueue(weights=self._weights),
        )

    def _find_state(self, entry: QueueEntry) -> ClassState:
        return self._lanes.get_state(entry.rank, entry.request_class)


def _list_weights(partners: Iterable[Partner]) -> dict[str, float]:
    return {partner.name: partner.weight for partner in partners}
