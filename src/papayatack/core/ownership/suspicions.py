"""Shares with all nodes, and with the log, which requests were in flight at crashes.

What a node finds goes to all live nodes at once, and into the ownership log, which
outlives them. Until the log has it, the node repeats both. What a node was told by
another, and the log does not get, it appends itself: the other may have ended.
"""

import dataclasses
from collections.abc import Iterable

from papayatack.core.messages import SuspectReport
from papayatack.core.ownership.context import Context
from papayatack.core.ownership.selection import compute_rendezvous_rank
from papayatack.core.quarantine.suspicion import Suspicion
from papayatack.core.records import ReportSuspects

__all__ = ["Standing", "Suspect", "SuspicionExchange"]

REPEAT_INTERVAL_S = 2.0
"""Time after which a suspicion that the log still lacks is sent and appended again."""

FOREIGN_DELAY_S = 2.0
FOREIGN_DELAY_STEP_S = 0.5
MAX_FOREIGN_DELAY_S = 6.0
"""A node appends what another node found after ``FOREIGN_DELAY_S``, a step later for
each node that ranks before it, and after ``MAX_FOREIGN_DELAY_S`` at the latest."""

MAX_SUSPICIONS_SENT = 64
"""Number of suspicions in one message or record."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """What was known of a request when it was sent to the upstream.

    Attributes:
        fingerprint: Digest of the request.
        generation: Generation of its suspicion, 0 if there was none.
        rounds: Rounds of its suspicion, 0 if there was none.
    """

    fingerprint: str
    generation: int = 0
    rounds: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspect:
    """A request that was in flight when the local upstream crashed.

    Attributes:
        broad: What was known of requests that are alike when it was sent.
        exact: What was known of it.
        head: Digest of the request without its body, caller and key.
        service: Its service.
        caller: Name of its caller.
        request_id: Its id.
    """

    broad: Standing
    exact: Standing
    head: str
    service: str
    caller: str
    request_id: str


@dataclasses.dataclass(slots=True, kw_only=True)
class _Pending:
    """When a suspicion that the log lacks is to be appended next, and by whom found."""

    due_s: float
    is_own: bool


class SuspicionExchange:
    """Spreads suspicions.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self, *, context: Context) -> None:
        self._context = context
        self._pending: dict[str, _Pending] = {}

    def report_crash(
        self, upstream: str, suspects: Iterable[Suspect], now: float
    ) -> None:
        """Add a round for each request in flight at a crash, and share it at once."""
        for suspect in suspects:
            for standing in (suspect.broad, suspect.exact):
                self._learn_own(self._add_round(suspect, standing, upstream), now)
        self._share_due(now)

    def clear(self, fingerprints: Iterable[str], request_id: str, now: float) -> None:
        """Clear requests of what they are suspected of.

        This is shared with the next call of :meth:`advance`, since many requests may be
        cleared at the same time.
        """
        for fingerprint in fingerprints:
            known = self._context.quarantine.find(fingerprint)
            if known is not None and known.is_open:
                self._learn_own(known.clear(request_id), now)

    def receive(self, suspicions: tuple[Suspicion, ...], now: float) -> bool:
        """Learn what another node found; return whether it is well-formed."""
        if not all(suspicion.is_valid for suspicion in suspicions):
            return False
        new = [suspicion for suspicion in suspicions if self._learn(suspicion, now)]
        if new:
            rank = self._find_rank(new[0].fingerprint)
            delay_s = FOREIGN_DELAY_S + FOREIGN_DELAY_STEP_S * rank
            due_s = now + min(delay_s, MAX_FOREIGN_DELAY_S)
        for suspicion in new:
            pending = _Pending(due_s=due_s, is_own=False)
            self._pending[suspicion.fingerprint] = pending
        return True

    def note_logged(self, suspicions: tuple[Suspicion, ...], now: float) -> None:
        """Process suspicions that were just folded from the log."""
        for suspicion in suspicions:
            before = self._context.quarantine.find_unlogged(suspicion.fingerprint)
            self._context.quarantine.note_logged(suspicion, now)
            if before is None or before.rank < suspicion.rank:
                self._emit_change(suspicion)

    def advance(self, now: float) -> None:
        """Send and append what is due."""
        if self._pending:
            self._share_due(now)

    def _add_round(
        self, suspect: Suspect, standing: Standing, upstream: str
    ) -> Suspicion:
        """Return the suspicion after a crash."""
        known = self._context.quarantine.find(standing.fingerprint)
        is_known = known is not None and known.generation == standing.generation
        is_broad = standing is suspect.broad
        before = Suspicion(
            fingerprint=standing.fingerprint,
            head=suspect.head,
            service_name=suspect.service,
            caller=suspect.caller,
            generation=standing.generation,
            rounds=standing.rounds,
            variant=known.variant if known is not None and is_known else "",
            is_shared=known is not None and is_known and known.is_shared,
            upstreams=known.upstreams if known is not None and is_known else (),
        )
        return before.add_round(
            variant=suspect.exact.fingerprint if is_broad else "",
            request_id=suspect.request_id,
            upstream=upstream,
        )

    def _learn_own(self, suspicion: Suspicion, now: float) -> None:
        """Learn what this node found, to be shared; texts too long are not shared."""
        if suspicion.is_valid and self._learn(suspicion, now):
            pending = _Pending(due_s=now, is_own=True)
            self._pending[suspicion.fingerprint] = pending

    def _learn(self, suspicion: Suspicion, now: float) -> bool:
        if not self._context.quarantine.learn(suspicion, now):
            return False
        self._emit_change(suspicion)
        return True

    def _emit_change(self, suspicion: Suspicion) -> None:
        """Log a request that is refused from now on, or one that was cleared."""
        if suspicion.is_of_one:
            return
        if suspicion.is_quarantined:
            name = "REQUEST_QUARANTINED"
        elif not suspicion.is_open:
            name = "REQUEST_CLEARED"
        else:
            return
        self._context.emit_event(
            name,
            subject=suspicion.fingerprint,
            service=suspicion.service_name,
            caller=suspicion.caller,
            request=suspicion.request_id,
            upstreams=list(suspicion.upstreams),
        )

    def _find_rank(self, fingerprint: str) -> int:
        """Return how many other live nodes rank before this one."""
        own = compute_rendezvous_rank(fingerprint, self._context.incarnation)
        members = self._context.state.list_live_members()
        return sum(
            1
            for member in members
            if compute_rendezvous_rank(fingerprint, member.incarnation) < own
        )

    def _share_due(self, now: float) -> None:
        due = self._collect_due(now)
        for start in range(0, len(due), MAX_SUSPICIONS_SENT):
            part = tuple(due[start : start + MAX_SUSPICIONS_SENT])
            self._append(part)
            own = tuple(item for item in part if self._pending[item.fingerprint].is_own)
            if own:
                self._send_all(SuspectReport(suspicions=own))

    def _collect_due(self, now: float) -> list[Suspicion]:
        """Return the suspicions that are due, and restart their intervals."""
        unlogged = {
            suspicion.fingerprint: suspicion
            for suspicion in self._context.quarantine.list_unlogged()
        }
        for fingerprint in list(self._pending):
            if fingerprint not in unlogged:
                del self._pending[fingerprint]
        due = []
        for fingerprint, pending in self._pending.items():
            if pending.due_s <= now:
                pending.due_s = now + REPEAT_INTERVAL_S
                due.append(unlogged[fingerprint])
        return due

    def _append(self, suspicions: tuple[Suspicion, ...]) -> None:
        record = ReportSuspects(
            record_id=self._context.make_record_id(),
            writer=self._context.incarnation,
            suspicions=suspicions,
        )
        self._context.append(record)

    def _send_all(self, message: SuspectReport) -> None:
        for member in self._context.state.list_live_members():
            if member.incarnation != self._context.incarnation:
                self._context.send(member.incarnation, message)
